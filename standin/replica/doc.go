// Package replica serves an emulated engine over HTTP with the OpenAI-compatible API and its extensions, and injects faults on
// request.
package replica
