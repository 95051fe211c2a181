package routing

import (
	"time"

	"github.com/chicoryrelay/chicoryrelay/relay/cache"
	"github.com/chicoryrelay/chicoryrelay/relay/capacity"
)

// flight is a request in progress: queued, or with one attempt, or with two when hedged.
type flight struct {
	request     Request
	group       *group
	arrived     time.Duration
	class       int
	serviceTime float64
	queued      bool
	// late is set once a queued request can't be answered within its objective any more.
	late bool
	// behind reports that another account with queued requests has had more of its share.
	behind bool
	// lacksRoom reports that the request waits for room at an engine.
	lacksRoom bool
	attempts  []*attempt
	waitsFor  *upstream
	// waitingTokens is the prefill in tokens for which waitsFor counts this request.
	waitingTokens int
	// priority is passed to the engine, 0 being the highest; waitingPriority is the one that waiting is counted under.
	priority        int
	waitingPriority int
	// placementLevel is the index of the level by which the request is placed, -1 until settled; sharedLevel is that of the longest
	// prefix shared with other requests.
	placementLevel int
	sharedLevel    int
	// admitted reports that the request counts in its account's limit.
	admitted bool
}

// attempt is one request sent to one upstream.
type attempt struct {
	flight   *flight
	upstream *upstream
	sent     time.Duration
	// expected is the expected time to first token in seconds at the usual speed, for work tokens of prefill, queued ones included.
	expected float64
	work     int
	// uncached is the prefill in tokens of this attempt alone.
	uncached int
	// coldTTFT is the expected time to first token with nothing cached; expectedHit is the cached prefix that the attempt relies on.
	coldTTFT    float64
	expectedHit cache.ExpectedHit
	scope       cache.Scope
	long        bool
	probe       bool
	// lowLoad reports that few requests of any VM were at the upstream when it was sent, so that they don't explain a late first
	// token.
	lowLoad  bool
	priority int
	// load is the share of the upstream's slots in use with this attempt, by all VMs.
	load float64
	// first reports that the first token arrived, ttft seconds after the request was sent.
	first bool
	ttft  float64
	// sharedParts are the keys of the prompt parts that other requests can share.
	sharedParts []uint64
	// placedAt is the time of the decision, room the memory in tokens that the attempt added to the upstream's.
	placedAt time.Duration
	room     int
}

func (f *flight) attemptAt(name string) *attempt {
	for _, a := range f.attempts {
		if a.upstream.info.Name == name {
			return a
		}
	}
	return nil
}

// startAttempt records an attempt: from now on the upstream's load includes it.
func (c *Core) startAttempt(now time.Duration, f *flight, u *upstream, cached int, probe bool) *attempt {
	uncached := max(1, f.request.PromptTokens-cached)
	before := workAhead(&u.backlog, f.priority)
	if c.policy == Reuse {
		// Requests of other VMs explain a late first token as well.
		before += u.othersBacklog(now, u.group.model.perToken.value*u.factor())
	}
	work := before + uncached
	binding := u.binding(f.request.scope())
	a := &attempt{
		flight: f, upstream: u, sent: now, expected: u.group.model.expectedTTFT(work), work: work, uncached: uncached, priority: f.priority,
		coldTTFT:    u.group.model.expectedTTFT(before + f.request.PromptTokens),
		expectedHit: cache.ExpectedHit{Tokens: cached, Idle: c.cache.IdleTime(now, u.handle, binding.Scope, f.request.Levels)},
		scope:       binding.Scope, long: f.class >= longClass, probe: probe, lowLoad: f.priority == 0 && 2*(u.outstanding+u.othersOutstanding) <= u.slots,
	}
	a.load = float64(u.outstanding+u.othersOutstanding+1) / float64(u.slots)
	f.attempts = append(f.attempts, a)
	f.queued = false
	u.outstanding++
	if a.long {
		u.longOutstanding++
	}
	u.backlog[f.priority] += uncached
	a.sharedParts = c.sharedKeys(u.group, &f.request)
	occupied := u.memory.tokens
	u.memory.reserve(&f.request, a.sharedParts)
	a.room = u.memory.tokens - occupied + f.request.AnswerTokens
	c.reserveRoom(now, a)
	c.countShort(now, f, u)
	u.group.busy.add(now, float64(uncached)*u.group.model.perToken.value)
	u.awaiting = append(u.awaiting, a)
	if probe {
		u.slow.probing = true
	}
	if c.policy != Reuse {
		c.cache.RecordPlacement(now, u.handle, binding.Scope, f.request.Levels)
	}
	return a
}

// endAttempt removes an attempt from its upstream's load and reports whether another attempt of the request goes on.
func (c *Core) endAttempt(now time.Duration, a *attempt) bool {
	u, f := a.upstream, a.flight
	u.outstanding--
	u.memory.release(&f.request, a.sharedParts)
	c.releaseRoom(a)
	if a.long {
		u.longOutstanding--
	}
	u.removeAwaiting(a)
	if u.outstanding < 0 || u.longOutstanding < 0 || u.backlog[a.priority] < 0 {
		panic("routing: load of upstream " + u.info.Name + " is negative: report this as a bug of the relay")
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
	c.endRequest(f)
	return false
}

// endRequest removes a request and frees its place in the account's limit.
func (c *Core) endRequest(f *flight) {
	delete(c.flights, f.request.ID)
	if f.admitted {
		c.limits.Release(f.request.Account)
	}
}

// removeAwaiting removes an attempt from the prefill backlog, at its first token or its end.
func (u *upstream) removeAwaiting(a *attempt) {
	for i, other := range u.awaiting {
		if other == a {
			u.backlog[a.priority] -= a.uncached
			u.awaiting = append(u.awaiting[:i], u.awaiting[i+1:]...)
			return
		}
	}
}

func (m Sent) apply(c *Core, now time.Duration, _ *Effects) {
	if f := c.flights[m.ID]; f != nil {
		if a := f.attemptAt(m.Upstream); a != nil && !a.first {
			a.sent = now
		}
	}
}

func (m FirstToken) apply(c *Core, now time.Duration, effects *Effects) {
	f := c.flights[m.ID]
	if f == nil {
		return
	}
	a := f.attemptAt(m.Upstream)
	if a == nil || a.first {
		return
	}
	a.first = true
	a.ttft = (now - a.sent).Seconds()
	u := a.upstream
	u.removeAwaiting(a)
	u.failures, u.ejectedUntil = 0, 0
	if u.handle >= 0 {
		c.cache.Observe(u.handle, m.Incarnation)
	}
	c.dispatchQueue(now, effects)
}

func (m Finished) apply(c *Core, now time.Duration, effects *Effects) {
	f := c.flights[m.ID]
	if f == nil {
		return
	}
	a := f.attemptAt(m.Upstream)
	if a == nil {
		return
	}
	if m.CountsMissing {
		m.CachedTokens = max(0, m.PromptTokens-a.uncached)
	}
	u := a.upstream
	u.failures = 0
	current := u.handle >= 0 && c.cache.Observe(u.handle, m.Incarnation)
	if current && a.scope == u.binding(f.request.scope()).Scope {
		c.cache.RecordAnswer(now, u.handle, a.scope, f.request.Levels, a.expectedHit, m.CachedTokens)
		c.addComputed(u, f, m)
	}
	c.learn(now, a, m)
	for _, other := range f.attempts {
		if other != a {
			c.waste.Hedged += uint64(other.uncached)
		}
	}
	for len(f.attempts) > 0 {
		c.endAttempt(now, f.attempts[0])
	}
	c.dispatchQueue(now, effects)
}

// learn updates the group's model and the upstream's slowdown from a finished answer.
func (c *Core) learn(now time.Duration, a *attempt, m Finished) {
	u := a.upstream
	model := &u.group.model
	missed := max(0, m.PromptTokens-m.CachedTokens)
	total := (now - a.sent).Seconds()
	if a.first {
		work := a.work - a.uncached + missed
		u.group.busy.add(now, float64(missed-a.uncached)*model.perToken.value)
		if m.AnswerTokens >= minDecodeTokens {
			perToken := (total - a.ttft) / float64(m.AnswerTokens)
			c.observeSlowdown(now, a, perToken/model.decodePerToken.value)
			c.observeSpeed(now, a, capacity.Decode, perToken, model.decodePerToken.value)
			model.decodePerToken.add(perToken / u.factor())
		} else if a.lowLoad {
			c.observeSlowdown(now, a, a.ttftPastGrace(a.ttft)/max(ttftGrace, model.expectedTTFT(work)))
		}
		if a.work == a.uncached && work >= minPerTokenWork {
			c.observeSpeed(now, a, capacity.Prefill, a.ttft-u.link.roundTrip, model.expectedTTFT(work))
		}
		if !u.slow.slow {
			// Part of the queued work may have been prefilled before this attempt, so only one without any gives the time per token.
			if a.work == a.uncached {
				model.learn(work, (a.ttft-u.link.roundTrip)/u.factor())
			}
			model.serviceTime.add(model.expectedTTFT(missed) + (total-a.ttft)/u.factor())
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
		c.dequeue(f)
		c.endRequest(f)
		return
	}
	for i := len(f.attempts) - 1; i >= 0; i-- {
		a := f.attempts[i]
		if m.Upstream != "" && a.upstream.info.Name != m.Upstream {
			continue
		}
		c.waste.Cancelled += uint64(a.uncached)
		c.endAttempt(now, a)
	}
	c.dispatchQueue(now, effects)
}

func (m Failed) apply(c *Core, now time.Duration, effects *Effects) {
	f := c.flights[m.ID]
	if f == nil {
		return
	}
	a := f.attemptAt(m.Upstream)
	if a == nil {
		return
	}
	u := a.upstream
	if !a.first && u.handle >= 0 {
		c.cache.RevertPlacement(u.handle, a.scope, f.request.Levels)
	}
	if !m.Received {
		c.eject(now, u)
	}
	c.waste.Cancelled += uint64(a.uncached)
	more := c.endAttempt(now, a)
	if !more && !a.first && !m.Received {
		c.retry(f, m, effects)
	}
	c.dispatchQueue(now, effects)
}
