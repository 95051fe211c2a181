package route

import (
	"net/netip"
	"time"
)

// Kind says what may be repeated of a route's requests.
type Kind string

// The kinds of request.
const (
	// Idempotent requests may run more than once.
	Idempotent Kind = "idempotent"
	// Unsafe requests run at most once.
	Unsafe Kind = "unsafe"
	// Stream requests are answered by events with growing numbers; they run at most once unless the route is resumable.
	Stream Kind = "stream"
)

// Share is a service's part of a route's requests.
type Share struct {
	Service string
	Weight  int
}

// Route sends the requests of one host and path prefix to one or several services.
type Route struct {
	Name   string
	Host   string
	Prefix string
	Kind   Kind
	// Timeout is the longest time that a request may be kept waiting.
	Timeout time.Duration
	// Target is the latency objective: for streams up to the first event.
	Target time.Duration
	// Pause is the longest pause between two events of a stream that is still on time; 0 means no objective.
	Pause time.Duration
	// Priority is the rank of the route's requests; 0 is the most urgent.
	Priority int
	Split    []Share
	// Attempts is the largest number of upstreams that one request may run at.
	Attempts int
	// Public requests need no key.
	Public bool
	// Sticky requests declare the parts of their prompt, so that those that share parts go to the same upstreams.
	Sticky    bool
	Resumable bool
}

// Repeatable reports whether a request may run at another upstream after it may have run at one.
func (r *Route) Repeatable() bool { return r.Kind == Idempotent || r.Kind == Stream && r.Resumable }

// Engine describes the model engines of a service.
type Engine struct {
	Slots int
	// Memory is the room for cached and running prompts in tokens.
	Memory int
	// TokenBytes is the size of one token's KV cache.
	TokenBytes int
	// LinkMbps is the bandwidth of an engine's link for KV cache.
	LinkMbps float64
	// Moves and Backups say that a run's memory can be moved, or sent along to another engine as it grows.
	Moves   bool
	Backups bool
	// Watchers is the number of readers of cache events that an engine serves at once.
	Watchers int
	// Pin and Hold are the longest times for which memory of an ended run is kept and capacity is reserved.
	Pin  time.Duration
	Hold time.Duration
	// Handle is how long the copy of a run's memory is kept.
	Handle time.Duration
	Models []string
}

// Store is a service that keeps KV cache outside the engines.
type Store struct {
	Address  netip.AddrPort
	Centre   string
	Memory   int
	LinkMbps float64
	Watchers int
}

// Service is a set of upstreams that are discovered under its name.
type Service struct {
	Name string
	// Health is the path that answers whether an upstream takes work.
	Health string
	// Connections is the number of connections that one upstream accepts from all VMs together.
	Connections int
	// Engine is nil for plain services.
	Engine *Engine
	// Store is set if the service is a store of KV cache.
	Store *Store
}

// Limits bound what a caller may send and how long it may take or stay idle.
type Limits struct {
	// Headers and Body are in bytes.
	Headers int
	Body    int
	// Header is the time for a request's header, Idle that of a connection between two requests.
	Header time.Duration
	Idle   time.Duration
}

// Account is a client account.
type Account struct {
	Name string
	Keys []string
	// Priority replaces the route's priority; nil leaves that.
	Priority *int
	// Isolated accounts share no cached prompts with others.
	Isolated bool
}

// State is one version of the desired state.
type State struct {
	Number   uint64
	Routes   []Route
	Services []Service
	Limits   Limits
	// Accounts is nil where requests need no key.
	Accounts []Account
}
