package routing

import (
	"math"
	"strings"
	"time"

	"github.com/chicoryrelay/chicoryrelay/relay/capacity"
)

// WithSpeeds makes the core learn the speeds of engines.
func WithSpeeds(enabled bool) Option { return func(s *settings) { s.learnsSpeeds = enabled } }

// Speeds returns the core that learns the speeds of engines, nil if they are not learned.
func (c *Core) Speeds() *capacity.Core { return c.speeds }

// weightSteps is the number of steps of a doubling to which weights of homes are rounded, so that VMs whose factors differ slightly
// choose the same homes.
const weightSteps = 4

// speedGroup names the engines that do the same work.
func (v Version) speedGroup() string {
	return strings.Join([]string{v.Model, v.Adapter, v.Weights}, "\x00")
}

// tickSpeeds updates the factors of the engines from their verdicts.
func (c *Core) tickSpeeds(now time.Duration, effects *Effects) {
	if c.speeds == nil {
		return
	}
	effects.Speeds = append(effects.Speeds, c.speeds.Tick(now)...)
	for _, u := range c.upstreams {
		u.speed = c.speeds.Factor(now, u.info.Name)
	}
	for _, g := range c.groups {
		g.updateWeights()
	}
}

// updateWeights sets the weights of the group's homes: an engine's slots over the mean of the group, divided by its factor.
func (g *group) updateWeights() {
	slots := 0
	for _, u := range g.list {
		slots += u.slots
	}
	for _, u := range g.list {
		weight := float64(u.slots) * float64(len(g.list)) / float64(slots) / u.speed
		u.homeWeight = math.Exp2(math.Round(math.Log2(weight)*weightSteps) / weightSteps)
	}
}

// weightedScore returns the score of weighted rendezvous hashing: an engine has the highest score of all in proportion to its weight,
// and a change of one weight moves only keys from or to that engine. A weight of 1 leaves the hash as it is.
func weightedScore(hash uint64, weight float64) uint64 {
	if weight == 1 || weight == 0 {
		return hash
	}
	const span = 1 << 64
	score := math.Pow((float64(hash)+0.5)/span, 1/weight) * span
	if score >= span {
		return math.MaxUint64
	}
	return uint64(score)
}

// factor returns the engine's learned factor.
func (u *upstream) factor() float64 {
	if u.speed == 0 {
		return 1
	}
	return u.speed
}

// observeSpeed records the time to first token or the time per answer token of an attempt, as a multiple of the usual one.
func (c *Core) observeSpeed(now time.Duration, a *attempt, kind capacity.Kind, measured, expected float64) {
	if c.speeds == nil || expected <= 0 || measured <= 0 {
		return
	}
	c.speeds.Observe(now, capacity.Observation{Server: a.upstream.info.Name, Kind: kind, Load: a.load, Ratio: measured / expected})
}

// SpeedReport is an entry of a digest: what a VM has observed of an engine.
type SpeedReport = capacity.Report

// receiveSpeeds adds a peer's observations.
func (c *Core) receiveSpeeds(now time.Duration, reports []SpeedReport) {
	if c.speeds != nil {
		c.speeds.Receive(now, reports)
	}
}
