package routing

import "time"

// Candidate is one upstream's cost in a decision.
type Candidate struct {
	Upstream string
	// Cached is the number of prompt tokens expected to be cached.
	Cached   int
	Wait     time.Duration
	Prefill  time.Duration
	Transfer time.Duration
	Link     time.Duration
	Price    time.Duration
	// Total is the cost that decisions compare. Under Cost it is a time in which Shares.Waste weighs the prefill; under Reuse a second
	// stands for the whole worth of a request.
	Total time.Duration
	Home  bool
	Ready bool
	Slow  bool
	// ExclusionReason is the reason why the upstream is no candidate, empty if it is one.
	ExclusionReason string
}

// Explain returns the costs of all upstreams of the request's version as a decision would now see them, and affects none.
func (c *Core) Explain(now time.Duration, r Request) []Candidate {
	f := &flight{request: r, placementLevel: max(0, len(r.Levels)-1)}
	if existing := c.flights[r.ID]; existing != nil && existing.placementLevel >= 0 {
		f.placementLevel = existing.placementLevel
	}
	var p plan
	if !c.plan(now, f, &p) {
		return nil
	}
	c.classify(f, &p)
	list := make([]Candidate, 0, len(p.group.list))
	for _, u := range p.group.list {
		var e cost
		c.estimate(now, u, &p, min(int(c.cachedTokens[u.handle]), p.tokens), &e)
		list = append(list, Candidate{
			Upstream: u.info.Name, Cached: e.cached, Wait: seconds(e.wait), Prefill: seconds(e.prefill), Transfer: seconds(e.transfer),
			Link: seconds(e.link), Price: seconds(e.price), Total: seconds(e.total),
			Home: p.homes.has(u), Ready: e.ready, Slow: u.slow.slow, ExclusionReason: c.exclusionReason(now, u, &p),
		})
	}
	return list
}

func (c *Core) exclusionReason(now time.Duration, u *upstream, p *plan) string {
	switch {
	case u.reportedLeaving || u.listedLeaving:
		return "leaving"
	case u.draining:
		return "draining"
	case u.region&p.regions == 0:
		return "region"
	case u.silent:
		return "silent"
	case now < u.ejectedUntil:
		return "failed"
	case now < u.pausedUntil:
		return "paused"
	case !c.allowed(now, u, p):
		return "excluded"
	}
	return ""
}
