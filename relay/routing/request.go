package routing

import (
	"time"

	"github.com/chicoryrelay/chicoryrelay/relay/outcome"
	"github.com/chicoryrelay/chicoryrelay/relay/prompt"
)

// Request is what a decision needs to know of a caller's request.
type Request struct {
	// ID is unique among the requests in progress.
	ID        string
	Account   string
	Assistant string
	Model     string
	Adapter   string
	// Weights pins a version, as for the resume of a stream; empty takes one of those in service, shared by their slots.
	Weights string
	// Levels are the nested prefixes, shortest first; they must not be changed while the request is in progress.
	Levels []prompt.Level
	// Parts identify the parts that end at the levels, where engines tell which parts they hold.
	Parts        []uint64
	PromptTokens int
	// AnswerTokens is the expected length of the answer.
	AnswerTokens int
	Idempotent   bool
	// Target is the latency objective for the first token; 0 means none.
	Target time.Duration
	// Deadline is the time on the core's clock by which the first token is wanted, 0 for none.
	Deadline time.Duration
	// Regions bound the work; empty means all. The account's regions bound it too.
	Regions []string
	// Exclude are upstreams to avoid where another one serves, as after a failure.
	Exclude []string
	// Attempt is 0 for the first attempt.
	Attempt int
}

// Import is a plan to fetch the KV cache of a prefix from another upstream before the prefill.
type Import struct {
	From string
	// Incarnation is the exporter's life that the cached tokens belong to.
	Incarnation uint64
	Tokens      int
}

// Hedge is a plan for a second attempt: after Delay without a first token, the caller of the core asks Core.Hedge.
type Hedge struct {
	Delay    time.Duration
	Upstream string
}

// Decision is one of: an upstream, a place in the queue, or a refusal.
type Decision struct {
	// Upstream is empty unless the request is to be sent at once.
	Upstream    string
	Incarnation uint64
	Weights     string
	// Priority is passed to the engine: 0 is the most urgent.
	Priority int
	// Cached is the number of prompt tokens that are believed to be cached.
	Cached   int
	Expected time.Duration
	Import   *Import
	// Fetch is the upstream that the engine takes parts from that it does not hold.
	Fetch string
	// Save is the store that the engine sends the parts to that it reads.
	Save  string
	Hedge *Hedge
	// Notice is what neighbours are told at once, nil for nothing.
	Notice *Placed
	// Queued says that a later message releases the request as a Dispatch.
	Queued  bool
	Place   int
	Refusal *outcome.Refusal
}

// Dispatch is the end of a request's stay in the queue: an upstream or a refusal.
type Dispatch struct {
	ID       string
	Decision Decision
}

// Retry says that a failed request may be decided again after a wait, with the failed upstream excluded.
type Retry struct {
	ID      string
	Wait    time.Duration
	Exclude string
}

// Effects are what a message led to.
type Effects struct {
	Dispatch []Dispatch
	Retry    []Retry
	// Resync names upstreams whose event stream had a gap: a snapshot is wanted.
	Resync []string
}

func refused(kind outcome.Kind, format string, args ...any) Decision {
	return Decision{Refusal: outcome.Refuse(kind, format, args...)}
}
