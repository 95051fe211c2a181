package cache

import (
	"time"

	"github.com/chicoryrelay/chicoryrelay/relay/prompt"
)

// EventKind is the kind of an event.
type EventKind uint8

// The kinds of events.
const (
	Stored EventKind = iota
	Removed
)

// Event reports that an engine's cache stored or removed a prefix. Sequence starts at 1 with each incarnation.
type Event struct {
	Sequence uint64
	Kind     EventKind
	Scope    Scope
	Level    prompt.Level
}

// Block is one prefix in a snapshot of an engine's cache.
type Block struct {
	Scope Scope
	Level prompt.Level
}

// ApplyEvents applies consecutive events of an engine and returns false if a gap in the stream makes a snapshot necessary.
// It ignores repeated events and those of an earlier incarnation.
func (x *Index) ApplyEvents(now time.Duration, handle Handle, incarnation uint64, events []Event) bool {
	if !x.Observe(handle, incarnation) {
		return true
	}
	for i := range events {
		state := &x.states[handle]
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
		x.apply(now, handle, events[i])
	}
	return x.states[handle].synced
}

// ApplySnapshot replaces the entries known from events with an engine's list of its cache after the event numbered sequence.
// It ignores a snapshot that is older than the last event applied.
func (x *Index) ApplySnapshot(now time.Duration, handle Handle, incarnation, sequence uint64, blocks []Block) {
	if !x.Observe(handle, incarnation) {
		return
	}
	state := &x.states[handle]
	if state.synced && sequence+1 < state.nextSequence {
		return
	}
	state.generation++
	state.nextSequence = sequence + 1
	state.synced = true
	for _, block := range blocks {
		x.apply(now, handle, Event{Kind: Stored, Scope: block.Scope, Level: block.Level})
	}
	x.removeUnlisted(now, handle)
	x.evict(handle)
}

// removeUnlisted removes the entries that the last snapshot doesn't list, except those used within the event lag, which may
// be newer than the snapshot.
func (x *Index) removeUnlisted(now time.Duration, handle Handle) {
	generation := x.states[handle].generation
	for idx := x.states[handle].oldest; idx >= 0; {
		e := x.arena.entries[idx]
		if e.generation != generation && now-e.lastUsed > x.eventLag {
			x.remove(idx)
		}
		idx = e.newer
	}
}

func (x *Index) apply(now time.Duration, handle Handle, event Event) {
	if event.Kind == Removed {
		id, ok := x.scopes.ids[event.Scope]
		if !ok {
			return
		}
		// An entry used within the event lag is kept: the engine may have sent the event before that use.
		if idx := x.lookup(prefix{event.Level.Hash, id}, handle); idx >= 0 && now-x.arena.entries[idx].lastUsed > x.eventLag {
			x.remove(idx)
		}
		return
	}
	id := x.scopes.intern(event.Scope)
	idx := x.lookup(prefix{event.Level.Hash, id}, handle)
	if idx < 0 {
		idx = x.insert(prefix{event.Level.Hash, id}, handle, int32(event.Level.Tokens), 0)
	}
	e := &x.arena.entries[idx]
	e.source |= fromEvent
	e.generation = x.states[handle].generation
	e.lastUsed = max(e.lastUsed, now-x.eventLag)
	x.evict(handle)
}
