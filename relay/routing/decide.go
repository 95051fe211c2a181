package routing

import (
	"cmp"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/chicoryrelay/chicoryrelay/relay/admission"
	"github.com/chicoryrelay/chicoryrelay/relay/cache"
	"github.com/chicoryrelay/chicoryrelay/relay/outcome"
)

// Decide places a request. A sent request counts in its upstream's load until Finished, Failed or Cancelled ends it, so each must be
// ended.
func (c *Core) Decide(now time.Duration, r Request) Decision {
	if c.flights[r.ID] != nil {
		return refused(outcome.Running, "use an ID that is not in progress")
	}
	if !c.limits.Acquire(now, r.Account) {
		return refused(outcome.AccountLimit, "wait for the account's requests in progress to end, or ask the operators for a higher limit")
	}
	f := &flight{request: r, arrived: now, placementLevel: -1, admitted: true}
	c.flights[r.ID] = f
	if r.Attempt == 0 {
		c.retries.Deposit()
		c.hedges.Deposit()
	}
	var p plan
	if len(r.Only) > 0 {
		return c.decideOnly(now, f, &p)
	}
	if !c.plan(now, f, &p) {
		c.endRequest(f)
		return noUpstream()
	}
	if c.policy != Cost && baselines[c.policy] != nil {
		return c.decideBaseline(now, f, &p)
	}
	return c.decideCost(now, f, &p)
}

// decideOnly places the request at one of the upstreams that it is limited to, the one with the newest weights, and of these the first.
func (c *Core) decideOnly(now time.Duration, f *flight, p *plan) Decision {
	regions := c.allowedRegions(&f.request)
	var best *upstream
	for _, name := range f.request.Only {
		u := c.byName[name]
		if u == nil || u.draining || u.silent || u.region&regions == 0 || now < u.pausedUntil || c.outdated(now, u.group) || !f.request.fits(u) {
			continue
		}
		if v := u.group.version; v.Model != f.request.Model || v.Adapter != f.request.Adapter {
			continue
		}
		if best == nil || newerWeights(u.group.version.Weights, best.group.version.Weights) {
			best = u
		}
	}
	f.request.Exclude = nil
	if best == nil || !c.planInGroup(now, f, p, best.group, regions) {
		c.endRequest(f)
		return noUpstream()
	}
	if !c.hasRoom(best, p) {
		c.endRequest(f)
		return noUpstream()
	}
	c.classify(f, p)
	return c.place(now, f, best, p, choice{})
}

// newerWeights compares two weights versions, which are decimal numbers or other names in alphabetical order.
func newerWeights(a, b string) bool {
	return cmp.Or(cmp.Compare(len(a), len(b)), cmp.Compare(a, b)) > 0
}

func noUpstream() Decision {
	return refused(outcome.NoUpstream, "retry later, or ask the operators for an upstream that serves this model, adapter and weights in an allowed region")
}

func deadlineTooNear() Decision {
	return refused(outcome.DeadlineTooNear, "retry later or allow a longer deadline: the first token can't arrive in time")
}

// choice is the result of comparing the candidates for a request.
type choice struct {
	// ready is the cheapest upstream that would start soon, second the next cheapest of these, and best the cheapest of all
	// candidates.
	ready, best, second             *upstream
	readyCost, bestCost, secondCost cost
	// missedDeadline reports that candidates were left out because their first token would come after the deadline.
	missedDeadline bool
}

// choose compares the candidates: first homes and upstreams with cached tokens, then the others as long as their lower bound can
// still win.
func (c *Core) choose(now time.Duration, p *plan, skip *upstream) choice {
	var ch choice
	for _, u := range p.group.list {
		if u != skip && (c.cachedTokens[u.handle] > 0 || p.homes.has(u)) && c.allowed(now, u, p) {
			c.compare(now, u, p, &ch)
		}
	}
	bound := c.minColdCost(p)
	for _, u := range p.group.list {
		if ch.ready != nil && ch.readyCost.total <= bound {
			break
		}
		if u != skip && c.cachedTokens[u.handle] == 0 && !p.homes.has(u) && c.allowed(now, u, p) {
			c.compare(now, u, p, &ch)
		}
	}
	return ch
}

// compare estimates one candidate and updates the choice.
func (c *Core) compare(now time.Duration, u *upstream, p *plan, ch *choice) {
	var e cost
	c.estimate(now, u, p, min(int(c.cachedTokens[u.handle]), p.tokens), &e)
	e.ready = e.ready && !c.awaitsPrefill(now, u, p, e.cached)
	if admission.MissesDeadline(now, p.flight.request.Deadline, seconds(e.ttft())) {
		ch.missedDeadline = true
		return
	}
	if ch.best == nil || e.total < ch.bestCost.total {
		ch.best, ch.bestCost = u, e
	}
	switch {
	case !e.ready:
	case ch.ready == nil || e.total < ch.readyCost.total:
		ch.second, ch.secondCost = ch.ready, ch.readyCost
		ch.ready, ch.readyCost = u, e
	case ch.second == nil || e.total < ch.secondCost.total:
		ch.second, ch.secondCost = u, e
	}
}

// minQueueGain, in the unit of cost.total, is how much cheaper a busy upstream must be for a request to queue for it while another one
// is ready.
const minQueueGain = 0.01

// decideCost places the request at the cheapest upstream or queues it, for the policies Cost and Reuse.
func (c *Core) decideCost(now time.Duration, f *flight, p *plan) Decision {
	c.classify(f, p)
	ch := c.choose(now, p, nil)
	if ch.best == nil && ch.missedDeadline {
		c.endRequest(f)
		return deadlineTooNear()
	}
	if u := c.probeFor(now, p); u != nil && ch.ready != nil && ch.ready != u && c.hasRoom(u, p) {
		return c.probe(now, f, u, p, ch)
	}
	if ch.ready != nil && ch.readyCost.total <= ch.bestCost.total+minQueueGain {
		if !c.yields(f) {
			return c.place(now, f, ch.ready, p, ch)
		}
		d := c.enqueue(now, f, ch.best, ch.bestCost)
		d.Yielded = d.Queued
		return d
	}
	c.noteRoom(f, p, ch.best)
	return c.enqueue(now, f, ch.best, ch.bestCost)
}

// place sends the request to an upstream. It verifies the binding of the cached prefix, since the request relies on it from here on.
func (c *Core) place(now time.Duration, f *flight, u *upstream, p *plan, ch choice) Decision {
	var e cost
	c.estimate(now, u, p, min(int(c.cachedTokens[u.handle]), p.tokens), &e)
	binding := u.binding(f.request.scope())
	binding.Incarnation = c.cache.Incarnation(u.handle)
	cached := max(e.cached, e.cachedAfterFetch)
	if c.policy != Reuse {
		cached = min(c.cache.UsableTokens(now, binding, f.request.Levels), p.tokens)
	}
	d := Decision{
		Upstream: u.info.Name, Incarnation: binding.Incarnation, Weights: u.info.Weights, Priority: f.priority,
		CachedTokens: cached, ExpectedTTFT: seconds(e.ttft()),
	}
	if e.fetchFrom != nil {
		d.FetchFrom = e.fetchFrom.Name
	} else if e.transfer > 0 {
		d.Import = c.planImport(now, f, p)
	}
	if d.Import != nil {
		d.CachedTokens = max(cached, d.Import.Tokens)
	} else if c.policy != Reuse {
		c.countAvoidable(now, u, p, &e)
	}
	if p.hedgeable() && ch.second != nil {
		d.Hedge = &Hedge{Delay: c.hedgeDelay(e.ttft()), Upstream: ch.second.info.Name}
	}
	c.fairQueue.Charge(f.request.Account, c.queueCost(f))
	c.startAttempt(now, f, u, d.CachedTokens, false)
	c.recordHeld(now, u.handle, p.partKeys)
	d.Notice = c.placementNotice(u, p, d.CachedTokens)
	// Parts prefilled now are saved to a store, so that other engines can fetch them after this engine has evicted them.
	if s := c.nearestStore(u); s != nil && d.CachedTokens < p.sharedTokens {
		d.SaveTo = s.info.Name
	}
	return d
}

// planImport verifies the exporter's cache entry, since the import relies on it; it returns nil if nothing is usable.
func (c *Core) planImport(now time.Duration, f *flight, p *plan) *Import {
	binding := p.exporter.binding(f.request.scope())
	binding.Incarnation = c.cache.Incarnation(p.exporter.handle)
	tokens := min(c.cache.UsableTokens(now, binding, f.request.Levels), p.tokens)
	if tokens == 0 {
		return nil
	}
	return &Import{From: p.exporter.info.Name, Incarnation: binding.Incarnation, Tokens: tokens}
}

// countAvoidable counts prefill tokens that another upstream had cached and with which its first token would have come earlier.
func (c *Core) countAvoidable(now time.Duration, chosen *upstream, p *plan, e *cost) {
	longestCached := e.cached
	if p.longestCached <= longestCached {
		return
	}
	for _, u := range p.group.list {
		cached := min(int(c.cachedTokens[u.handle]), p.tokens)
		if u == chosen || cached <= longestCached || !c.allowed(now, u, p) {
			continue
		}
		var other cost
		if c.estimate(now, u, p, cached, &other); other.ttft() < e.ttft() {
			longestCached = cached
		}
	}
	c.waste.Avoidable += uint64(longestCached - e.cached)
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// scopeHash separates equal prompts of different accounts and versions in the demand sketch and in placement.
func scopeHash(s cache.Scope) uint64 {
	h := xxhash.Sum64String(s.Account)
	h = mix(h, xxhash.Sum64String(s.Model))
	h = mix(h, xxhash.Sum64String(s.Adapter))
	return mix(h, xxhash.Sum64String(s.Weights))
}
