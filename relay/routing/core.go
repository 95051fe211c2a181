package routing

import (
	"time"

	"github.com/chicoryrelay/chicoryrelay/relay/admission"
	"github.com/chicoryrelay/chicoryrelay/relay/cache"
	"github.com/chicoryrelay/chicoryrelay/relay/catalogue"
)

// burst is the number of retries or hedges that a budget saves up.
const burst = 10

// Core decides where requests go.
type Core struct {
	settings
	// links are those to the own data centre, to others of the region and to other regions.
	links     [3]distance
	cache     *cache.Knowledge
	fairness  *admission.Fairness
	limits    *admission.Limits
	retries   *admission.Budget
	hedges    *admission.Budget
	upstreams []*upstream
	byName    map[string]*upstream
	groups    map[Version]*group
	regions   map[string]uint64
	accounts  map[string]catalogue.Account
	flights   map[string]*flight
	queue     queue
	next      int
	demand    *demand
	peers     map[string]*neighbour
	news      []news
	waste     Waste
	found     []int32
	named     map[string][]naming
	parts     *parts
	lanes     map[string]*lane
	stores    map[string]*store
	// cell is how far away the engines stand that this VM knows well.
	cell  Span
	paces []float64
}

// New returns a core without upstreams.
func New(opts ...Option) *Core {
	s := defaults()
	for _, opt := range opts {
		opt(&s)
	}
	return &Core{
		settings: s,
		links:    [3]distance{{}, s.toCentre.distance(), s.toRegion.distance()},
		cache:    cache.New(s.cache...),
		fairness: admission.NewFairness(),
		limits:   admission.NewLimits(s.vm, s.times.Stale),
		retries:  admission.NewBudget(s.shares.Retry, burst),
		hedges:   admission.NewBudget(s.shares.Hedge, burst),
		byName:   map[string]*upstream{},
		groups:   map[Version]*group{},
		regions:  map[string]uint64{},
		accounts: map[string]catalogue.Account{},
		flights:  map[string]*flight{},
		demand:   newDemand(s.times.HalfLife),
		peers:    map[string]*neighbour{},
		named:    map[string][]naming{},
		parts:    newParts(),
		lanes:    map[string]*lane{},
		stores:   map[string]*store{},
		cell:     Everywhere,
	}
}

// Step takes a message and returns what it led to.
func (c *Core) Step(now time.Duration, message Message) Effects {
	var effects Effects
	message.apply(c, now, &effects)
	return effects
}

// InProgress returns the number of requests sent and queued.
func (c *Core) InProgress() (sent, queued int) {
	return len(c.flights) - len(c.queue.list), len(c.queue.list)
}

// apply replaces the accounts.
func (m Accounts) apply(c *Core, _ time.Duration, _ *Effects) {
	present := make(map[string]bool, len(m.List))
	for _, account := range m.List {
		present[account.Name] = true
		c.accounts[account.Name] = account
		c.fairness.Weigh(account.Name, account.Weight)
		c.limits.Set(account.Name, account.Limit)
	}
	for name := range c.accounts {
		if !present[name] {
			delete(c.accounts, name)
			c.fairness.Forget(name)
			c.limits.Set(name, 0)
		}
	}
}

func (m Load) apply(c *Core, now time.Duration, effects *Effects) {
	u, ok := c.byName[m.Upstream]
	if !ok || !c.cache.Observe(u.handle, m.Incarnation) {
		return
	}
	u.leaving = m.Leaving
	u.refresh()
	u.reported.at = now - m.Age
	u.reported.outstanding = m.Outstanding + m.Queued
	u.reported.heard = true
	c.countOthers(now, u)
	c.pump(now, effects)
}

func (m Cell) apply(c *Core, _ time.Duration, _ *Effects) { c.cell = m.Span }

func (m Leaving) apply(c *Core, now time.Duration, effects *Effects) {
	u, ok := c.byName[m.Upstream]
	if !ok {
		return
	}
	u.listed = m.Leaving
	u.refresh()
	c.pump(now, effects)
}

func (m CacheEvents) apply(c *Core, now time.Duration, effects *Effects) {
	if u, ok := c.byName[m.Upstream]; ok && !c.cache.Events(now, u.handle, m.Incarnation, m.Events) {
		effects.Resync = append(effects.Resync, m.Upstream)
	}
}

func (m CacheSnapshot) apply(c *Core, now time.Duration, _ *Effects) {
	if u, ok := c.byName[m.Upstream]; ok {
		c.cache.Snapshot(now, u.handle, m.Incarnation, m.Sequence, m.Blocks)
	}
}

func (Tick) apply(c *Core, now time.Duration, effects *Effects) {
	for _, u := range c.upstreams {
		u.smooth(now)
		u.tail = c.cache.Tail(now, u.handle).Seconds()
		u.pressure = 1 / (1 + u.tail/evictionSpan)
		c.countOthers(now, u)
	}
	for _, g := range c.groups {
		c.rate(now, g)
	}
	if c.policy == Reuse {
		c.setLanes(now)
	}
	c.expire(now, effects)
	c.pump(now, effects)
}
