// Package capacity learns how fast each server of a group is for the same work, and from which load on it slows down.
//
// It answers load balancing over unequal servers with the pattern of least expected finish: callers multiply what they expect of the
// group by a server's factor. Concurrency limits from latency gradients and power of two choices were weighed, see
// docs/design/capacity.md.
//
// The core does no input or output and reads no clock: each call passes the time. It is not safe for concurrent use.
package capacity
