package routing

import (
	"math"
	"slices"
	"time"
)

// minSharedUses is the decayed count of uses from which a prefix counts as shared between requests.
const minSharedUses = 2.5

// homeLoadShare is the load of a home, as a share of its slots, from which a prefix gets another home.
const homeLoadShare = 0.6

// maxHomes bounds the copies of one prefix that placement makes.
const maxHomes = 8

// homes are the preferred upstreams of a prefix: those with the highest rendezvous scores, which every VM computes alike.
type homes struct {
	prefix   uint64
	minScore uint64
	scores   [maxHomes]uint64
	count    int
}

func (h *homes) score(u *upstream) uint64 {
	return weightedScore(mix(h.prefix, u.seed), u.homeWeight)
}

// has reports whether an upstream is a home; without a prefix every upstream is.
func (h *homes) has(u *upstream) bool { return h.count == 0 || h.score(u) >= h.minScore }

// maxPlacementTokens is the length up to which a prefix is placed as a whole unless its demand needs several upstreams: longer than
// system prompts and greetings, shorter than most documents.
const maxPlacementTokens = 2048

// countUses counts a use of each level and finds the longest prefix shared with other requests. A new prompt is assumed to share all
// but its last level, the caller's own question.
func (c *Core) countUses(now time.Duration, f *flight, scope uint64) {
	f.sharedLevel = max(0, len(f.request.Levels)-2)
	for i, level := range f.request.Levels {
		if c.demand.add(now, mix(level.Hash, scope)) >= minSharedUses {
			f.sharedLevel = max(f.sharedLevel, i)
		}
	}
}

// placementLevel returns the level whose prefix is placed. From a prefix that needs more than one upstream it descends to longer
// prefixes while several requests share them, since splitting by these needs no copies.
func (c *Core) placementLevel(now time.Duration, p *plan, scope uint64) int {
	levels := p.flight.request.Levels
	at := 0
	for at+1 < len(levels) && levels[at+1].Tokens <= maxPlacementTokens {
		at++
	}
	for at+1 < len(levels) && c.homesNeeded(now, p, mix(levels[at].Hash, scope)) > 1 {
		if c.demand.count(now, mix(levels[at+1].Hash, scope)) < minSharedUses {
			break
		}
		at++
	}
	return at
}

// homesNeeded returns the number of homes that the demand for a prefix needs.
func (c *Core) homesNeeded(now time.Duration, p *plan, prefix uint64) int {
	load := c.demand.totalRate(now, prefix) * p.group.model.serviceTime.value
	slots := float64(p.group.slots) / float64(max(1, len(p.group.list)))
	return 1 + min(maxHomes, int(load/(homeLoadShare*slots)))
}

// findHomes finds the homes of the request's placement prefix within the span.
func (c *Core) findHomes(now time.Duration, p *plan) {
	f := p.flight
	if len(f.request.Levels) == 0 {
		return
	}
	scope := scopeHash(p.scope)
	if f.placementLevel < 0 {
		c.countUses(now, f, scope)
		f.placementLevel = c.placementLevel(now, p, scope)
		level := f.request.Levels[f.placementLevel]
		prefix := mix(level.Hash, scope)
		if uses := c.demand.count(now, prefix); uses >= minSharedUses {
			c.demand.track(now, prefix, uses, p.scope, f.request.Levels[f.sharedLevel])
		}
	}
	level := f.request.Levels[f.placementLevel]
	p.placementTokens = level.Tokens
	p.homes.prefix = mix(level.Hash, scope)
	p.sharedTokens = f.request.Levels[f.sharedLevel].Tokens
	p.peerRate = c.demand.peerRate(now, mix(f.request.Levels[f.sharedLevel].Hash, scope), c.livePeerCount(now))
	needed := c.homesNeeded(now, p, p.homes.prefix)
	p.recentlyShared = c.demand.count(now, p.homes.prefix) >= minSharedUses
	for _, u := range p.group.list {
		if u.draining || u.region&p.regions == 0 || !c.withinSpan(u, p) || !f.request.fits(u) {
			continue
		}
		p.homes.insert(p.homes.score(u))
	}
	p.homes.count = min(p.homes.count, needed, maxHomes)
	if p.homes.count > 0 {
		p.homes.minScore = p.homes.scores[p.homes.count-1]
	}
}

// longWorkKey is the rendezvous key of long work.
const longWorkKey = 0x6c6f6e67

// longWorkShare is the share of the upstreams that long work is confined to while they have room. Its prompts are seldom requested
// again and would evict the shared prefixes from every cache.
const longWorkShare = 0.25

// findLongHomes replaces the homes of the request's prefix by those of long work.
func (c *Core) findLongHomes(p *plan) {
	p.homes = homes{prefix: longWorkKey}
	p.placementTokens, p.peerRate = p.tokens, 0
	candidates := 0
	for _, u := range p.group.list {
		if !u.draining && u.region&p.regions != 0 && c.withinSpan(u, p) && p.flight.request.fits(u) {
			candidates++
			p.homes.insert(p.homes.score(u))
		}
	}
	p.homes.count = min(p.homes.count, int(math.Ceil(longWorkShare*float64(candidates))))
	if p.homes.count > 0 {
		p.homes.minScore = p.homes.scores[p.homes.count-1]
	}
}

// insert keeps the highest scores in descending order.
func (h *homes) insert(score uint64) {
	if h.count == maxHomes && score <= h.scores[maxHomes-1] {
		return
	}
	at := min(h.count, maxHomes-1)
	for at > 0 && h.scores[at-1] < score {
		h.scores[at] = h.scores[at-1]
		at--
	}
	h.scores[at] = score
	h.count = min(h.count+1, maxHomes)
}

// cachedByPeers estimates the tokens that a home has cached because peers send their requests for the prefix there, beyond those
// known to this VM.
func (p *plan) cachedByPeers(u *upstream, cached int) float64 {
	if cached >= p.sharedTokens || p.peerRate == 0 || !p.homes.has(u) {
		return 0
	}
	uses := p.peerRate * u.evictionAge / float64(max(1, p.homes.count))
	return float64(p.sharedTokens-cached) * (1 - math.Exp(-uses))
}

// findNearest finds the link to the nearest upstreams that serve the request and the longest prefix cached at any upstream; it
// returns false if there is none. It includes ejected upstreams, since a request can queue for them.
func (c *Core) findNearest(p *plan) bool {
	distance := len(c.links)
	for _, u := range p.group.list {
		if u.draining || u.region&p.regions == 0 || len(p.exclude) > 0 && slices.Contains(p.exclude, u.info.Name) || !p.flight.request.fits(u) {
			continue
		}
		distance = min(distance, u.distance)
		p.longestCached = max(p.longestCached, int(c.cachedTokens[u.handle]))
	}
	if distance == len(c.links) {
		return false
	}
	p.nearest = &c.links[distance]
	p.longestCached = min(p.longestCached, p.tokens)
	return true
}

// findExporter finds the upstream that can export the longest cached prefix, in the own data centre only: links to others are too
// slow.
func (c *Core) findExporter(p *plan) {
	if c.transferPerToken == 0 {
		return
	}
	for _, u := range p.group.list {
		if cached := int(c.cachedTokens[u.handle]); cached > p.exportable && !u.draining && u.distance == 0 {
			p.exportable, p.exporter = cached, u
		}
	}
}
