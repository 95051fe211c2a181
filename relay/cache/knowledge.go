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

// Knowledge is an index of the prefixes that a VM believes to be in the engines' caches.
type Knowledge struct {
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
type Option func(*Knowledge)

// WithEntries limits the number of entries over all upstreams.
func WithEntries(maxEntries int) Option { return func(k *Knowledge) { k.maxEntries = maxEntries } }

// WithLifetime sets the idle time after which an entry is ignored.
func WithLifetime(lifetime time.Duration) Option { return func(k *Knowledge) { k.lifetime = lifetime } }

// WithLag sets the longest delay of the engines' cache events.
func WithLag(eventLag time.Duration) Option { return func(k *Knowledge) { k.eventLag = eventLag } }

// New returns an index without upstreams.
func New(opts ...Option) *Knowledge {
	k := &Knowledge{
		maxEntries: defaultMaxEntries,
		lifetime:   defaultLifetime,
		eventLag:   defaultEventLag,
		scopes:     scopeTable{ids: map[Scope]uint32{}},
		handles:    map[string]Handle{},
		heads:      map[prefix]int32{},
	}
	for _, opt := range opts {
		opt(k)
	}
	return k
}

// Attach adds an upstream, or updates its capacity, and returns its handle. The capacity is in tokens, 0 if unknown.
func (k *Knowledge) Attach(name string, capacity int) Handle {
	if handle, ok := k.handles[name]; ok {
		k.states[handle].capacity = int64(capacity)
		k.evict(handle)
		return handle
	}
	var handle Handle
	if n := len(k.freeHandles); n > 0 {
		handle, k.freeHandles = k.freeHandles[n-1], k.freeHandles[:n-1]
	} else {
		handle = Handle(len(k.states))
		k.states = append(k.states, upstreamState{})
	}
	k.states[handle] = newUpstreamState(name, capacity, k.lifetime)
	k.handles[name] = handle
	return handle
}

// Detach removes an upstream and all of its entries.
func (k *Knowledge) Detach(handle Handle) {
	k.Clear(handle)
	delete(k.handles, k.states[handle].name)
	k.states[handle] = upstreamState{}
	k.freeHandles = append(k.freeHandles, handle)
}

// Clear removes all entries of an upstream, as after an order to load other weights.
func (k *Knowledge) Clear(handle Handle) {
	for k.states[handle].oldest >= 0 {
		k.remove(k.states[handle].oldest)
	}
}

// Incarnation returns the current incarnation of the upstream, 0 if none was reported yet.
func (k *Knowledge) Incarnation(handle Handle) uint64 { return k.states[handle].incarnation }

// Observe records the incarnation named in an upstream's report and returns false if the report is from an earlier incarnation.
// A new incarnation removes all entries of the upstream; incarnation 0 means unknown and changes nothing.
func (k *Knowledge) Observe(handle Handle, incarnation uint64) bool {
	state := &k.states[handle]
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
	k.Clear(handle)
	state.startIncarnation(incarnation)
	return true
}

// Handles returns the length that Find's slice must have: the largest number of upstreams attached at once so far.
func (k *Knowledge) Handles() int { return len(k.states) }

// Len returns the number of entries.
func (k *Knowledge) Len() int { return k.arena.used }

// Find sets found, indexed by handle, to the number of leading tokens that each upstream's cache is believed to hold; found must
// be zeroed. It doesn't verify bindings: callers use it to rank upstreams and call Usable before relying on an entry.
func (k *Knowledge) Find(now time.Duration, scope Scope, levels []prompt.Level, found []int32) {
	id, ok := k.scopes.ids[scope]
	if !ok {
		return
	}
	for i := range levels {
		idx, ok := k.heads[prefix{levels[i].Hash, id}]
		if !ok {
			continue
		}
		for ; idx >= 0; idx = k.arena.entries[idx].sibling {
			e := &k.arena.entries[idx]
			if k.fresh(now, e) {
				found[e.upstream] = max(found[e.upstream], e.tokens)
			}
		}
	}
}

// Usable returns the number of leading tokens of the request that the upstream's cache holds under the binding key.
// It panics with a *Mismatch if the entry found has another binding.
func (k *Knowledge) Usable(now time.Duration, key Key, levels []prompt.Level) int {
	handle, ok := k.handles[key.Upstream]
	if !ok {
		return 0
	}
	id, ok := k.scopes.ids[key.Scope]
	if !ok {
		return 0
	}
	for i := len(levels) - 1; i >= 0; i-- {
		idx := k.lookup(prefix{levels[i].Hash, id}, handle)
		if idx < 0 {
			continue
		}
		e := &k.arena.entries[idx]
		if !k.fresh(now, e) {
			continue
		}
		verify(k.binding(e), key)
		return int(e.tokens)
	}
	return 0
}

// Idle returns the time since the last use of the longest cached level of the request at the upstream, 0 if none is cached.
func (k *Knowledge) Idle(now time.Duration, handle Handle, scope Scope, levels []prompt.Level) time.Duration {
	id, ok := k.scopes.ids[scope]
	if !ok {
		return 0
	}
	for i := len(levels) - 1; i >= 0; i-- {
		if idx := k.lookup(prefix{levels[i].Hash, id}, handle); idx >= 0 && k.fresh(now, &k.arena.entries[idx]) {
			return now - k.arena.entries[idx].lastUsed
		}
	}
	return 0
}

// Tail returns the idle time at which the upstream evicts entries. It is the learned eviction age or, if the cache is at least 90%
// full and that is less, the idle time of the upstream's oldest entry.
func (k *Knowledge) Tail(now time.Duration, handle Handle) time.Duration {
	state := &k.states[handle]
	if state.capacity > 0 && state.tokens >= state.capacity*9/10 && state.oldest >= 0 {
		return min(state.evictionAge, now-k.arena.entries[state.oldest].lastUsed)
	}
	return state.evictionAge
}

// binding returns the entry's binding. It reads the entry only, so that verify doesn't compare a key with itself.
func (k *Knowledge) binding(e *entry) Key {
	return Key{Scope: k.scopes.byID[e.origin].scope, Upstream: k.states[e.upstream].name, Incarnation: e.incarnation}
}

// fresh reports whether the entry is believed to be cached still.
func (k *Knowledge) fresh(now time.Duration, e *entry) bool {
	state := &k.states[e.upstream]
	// The engine reported the entry and has reported no removal, which is reliable only while the event stream has no gap.
	if e.source&fromEvent != 0 && state.synced && e.generation == state.generation {
		return now-e.lastUsed <= k.lifetime
	}
	return e.source&^fromEvent != 0 && now-e.lastUsed <= state.evictionAge
}
