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
	origin       uint32
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
func (k *Knowledge) lookup(p prefix, handle Handle) int32 {
	idx, ok := k.heads[p]
	if !ok {
		return -1
	}
	for ; idx >= 0; idx = k.arena.entries[idx].sibling {
		if k.arena.entries[idx].upstream == handle {
			return idx
		}
	}
	return -1
}

// insert adds an entry; the upstream must not have one for the prefix yet.
func (k *Knowledge) insert(p prefix, handle Handle, tokens, ownTokens int32) int32 {
	head, ok := k.heads[p]
	if !ok {
		head = -1
	}
	idx := k.arena.alloc()
	state := &k.states[handle]
	k.arena.entries[idx] = entry{
		prefix: p, origin: p.scope, incarnation: state.incarnation, tokens: tokens, ownTokens: ownTokens,
		upstream: handle, sibling: head, newer: -1, older: -1,
	}
	k.heads[p] = idx
	k.scopes.retain(p.scope)
	state.tokens += int64(ownTokens)
	state.count++
	k.pushFront(idx)
	return idx
}

// remove unlinks an entry from its prefix's siblings and its upstream's LRU list, and releases its scope.
func (k *Knowledge) remove(idx int32) {
	e := k.arena.entries[idx]
	if head := k.heads[e.prefix]; head == idx {
		if e.sibling < 0 {
			delete(k.heads, e.prefix)
		} else {
			k.heads[e.prefix] = e.sibling
		}
	} else {
		for k.arena.entries[head].sibling != idx {
			head = k.arena.entries[head].sibling
		}
		k.arena.entries[head].sibling = e.sibling
	}
	k.unlink(idx)
	state := &k.states[e.upstream]
	state.tokens -= int64(e.ownTokens)
	state.count--
	k.scopes.release(e.prefix.scope)
	k.arena.free(idx)
}

// pushFront links an entry into its upstream's LRU list as the most recently used one.
func (k *Knowledge) pushFront(idx int32) {
	e := &k.arena.entries[idx]
	state := &k.states[e.upstream]
	e.newer, e.older = -1, state.newest
	if state.newest >= 0 {
		k.arena.entries[state.newest].newer = idx
	} else {
		state.oldest = idx
	}
	state.newest = idx
}

func (k *Knowledge) unlink(idx int32) {
	e := &k.arena.entries[idx]
	state := &k.states[e.upstream]
	if e.newer >= 0 {
		k.arena.entries[e.newer].older = e.older
	} else {
		state.newest = e.older
	}
	if e.older >= 0 {
		k.arena.entries[e.older].newer = e.newer
	} else {
		state.oldest = e.newer
	}
}

// evict removes the upstream's least recently used entries beyond the capacity of its cache and its share of maxEntries.
func (k *Knowledge) evict(handle Handle) {
	state := &k.states[handle]
	limit := max(minUpstreamEntries, k.maxEntries/max(1, len(k.handles)))
	for state.oldest >= 0 && (state.count > limit || state.capacity > 0 && state.tokens > state.capacity) {
		k.remove(state.oldest)
	}
}
