package cache

import "time"

// source is a bit set of the observations that an entry is based on.
type source uint8

const (
	fromPlacement source = 1 << iota
	fromAnswer
	fromEvent
	fromPeer
)

// prefix identifies the text of a prefix level within a scope.
type prefix struct {
	hash  uint64
	scope uint32
}

// entry records that one upstream's cache holds one prefix level. Its links are indices into the arena, -1 for none.
type entry struct {
	prefix      prefix
	incarnation uint64
	lastUsed    time.Duration
	// tokens counts from the start of the prompt, ownTokens from the end of the next shorter level; ownTokens is 0 if the entry was
	// created by an event or a peer's hint.
	tokens    int32
	ownTokens int32
	// origin is the ID of the scope that the entry was recorded under, kept beside prefix.scope to verify the binding.
	origin uint32
	// generation is the upstream's generation when an event or a snapshot last confirmed the entry.
	generation   uint32
	upstream     Handle
	sibling      int32
	newer, older int32
	source       source
}

// arena keeps all entries in one slice without pointers, so that the garbage collector does not scan a large index.
type arena struct {
	entries  []entry
	freeList []int32
	used     int
}

func (a *arena) alloc() int32 {
	a.used++
	if n := len(a.freeList); n > 0 {
		idx := a.freeList[n-1]
		a.freeList = a.freeList[:n-1]
		return idx
	}
	a.entries = append(a.entries, entry{})
	return int32(len(a.entries) - 1)
}

func (a *arena) free(idx int32) {
	a.used--
	a.freeList = append(a.freeList, idx)
}

// lookup returns the index of the prefix's entry for the upstream, or -1.
func (x *Index) lookup(p prefix, handle Handle) int32 {
	idx, ok := x.heads[p]
	if !ok {
		return -1
	}
	for ; idx >= 0; idx = x.arena.entries[idx].sibling {
		if x.arena.entries[idx].upstream == handle {
			return idx
		}
	}
	return -1
}

// insert adds an entry; the upstream must not have one for the prefix yet.
func (x *Index) insert(p prefix, handle Handle, tokens, ownTokens int32) int32 {
	head, ok := x.heads[p]
	if !ok {
		head = -1
	}
	idx := x.arena.alloc()
	state := &x.states[handle]
	x.arena.entries[idx] = entry{
		prefix: p, origin: p.scope, incarnation: state.incarnation, tokens: tokens, ownTokens: ownTokens,
		upstream: handle, sibling: head, newer: -1, older: -1,
	}
	x.heads[p] = idx
	x.scopes.retain(p.scope)
	state.tokens += int64(ownTokens)
	state.count++
	x.pushFront(idx)
	return idx
}

// remove unlinks an entry from its prefix's siblings and its upstream's LRU list, and releases its scope.
func (x *Index) remove(idx int32) {
	e := x.arena.entries[idx]
	if head := x.heads[e.prefix]; head == idx {
		if e.sibling < 0 {
			delete(x.heads, e.prefix)
		} else {
			x.heads[e.prefix] = e.sibling
		}
	} else {
		for x.arena.entries[head].sibling != idx {
			head = x.arena.entries[head].sibling
		}
		x.arena.entries[head].sibling = e.sibling
	}
	x.unlink(idx)
	state := &x.states[e.upstream]
	state.tokens -= int64(e.ownTokens)
	state.count--
	x.scopes.release(e.prefix.scope)
	x.arena.free(idx)
}

// pushFront links an entry into its upstream's LRU list as the most recently used one.
func (x *Index) pushFront(idx int32) {
	e := &x.arena.entries[idx]
	state := &x.states[e.upstream]
	e.newer, e.older = -1, state.newest
	if state.newest >= 0 {
		x.arena.entries[state.newest].newer = idx
	} else {
		state.oldest = idx
	}
	state.newest = idx
}

func (x *Index) unlink(idx int32) {
	e := &x.arena.entries[idx]
	state := &x.states[e.upstream]
	if e.newer >= 0 {
		x.arena.entries[e.newer].older = e.older
	} else {
		state.newest = e.older
	}
	if e.older >= 0 {
		x.arena.entries[e.older].newer = e.newer
	} else {
		state.oldest = e.newer
	}
}

// evict removes the upstream's least recently used entries beyond the capacity of its cache and its share of maxEntries.
func (x *Index) evict(handle Handle) {
	state := &x.states[handle]
	limit := max(minUpstreamEntries, x.maxEntries/max(1, len(x.handles)))
	for state.oldest >= 0 && (state.count > limit || state.capacity > 0 && state.tokens > state.capacity) {
		x.remove(state.oldest)
	}
}
