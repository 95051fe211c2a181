package routing

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/chicoryrelay/chicoryrelay/relay/cache"
	"github.com/chicoryrelay/chicoryrelay/relay/catalogue"
)

// Reuse is the policy for engines that report which prompt parts they hold and that fetch parts from each other. It weighs a late
// first token against recomputing shared parts.
const Reuse Policy = "reuse"

// PartKey returns the key of a part under the salt that separates accounts and versions in the engines' caches.
func PartKey(salt, id string) uint64 { return mix(xxhash.Sum64String(salt), xxhash.Sum64String(id)) }

// holder is an engine or a store that holds a part.
type holder struct {
	handle   cache.Handle
	lastSeen time.Duration
}

// partIndex maps part keys to their known holders.
type partIndex struct {
	held map[uint64][]holder
}

const (
	// partLifetime is how long a part counts as held without being seen again; it bounds the effect of lost cache events.
	partLifetime = 45 * time.Second
	// maxParts bounds the index; beyond it the parts that were not seen lately are removed.
	maxParts = 60_000
)

func newPartIndex() *partIndex { return &partIndex{held: map[uint64][]holder{}} }

func (p *partIndex) add(now time.Duration, key uint64, handle cache.Handle) {
	list := p.held[key]
	for i := range list {
		if list[i].handle == handle {
			list[i].lastSeen = now
			return
		}
	}
	if len(p.held) >= maxParts {
		p.prune(now)
	}
	p.held[key] = append(list, holder{handle, now})
}

// remove reports whether the holder was known to hold the part.
func (p *partIndex) remove(key uint64, handle cache.Handle) bool {
	list := p.held[key]
	for i := range list {
		if list[i].handle != handle {
			continue
		}
		list[i] = list[len(list)-1]
		if list = list[:len(list)-1]; len(list) == 0 {
			delete(p.held, key)
		} else {
			p.held[key] = list
		}
		return true
	}
	return false
}

// drop removes all parts of an engine or a store, after lost changes, a new epoch or its removal.
func (p *partIndex) drop(handle cache.Handle) {
	for key := range p.held {
		p.remove(key, handle)
	}
}

// prune removes the parts that were not seen within an eighth of partLifetime, or all parts if too many remain.
func (p *partIndex) prune(now time.Duration) {
	for key, list := range p.held {
		newest := time.Duration(0)
		for _, h := range list {
			newest = max(newest, h.lastSeen)
		}
		if now-newest > partLifetime/8 {
			delete(p.held, key)
		}
	}
	if len(p.held) >= maxParts {
		clear(p.held)
	}
}

// CachedParts returns the sorted keys of the parts that an engine or a store is known to hold, and the epoch of its cache.
func (c *Core) CachedParts(name string) (epoch uint64, keys []uint64) {
	var handle cache.Handle
	if u := c.byName[name]; u != nil {
		handle, epoch = u.handle, u.epoch
	} else if s := c.stores[name]; s != nil {
		handle, epoch = s.handle, s.epoch
	} else {
		return 0, nil
	}
	for key, list := range c.partIndex.held {
		if slices.ContainsFunc(list, func(h holder) bool { return h.handle == handle }) {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	return epoch, keys
}

// PartUpdate reports changes of the parts that an engine or a store holds.
type PartUpdate struct {
	Upstream string
	// Epoch identifies a lifetime of the cache, from one empty start to the next.
	Epoch uint64
	// Reset reports that changes were lost: all parts known before are dropped.
	Reset          bool
	Added, Removed []uint64
}

func (m PartUpdate) apply(c *Core, now time.Duration, effects *Effects) {
	var handle cache.Handle
	var epoch *uint64
	u := c.byName[m.Upstream]
	if u != nil {
		handle, epoch = u.handle, &u.epoch
	} else if s := c.stores[m.Upstream]; s != nil {
		handle, epoch = s.handle, &s.epoch
	} else {
		return
	}
	if m.Reset || m.Epoch != *epoch {
		c.partIndex.drop(handle)
		if u != nil && m.Epoch != *epoch {
			u.hasEvicted = false
		}
		*epoch = m.Epoch
	}
	for _, key := range m.Removed {
		if c.partIndex.remove(key, handle) && u != nil {
			u.hasEvicted = true
		}
	}
	for _, key := range m.Added {
		c.partIndex.add(now, key, handle)
	}
	if u != nil && u.endOthersPrefill(m.Added) {
		c.dispatchQueue(now, effects)
	}
}

// source is an engine or a store that parts can be fetched from.
type source struct {
	info *catalogue.Upstream
	// isStore reports that the source is a store; a store farther away than maxStoreFactor is not used.
	isStore bool
	// tokens is the length of the leading parts of the prompt that the source holds.
	tokens int
}

// findSources finds the leading parts of the prompt that each engine of the group and each store holds.
func (c *Core) findSources(now time.Duration, p *plan) {
	r := &p.flight.request
	salt := p.group.salt(c, r.scope())
	p.partKeys = p.partKeys[:0]
	p.sharedTokens = 0
	for i, id := range r.Parts {
		p.partKeys = append(p.partKeys, mix(salt, id))
		if i+1 < len(r.Parts) {
			p.sharedTokens = r.Levels[i].Tokens
		}
	}
	p.sharedTokens = min(p.sharedTokens, p.tokens)
	c.findHeldParts(now, p)
	clear(p.sources[:])
	for _, u := range p.group.list {
		if tokens := int(c.cachedTokens[u.handle]); tokens > 0 && !u.draining && !u.silent && now >= u.ejectedUntil && !u.prefilling(now, p, tokens) {
			p.addSource(source{info: &u.info, tokens: tokens})
		}
	}
	for _, s := range c.stores {
		if tokens := int(c.cachedTokens[s.handle]); tokens > 0 && !s.down {
			p.addSource(source{info: &s.info, isStore: true, tokens: tokens})
		}
	}
}

// findHeldParts sets the number of leading tokens that each holder has, and the length up to which any holder has each shared part.
func (c *Core) findHeldParts(now time.Duration, p *plan) {
	levels := p.flight.request.Levels
	p.heldTokens = 0
	before := 0
	for i, key := range p.partKeys {
		held := false
		for _, h := range c.partIndex.held[key] {
			if now-h.lastSeen > partLifetime {
				continue
			}
			held = true
			// A holder can use a part only if it holds all parts before it.
			if int(h.handle) < len(c.cachedTokens) && int(c.cachedTokens[h.handle]) == before {
				c.cachedTokens[h.handle] = int32(levels[i].Tokens)
			}
		}
		if !held {
			return
		}
		before = levels[i].Tokens
		if i+1 < len(p.partKeys) {
			p.heldTokens = before
		}
	}
}

// maxSources bounds the sources considered for a request, of which there is one per data centre and kind.
const maxSources = 8

// addSource keeps the source with the most tokens for each data centre and kind.
func (p *plan) addSource(s source) {
	for i := range p.sources {
		at := &p.sources[i]
		if at.info == nil || at.isStore == s.isStore && at.info.DataCentre == s.info.DataCentre {
			if at.info == nil || s.tokens > at.tokens {
				*at = s
			}
			return
		}
	}
}

// maxSalts bounds the salts that a group keeps: each change of the isolated accounts adds one.
const maxSalts = 4096

// salt returns the hash of the salt under which an account's parts are cached at the group's engines.
func (g *group) salt(c *Core, account string) uint64 {
	if salt, ok := g.salts[account]; ok {
		return salt
	}
	if g.salts == nil || len(g.salts) >= maxSalts {
		g.salts = map[string]uint64{}
	}
	salt := xxhash.Sum64String(c.saltOf(account, g.version))
	g.salts[account] = salt
	return salt
}

// Weights of the reuse policy, as shares of the worth of a request answered in time.
const (
	// recomputePrice is the cost of prefilling a whole prompt that engines already hold.
	recomputePrice = 0.9
	// regionPrice and centrePrice are the costs of sending a prompt to another region or data centre.
	regionPrice = 0.03
	centrePrice = 0.004
	// fetchPrice is the cost of fetching a whole prompt from an engine of the same data centre.
	fetchPrice = 0.005
	// outsideCellPrice keeps requests within the cell while its engines answer in time, since its VMs don't know the load outside.
	outsideCellPrice = 0.25
	// awayFromHomePrice prefers the upstream that all VMs choose for a part that nobody holds yet.
	awayFromHomePrice = 0.03
	// congestionPrice weighs the delay that a second of prefill causes to other requests on busy engines.
	congestionPrice = 0.25
	// evictionPrice is the cost of copying a whole prompt to an engine that has evicted parts: each copied token evicts another, which
	// is recomputed later.
	evictionPrice = 1
	// memoryFullPrice is the cost of sending to an engine whose memory is full, where running requests are preempted.
	memoryFullPrice = 0.6
)

const (
	// fetchSetup is the time in seconds before a fetch begins to transfer.
	fetchSetup = 0.005
	// centreMoveFactor and regionMoveFactor are the factors by which a transfer between data centres or regions takes longer.
	centreMoveFactor = 2
	regionMoveFactor = 10
	// maxMemoryShare is the share of an engine's memory up to which running requests fit side by side.
	maxMemoryShare = 0.85
)

// lateness returns the cost of a first token that arrives after x times the latency objective: small well below 1, nearly the whole
// worth of the request above it.
func lateness(x float64) float64 {
	const begin, end = 0.5, 1.05
	cost := 0.15 * x
	switch {
	case x <= begin:
	case x < end:
		cost += 0.7 * (x - begin) / (end - begin)
	default:
		cost += 0.7 + 0.2*(x-end)
	}
	return cost
}

// defaultTarget is the latency objective of a request without one.
const defaultTarget = 500 * time.Millisecond

// estimateReuse estimates the cost of sending a request to an upstream that holds the given number of leading tokens.
func (c *Core) estimateReuse(now time.Duration, u *upstream, p *plan, cached int, e *cost) {
	g := u.group
	slowdown := u.relativeSlowdown(now)
	perToken := g.model.perToken.value * slowdown
	backlog := workAhead(&u.backlog, p.priority) + u.othersBacklog(now, g.model.perToken.value*u.factor())
	busy := u.outstanding + u.othersOutstanding
	if p.flight.waitsFor != u {
		backlog, busy = backlog+workAhead(&u.waitingTokens, p.priority), busy+u.waiting
	}
	wait := float64(backlog) * perToken
	if busy >= u.slots {
		wait += g.model.serviceTime.value * slowdown * float64(busy-u.slots+1) / float64(u.slots)
	}
	wait += c.roomWait(u, p)
	target := p.flight.request.TargetTTFT
	if target <= 0 {
		target = defaultTarget
	}
	age := (now - p.flight.arrived).Seconds()
	*e = cost{
		cached: cached, ready: c.ready(now, u, p, perToken), wait: wait + g.model.baseTTFT.value + fullBatchPenalty*float64(busy)/float64(u.slots),
		prefill: float64(p.tokens-cached) * perToken, link: u.link.roundTrip,
	}
	reused := cached
	currentCost := func() float64 {
		recomputed := max(0, p.heldTokens-reused)
		return lateness((age+e.ttft())/target.Seconds()) + recomputePrice*float64(recomputed)/float64(max(1, p.tokens))
	}
	total := currentCost()
	for i := range p.sources {
		s := &p.sources[i]
		if s.info == nil || s.info == &u.info || s.tokens <= cached || c.transferPerToken == 0 {
			continue
		}
		factor := moveFactor(s.info, &u.info)
		if s.isStore && factor > maxStoreFactor {
			continue
		}
		perMove := max(c.transferPerToken, s.info.Transfer, u.info.Transfer).Seconds()
		withoutFetch := *e
		tokens := min(s.tokens, p.tokens)
		e.transfer = fetchSetup + float64(tokens-cached)*perMove*factor
		e.prefill = float64(p.tokens-tokens) * perToken
		reused = tokens
		withFetch := currentCost() + fetchPrice*min(factor, 3)*float64(tokens-cached)/float64(max(1, p.tokens))
		if withFetch < total {
			total, e.fetchFrom, e.cachedAfterFetch = withFetch, s.info, tokens
		} else {
			*e, reused = withoutFetch, max(cached, e.cachedAfterFetch)
		}
	}
	e.total = total + congestionPrice*g.busy.congestion*e.prefill/target.Seconds()
	e.total += u.laneCost(p, p.tokens-max(cached, e.cachedAfterFetch))
	if u.distance > int(c.cellSpan) {
		e.total += outsideCellPrice
	}
	switch u.distance {
	case 1:
		e.total += centrePrice
	case 2:
		e.total += regionPrice
	}
	if cached < p.heldTokens && u.hasEvicted {
		e.total += evictionPrice * float64(p.heldTokens-cached) / float64(max(1, p.tokens))
	}
	if cached < p.sharedTokens && !p.homes.has(u) {
		e.total += awayFromHomePrice * float64(p.sharedTokens-cached) / float64(max(1, p.tokens))
	}
	if capacity := u.info.Cache; capacity > 0 {
		if used := float64(u.memoryWith(p)) / float64(capacity); used > maxMemoryShare {
			e.total += memoryFullPrice * min(1, 4*(used-maxMemoryShare))
		}
	}
}

// othersBacklog returns the prompt tokens sent by other VMs and not yet prefilled: those of the last digests less what the engine has
// prefilled since.
func (u *upstream) othersBacklog(now time.Duration, perToken float64) int {
	if u.othersPrompt == 0 {
		return 0
	}
	prefilled := (now - u.othersAt).Seconds() / max(perToken, 1e-7)
	return max(0, u.othersPrompt-int(prefilled))
}

// findReuseHome finds the upstream that all VMs choose for the request's shared parts while nobody holds them.
func (c *Core) findReuseHome(p *plan) {
	p.homes = homes{}
	if len(p.partKeys) < 2 {
		return
	}
	p.homes.prefix = p.partKeys[len(p.partKeys)-2]
	for _, u := range p.group.list {
		if !u.draining && !u.silent && u.region&p.regions != 0 && u.distance <= int(c.cellSpan) && p.flight.request.fits(u) {
			p.homes.insert(p.homes.score(u))
		}
	}
	if p.homes.count > 0 {
		p.homes.count = 1
		p.homes.minScore = p.homes.scores[0]
	}
}

// PartHash returns the hash of a part's ID for Request.Parts.
func PartHash(id string) uint64 { return xxhash.Sum64String(id) }
