package routing

import (
	"time"

	"github.com/chicoryrelay/chicoryrelay/relay/admission"
	"github.com/chicoryrelay/chicoryrelay/relay/outcome"
)

// Classes by expected service time, as multiples of the mean: 0 short, 1 middle, 2 long.
const (
	numClasses   = 3
	longClass    = 2
	middleFactor = 3
	longFactor   = 8
)

// maxUnplaced bounds the queued requests that one message tries to place without success, and so its work on a long queue.
const maxUnplaced = 32

// queue contains the requests that no upstream would start soon, or that gain by waiting for a busy one.
type queue struct {
	list  []*flight
	order []scoredFlight
	// starts is the virtual time at which the next request of an account may start, while the queue is ordered.
	starts map[string]float64
}

// scoredFlight is a queued request with its place among those of its account and its virtual start among all, lowest first.
type scoredFlight struct {
	flight *flight
	score  float64
	start  float64
}

// classify sets the request's class by its expected service time at the upstream with the longest cached prefix.
func (c *Core) classify(f *flight, p *plan) {
	m := &p.group.model
	f.serviceTime = m.baseTTFT.value + float64(p.tokens-p.longestCached)*m.perToken.value + float64(f.request.AnswerTokens)*m.decodePerToken.value
	switch {
	case f.serviceTime > longFactor*m.serviceTime.value:
		f.class = longClass
	case f.serviceTime > middleFactor*m.serviceTime.value:
		f.class = 1
	default:
		f.class = 0
	}
	f.priority = f.class
	// Middle work with a deadline keeps the highest priority: at peak load, short work would otherwise delay it past its deadline.
	if f.class == 1 && f.request.Deadline > 0 {
		f.priority = 0
	}
	p.long = f.class >= longClass
	p.priority = f.priority
	if p.long && !p.recentlyShared {
		c.findLongHomes(p)
	}
}

// enqueue queues the request; best is the upstream that it waits for, or nil.
func (c *Core) enqueue(now time.Duration, f *flight, best *upstream, e cost) Decision {
	if best != nil && admission.MissesDeadline(now, f.request.Deadline, seconds(e.ttft())) {
		c.endRequest(f)
		return deadlineTooNear()
	}
	if len(c.queue.list) >= c.settings.maxQueued {
		c.endRequest(f)
		return refused(outcome.Overloaded, "retry with backoff: the queue is full")
	}
	f.queued = true
	f.waitFor(best, e.cached)
	c.queue.list = append(c.queue.list, f)
	return Decision{Queued: true, QueuePosition: len(c.queue.list), ExpectedTTFT: seconds(e.ttft())}
}

// waitFor counts the request as waiting for an upstream, or for none if u is nil.
func (f *flight) waitFor(u *upstream, cached int) {
	if f.waitsFor != nil {
		f.waitsFor.waiting--
		f.waitsFor.waitingTokens[f.waitingPriority] -= f.waitingTokens
	}
	f.waitsFor = u
	if u != nil {
		f.waitingTokens = max(0, f.request.PromptTokens-cached)
		u.waiting++
		f.waitingPriority = f.priority
		u.waitingTokens[f.priority] += f.waitingTokens
	}
}

func (c *Core) dequeue(f *flight) {
	f.waitFor(nil, 0)
	f.queued = false
	for i, other := range c.queue.list {
		if other == f {
			c.queue.list = append(c.queue.list[:i], c.queue.list[i+1:]...)
			return
		}
	}
}

// score orders the requests of one account, lowest first: each class adds AgingInterval, and time in the queue subtracts.
func (c *Core) score(now time.Duration, f *flight) float64 {
	return float64(f.class)*c.times.AgingInterval.Seconds() - (now - f.arrived).Seconds()
}

// dispatchQueue dispatches queued requests in fair order as long as any upstream is ready.
func (c *Core) dispatchQueue(now time.Duration, effects *Effects) {
	c.dropKeptRoom()
	if len(c.queue.list) == 0 || !c.anyReady(now) {
		return
	}
	order := c.queue.order[:0]
	for _, f := range c.queue.list {
		order = append(order, scoredFlight{flight: f})
	}
	c.queue.order = order
	c.orderFairly(now, order)
	c.dispatchInOrder(now, order, effects)
	if len(c.queue.list) == 0 {
		c.fairQueue.Reset()
	}
	clear(c.queue.order)
}

// dispatchInOrder tries to dispatch the requests in order until no upstream is ready any more, or too many find none.
func (c *Core) dispatchInOrder(now time.Duration, order []scoredFlight, effects *Effects) {
	tries := map[bool]int{}
	for i := range order {
		f := order[i].flight
		if !f.queued || tries[f.late] >= maxUnplaced {
			continue
		}
		late := f.late
		d, done := c.dispatchOne(now, f)
		if !done {
			tries[late]++
			continue
		}
		effects.Released = append(effects.Released, d)
		if d.Decision.Refusal == nil && !c.anyReady(now) {
			return
		}
	}
}

// dispatchOne decides a queued request again and returns false if the request stays queued.
func (c *Core) dispatchOne(now time.Duration, f *flight) (Release, bool) {
	var p plan
	if !c.plan(now, f, &p) {
		c.dequeue(f)
		c.endRequest(f)
		return Release{f.request.ID, noUpstream()}, true
	}
	c.classify(f, &p)
	ch := c.choose(now, &p, nil)
	if ch.best == nil && ch.missedDeadline {
		c.dequeue(f)
		c.endRequest(f)
		return Release{f.request.ID, deadlineTooNear()}, true
	}
	if c.becomesLate(now, f, &ch) || f.waitsForSlack(&ch) {
		return Release{}, false
	}
	if ch.ready != nil && ch.readyCost.total <= ch.bestCost.total+minQueueGain {
		c.dequeue(f)
		return Release{f.request.ID, c.place(now, f, ch.ready, &p, ch)}, true
	}
	if ch.best != nil {
		f.waitFor(ch.best, ch.bestCost.cached)
	}
	c.keepRoom(f, &p, &ch)
	return Release{}, false
}

// anyReady reports whether any upstream would start a short request soon.
func (c *Core) anyReady(now time.Duration) bool {
	var short plan
	for _, u := range c.upstreams {
		if !u.draining && !u.silent && now >= u.ejectedUntil && now >= u.pausedUntil && c.ready(now, u, &short, u.group.model.perToken.value*u.relativeSlowdown(now)) {
			return true
		}
	}
	return false
}

// expire refuses queued requests whose deadline or queue timeout has passed, or that no upstream serves any more.
func (c *Core) expire(now time.Duration, effects *Effects) {
	for i := 0; i < len(c.queue.list); {
		f := c.queue.list[i]
		d, over := c.expired(now, f)
		if !over {
			i++
			continue
		}
		c.dequeue(f)
		c.endRequest(f)
		effects.Released = append(effects.Released, Release{f.request.ID, d})
	}
}

func (c *Core) expired(now time.Duration, f *flight) (Decision, bool) {
	switch {
	case f.request.Deadline > 0 && now >= f.request.Deadline:
		return deadlineTooNear(), true
	case now-f.arrived > c.queueTimeout(f):
		d := refused(outcome.Overloaded, "retry with backoff: no upstream was free in time")
		d.Refusal = d.Refusal.WithRetryAfter(c.drainTime(f))
		return d, true
	}
	g := c.groupFor(now, &f.request, c.allowedRegions(&f.request))
	if g == nil || !c.anyServing(&plan{flight: f, group: g, regions: c.allowedRegions(&f.request)}) {
		return noUpstream(), true
	}
	return Decision{}, false
}
