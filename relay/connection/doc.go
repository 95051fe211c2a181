// Package connection is a pool of HTTP/1.1 connections to upstreams that sends each request at most once, without pipelining.
//
// A Pool serves concurrent requests and never retries one: its caller decides about retries, calls Prune every few seconds, calls
// CloseIdle for an upstream that is gone and reads each Response to its end or closes it. Package upstream has pools of its own and
// does not use this one.
//
// net/http's Transport retries some requests by itself when a reused connection fails, and races a dial against an idle
// connection. Neither is acceptable for a request that may run at most once, so this package uses the standard library only for
// the wire format and pools the connections itself. Each of these guarantees is tested against a fake upstream:
//
//   - A connection that the upstream closed or wrote to while it was idle is detected before the next request, by a non-blocking
//     read.
//   - An error before the first byte is written is a NotSentError; after any later error the request may have run.
//   - A response may arrive before the request's body is written. Writing continues, and the connection is reused only if both
//     have completed.
//   - A response whose header identifies another request is skipped. Bytes after the end of a response close the connection.
package connection
