package routing

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/chicoryrelay/chicoryrelay/relay/cache"
	"github.com/chicoryrelay/chicoryrelay/relay/catalogue"
)

// Reuse is the policy for engines that tell which parts of prompts they hold, and that fetch parts from each other: it weighs
// being late against reading shared parts again.
const Reuse Policy = "reuse"

// PartKey identifies a part under the text that separates cached prompts at engines.
func PartKey(salt, id string) uint64 { return mix(xxhash.Sum64String(salt), xxhash.Sum64String(id)) }

// holder is one engine that holds a part.
type holder struct {
	handle cache.Handle
	seen   time.Duration
}

// parts is what is known of the parts that engines hold.
type parts struct {
	held map[uint64][]holder
}

const (
	// partLifetime is how long a part that nobody mentions counts as held: some of the engines' events are lost.
	partLifetime = 45 * time.Second
	// mostParts bounds the table; beyond it the parts that were not seen lately are dropped.
	mostParts = 60_000
)

func newParts() *parts { return &parts{held: map[uint64][]holder{}} }

func (p *parts) add(now time.Duration, key uint64, handle cache.Handle) {
	list := p.held[key]
	for i := range list {
		if list[i].handle == handle {
			list[i].seen = now
			return
		}
	}
	if len(p.held) >= mostParts {
		p.prune(now)
	}
	p.held[key] = append(list, holder{handle, now})
}

// remove reports whether the engine was known to hold the part.
func (p *parts) remove(key uint64, handle cache.Handle) bool {
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

// drop forgets all parts of an engine that restarted, loaded other weights or is gone.
func (p *parts) drop(handle cache.Handle) {
	for key := range p.held {
		p.remove(key, handle)
	}
}

// prune drops the older half of the parts.
func (p *parts) prune(now time.Duration) {
	for key, list := range p.held {
		newest := time.Duration(0)
		for _, h := range list {
			newest = max(newest, h.seen)
		}
		if now-newest > partLifetime/8 {
			delete(p.held, key)
		}
	}
	if len(p.held) >= mostParts {
		clear(p.held)
	}
}

// Held returns the parts that an engine or a store is known to hold, in order, and the life of its cache.
func (c *Core) Held(name string) (epoch uint64, keys []uint64) {
	var handle cache.Handle
	if u := c.byName[name]; u != nil {
		handle, epoch = u.handle, u.epoch
	} else if s := c.stores[name]; s != nil {
		handle, epoch = s.handle, s.epoch
	} else {
		return 0, nil
	}
	for key, list := range c.parts.held {
		if slices.ContainsFunc(list, func(h holder) bool { return h.handle == handle }) {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	return epoch, keys
}

// Parts is news of the parts that an engine holds.
type Parts struct {
	Upstream string
	// Epoch identifies the life of the engine's cache.
	Epoch uint64
	// Reset says that news were lost: what was known before may be wrong.
	Reset          bool
	Added, Removed []uint64
}

func (m Parts) apply(c *Core, now time.Duration, _ *Effects) {
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
		c.parts.drop(handle)
		if u != nil && m.Epoch != *epoch {
			u.full = false
		}
		*epoch = m.Epoch
	}
	for _, key := range m.Removed {
		if c.parts.remove(key, handle) && u != nil {
			u.full = true
		}
	}
	for _, key := range m.Added {
		c.parts.add(now, key, handle)
	}
}

// source is a place that parts are fetched from.
type source struct {
	info *catalogue.Upstream
	// kept says that it is a store, which is near or not used at all.
	kept bool
	// tokens is the length of the leading parts that it holds.
	tokens int
}

// prepareReuse finds which leading parts of the prompt each engine of the group holds.
func (c *Core) prepareReuse(now time.Duration, p *plan) {
	r := &p.flight.request
	salt := p.group.salt(c, r.Account)
	p.keys = p.keys[:0]
	p.shared = 0
	for i, id := range r.Parts {
		p.keys = append(p.keys, mix(salt, id))
		if i+1 < len(r.Parts) {
			p.shared = r.Levels[i].Tokens
		}
	}
	p.shared = min(p.shared, p.tokens)
	c.findParts(now, p)
	clear(p.sources[:])
	for _, u := range p.group.list {
		if tokens := int(c.found[u.handle]); tokens > 0 && !u.closed && now >= u.blocked {
			p.offer(source{info: &u.info, tokens: tokens})
		}
	}
	for _, s := range c.stores {
		if tokens := int(c.found[s.handle]); tokens > 0 && !s.down {
			p.offer(source{info: &s.info, kept: true, tokens: tokens})
		}
	}
}

// findParts settles how many leading tokens of the prompt each holder has, and up to where anybody has them.
func (c *Core) findParts(now time.Duration, p *plan) {
	levels := p.flight.request.Levels
	p.somewhere = 0
	before := 0
	for i, key := range p.keys {
		held := false
		for _, h := range c.parts.held[key] {
			if now-h.seen > partLifetime {
				continue
			}
			held = true
			// Only an engine that holds all parts before can use this one.
			if int(h.handle) < len(c.found) && int(c.found[h.handle]) == before {
				c.found[h.handle] = int32(levels[i].Tokens)
			}
		}
		if !held {
			return
		}
		before = levels[i].Tokens
		if i+1 < len(p.keys) {
			p.somewhere = before
		}
	}
}

// mostSources bounds the data centres whose longest holder is considered as a source.
const mostSources = 8

// offer keeps the longest holder of each data centre.
func (p *plan) offer(s source) {
	for i := range p.sources {
		at := &p.sources[i]
		if at.info == nil || at.kept == s.kept && at.info.DataCentre == s.info.DataCentre {
			if at.info == nil || s.tokens > at.tokens {
				*at = s
			}
			return
		}
	}
}

// salt returns the hash of the text under which an account's parts are cached at the group's engines.
func (g *group) salt(c *Core, account string) uint64 {
	if salt, ok := g.salts[account]; ok {
		return salt
	}
	if g.salts == nil {
		g.salts = map[string]uint64{}
	}
	salt := xxhash.Sum64String(c.saltOf(account, g.version))
	g.salts[account] = salt
	return salt
}

// Weights of the reuse policy, in parts of a request's worth.
const (
	// rereadPrice is what reading the whole prompt again is worth, where engines hold all of it.
	rereadPrice = 0.9
	// regionPrice and centrePrice are what moving a prompt to another region or data centre is worth.
	regionPrice = 0.03
	centrePrice = 0.004
	// fetchPrice is what fetching a whole prompt from an engine of the same data centre is worth.
	fetchPrice = 0.005
	// outsidePrice keeps requests in a cell whose VMs know nothing of the load outside, as long as its engines answer in time.
	outsidePrice = 0.25
	// strangerPrice prefers the upstream that all VMs would choose for a part that nobody holds yet.
	strangerPrice = 0.03
	// loadPrice weighs the delay that a second of prefill causes to others on busy engines.
	loadPrice = 0.25
	// copyPrice is what copying a whole prompt to a full engine is worth: it evicts as many tokens that are read again later.
	copyPrice = 1
	// fullPrice is what sending to an engine whose memory is full is worth: it preempts runs.
	fullPrice = 0.6
)

const (
	// fetchSetup is the time before a fetch begins to move.
	fetchSetup = 0.005
	// otherCentre and otherRegion are the factors by which a fetch takes longer between data centres and regions.
	otherCentre = 2
	otherRegion = 10
	// fullShare is the part of an engine's memory up to which runs fit beside each other.
	fullShare = 0.85
)

// lateness is the cost of a first token after the given multiple of the latency objective: little well below it, nearly all of
// the worth above.
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

// usualTarget is the latency objective of a request that names none.
const usualTarget = 500 * time.Millisecond

// estimateReuse settles the cost of sending a request to an upstream that holds the given number of leading tokens.
func (c *Core) estimateReuse(now time.Duration, u *upstream, p *plan, cached int, e *cost) {
	g := u.group
	pace := u.relativePace(now)
	perToken := g.model.perToken.value * pace
	backlog := ahead(&u.backlog, p.urgency) + u.othersBacklog(now, g.model.perToken.value)
	busy := u.outstanding + u.others
	if p.flight.wants != u {
		backlog, busy = backlog+ahead(&u.wantedTokens, p.urgency), busy+u.wanted
	}
	wait := float64(backlog) * perToken
	if busy >= u.slots {
		wait += g.model.service.value * pace * float64(busy-u.slots+1) / float64(u.slots)
	}
	target := p.flight.request.Target
	if target <= 0 {
		target = usualTarget
	}
	age := (now - p.flight.arrived).Seconds()
	*e = cost{
		cached: cached, open: c.open(u, p, perToken), wait: wait + g.model.base.value + crowding*float64(busy)/float64(u.slots),
		prefill: float64(p.tokens-cached) * perToken, link: u.link.roundTrip,
	}
	known := cached
	worth := func() float64 {
		reread := max(0, p.somewhere-known)
		return lateness((age+e.ttft())/target.Seconds()) + rereadPrice*float64(reread)/float64(max(1, p.tokens))
	}
	total := worth()
	for i := range p.sources {
		s := &p.sources[i]
		if s.info == nil || s.info == &u.info || s.tokens <= cached || c.transfer == 0 {
			continue
		}
		factor := moveFactor(s.info, &u.info)
		if s.kept && factor > storeSpan {
			continue
		}
		perMove := max(c.transfer, s.info.Transfer, u.info.Transfer).Seconds()
		plain := *e
		tokens := min(s.tokens, p.tokens)
		e.transfer = fetchSetup + float64(tokens-cached)*perMove*factor
		e.prefill = float64(p.tokens-tokens) * perToken
		known = tokens
		with := worth() + fetchPrice*min(factor, 3)*float64(tokens-cached)/float64(max(1, p.tokens))
		if with < total {
			total, e.fetch, e.kept = with, s.info, tokens
		} else {
			*e, known = plain, max(cached, e.kept)
		}
	}
	e.total = total + loadPrice*g.busy.congestion*e.prefill/target.Seconds()
	e.total += u.laneCost(p, p.tokens-max(cached, e.kept))
	if u.far > int(c.cell) {
		e.total += outsidePrice
	}
	switch u.far {
	case 1:
		e.total += centrePrice
	case 2:
		e.total += regionPrice
	}
	if cached < p.somewhere && u.full {
		e.total += copyPrice * float64(p.somewhere-cached) / float64(max(1, p.tokens))
	}
	if cached < p.shared && !p.homes.has(u) {
		e.total += strangerPrice * float64(p.shared-cached) / float64(max(1, p.tokens))
	}
	if full := u.info.Cache; full > 0 {
		if used := float64(u.occupied(p)) / float64(full); used > fullShare {
			e.total += fullPrice * min(1, 4*(used-fullShare))
		}
	}
}

// othersBacklog is the prompt tokens that other VMs had sent there and that were not yet prefilled when they told, less what the
// engine has read since.
func (u *upstream) othersBacklog(now time.Duration, perToken float64) int {
	if u.othersPrompt == 0 {
		return 0
	}
	read := (now - u.othersAt).Seconds() / max(perToken, 1e-7)
	return max(0, u.othersPrompt-int(read))
}

// homeReuse finds the upstream that all VMs choose for the request's shared parts while nobody holds them.
func (c *Core) homeReuse(p *plan) {
	p.homes = homes{}
	if len(p.keys) < 2 {
		return
	}
	p.homes.prefix = p.keys[len(p.keys)-2]
	for _, u := range p.group.list {
		if !u.closed && u.region&p.regions != 0 && u.far <= int(c.cell) {
			p.homes.insert(p.homes.score(u))
		}
	}
	if p.homes.count > 0 {
		p.homes.count = 1
		p.homes.least = p.homes.seeds[0]
	}
}

// PartHash identifies a part's ID in Request.Parts.
func PartHash(id string) uint64 { return xxhash.Sum64String(id) }
