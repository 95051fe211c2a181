package cache

import (
	"time"

	"github.com/chicoryrelay/chicoryrelay/relay/prompt"
)

// Change is the kind of an event.
type Change uint8

// The kinds of events.
const (
	Stored Change = iota
	Removed
)

// Event reports that an engine's cache stored or removed a prefix. Sequence starts at 1 with each incarnation.
type Event struct {
	Sequence uint64
	Change   Change
	Scope    Scope
	Level    prompt.Level
}

// Block is one prefix in a snapshot of an engine's cache.
type Block struct {
	Scope Scope
	Level prompt.Level
}

// Events applies consecutive events of an engine and returns false if a gap in the stream makes a snapshot necessary.
// It ignores repeated events and those of an earlier incarnation.
func (k *Knowledge) Events(now time.Duration, handle Handle, incarnation uint64, events []Event) bool {
	if !k.Observe(handle, incarnation) {
		return true
	}
	for i := range events {
		state := &k.states[handle]
		switch {
		case !state.synced:
			return false
		case events[i].Sequence < state.nextSequence:
			continue
		case events[i].Sequence > state.nextSequence:
			state.synced = false
			state.generation++
			return false
		}
		state.nextSequence++
		k.apply(now, handle, events[i])
	}
	return k.states[handle].synced
}

// Snapshot replaces the entries known from events with an engine's list of its cache after the event numbered sequence.
// It ignores a snapshot that is older than the last event applied.
func (k *Knowledge) Snapshot(now time.Duration, handle Handle, incarnation, sequence uint64, blocks []Block) {
	if !k.Observe(handle, incarnation) {
		return
	}
	state := &k.states[handle]
	if state.synced && sequence+1 < state.nextSequence {
		return
	}
	state.generation++
	state.nextSequence = sequence + 1
	state.synced = true
	for _, block := range blocks {
		k.apply(now, handle, Event{Change: Stored, Scope: block.Scope, Level: block.Level})
	}
	k.removeUnlisted(now, handle)
	k.evict(handle)
}

// removeUnlisted removes the entries that the last snapshot doesn't list, except those used within the event lag, which may
// be newer than the snapshot.
func (k *Knowledge) removeUnlisted(now time.Duration, handle Handle) {
	generation := k.states[handle].generation
	for idx := k.states[handle].oldest; idx >= 0; {
		e := k.arena.entries[idx]
		if e.generation != generation && now-e.lastUsed > k.eventLag {
			k.remove(idx)
		}
		idx = e.newer
	}
}

func (k *Knowledge) apply(now time.Duration, handle Handle, event Event) {
	if event.Change == Removed {
		id, ok := k.scopes.ids[event.Scope]
		if !ok {
			return
		}
		// An entry used within the event lag is kept: the engine may have sent the event before that use.
		if idx := k.lookup(prefix{event.Level.Hash, id}, handle); idx >= 0 && now-k.arena.entries[idx].lastUsed > k.eventLag {
			k.remove(idx)
		}
		return
	}
	id := k.scopes.intern(event.Scope)
	idx := k.lookup(prefix{event.Level.Hash, id}, handle)
	if idx < 0 {
		idx = k.insert(prefix{event.Level.Hash, id}, handle, int32(event.Level.Tokens), 0)
	}
	e := &k.arena.entries[idx]
	e.source |= fromEvent
	e.generation = k.states[handle].generation
	e.lastUsed = max(e.lastUsed, now-k.eventLag)
	k.evict(handle)
}
