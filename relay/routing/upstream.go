package routing

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/chicoryrelay/chicoryrelay/relay/cache"
	"github.com/chicoryrelay/chicoryrelay/relay/catalogue"
)

// Version is what an upstream must share with a request.
type Version struct {
	Model   string
	Adapter string
	Weights string
}

// upstream is the core's view of one engine. The fields that every decision reads come first.
type upstream struct {
	handle cache.Handle
	slots  int
	// outstanding and long count this VM's requests in progress; others estimates those of other VMs.
	outstanding int
	long        int
	others      int
	// memory is what this VM's requests in progress take; the others' memory and prompts not yet read are as of othersAt.
	memory       occupancy
	othersMemory int
	othersShared map[uint64]struct{}
	othersPrompt int
	othersAt     time.Duration
	epoch        uint64
	// full says that the engine was known to drop a part since it has its present weights.
	full bool
	// light says that the engine is set aside for short prompts, laned that engines are.
	light bool
	laned bool
	// backlog is this VM's prompt tokens sent there and not yet prefilled, by urgency.
	backlog [classes]int
	// wanted and wantedTokens are the queued requests that wait for this upstream, and their prefill work.
	wanted       int
	wantedTokens [classes]int
	pace         float64
	// pressure is the part of evicted entries that is reckoned to be wanted again.
	pressure float64
	// tail is the idle time in seconds at which its entries go.
	tail float64
	// region is the bit of the upstream's region; link its distance.
	region uint64
	far    int
	link   *distance
	seed   uint64
	// closed says that the upstream gets no new work; blocked is the end of the pause after failures.
	closed  bool
	blocked time.Duration
	// awaiting are the attempts without a first token, oldest first.
	awaiting []*attempt

	info     catalogue.Upstream
	group    *group
	slow     slowness
	failures int
	reported load
	smoothed time.Duration
	leaving  bool
	listed   bool
}

// distance is a Link in seconds and seconds per token.
type distance struct {
	roundTrip float64
	price     float64
}

func (l Link) distance() distance {
	return distance{roundTrip: l.RoundTrip.Seconds(), price: l.Price.Seconds() / 1000}
}

// load is an upstream's last report and what this VM had there on average when it was made.
type load struct {
	at          time.Duration
	outstanding int
	own         float64
	heard       bool
}

// ahead sums the work that an engine does before a request of the given urgency.
func ahead(work *[classes]int, urgency int) int {
	sum := 0
	for i := 0; i <= urgency; i++ {
		sum += work[i]
	}
	return sum
}

func (u *upstream) version() Version {
	return Version{u.info.Model, u.info.Adapter, u.info.Weights}
}

func (u *upstream) key(account string) cache.Key {
	v := u.version()
	return cache.Key{Scope: cache.Scope{Account: account, Model: v.Model, Adapter: v.Adapter, Weights: v.Weights}, Upstream: u.info.Name}
}

// refresh settles whether the upstream gets new work: any of the three signals closes it.
func (u *upstream) refresh() {
	u.closed = u.info.State == catalogue.Draining || u.leaving || u.listed
	u.group.count()
}

// group is the set of upstreams that serve one version, with what is learned about all of them.
type group struct {
	version Version
	seed    uint64
	list    []*upstream
	model   model
	busy    utilisation
	// pace is the median of the upstreams' paces, at least 1.
	pace float64
	// slots are those of all upstreams that take new work; slow says that any of them is slow.
	slots int
	slow  bool
	salts map[string]uint64
}

func (g *group) drop(u *upstream) {
	for i, other := range g.list {
		if other == u {
			g.list = append(g.list[:i], g.list[i+1:]...)
			return
		}
	}
}

// count settles what decisions need to know of the whole group, so that they don't have to add it up.
func (g *group) count() {
	g.slots, g.slow = 0, false
	for _, u := range g.list {
		if !u.closed {
			g.slots += u.slots
			g.slow = g.slow || u.slow.slow
		}
	}
	g.slots = max(1, g.slots)
}

// far is 0 for the own data centre, 1 for others of the region and 2 for other regions.
func (c *Core) far(info catalogue.Upstream) int {
	switch {
	case info.Region != c.region:
		return 2
	case info.DataCentre != c.centre:
		return 1
	}
	return 0
}

// regionBit numbers the regions; beyond 63 they share the last bit's refusal: such a region never matches a bound request.
func (c *Core) regionBit(region string) uint64 {
	bit, ok := c.regions[region]
	if !ok {
		if len(c.regions) >= 63 {
			return 1 << 63
		}
		bit = 1 << len(c.regions)
		c.regions[region] = bit
	}
	return bit
}

// apply replaces the set of upstreams.
func (m Upstreams) apply(c *Core, now time.Duration, effects *Effects) {
	c.setStores(m.List)
	present := make(map[string]bool, len(m.List))
	for _, info := range m.List {
		if info.Kind != catalogue.Engine {
			continue
		}
		present[info.Name] = true
		c.setUpstream(info)
	}
	kept := c.upstreams[:0]
	for _, u := range c.upstreams {
		if present[u.info.Name] {
			kept = append(kept, u)
			continue
		}
		c.removeUpstream(u)
	}
	clear(c.upstreams[len(kept):])
	c.upstreams = kept
	c.pump(now, effects)
}

func (c *Core) setUpstream(info catalogue.Upstream) {
	u, ok := c.byName[info.Name]
	if !ok {
		u = &upstream{info: info, pace: 1, seed: xxhash.Sum64String(info.Name)}
		c.byName[info.Name] = u
		c.upstreams = append(c.upstreams, u)
		c.join(u)
	} else if u.version() != (Version{info.Model, info.Adapter, info.Weights}) {
		// An engine that loads another version drops its cache. What others told of its parts may be newer than the list that tells of
		// the version; it is kept, since parts are known under a salt that names the version.
		c.cache.Clear(u.handle)
		u.full = false
		u.group.drop(u)
		u.group.count()
		u.info = info
		c.join(u)
	}
	u.info = info
	u.handle = c.cache.Attach(info.Name, info.Cache)
	u.slots = max(1, info.Slots)
	u.region = c.regionBit(info.Region)
	u.far = c.far(info)
	u.link = &c.links[u.far]
	u.refresh()
}

func (c *Core) join(u *upstream) {
	v := u.version()
	g, ok := c.groups[v]
	if !ok {
		g = &group{version: v, seed: mix(xxhash.Sum64String(v.Weights), 1), model: newModel(c.perToken), pace: 1}
		g.model.perToken.prior = c.policy == Reuse
		c.groups[v] = g
	}
	u.group = g
	g.list = append(g.list, u)
}

// removeUpstream forgets an upstream; its requests in progress go on and are settled when they end.
func (c *Core) removeUpstream(u *upstream) {
	u.closed = true
	u.group.drop(u)
	u.group.count()
	if len(u.group.list) == 0 {
		delete(c.groups, u.group.version)
	}
	c.parts.drop(u.handle)
	c.cache.Detach(u.handle)
	u.handle = -1
	delete(c.byName, u.info.Name)
}
