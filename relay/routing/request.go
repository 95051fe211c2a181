package routing

import (
	"time"

	"github.com/chicoryrelay/chicoryrelay/relay/capacity"
	"github.com/chicoryrelay/chicoryrelay/relay/outcome"
	"github.com/chicoryrelay/chicoryrelay/relay/prompt"
)

// Request is the part of a caller's request that decisions need.
type Request struct {
	// ID is unique among the requests in progress.
	ID      string
	Account string
	// Scope is the scope within which requests share cached prompts; empty means the account.
	Scope     string
	Assistant string
	Model     string
	Adapter   string
	// Weights pins a version, as when a stream is resumed; if empty, requests are spread over the versions in service by their slots.
	Weights string
	// Software is the only software version that may serve the request, as when a stream is resumed; nil allows any.
	Software *string
	// Levels are the nested prefixes, shortest first; they must not be changed while the request is in progress.
	Levels []prompt.Level
	// Parts are the PartHash values of the parts that end at the levels, for engines that report which parts they hold.
	Parts        []uint64
	PromptTokens int
	// AnswerTokens is the expected length of the answer.
	AnswerTokens int
	Idempotent   bool
	// TargetTTFT is the latency objective for the first token; 0 means none.
	TargetTTFT time.Duration
	// Deadline is the time on the core's clock by which the first token is needed; 0 means none.
	Deadline time.Duration
	// Regions are the regions that the request may run in; empty means all. The account's regions apply too.
	Regions []string
	// Only are the upstreams that may get the request, in the order of preference among those that serve the same version; empty means
	// all. Such a request doesn't wait in the queue.
	Only []string
	// Exclude are upstreams to avoid while another one serves the request, as after a failure.
	Exclude []string
	// Urgency orders the queued requests of one account; 0 is the most urgent.
	Urgency int
	// Attempt is 0 for the first attempt.
	Attempt int
}

// fits reports whether the upstream runs the software version that the request is bound to.
func (r *Request) fits(u *upstream) bool { return r.Software == nil || u.info.Software == *r.Software }

// Import is a plan to fetch the KV cache of a prefix from another upstream before the prefill.
type Import struct {
	From string
	// Incarnation is the exporter's incarnation that the cached tokens belong to.
	Incarnation uint64
	Tokens      int
}

// Hedge is a plan for a second attempt: after Delay without a first token, call Core.StartHedge.
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
	// Priority is passed to the engine: 0 is the highest.
	Priority int
	// CachedTokens is the number of prompt tokens expected to be cached.
	CachedTokens int
	ExpectedTTFT time.Duration
	Import       *Import
	// FetchFrom is the engine or store from which the upstream fetches parts that it does not hold.
	FetchFrom string
	// SaveTo is the store to which the engine saves the parts that it prefills.
	SaveTo string
	Hedge  *Hedge
	// Notice is sent to all peers at once; nil means none.
	Notice *PlacementNotice
	// Queued reports that a later message releases the request from the queue. Yielded reports that it waits for its turn only, so that the
	// message Queued may release it at once.
	Queued        bool
	Yielded       bool
	QueuePosition int
	Refusal       *outcome.Refusal
}

// Release takes a request out of the queue: it is sent to an upstream or refused.
type Release struct {
	ID       string
	Decision Decision
}

// Retry allows a failed request to be decided again after a wait, with the failed upstream excluded.
type Retry struct {
	ID      string
	Wait    time.Duration
	Exclude string
}

// Effects are the results of a message.
type Effects struct {
	Released []Release
	Retry    []Retry
	// Resync names upstreams whose event stream had a gap, so that a snapshot is needed.
	Resync []string
	// Speeds are the learned speeds that changed.
	Speeds []capacity.Change
}

func refused(kind outcome.Kind, format string, args ...any) Decision {
	return Decision{Refusal: outcome.Refuse(kind, format, args...)}
}
