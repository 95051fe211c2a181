package routing

import (
	"cmp"
	"slices"
	"time"
)

// Fairness between accounts answers the pattern of start-time fair queueing: accounts share what the engines can do by their weights
// (max-min), and within an account those that can still be in time come first, of these the urgent ones, then the old ones.

// scope returns the scope within which the request shares cached prompts.
func (r *Request) scope() string {
	if r.Scope != "" {
		return r.Scope
	}
	return r.Account
}

// orderFairly orders the queued requests: by the virtual time at which each may start if its account's requests run one after the other.
func (c *Core) orderFairly(now time.Duration, order []scoredFlight) {
	for i := range order {
		order[i].score = c.score(now, order[i].flight)
	}
	slices.SortStableFunc(order, func(a, b scoredFlight) int {
		return cmp.Or(compareBool(a.flight.late, b.flight.late), cmp.Compare(a.flight.request.Urgency, b.flight.request.Urgency), cmp.Compare(a.score, b.score))
	})
	furthest := 0.0
	for i := range order {
		furthest = max(furthest, c.fairQueue.Start(order[i].flight.request.Account))
	}
	clear(c.queue.starts)
	for i := range order {
		f := order[i].flight
		start, ok := c.queue.starts[f.request.Account]
		if !ok {
			start = c.fairQueue.Start(f.request.Account)
		}
		f.behind = c.fairQueue.Start(f.request.Account) < furthest
		order[i].start = start
		c.queue.starts[f.request.Account] = start + c.fairQueue.Share(f.request.Account, c.queueCost(f))
	}
	slices.SortStableFunc(order, func(a, b scoredFlight) int { return cmp.Compare(a.start, b.start) })
	if len(order) > 0 {
		// Requests that find no upstream hold the virtual time, so that those served before them give them no arrears.
		c.fairQueue.Advance(order[0].start)
	}
}

// compareBool orders false before true.
func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return 1
	}
	return -1
}

// queueCost returns what a request is charged in the fair queue: its time at an upstream, as a share of the slots.
func (c *Core) queueCost(f *flight) time.Duration {
	return seconds(f.serviceTime / float64(f.group.slots))
}

// yields reports whether a new request must wait its turn behind queued ones of other accounts that have had no more of their share, also if
// an upstream is ready for it.
func (c *Core) yields(f *flight) bool {
	start := c.fairQueue.Start(f.request.Account)
	for _, other := range c.queue.list {
		if (!other.late || other.behind) && other.request.Account != f.request.Account && c.fairQueue.Start(other.request.Account) <= start {
			return true
		}
	}
	return false
}

// Queued tries to dispatch the queue, after a decision with Yielded.
type Queued struct{}

func (Queued) apply(c *Core, now time.Duration, effects *Effects) { c.dispatchQueue(now, effects) }
