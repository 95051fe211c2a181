package routing

import (
	"slices"
	"time"

	"github.com/chicoryrelay/chicoryrelay/relay/cache"
)

// plan is what the candidates for one request have in common.
type plan struct {
	flight *flight
	group  *group
	scope  cache.Scope
	tokens int
	// regions is the set of allowed regions, as bits.
	regions uint64
	exclude []string
	long    bool
	urgency int
	// nearest is the link to the closest upstreams, most the longest cached prefix in tokens.
	nearest *distance
	most    int
	// export is the largest number of tokens that an upstream could export, exporter that upstream.
	export   int
	exporter *upstream
	// anchor is the length of the shared prefix that is placed as a whole, homes are the upstreams that it belongs to.
	anchor int
	homes  homes
	// shared is the length that the neighbours probably have in common with the request, elsewhere their uses per second.
	shared int
	// common says that other requests used the prefix lately.
	common bool
	// keys identify the request's parts at the group's engines, sources are the longest holders by data centre, and somewhere is the
	// length of the shared parts that any engine holds.
	keys      []uint64
	sources   [mostSources]source
	somewhere int
	elsewhere float64
}

func (p *plan) hedgeable() bool {
	f := p.flight
	return f.request.Idempotent && f.class == 0 && len(f.attempts) == 0
}

// allowed reports whether an upstream may get the request at all.
func (c *Core) allowed(now time.Duration, u *upstream, p *plan) bool {
	if u.closed || u.region&p.regions == 0 || now < u.blocked {
		return false
	}
	// After a failure one request at a time tries whether the upstream is back.
	if u.failures > 0 && u.outstanding > 0 {
		return false
	}
	return len(p.exclude) == 0 || !slices.Contains(p.exclude, u.info.Name)
}

// anyRegion is the set of all regions.
const anyRegion = ^uint64(0)

// bounds returns the regions that a request may run in: those of the request and those of its account.
func (c *Core) bounds(r *Request) uint64 {
	allowed := anyRegion
	for _, list := range [...][]string{r.Regions, c.accounts[r.Account].Regions} {
		if len(list) == 0 {
			continue
		}
		set := uint64(0)
		for _, region := range list {
			set |= c.regions[region]
		}
		allowed &= set
	}
	return allowed
}

// plan prepares the choice for a request; it returns false when no upstream serves the version in the allowed regions.
func (c *Core) plan(now time.Duration, f *flight, p *plan) bool {
	regions := c.bounds(&f.request)
	g := c.groupFor(now, &f.request, regions)
	if c.policy == Reuse && f.request.Weights == "" {
		g = c.cheapestGroup(now, f, regions)
	}
	return g != nil && c.planFor(now, f, p, g, regions)
}

// planFor prepares the choice among the upstreams of one group.
func (c *Core) planFor(now time.Duration, f *flight, p *plan, g *group, regions uint64) bool {
	f.group = g
	*p = plan{
		urgency: f.urgency, long: f.class >= longClass,
		flight: f, group: g, tokens: f.request.PromptTokens, regions: regions, exclude: f.request.Exclude,
		scope: cache.Scope{Account: f.request.Account, Model: g.version.Model, Adapter: g.version.Adapter, Weights: g.version.Weights},
	}
	if cap(c.found) < c.cache.Handles() {
		c.found = make([]int32, c.cache.Handles())
	}
	c.found = c.found[:c.cache.Handles()]
	clear(c.found)
	if c.policy == Reuse {
		c.prepareReuse(now, p)
	} else {
		c.cache.Find(now, p.scope, f.request.Levels, c.found)
	}
	if !c.survey(p) {
		p.exclude = nil
		if !c.survey(p) {
			return false
		}
	}
	if c.policy == Reuse {
		c.homeReuse(p)
		return true
	}
	c.settleHomes(now, p)
	c.settleExport(p)
	return true
}

// anyAllowed ignores pauses after failures: such an upstream is worth a place in the queue.
func (c *Core) anyAllowed(p *plan) bool {
	for _, u := range p.group.list {
		if !u.closed && u.region&p.regions != 0 && !slices.Contains(p.exclude, u.info.Name) {
			return true
		}
	}
	return false
}
