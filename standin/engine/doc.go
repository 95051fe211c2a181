// Package engine simulates a language-model engine: continuous batching, a prefix cache in limited memory, cache events, load
// reports and orders.
//
// It does no I/O, starts no goroutine and has no clock. The caller passes the time to each method, calls Step at the times that
// Next returns, and serialises all calls.
package engine
