package dispatch

import (
	"time"

	"github.com/chicoryrelay/chicoryrelay/relay/catalogue"
	"github.com/chicoryrelay/chicoryrelay/relay/prompt"
	"github.com/chicoryrelay/chicoryrelay/relay/routing"
	"github.com/chicoryrelay/chicoryrelay/relay/stream"
	"github.com/chicoryrelay/chicoryrelay/relay/upstream"
)

// Request is what a decision needs to know of one piece of work.
type Request struct {
	ID        string
	Account   catalogue.Account
	Assistant catalogue.Assistant
	Levels    []prompt.Level
	// Parts identify the parts that end at the levels; Target is the latency objective.
	Parts  []uint64
	Target time.Duration
	// PromptTokens and AnswerTokens are estimates.
	PromptTokens int
	AnswerTokens int
	Idempotent   bool
	// Deadline is the time to first token after which the answer is of no use, from the request's arrival; 0 means none.
	Deadline time.Duration
	Arrived  time.Time
	// Pinned is the only version that may go on with a stream; nil means any version of the assistant's model.
	Pinned *stream.Version
	// Failed names the upstreams that failed this request before.
	Failed []string
}

// Ticket is the permission to send one request to one upstream; exactly one of Finish, Fail and Cancel ends it.
type Ticket struct {
	Upstream catalogue.Upstream
	Priority int
	// Fetch is the upstream that the engine takes parts from; its name is empty for none.
	Fetch catalogue.Upstream
	// Save is the store that the engine sends the parts to that it reads; its name is empty for none.
	Save catalogue.Upstream
	// Cached is the number of leading prompt tokens that the engine is believed to hold or fetch, Expected the time to first token.
	Cached   int
	Expected time.Duration
	// Hedge is the delay without a first token after which a second attempt may be asked for; 0 means never.
	Hedge time.Duration

	// Import is the engine to take the prefix's KV cache from first; nil means that it is computed.
	Import *Import

	dispatcher *Dispatcher
	id         string
}

// Import names the engine that exports a prefix, and the life of it that the decision relied on.
type Import struct {
	From        catalogue.Upstream
	Incarnation uint64
}

// Failure says how an attempt broke.
type Failure struct {
	// Sent reports that a byte of the request may have left, Received that a byte of the answer arrived.
	Sent     bool
	Received bool
	// Leaving reports that the upstream said it is leaving.
	Leaving bool
	// NotRun reports that the upstream said it did not take the request; it is neither a crash nor does it use the retry budget.
	NotRun bool
}

// FirstToken reports that the upstream began to answer under the given incarnation.
func (t *Ticket) FirstToken(incarnation uint64) {
	t.dispatcher.tell(routing.FirstToken{ID: t.id, Upstream: t.Upstream.Name, Incarnation: incarnation})
}

// Finish reports a whole answer.
func (t *Ticket) Finish(incarnation uint64, counts upstream.Counts) {
	t.dispatcher.tell(routing.Finished{
		ID: t.id, Upstream: t.Upstream.Name, Incarnation: incarnation,
		PromptTokens: counts.Prompt, CachedTokens: counts.Cached, AnswerTokens: counts.Answer, Uncounted: counts.Unknown,
	})
}

// Cancel reports an attempt that the relay or the caller gave up.
func (t *Ticket) Cancel() {
	t.dispatcher.tell(routing.Cancelled{ID: t.id, Upstream: t.Upstream.Name})
}

// Fail reports a broken attempt and returns the wait before another one, or false if the retry budget allows none.
func (t *Ticket) Fail(failure Failure) (time.Duration, bool) { return t.dispatcher.fail(t, failure) }

// Second asks for a second attempt beside this one.
func (t *Ticket) Second() (*Ticket, bool) { return t.dispatcher.hedge(t) }
