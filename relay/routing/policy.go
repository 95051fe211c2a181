package routing

import (
	"math"
	"time"
)

// maxHashedTokens is the longest prefix that the prefix hash policy places by: a page or two of text, as is usual for such balancers.
const maxHashedTokens = 2048

// baselines are policies for comparison; each sends every request at once, without a queue or a refusal.
var baselines = map[Policy]func(c *Core, p *plan, list []*upstream) *upstream{
	RoundRobin:       (*Core).roundRobin,
	LeastOutstanding: (*Core).leastOutstanding,
	PrefixHash:       (*Core).prefixHash,
}

func (c *Core) decideBaseline(now time.Duration, f *flight, p *plan) Decision {
	list := c.eligible(now, p)
	u := baselines[c.policy](c, p, list)
	binding := u.binding(f.request.scope())
	binding.Incarnation = c.cache.Incarnation(u.handle)
	cached := min(c.cache.UsableTokens(now, binding, f.request.Levels), p.tokens)
	var e cost
	c.estimate(now, u, p, cached, &e)
	c.countAvoidable(now, u, p, &e)
	c.startAttempt(now, f, u, cached, false)
	return Decision{Upstream: u.info.Name, Incarnation: binding.Incarnation, Weights: u.info.Weights, CachedTokens: cached, ExpectedTTFT: seconds(e.ttft())}
}

// eligible returns the upstreams within the span that may get the request, and if all are ejected or excluded, those instead.
func (c *Core) eligible(now time.Duration, p *plan) []*upstream {
	var list, serving []*upstream
	for _, u := range p.group.list {
		if u.draining || u.region&p.regions == 0 || !c.withinSpan(u, p) || !p.flight.request.fits(u) {
			continue
		}
		if c.allowed(now, u, p) {
			list = append(list, u)
		}
		serving = append(serving, u)
	}
	if len(list) == 0 {
		return serving
	}
	return list
}

func (c *Core) roundRobin(_ *plan, list []*upstream) *upstream {
	c.nextIndex++
	return list[c.nextIndex%len(list)]
}

func (c *Core) leastOutstanding(_ *plan, list []*upstream) *upstream {
	c.nextIndex++
	var best *upstream
	fewest := math.MaxInt
	for i := range list {
		u := list[(i+c.nextIndex)%len(list)]
		if n := u.outstanding + u.othersOutstanding; n < fewest {
			best, fewest = u, n
		}
	}
	return best
}

func (c *Core) prefixHash(p *plan, list []*upstream) *upstream {
	levels := p.flight.request.Levels
	if len(levels) == 0 {
		return c.roundRobin(p, list)
	}
	prefix := levels[0].Hash
	for _, level := range levels {
		if level.Tokens <= maxHashedTokens {
			prefix = level.Hash
		}
	}
	prefix = mix(prefix, scopeHash(p.scope))
	best := list[0]
	for _, u := range list {
		if mix(prefix, u.seed) > mix(prefix, best.seed) {
			best = u
		}
	}
	return best
}
