package experiment

import (
	"time"

	"github.com/chicoryrelay/chicoryrelay/bench/trace"
	"github.com/chicoryrelay/chicoryrelay/standin/engine"
)

// Request is one request as a router sees it.
type Request struct {
	ID    string
	Entry trace.Entry
}

// Verdict is the kind of a decision.
type Verdict uint8

// Verdicts of a decision.
const (
	// Queue leaves the request in the queue of the router, which decides again on a later call.
	Queue Verdict = iota
	// Dispatch sends the request to an upstream; a second dispatch of a request in progress is a hedge.
	Dispatch
	// Refuse ends the request as not run.
	Refuse
)

// Decision is a router's decision on one request.
type Decision struct {
	Request string
	Verdict Verdict
	// Upstream is the name of the upstream that the request is dispatched to.
	Upstream string
	// Import is the name of the upstream from which the KV cache of the prompt is imported first; empty means no import.
	Import string
	// Priority is passed to the engine; requests with lower numbers start first.
	Priority int
}

// Router has the callbacks of one VM's routing; only Decide is required.
//
// The callbacks may return decisions on queued requests and hedges of requests in progress.
type Router struct {
	// Decide is called once for each arrival.
	Decide func(now time.Duration, r Request) Decision
	// Dispatched is called when a request is sent to an upstream.
	Dispatched func(now time.Duration, request, upstream string)
	// FirstToken is called when the first token is received; other copies of the request are cancelled without a further call.
	FirstToken func(now time.Duration, request, upstream string, cached int) []Decision
	// Finished is called when the answer is complete; cached is the number of cached tokens of the prompt.
	Finished func(now time.Duration, request, upstream string, cached int) []Decision
	// Failed is called when an upstream refused or lost a request; a dispatch in the returned decisions resumes it.
	Failed func(now time.Duration, request, upstream string) []Decision
	// Report is called with each load report of an upstream.
	Report func(now time.Duration, upstream string, report engine.Report) []Decision
	// Changes is called with the blocks that an upstream's cache stored and evicted since the last call.
	Changes func(now time.Duration, upstream string, incarnation uint64, changes []engine.Change) []Decision
	// Tick is called at each tick.
	Tick func(now time.Duration) []Decision
}
