package route

import (
	"math"
	"net/netip"
	"time"
)

// Kind determines whether the requests of a route may run more than once.
type Kind string

// The kinds of request.
const (
	// Idempotent requests may run more than once.
	Idempotent Kind = "idempotent"
	// Unsafe requests run at most once.
	Unsafe Kind = "unsafe"
	// Stream requests are answered by events with increasing numbers. They run at most once unless the route is resumable.
	Stream Kind = "stream"
)

// Share is the weight of a service among the services of a route.
type Share struct {
	Service string
	Weight  int
}

// Route sends the requests of one host and path prefix to one or more services.
type Route struct {
	Name   string
	Host   string
	Prefix string
	Kind   Kind
	// Timeout is the longest time that a request may wait, counted from its arrival.
	Timeout time.Duration
	// Target is the latency objective; for streams it applies to the first event.
	Target time.Duration
	// Pause is the objective for the time between two events of a stream; 0 means no objective.
	Pause time.Duration
	// Priority is the priority of the route's requests; 0 is the highest.
	Priority int
	Split    []Share
	// Attempts is the largest number of upstreams at which one request may run.
	Attempts int
	// Public is set if requests need no key.
	Public bool
	// Sticky is set if requests declare the parts of their prompts; requests that share parts are sent to the same upstreams.
	Sticky bool
	// Resumable is set if another upstream can continue a stream after its last delivered event.
	Resumable bool
}

// Repeatable reports whether a request that may have run at one upstream may run at another one.
func (r *Route) Repeatable() bool { return r.Kind == Idempotent || r.Kind == Stream && r.Resumable }

// Engine describes the model engines of a service.
type Engine struct {
	Slots int
	// Memory is the KV cache capacity for cached and running prompts, in tokens.
	Memory int
	// TokenBytes is the size of the KV cache of one token, in bytes.
	TokenBytes int
	// LinkMbps is the bandwidth of an engine's link for KV cache transfers.
	LinkMbps float64
	// Moves is set if the KV cache of a run can be moved to another engine, Backups if it can be replicated there as it grows.
	Moves   bool
	Backups bool
	// Watchers is the largest number of subscribers to cache events that an engine serves at once.
	Watchers int
	// Pin is the longest time for which the KV cache of an ended run is kept, Hold the longest time for which capacity is reserved.
	Pin  time.Duration
	Hold time.Duration
	// Handle is how long the copy of a run's KV cache is kept.
	Handle time.Duration
	Models []string
}

// Store is a service that keeps KV cache outside the engines.
type Store struct {
	Address netip.AddrPort
	Centre  string
	// Memory is the capacity in tokens.
	Memory   int
	LinkMbps float64
	Watchers int
}

// Service is a named set of upstreams that are discovered at run time.
type Service struct {
	Name string
	// Health is the path of an upstream's health check.
	Health string
	// Connections is the largest number of connections that one upstream accepts from all VMs together.
	Connections int
	// Engine is nil for plain services.
	Engine *Engine
	// Store is nil unless the service is a store of KV cache.
	Store *Store
}

// Limits bound the size and the duration of callers' requests and the idle time of their connections.
type Limits struct {
	// Headers and Body are the largest header block and the largest body, in bytes.
	Headers int
	Body    int
	// Header is the timeout for receiving a request's header, Idle the timeout of a connection between two requests.
	Header time.Duration
	Idle   time.Duration
}

// Account is a client account.
type Account struct {
	Name string
	Keys []string
	// Priority overrides the priority of the route; nil keeps it.
	Priority *int
	// Isolated is set if the account's cached prompts must not be shared with other accounts.
	Isolated bool
	// Rate, in units per second, and Burst, in units, limit the requests of the account at all VMs together; a Rate of 0 means no limit.
	Rate, Burst float64
	Unit        Unit
	// Plain is what a request counts that declares no tokens, if these are the unit.
	Plain float64
}

// Unit is what the rate of an account counts.
type Unit string

// The units. Requests is also the meaning of an empty unit.
const (
	Requests Unit = "requests"
	Tokens   Unit = "tokens"
)

// MaxUnits is the greatest rate, burst and cost of a request that counts: sums of them stay exact in a float64.
const MaxUnits = 1 << 50

// Cost returns what a request with the declared lengths of its prompt and its answer counts against the account's rate.
func (a *Account) Cost(promptTokens, maxAnswerTokens int) uint64 {
	if a.Unit != Tokens {
		return 1
	}
	if promptTokens <= 0 && maxAnswerTokens <= 0 {
		return uint64(math.Ceil(min(a.Plain, MaxUnits)))
	}
	return uint64(min(max(0, promptTokens), MaxUnits)) + uint64(min(max(0, maxAnswerTokens), MaxUnits))
}

// State is one version of the desired state.
type State struct {
	Number   uint64
	Routes   []Route
	Services []Service
	Limits   Limits
	// Accounts is nil if requests need no key.
	Accounts []Account
}
