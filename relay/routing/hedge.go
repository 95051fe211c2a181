package routing

import "time"

// hedgeFactor is the multiple of the expected time to first token after which a second attempt is worth its prefill.
const hedgeFactor = 2.5

// maxHedgeTokens bounds the prefill of a second attempt while the first upstream isn't known to be slow: copies of long prefixes
// would evict others from the cache.
const maxHedgeTokens = 1024

// probeHedgeFactor replaces hedgeFactor for probes, which go to an upstream that is expected to be slow.
const probeHedgeFactor = 1.2

func (c *Core) hedgeDelay(ttft float64) time.Duration {
	return max(c.times.MinHedgeDelay, seconds(hedgeFactor*ttft))
}

// StartHedge starts the second attempt when a hedge's delay has passed. It returns false if the first token has arrived, the hedge
// budget is spent or no suitable upstream is ready.
func (c *Core) StartHedge(now time.Duration, id string) (Decision, bool) {
	f := c.flights[id]
	if f == nil || f.queued || len(f.attempts) != 1 || f.attempts[0].first || !f.request.Idempotent || !c.hedges.CanWithdraw() {
		return Decision{}, false
	}
	var p plan
	if !c.plan(now, f, &p) {
		return Decision{}, false
	}
	first := f.attempts[0]
	ch := c.choose(now, &p, first.upstream)
	if ch.ready == nil || ch.ready.slow.slow || p.tokens-ch.readyCost.cached > maxHedgeTokens && !first.upstream.slow.slow || !c.hedges.Withdraw() {
		return Decision{}, false
	}
	return c.place(now, f, ch.ready, &p, choice{}), true
}

// probe sends the request to a slow upstream to measure whether it has recovered, with an early hedge that limits the delay for the
// caller.
func (c *Core) probe(now time.Duration, f *flight, u *upstream, p *plan, ch choice) Decision {
	d := c.place(now, f, u, p, choice{})
	a := f.attempts[0]
	a.probe = true
	u.slow.probing = true
	usual := a.expected
	d.Hedge = &Hedge{Delay: max(c.times.MinHedgeDelay/2, seconds(probeHedgeFactor*usual)), Upstream: ch.ready.info.Name}
	return d
}
