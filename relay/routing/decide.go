package routing

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/chicoryrelay/chicoryrelay/relay/admission"
	"github.com/chicoryrelay/chicoryrelay/relay/cache"
	"github.com/chicoryrelay/chicoryrelay/relay/outcome"
)

// Decide places a request. Sent requests count in the upstream's load from now on, so every one must end by Finished, Failed or Cancelled.
func (c *Core) Decide(now time.Duration, r Request) Decision {
	if c.flights[r.ID] != nil {
		return refused(outcome.Running, "use an ID that is not in progress")
	}
	if !c.limits.Enter(now, r.Account) {
		return refused(outcome.AccountLimit, "wait for the account's requests in progress to end, or ask the operators for a higher limit")
	}
	f := &flight{request: r, arrived: now, anchor: -1, entered: true}
	c.flights[r.ID] = f
	if r.Attempt == 0 {
		c.retries.Earn()
		c.hedges.Earn()
	}
	var p plan
	if !c.plan(now, f, &p) {
		c.finish(f)
		return noUpstream()
	}
	if c.policy != Cost && baselines[c.policy] != nil {
		return c.decideBaseline(now, f, &p)
	}
	return c.decideCost(now, f, &p)
}

func noUpstream() Decision {
	return refused(outcome.NoUpstream, "retry later, or ask the operators for an upstream that serves this model, adapter and weights in an allowed region")
}

func tooLate() Decision {
	return refused(outcome.DeadlineTooNear, "retry later or allow a longer deadline: the first token can't arrive in time")
}

// choice is the outcome of comparing the candidates.
type choice struct {
	// open is the best upstream that would begin soon, best the best of all, second the best open one but for open.
	open, best, second             *upstream
	openCost, bestCost, secondCost cost
	// late says that candidates were left out because the deadline would pass.
	late bool
}

// choose compares the candidates: first homes and upstreams with cached tokens, then the others as far as they can be better.
func (c *Core) choose(now time.Duration, p *plan, skip *upstream) choice {
	var ch choice
	for _, u := range p.group.list {
		if u != skip && (c.found[u.handle] > 0 || p.homes.has(u)) && c.allowed(now, u, p) {
			c.consider(now, u, p, &ch)
		}
	}
	bound := c.leastCold(p)
	for _, u := range p.group.list {
		if ch.open != nil && ch.openCost.total <= bound {
			break
		}
		if u != skip && c.found[u.handle] == 0 && !p.homes.has(u) && c.allowed(now, u, p) {
			c.consider(now, u, p, &ch)
		}
	}
	return ch
}

// consider compares one more candidate with the best ones.
func (c *Core) consider(now time.Duration, u *upstream, p *plan, ch *choice) {
	var e cost
	c.estimate(now, u, p, min(int(c.found[u.handle]), p.tokens), &e)
	if admission.Late(now, p.flight.request.Deadline, seconds(e.ttft())) {
		ch.late = true
		return
	}
	if ch.best == nil || e.total < ch.bestCost.total {
		ch.best, ch.bestCost = u, e
	}
	switch {
	case !e.open:
	case ch.open == nil || e.total < ch.openCost.total:
		ch.second, ch.secondCost = ch.open, ch.openCost
		ch.open, ch.openCost = u, e
	case ch.second == nil || e.total < ch.secondCost.total:
		ch.second, ch.secondCost = u, e
	}
}

// waitGain is the gain in seconds from which a request waits for a busy upstream although another one is open.
const waitGain = 0.01

func (c *Core) decideCost(now time.Duration, f *flight, p *plan) Decision {
	c.classify(f, p)
	ch := c.choose(now, p, nil)
	if ch.best == nil && ch.late {
		c.finish(f)
		return tooLate()
	}
	if u := c.probeFor(now, p); u != nil && ch.open != nil && ch.open != u {
		return c.probe(now, f, u, p, ch)
	}
	if ch.open != nil && ch.openCost.total <= ch.bestCost.total+waitGain {
		return c.place(now, f, ch.open, p, ch)
	}
	return c.enqueue(now, f, ch.best, ch.bestCost)
}

// place sends the request to an upstream; the cached prefix is relied on from here, so its binding is verified.
func (c *Core) place(now time.Duration, f *flight, u *upstream, p *plan, ch choice) Decision {
	var e cost
	c.estimate(now, u, p, min(int(c.found[u.handle]), p.tokens), &e)
	key := u.key(f.request.Account)
	key.Incarnation = c.cache.Incarnation(u.handle)
	cached := max(e.cached, e.kept)
	if c.policy != Reuse {
		cached = min(c.cache.Usable(now, key, f.request.Levels), p.tokens)
	}
	d := Decision{
		Upstream: u.info.Name, Incarnation: key.Incarnation, Weights: u.info.Weights, Priority: f.urgency,
		Cached: cached, Expected: seconds(e.ttft()),
	}
	if e.fetch != nil {
		d.Fetch = e.fetch.Name
	} else if e.transfer > 0 {
		d.Import = c.importPlan(now, f, p)
	}
	if d.Import != nil {
		d.Cached = max(cached, d.Import.Tokens)
	} else if c.policy != Reuse {
		c.countElsewhere(now, u, p, &e)
	}
	if p.hedgeable() && ch.second != nil {
		d.Hedge = &Hedge{Delay: c.hedgeDelay(e.ttft()), Upstream: ch.second.info.Name}
	}
	c.fairness.Serve(f.request.Account, seconds(f.service/float64(p.group.slots)))
	c.send(now, f, u, d.Cached, false)
	c.hold(now, u.handle, p.keys)
	d.Notice = c.notice(u, p, d.Cached)
	// Parts that are read now are kept where another engine can fetch them once this one has evicted them.
	if s := c.storeFor(u); s != nil && d.Cached < p.shared {
		d.Save = s.info.Name
	}
	return d
}

// importPlan verifies the exporter's entry, since the import relies on it.
func (c *Core) importPlan(now time.Duration, f *flight, p *plan) *Import {
	key := p.exporter.key(f.request.Account)
	key.Incarnation = c.cache.Incarnation(p.exporter.handle)
	tokens := min(c.cache.Usable(now, key, f.request.Levels), p.tokens)
	if tokens == 0 {
		return nil
	}
	return &Import{From: p.exporter.info.Name, Incarnation: key.Incarnation, Tokens: tokens}
}

// countElsewhere counts prefill that another upstream would have saved with an earlier first token.
func (c *Core) countElsewhere(now time.Duration, chosen *upstream, p *plan, e *cost) {
	most := e.cached
	if p.most <= most {
		return
	}
	for _, u := range p.group.list {
		cached := min(int(c.found[u.handle]), p.tokens)
		if u == chosen || cached <= most || !c.allowed(now, u, p) {
			continue
		}
		var other cost
		if c.estimate(now, u, p, cached, &other); other.ttft() < e.ttft() {
			most = cached
		}
	}
	c.waste.Elsewhere += uint64(most - e.cached)
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// scopeHash distinguishes equal texts of different accounts and versions in the demand sketch and in placement.
func scopeHash(s cache.Scope) uint64 {
	h := xxhash.Sum64String(s.Account)
	h = mix(h, xxhash.Sum64String(s.Model))
	h = mix(h, xxhash.Sum64String(s.Adapter))
	return mix(h, xxhash.Sum64String(s.Weights))
}
