package cache

import (
	"time"

	"github.com/chicoryrelay/chicoryrelay/relay/prompt"
)

const (
	defaultMaxEntries = 200_000
	defaultLifetime   = 60 * time.Second
	defaultEventLag   = 500 * time.Millisecond
	// minUpstreamEntries is each upstream's share of maxEntries at least, so that the index stays useful with very many upstreams.
	minUpstreamEntries = 64
)

// Handle identifies an attached upstream; the handle of a detached upstream is reused.
type Handle int32

// Index records the prefixes that a VM believes to be in the engines' caches.
type Index struct {
	maxEntries int
	lifetime   time.Duration
	eventLag   time.Duration

	scopes      scopeTable
	handles     map[string]Handle
	states      []upstreamState
	freeHandles []Handle
	// heads has the first entry of each prefix; the others follow through entry.sibling.
	heads map[prefix]int32
	arena arena
}

// Option sets a parameter of New.
type Option func(*Index)

// WithMaxEntries limits the number of entries over all upstreams.
func WithMaxEntries(maxEntries int) Option { return func(x *Index) { x.maxEntries = maxEntries } }

// WithLifetime sets the idle time after which an entry is ignored.
func WithLifetime(lifetime time.Duration) Option { return func(x *Index) { x.lifetime = lifetime } }

// WithEventLag sets the longest delay of the engines' cache events.
func WithEventLag(eventLag time.Duration) Option { return func(x *Index) { x.eventLag = eventLag } }

// New returns an index without upstreams.
func New(opts ...Option) *Index {
	x := &Index{
		maxEntries: defaultMaxEntries,
		lifetime:   defaultLifetime,
		eventLag:   defaultEventLag,
		scopes:     scopeTable{ids: map[Scope]uint32{}},
		handles:    map[string]Handle{},
		heads:      map[prefix]int32{},
	}
	for _, opt := range opts {
		opt(x)
	}
	return x
}

// Attach adds an upstream, or updates its capacity, and returns its handle. The capacity is in tokens, 0 if unknown.
func (x *Index) Attach(name string, capacity int) Handle {
	if handle, ok := x.handles[name]; ok {
		x.states[handle].capacity = int64(capacity)
		x.evict(handle)
		return handle
	}
	var handle Handle
	if n := len(x.freeHandles); n > 0 {
		handle, x.freeHandles = x.freeHandles[n-1], x.freeHandles[:n-1]
	} else {
		handle = Handle(len(x.states))
		x.states = append(x.states, upstreamState{})
	}
	x.states[handle] = newUpstreamState(name, capacity, x.lifetime)
	x.handles[name] = handle
	return handle
}

// Detach removes an upstream and all of its entries.
func (x *Index) Detach(handle Handle) {
	x.Clear(handle)
	delete(x.handles, x.states[handle].name)
	x.states[handle] = upstreamState{}
	x.freeHandles = append(x.freeHandles, handle)
}

// Clear removes all entries of an upstream, as after an order to load other weights.
func (x *Index) Clear(handle Handle) {
	for x.states[handle].oldest >= 0 {
		x.remove(x.states[handle].oldest)
	}
}

// Incarnation returns the current incarnation of the upstream, 0 if none was reported yet.
func (x *Index) Incarnation(handle Handle) uint64 { return x.states[handle].incarnation }

// Observe records the incarnation named in an upstream's report and returns false if the report is from an earlier incarnation.
// A new incarnation removes all entries of the upstream; incarnation 0 means unknown and changes nothing.
func (x *Index) Observe(handle Handle, incarnation uint64) bool {
	state := &x.states[handle]
	if incarnation == 0 || incarnation == state.incarnation {
		return true
	}
	if state.isPast(incarnation) {
		return false
	}
	if state.incarnation != 0 {
		state.endIncarnation()
	}
	// This includes placements made before the first report: the engine may have restarted since.
	x.Clear(handle)
	state.startIncarnation(incarnation)
	return true
}

// HandleLimit returns the length that EstimateCached's slice must have: the largest number of upstreams attached at once so far.
func (x *Index) HandleLimit() int { return len(x.states) }

// Len returns the number of entries.
func (x *Index) Len() int { return x.arena.used }

// EstimateCached sets found, indexed by handle, to the number of leading tokens that each upstream's cache is believed to hold;
// found must be zeroed. It doesn't verify bindings: callers use it to rank upstreams and call UsableTokens before relying on an
// entry.
func (x *Index) EstimateCached(now time.Duration, scope Scope, levels []prompt.Level, found []int32) {
	id, ok := x.scopes.ids[scope]
	if !ok {
		return
	}
	for i := range levels {
		idx, ok := x.heads[prefix{levels[i].Hash, id}]
		if !ok {
			continue
		}
		for ; idx >= 0; idx = x.arena.entries[idx].sibling {
			e := &x.arena.entries[idx]
			if x.fresh(now, e) {
				found[e.upstream] = max(found[e.upstream], e.tokens)
			}
		}
	}
}

// UsableTokens returns the number of leading tokens of the request that the upstream's cache holds under the wanted binding.
// It panics with a *BindingMismatch if the entry found has another binding.
func (x *Index) UsableTokens(now time.Duration, want Binding, levels []prompt.Level) int {
	handle, ok := x.handles[want.Upstream]
	if !ok {
		return 0
	}
	id, ok := x.scopes.ids[want.Scope]
	if !ok {
		return 0
	}
	for i := len(levels) - 1; i >= 0; i-- {
		idx := x.lookup(prefix{levels[i].Hash, id}, handle)
		if idx < 0 {
			continue
		}
		e := &x.arena.entries[idx]
		if !x.fresh(now, e) {
			continue
		}
		verify(x.binding(e), want)
		return int(e.tokens)
	}
	return 0
}

// IdleTime returns the time since the last use of the longest cached level of the request at the upstream, 0 if none is cached.
func (x *Index) IdleTime(now time.Duration, handle Handle, scope Scope, levels []prompt.Level) time.Duration {
	id, ok := x.scopes.ids[scope]
	if !ok {
		return 0
	}
	for i := len(levels) - 1; i >= 0; i-- {
		if idx := x.lookup(prefix{levels[i].Hash, id}, handle); idx >= 0 && x.fresh(now, &x.arena.entries[idx]) {
			return now - x.arena.entries[idx].lastUsed
		}
	}
	return 0
}

// EvictionAge returns the idle time at which the upstream evicts entries: the learned eviction age, or the idle time of the
// upstream's oldest entry if that is less and the cache is at least 90% full.
func (x *Index) EvictionAge(now time.Duration, handle Handle) time.Duration {
	state := &x.states[handle]
	if state.capacity > 0 && state.tokens >= state.capacity*9/10 && state.oldest >= 0 {
		return min(state.evictionAge, now-x.arena.entries[state.oldest].lastUsed)
	}
	return state.evictionAge
}

// binding returns the entry's binding. It reads the entry only, so that verify doesn't compare a key with itself.
func (x *Index) binding(e *entry) Binding {
	return Binding{Scope: x.scopes.byID[e.origin].scope, Upstream: x.states[e.upstream].name, Incarnation: e.incarnation}
}

// fresh reports whether the entry is believed to be cached still.
func (x *Index) fresh(now time.Duration, e *entry) bool {
	state := &x.states[e.upstream]
	// The engine reported the entry and has reported no removal, which is reliable only while the event stream has no gap.
	if e.source&fromEvent != 0 && state.synced && e.generation == state.generation {
		return now-e.lastUsed <= x.lifetime
	}
	return e.source&^fromEvent != 0 && now-e.lastUsed <= state.evictionAge
}
