// Package engine simulates a language-model engine: continuous batching, a prefix cache in limited memory, cache events, load
// reports and orders. It does no I/O and has no clock; callers pass the time to each method.
package engine
