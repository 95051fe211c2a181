package routing

import (
	"time"

	"github.com/chicoryrelay/chicoryrelay/relay/cache"
)

// flight is a request in progress: queued, or with one attempt, or with two when hedged.
type flight struct {
	request  Request
	group    *group
	arrived  time.Duration
	class    int
	service  float64
	queued   bool
	attempts []*attempt
	wants    *upstream
	wanted   int
	// urgency is the priority at the engine, 0 for the most urgent; wantUrgency that under which the request was counted.
	urgency     int
	wantUrgency int
	anchor      int
	shared      int
	entered     bool
}

// attempt is one request sent to one upstream.
type attempt struct {
	flight *flight
	up     *upstream
	sent   time.Duration
	// expected is the time to first token in seconds at the usual pace, with work tokens of prefill ahead of it or its own.
	expected float64
	work     int
	uncached int
	// most is the time to first token with nothing cached, tokens the cached ones relied on.
	most   float64
	relied cache.Expectation
	scope  cache.Scope
	long   bool
	probe  bool
	// quiet says that few requests of any VM were there when it was sent: a late first token isn't their doing.
	quiet   bool
	urgency int
	first   bool
	took    float64
	// shared identify the parts of the prompt that it shares with others.
	shared []uint64
}

func (f *flight) at(name string) *attempt {
	for _, a := range f.attempts {
		if a.up.info.Name == name {
			return a
		}
	}
	return nil
}

// send records an attempt: from now on the upstream's load includes it.
func (c *Core) send(now time.Duration, f *flight, u *upstream, cached int, probe bool) *attempt {
	uncached := max(1, f.request.PromptTokens-cached)
	before := ahead(&u.backlog, f.urgency)
	if c.policy == Reuse {
		// What other VMs told explains a late first token as well.
		before += u.othersBacklog(now, u.group.model.perToken.value)
	}
	work := before + uncached
	key := u.key(f.request.Account)
	a := &attempt{
		flight: f, up: u, sent: now, expected: u.group.model.expect(work), work: work, uncached: uncached, urgency: f.urgency,
		most:   u.group.model.expect(before + f.request.PromptTokens),
		relied: cache.Expectation{Tokens: cached, Idle: c.cache.Idle(now, u.handle, key.Scope, f.request.Levels)},
		scope:  key.Scope, long: f.class >= longClass, probe: probe, quiet: f.urgency == 0 && 2*(u.outstanding+u.others) <= u.slots,
	}
	f.attempts = append(f.attempts, a)
	f.queued = false
	u.outstanding++
	if a.long {
		u.long++
	}
	u.backlog[f.urgency] += uncached
	a.shared = c.sharedKeys(u.group, &f.request)
	u.memory.take(&f.request, a.shared)
	c.countLight(now, f, u)
	u.group.busy.add(now, float64(uncached)*u.group.model.perToken.value)
	u.awaiting = append(u.awaiting, a)
	if probe {
		u.slow.probing = true
	}
	if c.policy != Reuse {
		c.cache.Place(now, u.handle, key.Scope, f.request.Levels)
	}
	return a
}

// settle takes an attempt out of its upstream's load; it reports whether other attempts go on.
func (c *Core) settle(now time.Duration, a *attempt) bool {
	u, f := a.up, a.flight
	u.outstanding--
	u.memory.release(&f.request, a.shared)
	if a.long {
		u.long--
	}
	u.prefilled(a)
	if u.outstanding < 0 || u.long < 0 || u.backlog[a.urgency] < 0 {
		panic("routing: load of upstream " + u.info.Name + " below zero; report this as a fault of the relay")
	}
	if a.probe && !a.first && u.slow.probing {
		u.slow.probing = false
		c.scheduleProbe(now, u, slowFactor)
	}
	for i, other := range f.attempts {
		if other == a {
			f.attempts = append(f.attempts[:i], f.attempts[i+1:]...)
			break
		}
	}
	if len(f.attempts) > 0 {
		return true
	}
	c.finish(f)
	return false
}

// finish forgets a request.
func (c *Core) finish(f *flight) {
	delete(c.flights, f.request.ID)
	if f.entered {
		c.limits.Leave(f.request.Account)
	}
}

// prefilled takes an attempt out of the backlog, at its first token or its end.
func (u *upstream) prefilled(a *attempt) {
	for i, other := range u.awaiting {
		if other == a {
			u.backlog[a.urgency] -= a.uncached
			u.awaiting = append(u.awaiting[:i], u.awaiting[i+1:]...)
			return
		}
	}
}

func (m Dispatched) apply(c *Core, now time.Duration, _ *Effects) {
	if f := c.flights[m.ID]; f != nil {
		if a := f.at(m.Upstream); a != nil && !a.first {
			a.sent = now
		}
	}
}

func (m FirstToken) apply(c *Core, now time.Duration, effects *Effects) {
	f := c.flights[m.ID]
	if f == nil {
		return
	}
	a := f.at(m.Upstream)
	if a == nil || a.first {
		return
	}
	a.first = true
	a.took = (now - a.sent).Seconds()
	u := a.up
	u.prefilled(a)
	u.failures, u.blocked = 0, 0
	if u.handle >= 0 {
		c.cache.Observe(u.handle, m.Incarnation)
	}
	c.pump(now, effects)
}

func (m Finished) apply(c *Core, now time.Duration, effects *Effects) {
	f := c.flights[m.ID]
	if f == nil {
		return
	}
	a := f.at(m.Upstream)
	if a == nil {
		return
	}
	if m.Uncounted {
		m.CachedTokens = max(0, m.PromptTokens-a.uncached)
	}
	u := a.up
	u.failures = 0
	current := u.handle >= 0 && c.cache.Observe(u.handle, m.Incarnation)
	if current && a.scope == u.key(f.request.Account).Scope {
		c.cache.Answer(now, u.handle, a.scope, f.request.Levels, a.relied, m.CachedTokens)
		c.addNews(u, f, m)
	}
	c.learn(now, a, m)
	for _, other := range f.attempts {
		if other != a {
			c.waste.Hedged += uint64(other.uncached)
		}
	}
	for len(f.attempts) > 0 {
		c.settle(now, f.attempts[0])
	}
	c.pump(now, effects)
}

// learn updates the group's model and the upstream's pace from a finished answer.
func (c *Core) learn(now time.Duration, a *attempt, m Finished) {
	u := a.up
	model := &u.group.model
	missed := max(0, m.PromptTokens-m.CachedTokens)
	total := (now - a.sent).Seconds()
	if a.first {
		work := a.work - a.uncached + missed
		u.group.busy.add(now, float64(missed-a.uncached)*model.perToken.value)
		if m.AnswerTokens >= manyTokens {
			perToken := (total - a.took) / float64(m.AnswerTokens)
			c.observe(now, a, perToken/model.answer.value)
			model.answer.add(perToken)
		} else if a.quiet {
			c.observe(now, a, a.pastGrace(a.took)/max(paceGrace, model.expect(work)))
		}
		if !u.slow.slow {
			// Part of the work ahead may have been done before: only an attempt without any tells the time per token.
			if a.work == a.uncached {
				model.learn(work, a.took-u.link.roundTrip)
			}
			model.service.add(model.expect(missed) + total - a.took)
		}
	}
	c.waste.Prefilled += uint64(missed)
	c.waste.Prompt += uint64(m.PromptTokens)
	c.waste.Cached += uint64(m.CachedTokens)
}

func (m Cancelled) apply(c *Core, now time.Duration, effects *Effects) {
	f := c.flights[m.ID]
	if f == nil {
		return
	}
	if f.queued && m.Upstream == "" {
		c.unqueue(f)
		c.finish(f)
		return
	}
	for i := len(f.attempts) - 1; i >= 0; i-- {
		a := f.attempts[i]
		if m.Upstream != "" && a.up.info.Name != m.Upstream {
			continue
		}
		c.waste.Cancelled += uint64(a.uncached)
		c.settle(now, a)
	}
	c.pump(now, effects)
}

func (m Failed) apply(c *Core, now time.Duration, effects *Effects) {
	f := c.flights[m.ID]
	if f == nil {
		return
	}
	a := f.at(m.Upstream)
	if a == nil {
		return
	}
	u := a.up
	if !a.first && u.handle >= 0 {
		c.cache.Withdraw(u.handle, a.scope, f.request.Levels)
	}
	if !m.Received {
		c.pause(now, u)
	}
	c.waste.Cancelled += uint64(a.uncached)
	more := c.settle(now, a)
	if !more && !a.first && !m.Received {
		c.retry(f, m, effects)
	}
	c.pump(now, effects)
}
