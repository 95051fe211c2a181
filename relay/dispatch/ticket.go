package dispatch

import (
	"time"

	"github.com/chicoryrelay/chicoryrelay/relay/catalogue"
	"github.com/chicoryrelay/chicoryrelay/relay/prompt"
	"github.com/chicoryrelay/chicoryrelay/relay/routing"
	"github.com/chicoryrelay/chicoryrelay/relay/stream"
	"github.com/chicoryrelay/chicoryrelay/relay/upstream"
)

// Request has the properties of a request that decisions depend on.
type Request struct {
	ID      string
	Account catalogue.Account
	// Scope is the scope within which requests share cached prompts; empty means the account.
	Scope string
	// Urgency orders the queued requests of one account; 0 is the most urgent.
	Urgency   int
	Assistant catalogue.Assistant
	Levels    []prompt.Level
	// Parts identify the parts of the prompt that end at the levels; TargetTTFT is the latency objective for the first
	// token, 0 for none.
	Parts      []uint64
	TargetTTFT time.Duration
	// SharedParts identify the parts of the prompt that other requests may have as well.
	SharedParts []uint64
	// Fingerprint identifies a request that comes again, 0 for none. Resumed is set if the answer to the caller has begun, so that this
	// attempt makes a part of it only.
	Fingerprint uint64
	Resumed     bool
	// PromptTokens and AnswerTokens are estimates.
	PromptTokens int
	AnswerTokens int
	Idempotent   bool
	// Deadline is the time from the request's arrival after which a first token is of no use; 0 means none.
	Deadline time.Duration
	Arrived  time.Time
	// Pinned is the only version that may resume a stream; nil allows any version of the assistant's model.
	Pinned *stream.Version
	// Software is the only software version that may resume a stream whose weights are free; nil allows any.
	Software *string
	// Only names the upstreams that may get the request, in the order of preference; empty means all.
	Only []string
	// FailedUpstreams names the upstreams at which earlier attempts of this request failed.
	FailedUpstreams []string
}

// Ticket is the permission to send one attempt of a request to one upstream; exactly one of Finish, Fail and Cancel ends it.
type Ticket struct {
	Upstream catalogue.Upstream
	Priority int
	// FetchFrom is the engine or store from which the engine fetches parts that it does not hold; its name is empty for none.
	FetchFrom catalogue.Upstream
	// SaveTo is the store to which the engine saves the parts that it prefills; its name is empty for none.
	SaveTo catalogue.Upstream
	// CachedTokens is the number of leading prompt tokens that the engine is believed to hold or fetch, ExpectedTTFT the expected
	// time to first token.
	CachedTokens int
	ExpectedTTFT time.Duration
	// HedgeDelay is the time without a first token after which StartHedge may be called; 0 means never.
	HedgeDelay time.Duration

	// Import is the engine from which to import the prefix's KV cache before the prefill; nil means no import.
	Import *Import

	dispatcher  *Dispatcher
	id          string
	sharedParts []uint64
	fingerprint uint64
	resumed     bool
	placedAt    time.Duration
	// repeated reports that earlier attempts of the request failed.
	repeated bool
	// firstTokenAt belongs to the routing goroutine; it is 0 before the first token.
	firstTokenAt time.Duration
}

// Import names the engine that exports a prefix, and its incarnation at the time of the decision.
type Import struct {
	From        catalogue.Upstream
	Incarnation uint64
}

// Failure describes a failed attempt.
type Failure struct {
	// Sent is set if a byte of the request may have been sent, Received if a byte of the answer arrived.
	Sent     bool
	Received bool
	// Ended is set if the connection ended without a complete answer, as when the upstream crashes.
	Ended bool
	// Leaving is set if the upstream reported that it is leaving.
	Leaving bool
	// Pause is the time for which the upstream wants no requests; 0 for none.
	Pause time.Duration
	// NotRun is set if the upstream reported that it did not run the request. Unless Received is set, the failure neither counts
	// as a crash nor is a retry withdrawn from the budget.
	NotRun bool
}

// FirstToken reports that the upstream began to answer under the given incarnation.
func (t *Ticket) FirstToken(incarnation uint64) {
	t.dispatcher.post(func(now time.Duration) {
		t.firstTokenAt = now
		t.dispatcher.step(now, routing.FirstToken{ID: t.id, Upstream: t.Upstream.Name, Incarnation: incarnation})
	})
}

// Finish reports a complete answer.
func (t *Ticket) Finish(incarnation uint64, counts upstream.Counts) {
	t.dispatcher.post(func(now time.Duration) {
		// The end of a resumed answer doesn't show that an engine can write all of it.
		if !t.repeated {
			t.dispatcher.quarantine.Answered(now, t.sharedParts)
		}
		if !t.resumed {
			t.dispatcher.quarantine.AnsweredRequest(now, t.fingerprint)
		}
	})
	t.FinishError(incarnation, counts)
}

// FinishError reports a complete answer that is the engine's error, which doesn't show that it can answer the prompt.
func (t *Ticket) FinishError(incarnation uint64, counts upstream.Counts) {
	t.dispatcher.notify(routing.Finished{
		ID: t.id, Upstream: t.Upstream.Name, Incarnation: incarnation,
		PromptTokens: counts.Prompt, CachedTokens: counts.Cached, AnswerTokens: counts.Answer, CountsMissing: counts.Missing,
	})
}

// Cancel reports that the relay or the caller gave up the attempt.
func (t *Ticket) Cancel() {
	t.dispatcher.notify(routing.Cancelled{ID: t.id, Upstream: t.Upstream.Name})
}

// Fail reports a failed attempt and returns the wait before a retry, or false if the request must not be repeated or the
// retry budget allows none.
func (t *Ticket) Fail(failure Failure) (time.Duration, bool) { return t.dispatcher.fail(t, failure) }

// StartHedge returns a ticket for a hedged second attempt, or false if there must be none, as after the first token or while the request is
// in quarantine.
func (t *Ticket) StartHedge() (*Ticket, bool) { return t.dispatcher.hedge(t) }
