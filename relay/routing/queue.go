package routing

import (
	"sort"
	"time"

	"github.com/chicoryrelay/chicoryrelay/relay/admission"
	"github.com/chicoryrelay/chicoryrelay/relay/outcome"
)

// Classes by expected cost, as multiples of the mean service time: 0 short, 1 middle, 2 long.
const (
	classes      = 3
	longClass    = 2
	middleFactor = 3
	longFactor   = 8
)

// maxTries bounds the work of one message on a long queue.
const maxTries = 32

// queue holds the requests that no upstream would begin with soon.
type queue struct {
	list  []*flight
	order []ranked
}

type ranked struct {
	flight *flight
	score  float64
}

// classify sets the request's class by the service time it will need where most of it is cached.
func (c *Core) classify(f *flight, p *plan) {
	m := &p.group.model
	f.service = m.base.value + float64(p.tokens-p.most)*m.perToken.value + float64(f.request.AnswerTokens)*m.answer.value
	switch {
	case f.service > longFactor*m.service.value:
		f.class = longClass
	case f.service > middleFactor*m.service.value:
		f.class = 1
	default:
		f.class = 0
	}
	f.urgency = f.class
	// Middle work with a deadline isn't put off: at a peak the short work would never let it pass.
	if f.class == 1 && f.request.Deadline > 0 {
		f.urgency = 0
	}
	p.long = f.class >= longClass
	p.urgency = f.urgency
	if p.long && !p.common {
		c.settleLong(p)
	}
}

// enqueue gives the request a place in the queue; best is the upstream that it waits for, if any.
func (c *Core) enqueue(now time.Duration, f *flight, best *upstream, e cost) Decision {
	if best != nil && admission.Late(now, f.request.Deadline, seconds(e.ttft())) {
		c.finish(f)
		return tooLate()
	}
	if len(c.queue.list) >= c.settings.queue {
		c.finish(f)
		return refused(outcome.Overloaded, "retry with backoff: the queue is full")
	}
	f.queued = true
	f.want(best, e.cached)
	c.queue.list = append(c.queue.list, f)
	return Decision{Queued: true, Place: len(c.queue.list), Expected: seconds(e.ttft())}
}

// want counts the request among those that wait for an upstream.
func (f *flight) want(u *upstream, cached int) {
	if f.wants != nil {
		f.wants.wanted--
		f.wants.wantedTokens[f.wantUrgency] -= f.wanted
	}
	f.wants = u
	if u != nil {
		f.wanted = max(0, f.request.PromptTokens-cached)
		u.wanted++
		f.wantUrgency = f.urgency
		u.wantedTokens[f.urgency] += f.wanted
	}
}

func (c *Core) unqueue(f *flight) {
	f.want(nil, 0)
	f.queued = false
	for i, other := range c.queue.list {
		if other == f {
			c.queue.list = append(c.queue.list[:i], c.queue.list[i+1:]...)
			return
		}
	}
}

// score orders the queue, least first: a class costs Age, waiting makes up for it, and accounts ahead of their share come later.
func (c *Core) score(now time.Duration, f *flight) float64 {
	return float64(f.class)*c.times.Age.Seconds() + c.fairness.Behind(f.request.Account).Seconds() - (now - f.arrived).Seconds()
}

// pump releases queued requests as long as upstreams are open.
func (c *Core) pump(now time.Duration, effects *Effects) {
	if len(c.queue.list) == 0 || !c.anyOpen(now) {
		return
	}
	order := c.queue.order[:0]
	for _, f := range c.queue.list {
		order = append(order, ranked{f, c.score(now, f)})
	}
	c.queue.order = order
	sort.SliceStable(order, func(i, j int) bool { return order[i].score < order[j].score })
	for i, tries := 0, 0; i < len(order) && tries < maxTries; i++ {
		d, done := c.release(now, order[i].flight)
		if !done {
			tries++
			continue
		}
		effects.Dispatch = append(effects.Dispatch, d)
		if d.Decision.Refusal == nil && !c.anyOpen(now) {
			break
		}
	}
	if len(c.queue.list) == 0 {
		c.fairness.Settle()
	}
	clear(c.queue.order)
}

// release decides a queued request again; it returns false when the request goes on waiting.
func (c *Core) release(now time.Duration, f *flight) (Dispatch, bool) {
	var p plan
	if !c.plan(now, f, &p) {
		c.unqueue(f)
		c.finish(f)
		return Dispatch{f.request.ID, noUpstream()}, true
	}
	c.classify(f, &p)
	ch := c.choose(now, &p, nil)
	if ch.best == nil && ch.late {
		c.unqueue(f)
		c.finish(f)
		return Dispatch{f.request.ID, tooLate()}, true
	}
	if ch.open != nil && ch.openCost.total <= ch.bestCost.total+waitGain {
		c.fairness.Advance(c.fairness.Start(f.request.Account))
		c.unqueue(f)
		return Dispatch{f.request.ID, c.place(now, f, ch.open, &p, ch)}, true
	}
	if ch.best != nil {
		f.want(ch.best, ch.bestCost.cached)
	}
	return Dispatch{}, false
}

// anyOpen reports whether any upstream would begin with a short request soon.
func (c *Core) anyOpen(now time.Duration) bool {
	var short plan
	for _, u := range c.upstreams {
		if !u.closed && now >= u.blocked && c.open(u, &short, u.group.model.perToken.value*u.relativePace(now)) {
			return true
		}
	}
	return false
}

// expire refuses queued requests whose time has passed, or that no upstream serves any more.
func (c *Core) expire(now time.Duration, effects *Effects) {
	for i := 0; i < len(c.queue.list); {
		f := c.queue.list[i]
		d, over := c.expired(now, f)
		if !over {
			i++
			continue
		}
		c.unqueue(f)
		c.finish(f)
		effects.Dispatch = append(effects.Dispatch, Dispatch{f.request.ID, d})
	}
}

func (c *Core) expired(now time.Duration, f *flight) (Decision, bool) {
	switch {
	case f.request.Deadline > 0 && now >= f.request.Deadline:
		return tooLate(), true
	case now-f.arrived > c.times.Patience:
		return refused(outcome.Overloaded, "retry with backoff: no upstream was free in time"), true
	}
	g := c.groupFor(now, &f.request, c.bounds(&f.request))
	if g == nil || !c.anyAllowed(&plan{group: g, regions: c.bounds(&f.request)}) {
		return noUpstream(), true
	}
	return Decision{}, false
}
