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

// The verdicts.
const (
	// Queue keeps the request with the router, which decides again in answer to a later message.
	Queue Verdict = iota
	// Dispatch sends the request to an upstream; a second dispatch of a request that runs is a hedge.
	Dispatch
	// Refuse ends the request as not run.
	Refuse
)

// Decision is what becomes of one request now.
type Decision struct {
	Request string
	Verdict Verdict
	// Upstream is the name of the upstream that gets the request.
	Upstream string
	// Import names an upstream whose KV cache of the prompt is imported first; empty imports none.
	Import string
	// Priority is passed to the engine; lower numbers start sooner.
	Priority int
}

// Router is one VM's routing as functions; only Decide must be set.
//
// Each message may be answered with decisions about requests that wait, and with hedges of requests that run.
type Router struct {
	// Decide is called once for each arrival.
	Decide func(now time.Duration, r Request) Decision
	// Dispatched confirms that a request was sent to an upstream.
	Dispatched func(now time.Duration, request, upstream string)
	// FirstToken tells that the first token came; other copies of the request are cancelled and not reported again.
	FirstToken func(now time.Duration, request, upstream string, cached int) []Decision
	// Finished tells that the answer is whole; cached is the number of prompt tokens that the upstream found in its cache.
	Finished func(now time.Duration, request, upstream string, cached int) []Decision
	// Failed tells that an upstream refused or lost a request; a dispatch in answer resumes it.
	Failed func(now time.Duration, request, upstream string) []Decision
	// Report hands over an upstream's load report.
	Report func(now time.Duration, upstream string, report engine.Report) []Decision
	// Changes hands over what an upstream's cache took in and dropped since the last call.
	Changes func(now time.Duration, upstream string, incarnation uint64, changes []engine.Change) []Decision
	// Tick is called at each tick.
	Tick func(now time.Duration) []Decision
}
