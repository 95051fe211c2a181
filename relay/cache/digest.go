package cache

import (
	"time"

	"github.com/chicoryrelay/chicoryrelay/relay/prompt"
)

// Hint is a peer's report that an upstream's cache holds a prefix.
type Hint struct {
	Key   Key
	Level prompt.Level
	// Age is the time since the peer last used the prefix.
	Age time.Duration
}

// Hints appends one hint for each upstream whose cache holds the level according to answers that this VM received.
func (k *Knowledge) Hints(now time.Duration, scope Scope, level prompt.Level, hints []Hint) []Hint {
	id, ok := k.scopes.ids[scope]
	if !ok {
		return hints
	}
	idx, ok := k.heads[prefix{level.Hash, id}]
	if !ok {
		return hints
	}
	for ; idx >= 0; idx = k.arena.entries[idx].sibling {
		hints = k.appendHint(now, idx, level, hints)
	}
	return hints
}

// HintAt appends a hint for the upstream if its cache holds the level according to an answer that this VM received.
func (k *Knowledge) HintAt(now time.Duration, handle Handle, scope Scope, level prompt.Level, hints []Hint) []Hint {
	id, ok := k.scopes.ids[scope]
	if !ok {
		return hints
	}
	if idx := k.lookup(prefix{level.Hash, id}, handle); idx >= 0 {
		return k.appendHint(now, idx, level, hints)
	}
	return hints
}

func (k *Knowledge) appendHint(now time.Duration, idx int32, level prompt.Level, hints []Hint) []Hint {
	e := &k.arena.entries[idx]
	if e.source&fromAnswer == 0 || e.incarnation == 0 || !k.fresh(now, e) {
		return hints
	}
	return append(hints, Hint{Key: k.binding(e), Level: level, Age: now - e.lastUsed})
}

// Adopt records a peer's hints. It ignores hints that are older than the lifetime or name an unknown upstream or incarnation.
func (k *Knowledge) Adopt(now time.Duration, hints []Hint) {
	for _, hint := range hints {
		handle, ok := k.handles[hint.Key.Upstream]
		if !ok || k.states[handle].incarnation != hint.Key.Incarnation || hint.Age > k.lifetime {
			continue
		}
		id := k.scopes.intern(hint.Key.Scope)
		p := prefix{hint.Level.Hash, id}
		idx := k.lookup(p, handle)
		if idx < 0 {
			idx = k.insert(p, handle, int32(hint.Level.Tokens), 0)
		}
		e := &k.arena.entries[idx]
		e.source |= fromPeer
		e.lastUsed = max(e.lastUsed, now-hint.Age)
		k.evict(handle)
	}
}
