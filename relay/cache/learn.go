package cache

import (
	"time"

	"github.com/chicoryrelay/chicoryrelay/relay/prompt"
)

// Place records that a prompt was sent to an upstream, whose cache will hold it after the prefill.
func (k *Knowledge) Place(now time.Duration, handle Handle, scope Scope, levels []prompt.Level) {
	k.touch(now, handle, scope, levels, fromPlacement)
}

// Withdraw removes the entries of a failed placement that are known from placements only.
func (k *Knowledge) Withdraw(handle Handle, scope Scope, levels []prompt.Level) {
	id, ok := k.scopes.ids[scope]
	if !ok {
		return
	}
	for _, level := range levels {
		idx := k.lookup(prefix{level.Hash, id}, handle)
		if idx >= 0 && k.arena.entries[idx].source == fromPlacement {
			k.remove(idx)
		}
	}
}

// Expectation is the cache hit that a placement was based on; the zero value means that none was expected.
type Expectation struct {
	// Tokens is the number of tokens believed to be cached, Idle the time since their last use.
	Tokens int
	Idle   time.Duration
}

// Answer records a finished answer, whose prompt is cached now. If a cache hit was expected, it also adjusts the eviction age: the
// answer counts as a hit if at least half of the expected tokens were cached.
func (k *Knowledge) Answer(now time.Duration, handle Handle, scope Scope, levels []prompt.Level, expected Expectation, cached int) {
	if expected.Tokens > 0 {
		k.states[handle].adjustEvictionAge(expected.Idle, 2*cached >= expected.Tokens, k.lifetime)
	}
	k.touch(now, handle, scope, levels, fromAnswer)
}

// touch marks the levels as just used, longest first, because engines evict the end of a prompt before its beginning.
func (k *Knowledge) touch(now time.Duration, handle Handle, scope Scope, levels []prompt.Level, from source) {
	if len(levels) == 0 {
		return
	}
	id := k.scopes.intern(scope)
	for i := len(levels) - 1; i >= 0; i-- {
		parentTokens := 0
		if i > 0 {
			parentTokens = levels[i-1].Tokens
		}
		idx := k.upsert(prefix{levels[i].Hash, id}, handle, int32(levels[i].Tokens), int32(levels[i].Tokens-parentTokens))
		e := &k.arena.entries[idx]
		e.lastUsed = max(e.lastUsed, now)
		e.source |= from
	}
	k.evict(handle)
}

// upsert finds or inserts the entry and makes it the most recently used one of its upstream.
func (k *Knowledge) upsert(p prefix, handle Handle, tokens, ownTokens int32) int32 {
	idx := k.lookup(p, handle)
	if idx < 0 {
		return k.insert(p, handle, tokens, ownTokens)
	}
	if k.states[handle].newest != idx {
		k.unlink(idx)
		k.pushFront(idx)
	}
	return idx
}
