package routing

import (
	"slices"
	"sort"
	"time"
)

// Detection of slow upstreams.
const (
	// slowFactor is the slowdown, relative to the group's median, from which an upstream counts as slow.
	slowFactor = 3.0
	// overdueFactor is the multiple of the expected time to first token with nothing cached from which an attempt marks its upstream as
	// slow before the first token; below it, other VMs' requests may explain the delay.
	overdueFactor = 3.0
	// slowWindow is the number of observations whose minimum is the slowdown: queues that this VM can't see lengthen some
	// observations, a slow upstream lengthens all.
	slowWindow = 4
	// minSlowdown and maxSlowdown bound a single observation.
	minSlowdown = 0.3
	maxSlowdown = 20.0
	// ttftGrace, in seconds, is subtracted from observations, since short times are mostly noise.
	ttftGrace = 0.02
)

// slowState is the detection state of one upstream.
type slowState struct {
	slow          bool
	probing       bool
	probeAt       time.Duration
	probeInterval time.Duration
	recent        [slowWindow]float64
	count         int
}

// currentSlowdown returns the upstream's slowdown; an overdue attempt raises it before its first token arrives.
func (u *upstream) currentSlowdown(now time.Duration) float64 {
	// The engine delays requests of lower priority as long as others arrive.
	oldest := slices.IndexFunc(u.awaiting, func(a *attempt) bool { return a.priority == 0 })
	if oldest < 0 {
		return u.slowdown
	}
	a := u.awaiting[oldest]
	overdue := min(maxSlowdown, a.ttftPastGrace((now-a.sent).Seconds())/a.coldTTFT)
	if overdue < overdueFactor {
		return u.slowdown
	}
	return max(u.slowdown, overdue)
}

// slowdownSpread is the factor up to which slowdowns differ by chance: other VMs' requests lengthen some observations.
const slowdownSpread = 2.5

// relativeSlowdown returns the slowdown relative to the group for estimates: the learned factor, 1 if there is none, unless the
// upstream stands out.
func (u *upstream) relativeSlowdown(now time.Duration) float64 {
	slowdown := u.currentSlowdown(now)
	if slowdown < slowdownSpread*u.group.slowdown {
		return u.factor()
	}
	return max(slowdown/u.group.slowdown, u.factor())
}

// ttftPastGrace returns the time to first token less the link's round trip and the noise of short times.
func (a *attempt) ttftPastGrace(ttft float64) float64 {
	return max(0, ttft-a.upstream.link.roundTrip-ttftGrace)
}

// observeSlowdown records an attempt's time as a multiple of the usual one.
func (c *Core) observeSlowdown(now time.Duration, a *attempt, sample float64) {
	u := a.upstream
	sample = min(maxSlowdown, max(minSlowdown, sample))
	s := &u.slow
	s.recent[s.count%slowWindow] = sample
	s.count++
	u.slowdown = sample
	for _, other := range s.recent[:min(s.count, slowWindow)] {
		u.slowdown = min(u.slowdown, other)
	}
	if c.policy == Reuse && s.count < slowWindow {
		// A few late answers may be due to requests of peers whose digests haven't arrived yet.
		u.slowdown = min(u.slowdown, 1)
	}
	if a.probe {
		a.probe = false
		s.probing = false
		c.scheduleProbe(now, u, sample)
	}
}

// scheduleProbe sets the next probe: soon after a fast one, after a doubled interval if it was slow.
func (c *Core) scheduleProbe(now time.Duration, u *upstream, sample float64) {
	if sample < slowFactor {
		u.slow.probeInterval = c.times.ProbeInterval / 4
	} else {
		u.slow.probeInterval = min(c.times.MaxProbeInterval, max(c.times.ProbeInterval, 2*u.slow.probeInterval))
	}
	u.slow.probeAt = now + u.slow.probeInterval
}

// detectSlow compares every upstream's slowdown with the median of its group.
func (c *Core) detectSlow(now time.Duration, g *group) {
	slowdowns := c.slowdowns[:0]
	for _, u := range g.list {
		if !u.draining {
			slowdowns = append(slowdowns, u.slowdown)
		}
	}
	c.slowdowns = slowdowns
	if len(slowdowns) == 0 {
		return
	}
	g.busy.updateCongestion(now, len(slowdowns), 1+c.livePeerCount(now))
	sort.Float64s(slowdowns)
	g.slowdown = max(1, slowdowns[len(slowdowns)/2])
	limit := slowFactor * g.slowdown
	for _, u := range g.list {
		slow := u.currentSlowdown(now) > limit
		if slow && !u.slow.slow {
			u.slow.probeInterval = c.times.ProbeInterval
			u.slow.probeAt = now + c.times.ProbeInterval
		}
		u.slow.slow = slow
	}
	g.updateTotals()
}

// probeFor returns a slow upstream that is due for a probe and may take the request, or nil.
func (c *Core) probeFor(now time.Duration, p *plan) *upstream {
	if !p.group.slow || !p.hedgeable() || !c.hedges.CanWithdraw() {
		return nil
	}
	for _, u := range p.group.list {
		if u.slow.slow && !u.slow.probing && now >= u.slow.probeAt && len(u.awaiting) == 0 && c.allowed(now, u, p) && u.outstanding < u.slots {
			return u
		}
	}
	return nil
}
