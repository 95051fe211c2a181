package routing

import (
	"slices"
	"time"

	"github.com/chicoryrelay/chicoryrelay/relay/cache"
)

// plan is the state common to all candidates of one request.
type plan struct {
	flight *flight
	group  *group
	scope  cache.Scope
	tokens int
	// regions is the set of allowed regions, as bits.
	regions  uint64
	exclude  []string
	long     bool
	priority int
	// nearest is the link to the nearest upstreams, longestCached the longest cached prefix in tokens.
	nearest       *linkCost
	longestCached int
	// exportable is the longest prefix in tokens that an upstream can export, exporter that upstream.
	exportable int
	exporter   *upstream
	// placementTokens is the length in tokens of the prefix that is placed as a whole; homes are its preferred upstreams.
	placementTokens int
	homes           homes
	// sharedTokens is the length of the prefix that the request probably shares with requests of peers; peerRate is their uses per
	// second.
	sharedTokens int
	// recentlyShared reports that other requests used the placement prefix recently.
	recentlyShared bool
	// partKeys are the keys of the request's parts, sources the best places to fetch parts from, and heldTokens the length of the
	// leading shared parts that any engine or store holds.
	partKeys   []uint64
	sources    [maxSources]source
	heldTokens int
	peerRate   float64
}

func (p *plan) hedgeable() bool {
	f := p.flight
	return f.request.Idempotent && f.class == 0 && len(f.attempts) == 0
}

// allowed reports whether an upstream may get the request at all.
func (c *Core) allowed(now time.Duration, u *upstream, p *plan) bool {
	if u.draining || u.silent || u.region&p.regions == 0 || now < u.ejectedUntil || now < u.pausedUntil || !p.flight.request.fits(u) {
		return false
	}
	// After a failure, one request at a time tests whether the upstream has recovered.
	if u.failures > 0 && u.outstanding > 0 {
		return false
	}
	return len(p.exclude) == 0 || !slices.Contains(p.exclude, u.info.Name)
}

// allRegions is the set of all regions.
const allRegions = ^uint64(0)

// allowedRegions returns the regions that both the request and its account allow.
func (c *Core) allowedRegions(r *Request) uint64 {
	allowed := allRegions
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

// plan prepares the choice for a request; it returns false if no upstream serves the version in the allowed regions.
func (c *Core) plan(now time.Duration, f *flight, p *plan) bool {
	regions := c.allowedRegions(&f.request)
	g := c.groupFor(now, &f.request, regions)
	if c.policy == Reuse && f.request.Weights == "" {
		g = c.cheapestGroup(now, f, regions)
	}
	return g != nil && c.planInGroup(now, f, p, g, regions)
}

// planInGroup prepares the choice among the upstreams of one group.
func (c *Core) planInGroup(now time.Duration, f *flight, p *plan, g *group, regions uint64) bool {
	f.group = g
	*p = plan{
		priority: f.priority, long: f.class >= longClass,
		flight: f, group: g, tokens: f.request.PromptTokens, regions: regions, exclude: f.request.Exclude,
		scope: cache.Scope{Account: f.request.scope(), Model: g.version.Model, Adapter: g.version.Adapter, Weights: g.version.Weights},
	}
	if cap(c.cachedTokens) < c.cache.HandleLimit() {
		c.cachedTokens = make([]int32, c.cache.HandleLimit())
	}
	c.cachedTokens = c.cachedTokens[:c.cache.HandleLimit()]
	clear(c.cachedTokens)
	if c.policy == Reuse {
		c.findSources(now, p)
	} else {
		c.cache.EstimateCached(now, p.scope, f.request.Levels, c.cachedTokens)
	}
	if !c.findNearest(p) {
		p.exclude = nil
		if !c.findNearest(p) {
			return false
		}
	}
	if c.policy == Reuse {
		c.findReuseHome(p)
		return true
	}
	c.findHomes(now, p)
	c.findExporter(p)
	return true
}

// anyServing reports whether an upstream serves the request. It includes ejected ones, since a request can queue for them.
func (c *Core) anyServing(p *plan) bool {
	for _, u := range p.group.list {
		if !u.draining && u.region&p.regions != 0 && p.flight.request.fits(u) && !slices.Contains(p.exclude, u.info.Name) {
			return true
		}
	}
	return false
}
