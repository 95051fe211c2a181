// Package replica serves a simulated engine over HTTP with the OpenAI-compatible API and its extensions, and injects faults on
// request.
//
// A Server owns its engine: a goroutine steps it in real time from New to Close, and all access goes through one mutex.
package replica
