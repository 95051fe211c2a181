package routing

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/chicoryrelay/chicoryrelay/relay/cache"
	"github.com/chicoryrelay/chicoryrelay/relay/catalogue"
)

// Version is what an upstream must have in common with a request: model, adapter and weights.
type Version struct {
	Model   string
	Adapter string
	Weights string
}

// upstream is the core's state of one engine. The fields that every decision reads come first.
type upstream struct {
	handle cache.Handle
	slots  int
	// outstanding counts this VM's requests in progress, longOutstanding those of the long class; othersOutstanding estimates the
	// requests of other VMs.
	outstanding       int
	longOutstanding   int
	othersOutstanding int
	// memory is the memory taken by this VM's requests; the other VMs' memory and prompt tokens not yet prefilled are as of othersAt.
	memory       occupancy
	othersMemory int
	othersShared map[uint64]struct{}
	othersPrompt int
	othersAt     time.Duration
	// othersPrefilling are the prefills of shared parts for requests of other VMs.
	othersPrefilling []othersPrefill
	// peerLoads are the loads that peers reported for this engine.
	peerLoads []*peerLoad
	// attempts are this VM's attempts in progress, reservedFor is the queued request that the room is kept for, and rank this VM's rank; all
	// for a limit on room.
	attempts    []*attempt
	reservedFor *flight
	rank        rankAt
	// epoch is the epoch of the last PartUpdate.
	epoch uint64
	// hasEvicted reports that the engine has evicted a part since its cache was last empty.
	hasEvicted bool
	// inShortLane reports that the engine is set aside for short prompts, hasLane that its model's engines are divided into lanes.
	inShortLane bool
	hasLane     bool
	// backlog is the number of prompt tokens sent by this VM and not yet prefilled, by priority.
	backlog [numClasses]int
	// waiting counts the queued requests that wait for this upstream; waitingTokens is their prefill by priority.
	waiting       int
	waitingTokens [numClasses]int
	slowdown      float64
	// speed is the learned factor by which the engine takes longer than its group, homeWeight its weight among the homes of a prefix;
	// both are 0 while speeds are not learned.
	speed      float64
	homeWeight float64
	// evictionPressure is the estimated share of evicted entries that are requested again.
	evictionPressure float64
	// evictionAge is the idle time in seconds at which entries are evicted.
	evictionAge float64
	// region is the bit of the upstream's region, link the cost of its distance.
	region   uint64
	distance int
	link     *linkCost
	// seed is the hash of the name, for rendezvous hashing.
	seed uint64
	// draining reports that the upstream gets no new requests; ejectedUntil is the end of its ejection after failures, pausedUntil of
	// the time for which it asked for none.
	draining bool
	// silent reports that the upstream answers nothing; see package silence.
	silent       bool
	ejectedUntil time.Duration
	pausedUntil  time.Duration
	// awaiting are the attempts without a first token, oldest first.
	awaiting []*attempt

	info            catalogue.Upstream
	group           *group
	slow            slowState
	failures        int
	reported        loadReport
	ownMeanAt       time.Duration
	reportedLeaving bool
	listedLeaving   bool
}

// linkCost is a Link in seconds and seconds per token.
type linkCost struct {
	roundTrip float64
	price     float64
}

func (l Link) linkCost() linkCost {
	return linkCost{roundTrip: l.RoundTrip.Seconds(), price: l.Price.Seconds() / 1000}
}

// loadReport is an upstream's last load report; received is false before the first one. ownMean is a running mean of this VM's own
// requests there, for comparison with a lagging report.
type loadReport struct {
	at          time.Duration
	outstanding int
	ownMean     float64
	received    bool
}

// workAhead sums the work that an engine does before a request of the given priority.
func workAhead(work *[numClasses]int, priority int) int {
	sum := 0
	for i := 0; i <= priority; i++ {
		sum += work[i]
	}
	return sum
}

func (u *upstream) version() Version {
	return Version{u.info.Model, u.info.Adapter, u.info.Weights}
}

func (u *upstream) binding(account string) cache.Binding {
	v := u.version()
	return cache.Binding{Scope: cache.Scope{Account: account, Model: v.Model, Adapter: v.Adapter, Weights: v.Weights}, Upstream: u.info.Name}
}

// updateDraining sets draining from the configured state, the upstream's own report and the platform's list.
func (u *upstream) updateDraining() {
	u.draining = u.info.State == catalogue.Draining || u.reportedLeaving || u.listedLeaving
	u.group.updateTotals()
}

// group is the set of upstreams that serve one version, with the model learned from all of them.
type group struct {
	version Version
	seed    uint64
	list    []*upstream
	model   model
	busy    utilisation
	// slowdown is the median of the upstreams' slowdowns, at least 1.
	slowdown float64
	// slots are those of all upstreams that take new requests; slow reports that any of these is slow.
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

// updateTotals updates what decisions need of the whole group, so that they need not compute it.
func (g *group) updateTotals() {
	g.slots, g.slow = 0, false
	for _, u := range g.list {
		if !u.draining {
			g.slots += u.slots
			g.slow = g.slow || u.slow.slow
		}
	}
	g.slots = max(1, g.slots)
}

// distance returns 0 for the own data centre, 1 for others of the region and 2 for other regions.
func (c *Core) distance(info catalogue.Upstream) int {
	switch {
	case info.Region != c.region:
		return 2
	case info.DataCentre != c.centre:
		return 1
	}
	return 0
}

// regionBit returns the bit of a region. Regions beyond the 63rd share a bit that no request bound to regions matches.
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
	remaining := c.upstreams[:0]
	for _, u := range c.upstreams {
		if present[u.info.Name] {
			remaining = append(remaining, u)
			continue
		}
		c.removeUpstream(u)
	}
	clear(c.upstreams[len(remaining):])
	c.upstreams, c.laneRanks = remaining, nil
	c.dispatchQueue(now, effects)
}

func (c *Core) setUpstream(info catalogue.Upstream) {
	u, ok := c.byName[info.Name]
	if !ok {
		u = &upstream{info: info, slowdown: 1, seed: xxhash.Sum64String(info.Name)}
		c.byName[info.Name] = u
		c.upstreams = append(c.upstreams, u)
		c.addToGroup(u)
		c.attachPeerLoads(u)
	} else if u.version() != (Version{info.Model, info.Adapter, info.Weights}) {
		// An engine that loads another version drops its cache. Its part index entries stay: the salt in their keys names the
		// version, and peers may have reported the new ones before the list with the new version arrived.
		c.cache.Clear(u.handle)
		u.hasEvicted = false
		u.group.drop(u)
		u.group.updateTotals()
		u.info = info
		c.addToGroup(u)
	}
	u.info = info
	u.handle = c.cache.Attach(info.Name, info.Cache)
	u.slots = max(1, info.Slots)
	u.region = c.regionBit(info.Region)
	u.distance = c.distance(info)
	u.link = &c.links[u.distance]
	u.updateDraining()
}

func (c *Core) addToGroup(u *upstream) {
	v := u.version()
	g, ok := c.groups[v]
	if !ok {
		g = &group{version: v, seed: mix(xxhash.Sum64String(v.Weights), 1), model: newModel(c.prefillPerToken), slowdown: 1}
		g.model.perToken.trustPrior = c.policy == Reuse
		c.groups[v] = g
	}
	u.group = g
	g.list = append(g.list, u)
	if c.speeds != nil {
		c.speeds.Add(v.speedGroup(), u.info.Name)
		u.speed = 1
	}
}

// removeUpstream removes an upstream; its requests in progress continue and are accounted for when they end.
func (c *Core) removeUpstream(u *upstream) {
	u.draining = true
	u.group.drop(u)
	u.group.updateTotals()
	if len(u.group.list) == 0 {
		delete(c.groups, u.group.version)
	}
	c.partIndex.drop(u.handle)
	c.cache.Detach(u.handle)
	u.handle = -1
	if c.speeds != nil {
		c.speeds.Remove(u.info.Name)
	}
	delete(c.byName, u.info.Name)
}
