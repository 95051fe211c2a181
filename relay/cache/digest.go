package cache

import (
	"time"

	"github.com/chicoryrelay/chicoryrelay/relay/prompt"
)

// Hint is a peer's report that an upstream's cache holds a prefix.
type Hint struct {
	Binding Binding
	Level   prompt.Level
	// Age is the time since the peer last used the prefix.
	Age time.Duration
}

// Hints appends one hint for each upstream whose cache holds the level according to answers that this VM received.
func (x *Index) Hints(now time.Duration, scope Scope, level prompt.Level, hints []Hint) []Hint {
	id, ok := x.scopes.ids[scope]
	if !ok {
		return hints
	}
	idx, ok := x.heads[prefix{level.Hash, id}]
	if !ok {
		return hints
	}
	for ; idx >= 0; idx = x.arena.entries[idx].sibling {
		hints = x.appendHint(now, idx, level, hints)
	}
	return hints
}

// HintFor appends a hint for the upstream if its cache holds the level according to an answer that this VM received.
func (x *Index) HintFor(now time.Duration, handle Handle, scope Scope, level prompt.Level, hints []Hint) []Hint {
	id, ok := x.scopes.ids[scope]
	if !ok {
		return hints
	}
	if idx := x.lookup(prefix{level.Hash, id}, handle); idx >= 0 {
		return x.appendHint(now, idx, level, hints)
	}
	return hints
}

func (x *Index) appendHint(now time.Duration, idx int32, level prompt.Level, hints []Hint) []Hint {
	e := &x.arena.entries[idx]
	if e.source&fromAnswer == 0 || e.incarnation == 0 || !x.fresh(now, e) {
		return hints
	}
	return append(hints, Hint{Binding: x.binding(e), Level: level, Age: now - e.lastUsed})
}

// AddHints records a peer's hints. It ignores hints that are older than the lifetime or name an unknown upstream or incarnation.
func (x *Index) AddHints(now time.Duration, hints []Hint) {
	for _, hint := range hints {
		handle, ok := x.handles[hint.Binding.Upstream]
		if !ok || x.states[handle].incarnation != hint.Binding.Incarnation || hint.Age > x.lifetime {
			continue
		}
		id := x.scopes.intern(hint.Binding.Scope)
		p := prefix{hint.Level.Hash, id}
		idx := x.lookup(p, handle)
		if idx < 0 {
			idx = x.insert(p, handle, int32(hint.Level.Tokens), 0)
		}
		e := &x.arena.entries[idx]
		e.source |= fromPeer
		e.lastUsed = max(e.lastUsed, now-hint.Age)
		x.evict(handle)
	}
}
