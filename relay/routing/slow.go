package routing

import (
	"sort"
	"time"
)

// Slow upstream detection.
const (
	// slowFactor is the pace, relative to the group's median, from which an upstream counts as slow.
	slowFactor = 3.0
	// overdueFactor is the multiple of the longest time that an attempt should take from which its upstream counts as slow
	// before the first token; below it, other VMs' requests explain the delay as well.
	overdueFactor = 3.0
	// window is the number of observations of which the least is taken as the pace: queues that this VM can't see
	// lengthen some observations, a slow upstream lengthens all.
	window = 4
	// leastPace and mostPace bound what one observation can claim.
	leastPace = 0.3
	mostPace  = 20.0
	// paceGrace is subtracted from observations, since short times are mostly noise.
	paceGrace = 0.02
)

// slowness is the detection state of one upstream.
type slowness struct {
	slow     bool
	probing  bool
	probeAt  time.Duration
	interval time.Duration
	recent   [window]float64
	count    int
}

// currentPace returns the upstream's pace; an attempt that is overdue raises it before its first token arrives.
func (u *upstream) currentPace(now time.Duration) float64 {
	if len(u.awaiting) == 0 {
		return u.pace
	}
	a := u.awaiting[0]
	// The engine puts less urgent work off, for as long as others are sent.
	if a.urgency > 0 {
		return u.pace
	}
	late := min(mostPace, a.pastGrace((now-a.sent).Seconds())/a.most)
	if late < overdueFactor {
		return u.pace
	}
	return max(u.pace, late)
}

// usualSpread is the factor up to which paces differ by chance: other VMs' requests lengthen some observations.
const usualSpread = 2.5

// relativePace returns the pace to reckon with: that of the group unless the upstream stands out.
func (u *upstream) relativePace(now time.Duration) float64 {
	pace := u.currentPace(now)
	if pace < usualSpread*u.group.pace {
		return 1
	}
	return pace / u.group.pace
}

// pastGrace returns the time to first token without the link and without the noise of short times.
func (a *attempt) pastGrace(took float64) float64 {
	return max(0, took-a.up.link.roundTrip-paceGrace)
}

// observe takes an attempt's time as a multiple of the usual one.
func (c *Core) observe(now time.Duration, a *attempt, sample float64) {
	u := a.up
	sample = min(mostPace, max(leastPace, sample))
	s := &u.slow
	s.recent[s.count%window] = sample
	s.count++
	u.pace = sample
	for _, other := range s.recent[:min(s.count, window)] {
		u.pace = min(u.pace, other)
	}
	if c.policy == Reuse && s.count < window {
		// A few late answers may be the doing of other VMs that have not told yet.
		u.pace = min(u.pace, 1)
	}
	if a.probe {
		a.probe = false
		s.probing = false
		c.scheduleProbe(now, u, sample)
	}
}

// scheduleProbe sets the next probe: soon after a good one, ever later after bad ones.
func (c *Core) scheduleProbe(now time.Duration, u *upstream, sample float64) {
	if sample < slowFactor {
		u.slow.interval = c.times.Probe / 4
	} else {
		u.slow.interval = min(c.times.MaxProbe, max(c.times.Probe, 2*u.slow.interval))
	}
	u.slow.probeAt = now + u.slow.interval
}

// rate compares every upstream's pace with the median of its group.
func (c *Core) rate(now time.Duration, g *group) {
	paces := c.paces[:0]
	for _, u := range g.list {
		if !u.closed {
			paces = append(paces, u.pace)
		}
	}
	c.paces = paces
	if len(paces) == 0 {
		return
	}
	g.busy.settle(now, len(paces), 1+c.neighbours(now))
	sort.Float64s(paces)
	g.pace = max(1, paces[len(paces)/2])
	limit := slowFactor * g.pace
	for _, u := range g.list {
		slow := u.currentPace(now) > limit
		if slow && !u.slow.slow {
			u.slow.interval = c.times.Probe
			u.slow.probeAt = now + c.times.Probe
		}
		u.slow.slow = slow
	}
	g.count()
}

// probeFor returns a slow upstream that is due for a probe and may take the request, or nil.
func (c *Core) probeFor(now time.Duration, p *plan) *upstream {
	if !p.group.slow || !p.hedgeable() || !c.hedges.Left() {
		return nil
	}
	for _, u := range p.group.list {
		if u.slow.slow && !u.slow.probing && now >= u.slow.probeAt && len(u.awaiting) == 0 && c.allowed(now, u, p) && u.outstanding < u.slots {
			return u
		}
	}
	return nil
}
