package balance

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/chicoryrelay/chicoryrelay/relay/capacity"
)

const (
	// minBackoff is how long a replica is avoided after a failure. It doubles with every further failure in a row, up to maxBackoff,
	// since a crashed replica stays on the platform's list for some seconds.
	minBackoff = 200 * time.Millisecond
	maxBackoff = 3 * time.Second
	// loadReportLifetime is how long a replica's load report counts.
	loadReportLifetime = 400 * time.Millisecond
	// defaultServiceTime is the assumed time of one request until the first answer of its service.
	defaultServiceTime = 40 * time.Millisecond
	// failurePenalty is the expected loss of time at a replica that fails all requests; it counts in proportion to the failure rate.
	failurePenalty = 600 * time.Millisecond
	// failureHalfLife is the half-life of the failure rate, so that a replica that gets no requests is tried again.
	failureHalfLife = 2 * time.Second
	// observationWeight is the weight of one observation in the running means.
	observationWeight = 0.1
)

// Candidate is one replica that may get a request.
type Candidate struct {
	ID string
	// Link is the round-trip time to the replica plus the price of the traffic, expressed as time.
	Link  time.Duration
	Slots int
}

// LoadReport is a replica's report of its load.
type LoadReport struct {
	Running, Waiting, Slots int
	// Slowdown is the current time of work relative to the usual time: 1 is usual, 2 is twice as slow, 0 is unknown.
	Slowdown float64
}

// replica is the state of one replica as this VM sees it.
type replica struct {
	outstanding    int
	load           LoadReport
	loadReceivedAt time.Duration
	// outstandingAtLoad is the number of this VM's requests there when load was received.
	outstandingAtLoad   int
	hasLoad             bool
	consecutiveFailures int
	blockedUntil        time.Duration
	// failureRate is the running share of failed requests as of lastFailure.
	failureRate float64
	lastFailure time.Duration
	lastUsed    time.Duration
	// nextLoad is the share of slots in use with one more request, lastLoad that with the request sent last; usualSlowdown is the mean
	// logarithm of the reported slowdowns.
	nextLoad      float64
	lastLoad      float64
	usualSlowdown float64
}

// Core chooses replicas for all plain services.
type Core struct {
	random   *rand.Rand
	replicas map[string]*replica
	// serviceTime is the mean time of a request, in seconds, by service.
	serviceTime map[string]float64
	// speeds learns the speeds of the replicas, nil if they are not learned.
	speeds *capacity.Core
}

// New returns a core without replicas.
func New(random *rand.Rand, options ...Option) *Core {
	c := &Core{random: random, replicas: map[string]*replica{}, serviceTime: map[string]float64{}}
	for _, option := range options {
		option(c)
	}
	return c
}

func (c *Core) replica(id string) *replica {
	r, ok := c.replicas[id]
	if !ok {
		r = &replica{}
		c.replicas[id] = r
	}
	return r
}

// Choose returns the replica with the least expected time to answer, or false if all are excluded. Replicas in backoff after a
// failure are chosen only if there is no other.
func (c *Core) Choose(now time.Duration, service string, candidates []Candidate, exclude []string) (string, bool) {
	best, found, bestCost := "", false, 0.0
	for _, inBackoff := range []bool{false, true} {
		for _, candidate := range candidates {
			r := c.replica(candidate.ID)
			if c.speeds != nil {
				c.speeds.Add(service, candidate.ID)
			}
			if slices.Contains(exclude, candidate.ID) || (now < r.blockedUntil) != inBackoff {
				continue
			}
			cost := c.cost(now, service, candidate, r)
			if !found || cost < bestCost {
				best, found, bestCost = candidate.ID, true, cost
			}
		}
		if found {
			break
		}
	}
	return best, found
}

// cost returns the expected time to answer in seconds, with up to 2% of noise to spread requests over equal replicas.
func (c *Core) cost(now time.Duration, service string, candidate Candidate, r *replica) float64 {
	serviceTime, ok := c.serviceTime[service]
	if !ok {
		serviceTime = defaultServiceTime.Seconds()
	}
	busy, slots, slowdown := r.outstanding, max(1, candidate.Slots), 1.0
	reported := false
	if r.hasLoad && now-r.loadReceivedAt <= loadReportLifetime {
		reported = true
		busy = max(busy, r.load.Running+r.load.Waiting+r.outstanding-r.outstandingAtLoad)
		if r.load.Slowdown > 0 {
			slowdown = r.load.Slowdown
		}
		if r.load.Slots > 0 {
			slots = r.load.Slots
		}
	}
	r.nextLoad = loadWith(busy, slots)
	slowdown *= c.factor(now, candidate.ID, r, reported)
	usable := c.usableSlots(candidate.ID, slots)
	queued := max(0, busy-usable+1)
	// A replica answers more slowly the more of its slots are in use.
	occupancyFactor := 1 + float64(min(busy, usable))/float64(slots)/2
	if queued > 0 && usable < slots {
		occupancyFactor += aboveKneeCost
	}
	cost := candidate.Link.Seconds() + serviceTime*slowdown*(occupancyFactor+float64(queued)/float64(usable)) + r.recentFailureRate(now)*failurePenalty.Seconds()
	return cost * (1 + 0.02*c.random.Float64())
}

// recentFailureRate returns the failure rate, decayed to now.
func (r *replica) recentFailureRate(now time.Duration) float64 {
	return r.failureRate * math.Exp2(-float64(now-r.lastFailure)/float64(failureHalfLife))
}

// Sent counts a request at a replica; exactly one of Completed, Failed, Refused and Cancelled follows.
func (c *Core) Sent(now time.Duration, id string) {
	r := c.replica(id)
	r.outstanding++
	r.lastUsed, r.lastLoad = now, r.nextLoad
}

// Completed records a complete answer, the time it took and the load report that came with it, nil if none.
func (c *Core) Completed(now time.Duration, service, id string, took time.Duration, load *LoadReport) {
	r := c.endRequest(now, id, load)
	r.consecutiveFailures, r.blockedUntil = 0, 0
	r.failureRate -= r.failureRate * observationWeight
	usual := c.learn(now, service, id, r, took, load)
	if serviceTime, ok := c.serviceTime[service]; ok {
		c.serviceTime[service] = serviceTime + (usual-serviceTime)*observationWeight
	} else {
		c.serviceTime[service] = usual
	}
}

// Failed records a failed request.
func (c *Core) Failed(now time.Duration, id string) {
	r := c.endRequest(now, id, nil)
	r.consecutiveFailures++
	r.failureRate = r.recentFailureRate(now)
	r.failureRate += (1 - r.failureRate) * observationWeight * 2
	r.lastFailure = now
	r.blockedUntil = now + min(maxBackoff, minBackoff<<min(r.consecutiveFailures-1, 6))
}

// Refused records that a replica did not run a request because it is full or leaving.
func (c *Core) Refused(now time.Duration, id string, load *LoadReport) {
	r := c.endRequest(now, id, load)
	r.blockedUntil = max(r.blockedUntil, now+minBackoff/4)
}

// Cancelled records that a request ended without an answer and without fault of the replica.
func (c *Core) Cancelled(now time.Duration, id string) { c.endRequest(now, id, nil) }

func (c *Core) endRequest(now time.Duration, id string, load *LoadReport) *replica {
	r := c.replica(id)
	r.outstanding = max(0, r.outstanding-1)
	if load != nil {
		r.load, r.loadReceivedAt, r.outstandingAtLoad, r.hasLoad = *load, now, r.outstanding, true
	}
	return r
}

// replicaRetention is how long an unused replica's state is kept.
const replicaRetention = time.Minute

// Prune removes replicas that are idle and were not used within replicaRetention.
func (c *Core) Prune(now time.Duration) {
	for id, r := range c.replicas {
		if r.outstanding == 0 && now-r.lastUsed > replicaRetention {
			delete(c.replicas, id)
			if c.speeds != nil {
				c.speeds.Remove(id)
			}
		}
	}
}
