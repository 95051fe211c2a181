package balance

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// firstPause is the pause of a replica after a failure; it doubles up to lastPause. A crashed replica stays on the platform's
	// list for some seconds.
	firstPause = 200 * time.Millisecond
	lastPause  = 3 * time.Second
	// loadTime is how long a replica's own word on its load counts.
	loadTime = 400 * time.Millisecond
	// usualWork is the time of one request until it is learned.
	usualWork = 40 * time.Millisecond
	// failurePrice is the expected time that a request loses at a replica that fails all of them.
	failurePrice = 600 * time.Millisecond
	// failureMemory is the half-life of failures, so that a replica that gets no requests is tried again.
	failureMemory = 2 * time.Second
	// memory is the weight of one observation in the running means.
	memory = 0.1
)

// Candidate is one replica that may get a request.
type Candidate struct {
	ID string
	// Link is the round trip to the replica, with what the traffic there is worth.
	Link  time.Duration
	Slots int
}

// Load is what a replica said of its load.
type Load struct {
	Running, Waiting, Slots int
	// Pace is how long work takes there at this moment, with 1 as usual; 0 if unknown.
	Pace float64
}

// replica is what is known of one replica.
type replica struct {
	outstanding int
	load        Load
	heard       time.Duration
	// own is what this VM had there when the load was told.
	own      int
	told     bool
	failures int
	blocked  time.Duration
	// failed is the running share of requests that broke there.
	failed   float64
	failedAt time.Duration
	used     time.Duration
}

// Core decides for all plain services.
type Core struct {
	random   *rand.Rand
	replicas map[string]*replica
	// work is the mean time of a request by service.
	work map[string]float64
}

// New returns a core that knows no replica.
func New(random *rand.Rand) *Core {
	return &Core{random: random, replicas: map[string]*replica{}, work: map[string]float64{}}
}

func (c *Core) replica(id string) *replica {
	r, ok := c.replicas[id]
	if !ok {
		r = &replica{}
		c.replicas[id] = r
	}
	return r
}

// Choose returns the replica with the least expected time to answer, or false if none is left; those in pause after a failure
// are taken only if all others are excluded.
func (c *Core) Choose(now time.Duration, service string, candidates []Candidate, exclude []string) (string, bool) {
	best, found, bestCost := "", false, 0.0
	for _, paused := range []bool{false, true} {
		for _, candidate := range candidates {
			r := c.replica(candidate.ID)
			if slices.Contains(exclude, candidate.ID) || (now < r.blocked) != paused {
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

// cost is the expected time to answer in seconds, with a little noise between equal replicas.
func (c *Core) cost(now time.Duration, service string, candidate Candidate, r *replica) float64 {
	work, ok := c.work[service]
	if !ok {
		work = usualWork.Seconds()
	}
	busy, slots, pace := r.outstanding, max(1, candidate.Slots), 1.0
	if r.told && now-r.heard <= loadTime {
		busy = max(busy, r.load.Running+r.load.Waiting+r.outstanding-r.own)
		if r.load.Pace > 0 {
			pace = r.load.Pace
		}
		if r.load.Slots > 0 {
			slots = r.load.Slots
		}
	}
	queued := max(0, busy-slots+1)
	// A replica slows down when it is nearly full.
	crowd := 1 + float64(min(busy, slots))/float64(slots)/2
	cost := candidate.Link.Seconds() + work*pace*(crowd+float64(queued)/float64(slots)) + r.recentFailures(now)*failurePrice.Seconds()
	return cost * (1 + 0.02*c.random.Float64())
}

// recentFailures returns the share of failures as of now.
func (r *replica) recentFailures(now time.Duration) float64 {
	return r.failed * math.Exp2(-float64(now-r.failedAt)/float64(failureMemory))
}

// Sent counts a request at a replica; exactly one of Ended, Failed and Refused follows.
func (c *Core) Sent(now time.Duration, id string) {
	r := c.replica(id)
	r.outstanding++
	r.used = now
}

// Ended takes a whole answer that took the given time.
func (c *Core) Ended(now time.Duration, service, id string, took time.Duration, load *Load) {
	r := c.leave(now, id, load)
	r.failures, r.blocked = 0, 0
	r.failed -= r.failed * memory
	if work, ok := c.work[service]; ok {
		c.work[service] = work + (took.Seconds()-work)*memory
	} else {
		c.work[service] = took.Seconds()
	}
}

// Failed takes a request that broke.
func (c *Core) Failed(now time.Duration, id string) {
	r := c.leave(now, id, nil)
	r.failures++
	r.failed = r.recentFailures(now)
	r.failed += (1 - r.failed) * memory * 2
	r.failedAt = now
	r.blocked = now + min(lastPause, firstPause<<min(r.failures-1, 6))
}

// Refused takes the word of a replica that did not run a request, since it is full or leaving.
func (c *Core) Refused(now time.Duration, id string, load *Load) {
	r := c.leave(now, id, load)
	r.blocked = max(r.blocked, now+firstPause/4)
}

// Cancelled takes a request that was given up without fault of the replica.
func (c *Core) Cancelled(now time.Duration, id string) { c.leave(now, id, nil) }

func (c *Core) leave(now time.Duration, id string, load *Load) *replica {
	r := c.replica(id)
	r.outstanding = max(0, r.outstanding-1)
	if load != nil {
		r.load, r.heard, r.own, r.told = *load, now, r.outstanding, true
	}
	return r
}

// forgetTime is how long a replica that is not used is remembered.
const forgetTime = time.Minute

// Prune forgets replicas that were not used for long.
func (c *Core) Prune(now time.Duration) {
	for id, r := range c.replicas {
		if r.outstanding == 0 && now-r.used > forgetTime {
			delete(c.replicas, id)
		}
	}
}
