package routing

import (
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Room answers the pattern of admission by memory: an engine that holds more than its memory preempts requests or ends, so that requests
// wait in the VMs' queues, where they can be ordered, until they fit. What other VMs have sent is known late; the room that is free is
// therefore divided among the VMs for what each sends unseen by the others.

const (
	// outsideRoomShare is the share of an engine's room for a VM outside its cell, which does not know what others hold there.
	outsideRoomShare = 0.125
	// minNoticeRoom is the memory in tokens from which peers are notified of a placement that needs little prefill.
	minNoticeRoom = 2048
	// heardShare is the share of the peers that a VM hears from while it is connected: others may have ended.
	heardShare = 0.75
	// viewDelay is the time until peers have usually seen a placement.
	viewDelay = 300 * time.Millisecond
)

// WithRoom sets the share of an engine's memory that requests in progress may take; 0 means no limit.
func WithRoom(share float64) Option { return func(s *settings) { s.room = share } }

// views is what this VM knows of how far its peers see it.
type views struct {
	// pending is the time of the last digest that not all peers have been heard from since, seen that of the last one before; what was
	// placed before seen is known to the peers.
	pending, seen time.Duration
	// peers are the other VMs of the cell, listed reports that they are those of a list; version changes with them.
	peers   []string
	listed  bool
	version int
	// beyond is when this VM last took an empty engine beyond its part, which it does again once all peers have seen that.
	beyond time.Duration
}

// rankAt is this VM's rank at an engine among the VMs of its cell.
type rankAt struct {
	rank, version int
	known         bool
}

// reserveRoom records the memory of an attempt.
func (c *Core) reserveRoom(now time.Duration, a *attempt) {
	if c.room > 0 {
		u := a.upstream
		if u.memory.tokens+u.othersMemory == a.room-a.flight.request.AnswerTokens && c.rank(u) > 0 && a.room > c.part(u, u.info.Cache) {
			c.views.beyond = now
		}
		a.placedAt = now
		a.upstream.memory.tokens += a.flight.request.AnswerTokens
		a.upstream.attempts = append(a.upstream.attempts, a)
	}
}

// releaseRoom removes the memory of an attempt.
func (c *Core) releaseRoom(a *attempt) {
	u := a.upstream
	for i, other := range u.attempts {
		if other == a {
			u.memory.tokens -= a.flight.request.AnswerTokens
			u.attempts = append(u.attempts[:i], u.attempts[i+1:]...)
			return
		}
	}
}

// roomNeed returns the memory in tokens that a request adds to that of the requests in progress at an engine.
func (u *upstream) roomNeed(p *plan) int {
	return u.memoryWith(p) - u.memory.tokens - u.othersMemory + p.flight.request.AnswerTokens
}

// roomLimit returns the memory in tokens that requests in progress may take at an engine.
func (c *Core) roomLimit(u *upstream) int {
	limit := c.room * float64(u.info.Cache)
	if u.distance > int(c.cellSpan) {
		limit *= outsideRoomShare
	}
	return int(limit)
}

// hasRoom reports whether a request fits into an engine's memory; a plan without a request stands for one of no size.
func (c *Core) hasRoom(u *upstream, p *plan) bool {
	if c.room <= 0 || u.info.Cache <= 0 {
		return true
	}
	held, limit := u.memory.tokens+u.othersMemory, c.roomLimit(u)
	if p.flight == nil {
		return held == 0 || held < limit
	}
	if f := u.reservedFor; f != nil && f.queued && f != p.flight {
		return false
	}
	need, rank := u.roomNeed(p), c.rank(u)
	if held == 0 {
		return rank == 0 || need <= min(limit, c.part(u, u.info.Cache)) || c.mayTakeBeyond(p.flight)
	}
	unseen := 0
	for _, a := range u.attempts {
		if a.placedAt >= c.views.seen && len(c.views.peers) > 0 {
			unseen += a.room
		}
	}
	if held+need > limit {
		return false
	}
	return unseen+need <= c.part(u, u.info.Cache-(held-unseen))
}

// part returns this VM's part of the memory that is free at an engine, for what it sends unseen by the others: parts in the ratios 1, 1/2,
// 1/3 and so on in the order of ranks, which add up to the whole.
func (c *Core) part(u *upstream, free int) int {
	return int(float64(free) / float64(c.rank(u)+1) / harmonic(1+len(c.views.peers)))
}

// mayTakeBeyond reports whether a request may take an engine that seems empty, although its memory exceeds this VM's part there: most peers
// have been heard from since it arrived, and have seen when that happened the last time.
func (c *Core) mayTakeBeyond(f *flight) bool {
	n := len(c.views.peers)
	return n == 0 || heardShare*float64(n) <= float64(c.heardSince(f.arrived)) && (c.views.beyond == 0 || c.views.beyond < c.views.seen)
}

// roomWait estimates the time in seconds until a request fits into an engine's memory.
func (c *Core) roomWait(u *upstream, p *plan) float64 {
	if c.room <= 0 || c.hasRoom(u, p) {
		return 0
	}
	held := u.memory.tokens + u.othersMemory
	over := held + u.roomNeed(p) - c.roomLimit(u)
	if over <= 0 {
		return viewDelay.Seconds()
	}
	return u.group.model.serviceTime.value * min(1, float64(over)/float64(max(1, held)))
}

// noteRoom records whether a queued request waits for room at its best engine, and reports it.
func (c *Core) noteRoom(f *flight, p *plan, best *upstream) bool {
	lacks := c.room > 0 && best != nil && !c.hasRoom(best, p)
	if lacks && !f.lacksRoom {
		c.roomWaits++
	}
	f.lacksRoom = lacks
	return lacks
}

// keepRoom keeps the best engine for a queued request that does not fit there yet, so that smaller ones behind it do not take the room
// again and again.
func (c *Core) keepRoom(f *flight, p *plan, ch *choice) {
	if c.noteRoom(f, p, ch.best) && !f.late && ch.best.reservedFor == nil {
		ch.best.reservedFor = f
	}
}

// Room returns the number of requests that wait for room at an engine now, and of those that have waited so far.
func (c *Core) Room() (waiting int, waited uint64) {
	for _, f := range c.queue.list {
		if f.lacksRoom {
			waiting++
		}
	}
	return waiting, c.roomWaits
}

// dropKeptRoom ends what keepRoom has kept, before the queue is dispatched anew.
func (c *Core) dropKeptRoom() {
	if c.room <= 0 {
		return
	}
	for _, u := range c.upstreams {
		u.reservedFor = nil
	}
}

// drainTime estimates the time in which the requests of the queue find room, for Retry-After; 0 without a limit on room.
func (c *Core) drainTime(f *flight) time.Duration {
	if c.room <= 0 || f.group == nil {
		return 0
	}
	waiting, room := 0, 0
	for _, other := range c.queue.list {
		waiting += other.request.PromptTokens + other.request.AnswerTokens
	}
	for _, u := range f.group.list {
		if !u.draining && !u.silent {
			room += c.roomLimit(u)
		}
	}
	return seconds(f.group.model.serviceTime.value * float64(waiting) / float64(max(1, room)))
}

// rank returns the number of peers that come before this VM at an engine, by rendezvous hashing.
func (c *Core) rank(u *upstream) int {
	if u.rank.known && u.rank.version == c.views.version {
		return u.rank.rank
	}
	own, rank := mix(xxhash.Sum64String(c.vm), u.seed), 0
	for _, vm := range c.views.peers {
		if mix(xxhash.Sum64String(vm), u.seed) > own {
			rank++
		}
	}
	u.rank = rankAt{rank: rank, version: c.views.version, known: true}
	return rank
}

// harmonic returns the sum of 1/i for i from 1 to n.
func harmonic(n int) float64 {
	const euler = 0.57721566490153286
	x := float64(n)
	if n == 1 {
		return 1
	}
	return math.Log(x) + euler + 1/(2*x)
}

// setCellPeers sets the other VMs of the cell; nil leaves them to the digests.
func (c *Core) setCellPeers(names []string) {
	if names != nil && !slices.Equal(names, c.views.peers) {
		c.views.peers, c.views.listed = slices.Clone(names), true
		c.views.version++
	}
}

// peersChanged updates the other VMs of the cell from the digests if there is no list of them.
func (c *Core) peersChanged() {
	if !c.views.listed {
		c.views.peers = sortedNames(c.peers)
		c.views.version++
	}
}

// heardSince returns the number of peers that this VM has heard from since a time.
func (c *Core) heardSince(since time.Duration) int {
	heard := 0
	for _, vm := range c.views.peers {
		if peer := c.peers[vm]; peer != nil && peer.received > since {
			heard++
		}
	}
	return heard
}

// updateViews records that a digest is sent now. The peers have seen the one before if most have been heard from since, and none that was
// not is known to be alive.
func (c *Core) updateViews(now time.Duration) {
	if c.room <= 0 {
		return
	}
	heard := 0
	for _, vm := range c.views.peers {
		peer := c.peers[vm]
		switch {
		case peer != nil && peer.received > c.views.pending:
			heard++
		case peer != nil && now-peer.received <= c.times.StaleAfter:
			return
		}
	}
	if heardShare*float64(len(c.views.peers)) <= float64(heard) {
		c.views.seen, c.views.pending = c.views.pending, now
	}
}
