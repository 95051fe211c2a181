package balance

import (
	"math"
	"time"

	"github.com/chicoryrelay/chicoryrelay/relay/capacity"
)

const (
	// aboveKneeCost is the cost of a request above a replica's knee, in times of its service: throughput does not grow there, so that
	// the request delays the others by as much as it takes itself.
	aboveKneeCost = 1.0
	// minSlowdown is the least mean of reported slowdowns that counts as lasting.
	minSlowdown = 1.2
	// slowdownWeight is the weight of one report in the mean, so that moments of some hundred milliseconds don't move it.
	slowdownWeight = 0.02
)

// Option sets a parameter of New.
type Option func(*Core)

// WithSpeeds makes the core learn the speeds and knees of the replicas.
func WithSpeeds(enabled bool) Option {
	return func(c *Core) {
		if enabled {
			c.speeds = capacity.New()
		}
	}
}

// Tick updates the learned speeds and returns the verdicts that changed.
func (c *Core) Tick(now time.Duration) []capacity.Change {
	if c.speeds == nil {
		return nil
	}
	return c.speeds.Tick(now)
}

// Speeds returns the core that learns the speeds of replicas, nil if they are not learned.
func (c *Core) Speeds() *capacity.Core { return c.speeds }

// load returns the share of slots in use if one more request is sent.
func loadWith(busy, slots int) float64 { return float64(busy+1) / float64(max(1, slots)) }

// usableSlots returns the slots below the knee.
func (c *Core) usableSlots(id string, slots int) int {
	if c.speeds == nil {
		return slots
	}
	return max(1, int(c.speeds.Knee(id)*float64(slots)))
}

// factor returns the factor of a replica's usual time: the learned one, and its usual slowdown while no report is recent.
func (c *Core) factor(now time.Duration, id string, r *replica, reported bool) float64 {
	if c.speeds == nil {
		return 1
	}
	factor := c.speeds.Factor(now, id)
	if usual := math.Exp(r.usualSlowdown); !reported && (usual > minSlowdown || usual < 1/minSlowdown) {
		factor *= usual
	}
	return factor
}

// learn records the time of an answer and returns that time at a usual replica.
func (c *Core) learn(now time.Duration, service, id string, r *replica, took time.Duration, load *LoadReport) float64 {
	seconds := took.Seconds()
	if c.speeds == nil {
		return seconds
	}
	expected, slowdown := c.serviceTime[service], 1.0
	if load != nil && load.Slowdown > 0 {
		slowdown = load.Slowdown
		r.usualSlowdown += (math.Log(min(capacity.MaxFactor, max(capacity.MinFactor, slowdown))) - r.usualSlowdown) * slowdownWeight
	}
	if expected > 0 {
		c.speeds.Observe(now, capacity.Observation{Server: id, Kind: capacity.Call, Load: r.lastLoad, Ratio: seconds / (expected * slowdown)})
	}
	return seconds / c.speeds.Factor(now, id)
}
