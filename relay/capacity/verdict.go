package capacity

import (
	"math"
	"slices"
	"time"
)

const (
	// minDeviation is the least deviation, as a factor, from which a server differs from its group: less moves few requests.
	minDeviation = 1.2
	// changeFactor is the least change, as a factor, of a verdict in force; a verdict that deviates less is withdrawn.
	changeFactor = 1.1
	// baseZ is the number of standard errors within which the deviation of a single server counts as chance.
	baseZ = 5
	// minDuration is the time for which a server must deviate before it gets a verdict.
	minDuration = 2 * time.Second
)

// Change is a verdict that changed, with what it is based on.
type Change struct {
	Server string
	// From and To are factors, Knee is the share of slots below the knee.
	From, To, Knee float64
	// Windows and Observations are the evidence of all VMs, Error is the standard error of the factor's logarithm.
	Windows, Observations int
	Error                 float64
}

// Tick computes the verdicts, at most once in 250 ms, and returns those that changed, in order of the servers' names.
func (c *Core) Tick(now time.Duration) []Change {
	if now-c.tickedAt < tickInterval && c.tickedAt > 0 {
		return nil
	}
	c.tickedAt = now
	var changes []Change
	for _, g := range c.groups {
		changes = append(changes, g.judge(now)...)
	}
	slices.SortFunc(changes, func(a, b Change) int {
		if a.Server < b.Server {
			return -1
		}
		return 1
	})
	return changes
}

// judge compares the servers of a group.
func (g *group) judge(now time.Duration) []Change {
	var centers, spreads []float64
	for _, s := range g.members {
		if s.observedAt == 0 {
			s.observedAt = now
		}
		if s.windows.close(now, max(minSpread, g.spread)) && s.trial {
			s.endTrial(g.reference)
		}
		if center, spread, ok := s.estimate(); ok {
			centers, spreads = append(centers, center), append(spreads, spread)
		}
	}
	if len(centers) < 2 {
		return nil
	}
	g.reference = interquartileMean(centers)
	g.spread = median(spreads)
	// The largest of m chance deviations is about sqrt(2 ln m) standard errors.
	z := baseZ + math.Sqrt(2*math.Log(float64(len(centers))))
	var changes []Change
	g.best = 0
	for _, s := range g.members {
		if change, changed := s.judge(now, g.reference, z); changed {
			changes = append(changes, change)
		}
		g.best = min(g.best, s.logFactor)
	}
	return changes
}

// endTrial replaces the verdict by what the trial showed if that differs.
func (s *server) endTrial(reference float64) {
	s.trial = false
	last := s.closed[len(s.closed)-1]
	shown := min(math.Log(MaxFactor), max(math.Log(MinFactor), last-reference))
	if math.Abs(shown-s.logFactor) > math.Log(stepFactor) {
		s.logFactor, s.usual = shown, last
		s.keepLast(1)
	}
}

// judge updates the verdict of a server whose group has the given reference.
func (s *server) judge(now time.Duration, reference, z float64) (Change, bool) {
	center, spread, ok := s.estimate()
	if !ok {
		return Change{}, false
	}
	if s.stepped {
		s.stepped = false
		s.knee.clear()
	}
	before := s.logFactor
	s.usual = center
	standardError := s.standardError(spread, s.group.spread)
	deviation := min(math.Log(MaxFactor), max(math.Log(MinFactor), center-reference))
	switch {
	case s.logFactor == 0:
		if math.Abs(deviation) <= max(math.Log(minDeviation), z*standardError) {
			s.deviatesSince = now
		} else if now-s.deviatesSince >= minDuration {
			s.logFactor = deviation
		}
	case math.Abs(deviation) < math.Log(changeFactor):
		s.logFactor = 0
	case math.Abs(deviation-s.logFactor) > max(math.Log(changeFactor), 2*standardError):
		s.logFactor = deviation
	}
	s.adopted = false
	kneeChanged := s.knee.update(now, s.group.curve[Call][:Levels], math.Sqrt(s.group.variance.value), kneeZ)
	if s.logFactor == before && !kneeChanged {
		return Change{}, false
	}
	return Change{
		Server: s.name, From: math.Exp(before), To: math.Exp(s.logFactor), Knee: float64(s.knee.level) / Levels,
		Windows: len(s.closed), Observations: s.observations, Error: standardError,
	}, true
}

// State is what is known of a server.
type State struct {
	Server       string
	Factor, Knee float64
	// Age is the time since the last observation.
	Age          time.Duration
	Observations int
}

// States returns what is known of the servers that have been observed, in order of their names.
func (c *Core) States(now time.Duration) []State {
	var list []State
	for _, name := range c.names {
		if s := c.servers[name]; s.observations > 0 || s.logFactor != 0 {
			list = append(list, State{Server: name, Factor: c.Factor(now, name), Knee: c.Knee(name), Age: now - s.observedAt, Observations: s.observations})
		}
	}
	return list
}
