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

// Upstreams replaces the set of upstreams; those that aren't engines are left out.
type Upstreams struct{ List []catalogue.Upstream }

// Accounts replaces the accounts' weights, limits and regions.
type Accounts struct{ List []catalogue.Account }

// Dispatched says that the request's bytes leave now; without it the time of the decision counts.
type Dispatched struct {
	ID       string
	Upstream string
}

// FirstToken says that the first token of an answer arrived.
type FirstToken struct {
	ID          string
	Upstream    string
	Incarnation uint64
}

// Finished says that an answer is complete.
type Finished struct {
	ID           string
	Upstream     string
	Incarnation  uint64
	PromptTokens int
	CachedTokens int
	AnswerTokens int
	// Uncounted says that the engine does not tell its counts; what was believed to be cached then stands.
	Uncounted bool
}

// Failed says that an attempt broke; Received says that a byte of the answer had arrived, Sent that a byte of the request may have left.
type Failed struct {
	ID       string
	Upstream string
	Sent     bool
	Received bool
}

// Cancelled says that the caller left or, with an upstream named, that this attempt of a hedged request was given up.
type Cancelled struct {
	ID       string
	Upstream string
}

// Load is an upstream's own report, which may be late by Age.
type Load struct {
	Upstream    string
	Incarnation uint64
	Outstanding int
	Queued      int
	Leaving     bool
	Age         time.Duration
}

// Leaving is the platform's word that an upstream's VM is leaving, or no longer.
type Leaving struct {
	Upstream string
	Leaving  bool
}

// CacheEvents is a part of an engine's event stream.
type CacheEvents struct {
	Upstream    string
	Incarnation uint64
	Events      []cache.Event
}

// CacheSnapshot is an engine's own list of cached prefixes up to an event.
type CacheSnapshot struct {
	Upstream    string
	Incarnation uint64
	Sequence    uint64
	Blocks      []cache.Block
}

// Newest says which weights of a model have been named last; requests go to engines that serve them once enough do.
type Newest struct {
	Model   string
	Weights string
}

// Cell says how far the VMs stand that this one shares its view with: it knows little of engines farther away.
type Cell struct{ Span Span }

// Tick drives what depends on time alone; send one every 10 to 100 ms.
type Tick struct{}
