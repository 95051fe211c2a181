package routing

import (
	"time"

	"github.com/chicoryrelay/chicoryrelay/relay/cache"
	"github.com/chicoryrelay/chicoryrelay/relay/catalogue"
)

// Message is an input of Core.Step.
type Message interface {
	apply(c *Core, now time.Duration, effects *Effects)
}

// Upstreams replaces the set of upstreams: engines and stores of KV cache; other kinds are ignored.
type Upstreams struct{ List []catalogue.Upstream }

// Accounts replaces the accounts' weights, limits and regions.
type Accounts struct{ List []catalogue.Account }

// Sent reports that the request is sent now; without it an attempt starts at the time of the decision.
type Sent struct {
	ID       string
	Upstream string
}

// FirstToken reports the first token of an answer.
type FirstToken struct {
	ID          string
	Upstream    string
	Incarnation uint64
}

// Finished reports that an answer is complete.
type Finished struct {
	ID           string
	Upstream     string
	Incarnation  uint64
	PromptTokens int
	CachedTokens int
	AnswerTokens int
	// CountsMissing reports that the engine gave no token counts: CachedTokens is then taken from the estimate at the decision.
	CountsMissing bool
}

// Failed reports a failed attempt: Sent if a byte of the request may have been sent, Received if a byte of the answer had arrived.
type Failed struct {
	ID       string
	Upstream string
	Sent     bool
	Received bool
}

// Cancelled reports that the caller disconnected or, with an upstream named, that this attempt of a hedged request was cancelled.
type Cancelled struct {
	ID       string
	Upstream string
}

// LoadReport is an upstream's own load report, made Age ago.
type LoadReport struct {
	Upstream    string
	Incarnation uint64
	Outstanding int
	Queued      int
	Leaving     bool
	Age         time.Duration
}

// Leaving reports whether the platform lists an upstream's VM as leaving.
type Leaving struct {
	Upstream string
	Leaving  bool
}

// Pause reports that an upstream wants no requests from this VM for a while.
type Pause struct {
	Upstream string
	For      time.Duration
}

// CacheEvents is a section of an engine's event stream.
type CacheEvents struct {
	Upstream    string
	Incarnation uint64
	Events      []cache.Event
}

// CacheSnapshot is an engine's own list of cached prefixes up to the event with number Sequence.
type CacheSnapshot struct {
	Upstream    string
	Incarnation uint64
	Sequence    uint64
	Blocks      []cache.Block
}

// NamedWeights announces that an operator named a weights version of a model, a decimal number; other names are ignored. Requests go to
// engines that serve the newest one once enough do.
type NamedWeights struct {
	Model   string
	Weights string
	// Age is the time since the version was named; of several messages for one version the earliest naming counts.
	Age time.Duration
}

// CellSpan sets the span of the cell: the VMs that this one shares load and part reports with. It knows little of engines outside.
type CellSpan struct {
	Span Span
	// Peers are the other VMs of the cell; without them, those count that have sent digests.
	Peers []string
}

// Tick drives all that depends on time alone; send one every 10 to 100 ms.
type Tick struct{}
