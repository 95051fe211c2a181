package cache

import (
	"time"

	"github.com/chicoryrelay/chicoryrelay/relay/prompt"
)

// RecordPlacement records that a prompt was sent to an upstream, whose cache will hold it after the prefill.
func (x *Index) RecordPlacement(now time.Duration, handle Handle, scope Scope, levels []prompt.Level) {
	x.touch(now, handle, scope, levels, fromPlacement)
}

// RevertPlacement removes the entries of a failed placement that are known from placements only.
func (x *Index) RevertPlacement(handle Handle, scope Scope, levels []prompt.Level) {
	id, ok := x.scopes.ids[scope]
	if !ok {
		return
	}
	for _, level := range levels {
		idx := x.lookup(prefix{level.Hash, id}, handle)
		if idx >= 0 && x.arena.entries[idx].source == fromPlacement {
			x.remove(idx)
		}
	}
}

// ExpectedHit is the cache hit that a placement was based on; the zero value means that none was expected.
type ExpectedHit struct {
	// Tokens is the number of tokens believed to be cached, Idle the time since their last use.
	Tokens int
	Idle   time.Duration
}

// RecordAnswer records a finished answer, whose prompt is cached now. If a cache hit was expected, it also adjusts the eviction
// age: the answer counts as a hit if at least half of the expected tokens were cached.
func (x *Index) RecordAnswer(now time.Duration, handle Handle, scope Scope, levels []prompt.Level, expected ExpectedHit, cached int) {
	if expected.Tokens > 0 {
		x.states[handle].adjustEvictionAge(expected.Idle, 2*cached >= expected.Tokens, x.lifetime)
	}
	x.touch(now, handle, scope, levels, fromAnswer)
}

// touch marks the levels as just used, longest first, because engines evict the end of a prompt before its beginning.
func (x *Index) touch(now time.Duration, handle Handle, scope Scope, levels []prompt.Level, from source) {
	if len(levels) == 0 {
		return
	}
	id := x.scopes.intern(scope)
	for i := len(levels) - 1; i >= 0; i-- {
		parentTokens := 0
		if i > 0 {
			parentTokens = levels[i-1].Tokens
		}
		idx := x.upsert(prefix{levels[i].Hash, id}, handle, int32(levels[i].Tokens), int32(levels[i].Tokens-parentTokens))
		e := &x.arena.entries[idx]
		e.lastUsed = max(e.lastUsed, now)
		e.source |= from
	}
	x.evict(handle)
}

// upsert finds or inserts the entry and makes it the most recently used one of its upstream.
func (x *Index) upsert(p prefix, handle Handle, tokens, ownTokens int32) int32 {
	idx := x.lookup(p, handle)
	if idx < 0 {
		return x.insert(p, handle, tokens, ownTokens)
	}
	if x.states[handle].newest != idx {
		x.unlink(idx)
		x.pushFront(idx)
	}
	return idx
}
