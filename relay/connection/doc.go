// Package connection holds the HTTP/1.1 connections to upstreams: one request at a time on each, every request sent exactly once.
//
// net/http's own transport repeats some requests by itself when a kept connection fails, and races a dial against an idle
// connection. A request that may run at most once allows neither, so this package uses the standard library for the wire format
// only and keeps the connections itself. What it relies on, each with a test against a stand-in:
//
//   - a connection that the upstream closed or wrote to while it was idle is found before the next request, by a read that
//     does not wait;
//   - an error before the first byte is written is a NotSent; any later error leaves open whether the request ran;
//   - an answer may come before the body is read: the body goes on being written, and the connection is kept only if both ended;
//   - an answer to another request, told by its identity, is skipped; bytes after the end of an answer close the connection.
package connection
