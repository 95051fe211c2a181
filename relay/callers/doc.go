// Package callers bounds the memory and the descriptors that clients of a process's listeners occupy together.
//
// The Core decides whom to close or to let wait; it is pure and follows the resource budget with load shedding by priority: each
// connection is charged for what it holds, and when a charge does not fit, connections are closed in the order of what their end costs
// their clients. It owns the charges, the stages of the connections and the queue of the requests that wait for memory.
//
// A Guard owns a Core under one lock and does its I/O: it wraps listeners and HTTP servers, closes connections, writes log lines and
// counts. A nil Guard bounds nothing. Its clock is time.Now.
package callers
