package routing

import (
	"time"

	"github.com/chicoryrelay/chicoryrelay/relay/admission"
	"github.com/chicoryrelay/chicoryrelay/relay/cache"
	"github.com/chicoryrelay/chicoryrelay/relay/capacity"
	"github.com/chicoryrelay/chicoryrelay/relay/catalogue"
)

// budgetBurst is the number of unused retries or hedges that a budget can accumulate.
const budgetBurst = 10

// Core decides which upstream each request goes to. It is not safe for concurrent use.
type Core struct {
	settings
	// links are the costs within the own data centre, to others of the region and to other regions, indexed by upstream.distance.
	links     [3]linkCost
	cache     *cache.Index
	fairQueue *admission.FairQueue
	limits    *admission.Limits
	retries   *admission.Budget
	hedges    *admission.Budget
	upstreams []*upstream
	byName    map[string]*upstream
	groups    map[Version]*group
	// regions are the bits of the regions in region sets, by name.
	regions  map[string]uint64
	accounts map[string]catalogue.Account
	// flights are the requests in progress, queued ones included, by ID.
	flights map[string]*flight
	queue   queue
	// nextIndex is the position of the RoundRobin and LeastOutstanding policies in the list of upstreams.
	nextIndex int
	demand    *demand
	peers     map[string]*peerState
	// computed are the prefixes computed since the last digest.
	computed []computed
	waste    Waste
	// cachedTokens are the leading tokens of the request being planned that each upstream or store has, by cache handle.
	cachedTokens []int32
	// named are the weights versions named for each model, oldest first.
	named     map[string][]namedVersion
	partIndex *partIndex
	lanes     map[string]*shortLane
	// laneRanks are the engines of the cell in the order in which they are set aside, by model; nil after a change of the engines.
	laneRanks map[string][]*upstream
	stores    map[string]*store
	// cellSpan is the greatest distance of engines whose load this VM knows from its peers; of farther ones it knows little.
	cellSpan Span
	views    views
	// roomWaits counts the requests that had to wait for room.
	roomWaits uint64
	// slowdowns is the buffer of detectSlow.
	slowdowns []float64
	// speeds learns the engines' speeds, nil if they are not learned.
	speeds *capacity.Core
}

// New returns a core without upstreams.
func New(opts ...Option) *Core {
	s := defaults()
	for _, opt := range opts {
		opt(&s)
	}
	c := &Core{
		settings:  s,
		links:     [3]linkCost{{}, s.toCentre.linkCost(), s.toRegion.linkCost()},
		cache:     cache.New(s.cache...),
		fairQueue: admission.NewFairQueue(),
		limits:    admission.NewLimits(s.vm, s.times.StaleAfter),
		retries:   admission.NewBudget(s.shares.Retry, budgetBurst),
		hedges:    admission.NewBudget(s.shares.Hedge, budgetBurst),
		byName:    map[string]*upstream{},
		groups:    map[Version]*group{},
		regions:   map[string]uint64{},
		accounts:  map[string]catalogue.Account{},
		flights:   map[string]*flight{},
		demand:    newDemand(s.times.HalfLife),
		peers:     map[string]*peerState{},
		named:     map[string][]namedVersion{},
		partIndex: newPartIndex(),
		lanes:     map[string]*shortLane{},
		stores:    map[string]*store{},
		cellSpan:  Everywhere,
		queue:     queue{starts: map[string]float64{}},
	}
	if s.learnsSpeeds {
		c.speeds = capacity.New()
	}
	return c
}

// Step applies a message and returns its effects.
func (c *Core) Step(now time.Duration, message Message) Effects {
	var effects Effects
	message.apply(c, now, &effects)
	return effects
}

// InProgress returns the number of requests sent and queued.
func (c *Core) InProgress() (sent, queued int) {
	return len(c.flights) - len(c.queue.list), len(c.queue.list)
}

func (m Accounts) apply(c *Core, _ time.Duration, _ *Effects) {
	present := make(map[string]bool, len(m.List))
	for _, account := range m.List {
		present[account.Name] = true
		c.accounts[account.Name] = account
		c.fairQueue.SetWeight(account.Name, account.Weight)
		c.limits.SetLimit(account.Name, account.Limit)
	}
	for name := range c.accounts {
		if !present[name] {
			delete(c.accounts, name)
			c.fairQueue.Remove(name)
			c.limits.SetLimit(name, 0)
		}
	}
}

func (m LoadReport) apply(c *Core, now time.Duration, effects *Effects) {
	u, ok := c.byName[m.Upstream]
	if !ok || !c.cache.Observe(u.handle, m.Incarnation) {
		return
	}
	u.reportedLeaving = m.Leaving
	u.updateDraining()
	u.reported.at = now - m.Age
	u.reported.outstanding = m.Outstanding + m.Queued
	u.reported.received = true
	c.estimateOthers(now, u)
	c.dispatchQueue(now, effects)
}

func (m CellSpan) apply(c *Core, _ time.Duration, _ *Effects) {
	c.setCellPeers(m.Peers)
	if c.cellSpan != m.Span {
		c.cellSpan, c.laneRanks = m.Span, nil
	}
}

func (m Leaving) apply(c *Core, now time.Duration, effects *Effects) {
	u, ok := c.byName[m.Upstream]
	if !ok {
		return
	}
	u.listedLeaving = m.Leaving
	u.updateDraining()
	c.dispatchQueue(now, effects)
}

func (m Pause) apply(c *Core, now time.Duration, _ *Effects) {
	if u, ok := c.byName[m.Upstream]; ok {
		u.pausedUntil = max(u.pausedUntil, now+m.For)
	}
}

func (m CacheEvents) apply(c *Core, now time.Duration, effects *Effects) {
	if u, ok := c.byName[m.Upstream]; ok && !c.cache.ApplyEvents(now, u.handle, m.Incarnation, m.Events) {
		effects.Resync = append(effects.Resync, m.Upstream)
	}
}

func (m CacheSnapshot) apply(c *Core, now time.Duration, _ *Effects) {
	if u, ok := c.byName[m.Upstream]; ok {
		c.cache.ApplySnapshot(now, u.handle, m.Incarnation, m.Sequence, m.Blocks)
	}
}

func (Tick) apply(c *Core, now time.Duration, effects *Effects) {
	for _, u := range c.upstreams {
		u.updateOwnMean(now)
		u.evictionAge = c.cache.EvictionAge(now, u.handle).Seconds()
		u.evictionPressure = 1 / (1 + u.evictionAge/halfReuseIdle)
		c.estimateOthers(now, u)
	}
	c.tickSpeeds(now, effects)
	for _, g := range c.groups {
		c.detectSlow(now, g)
	}
	if c.policy == Reuse {
		c.assignLanes(now)
	}
	c.expire(now, effects)
	c.dispatchQueue(now, effects)
}
