package capacity

import (
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Kind is what an observation measured; each kind has its own relation of load to time.
type Kind uint8

// The kinds of observations.
const (
	Prefill Kind = iota
	Decode
	Call
	kinds
)

// Levels is the number of equal parts into which the load of a server, the share of its slots in use, is divided.
const Levels = 8

// MinFactor and MaxFactor bound the factor of a server.
const (
	MinFactor = 0.25
	MaxFactor = 4.0
)

const (
	// maxRatio bounds a single observation either way.
	maxRatio = 8.0
	// minCurve is the number of observations of a level before its mean is used.
	minCurve = 8
	// curveWindow is the number of observations after which a mean of the curve follows changes instead of being a plain mean.
	curveWindow = 200
	// maxCurveStep bounds the deviation that one observation adds to the curve: a server that turns slow must not take it along.
	maxCurveStep = 0.35
	// tickInterval is the interval at which verdicts are computed.
	tickInterval = 250 * time.Millisecond
)

// Observation is one measured time of a server.
type Observation struct {
	Server string
	Kind   Kind
	// Load is the share of the server's slots in use when the request was sent, this request included.
	Load float64
	// Ratio is the measured time over the time expected of a usual server of the group.
	Ratio float64
}

// Core learns the capacity of servers.
type Core struct {
	groups  map[string]*group
	servers map[string]*server
	byHash  map[uint32]*server
	// names are the servers' names in order, and next the position from which the next report begins.
	names    []string
	next     int
	tickedAt time.Duration
}

// group is a set of servers that do the same work.
type group struct {
	members map[string]*server
	// curve has the mean logarithm of ratios at a usual server, by kind and level, as this VM observes it.
	curve [kinds][overfull + 1]runningMean
	// variance is that of single observations about the curve.
	variance runningMean
	// spread is the usual standard deviation of a server's windows.
	spread float64
	// reference is the estimate of a usual server.
	reference float64
	// best is the logarithm of the least factor.
	best float64
}

// server is the state of one server.
type server struct {
	name  string
	hash  uint32
	group *group
	windows
	knee
	// usual is the last estimate, in logarithms over the curve; logFactor is the logarithm of the verdict's factor, 0 for none;
	// adopted reports that the verdict is a peer's.
	usual     float64
	logFactor float64
	adopted   bool
	// trial is set from the first observation after a long time until the end of its window; the verdict has the weight trialTrust
	// meanwhile.
	trial      bool
	trialTrust float64
	// deviatesSince is the time from which a server without a verdict has deviated, observedAt that of the last observation of any VM.
	deviatesSince time.Duration
	observedAt    time.Duration
	// observations counts those behind the estimate, of all VMs.
	observations int
	// pending are the VM's own observations that it has not reported yet.
	pending [overfull + 1]sum
}

// sum is a number of observations and the sum of their logarithms.
type sum struct {
	count int
	total float64
}

// maxPending is the number of observations of a level that are reported at most: a VM without others to report to must not tell the
// first one of the distant past.
const maxPending = 64

func (s *sum) add(value float64) {
	if s.count >= maxPending {
		s.count, s.total = s.count/2, s.total/2
	}
	s.count++
	s.total += value
}

// New returns a core without servers.
func New() *Core {
	return &Core{groups: map[string]*group{}, servers: map[string]*server{}, byHash: map[uint32]*server{}}
}

// Add makes a server known as a member of a group; a server that changes its group is learned anew.
func (c *Core) Add(groupName, name string) {
	if s := c.servers[name]; s != nil {
		if s.group == c.groups[groupName] {
			return
		}
		c.Remove(name)
	}
	g := c.groups[groupName]
	if g == nil {
		g = &group{members: map[string]*server{}}
		c.groups[groupName] = g
	}
	s := &server{name: name, hash: uint32(xxhash.Sum64String(groupName + "\x00" + name)), group: g, knee: newKnee()}
	g.members[name], c.servers[name], c.byHash[s.hash] = s, s, s
	at, _ := slices.BinarySearch(c.names, name)
	c.names = slices.Insert(c.names, at, name)
}

// Remove forgets a server.
func (c *Core) Remove(name string) {
	s := c.servers[name]
	if s == nil {
		return
	}
	delete(c.servers, name)
	delete(c.byHash, s.hash)
	delete(s.group.members, name)
	if len(s.group.members) == 0 {
		for groupName, g := range c.groups {
			if g == s.group {
				delete(c.groups, groupName)
			}
		}
	}
	if at, found := slices.BinarySearch(c.names, name); found {
		c.names = slices.Delete(c.names, at, at+1)
	}
}

// Observe records an observation of this VM; those of unknown servers are ignored.
func (c *Core) Observe(now time.Duration, o Observation) {
	s := c.servers[o.Server]
	if s == nil || !(o.Ratio > 0) {
		return
	}
	level := levelOf(o.Load)
	usual := &s.group.curve[o.Kind][level]
	known := usual.count >= minCurve
	relative := math.Log(min(maxRatio, max(1/maxRatio, o.Ratio))) - usual.value
	deviation := relative - s.usual
	if s.knee.below(level) {
		if known {
			deviation = min(maxCurveStep, max(-maxCurveStep, deviation))
		}
		usual.add(usual.value + deviation)
	}
	if !known {
		return
	}
	s.group.variance.add(deviation * deviation)
	s.pending[level].add(relative)
	s.add(now, level, sum{1, relative})
}

// add records observations of any VM.
func (s *server) add(now time.Duration, level int, observed sum) {
	if trust := s.trust(now); trust < 1 && len(s.closed) > 0 {
		if !s.trial {
			s.current = sum{}
		}
		// One observation that agrees with the verdict ends the trial, others are waited for.
		s.trial = math.Abs(observed.total/float64(observed.count)-s.usual) > math.Log(trialFactor)
		s.trialTrust = trust
	}
	s.observedAt = now
	s.knee.add(now, level, sum{observed.count, observed.total - float64(observed.count)*s.usual})
	if s.knee.below(level) {
		s.windows.add(now, observed)
		s.observations += observed.count
	}
}

// overfull is the level of requests that had to wait for a slot.
const overfull = Levels

func levelOf(load float64) int {
	return max(0, min(overfull, int(math.Ceil(load*Levels-1e-9))-1))
}

// Factor returns the factor by which a server takes longer than its group, 1 unless its deviation exceeds chance.
func (c *Core) Factor(now time.Duration, name string) float64 {
	s := c.servers[name]
	if s == nil || s.logFactor == 0 && s.group.best == 0 {
		return 1
	}
	best := min(0, s.group.best)
	return math.Exp(best + (s.logFactor-best)*s.trust(now))
}

// Knee returns the share of a server's slots up to which it takes no longer than usual, 1 if no lower one is known.
func (c *Core) Knee(name string) float64 {
	s := c.servers[name]
	if s == nil {
		return 1
	}
	return float64(s.knee.level) / Levels
}

const (
	// trialAfter is the time without an observation from which a server counts as faster, half way to the fastest one of its group in
	// each further trialAfter, so that a server that is avoided is tried again.
	trialAfter = 30 * time.Second
	// trialFactor is the factor up to which a single observation agrees with a verdict.
	trialFactor = 1.6
)

// trust returns the weight of the verdict, between 0 and 1.
func (s *server) trust(now time.Duration) float64 {
	if s.trial {
		return s.trialTrust
	}
	age := now - s.observedAt
	if age <= trialAfter {
		return 1
	}
	return math.Exp2(-float64(age-trialAfter) / float64(trialAfter))
}

// runningMean is a mean that starts as a plain one and follows changes later.
type runningMean struct {
	value float64
	count int
}

func (m *runningMean) add(value float64) {
	m.count = min(m.count+1, curveWindow)
	m.value += (value - m.value) / float64(m.count)
}
