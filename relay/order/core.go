package order

import (
	"cmp"
	"slices"
	"time"

	"github.com/chicoryrelay/chicoryrelay/relay/catalogue"
)

// clockMargin is the greatest deviation of a clock's rate, in parts per thousand, on each of two clocks.
const clockMargin = 20

// Core decides which orders to send.
type Core struct {
	loads   int
	transit time.Duration
	window  time.Duration
	longest time.Duration
	stale   time.Duration
	retry   time.Duration

	lease Lease
	// opened is when the lease was first seen open under its present number; reports made before may miss an order of the previous holder.
	opened  time.Duration
	version uint64
	engines []*engine
	ids     uint64
}

// Option configures a Core.
type Option func(*Core)

// WithLoads sets the number of engines that read from the weight store at once at most; the default is 2.
func WithLoads(n int) Option { return func(c *Core) { c.loads = n } }

// WithTransit sets the longest time from an order's first byte to its arrival; the default is 5 s.
func WithTransit(d time.Duration) Option { return func(c *Core) { c.transit = d } }

// WithWindow sets the longest time from the decision to send an order to its first byte; the default is 2 s.
func WithWindow(d time.Duration) Option { return func(c *Core) { c.window = d } }

// WithLongest sets how long an engine that does not report counts as loading; the default is 10 min.
func WithLongest(d time.Duration) Option { return func(c *Core) { c.longest = d } }

// WithStale sets the age from which a report no longer shows that an engine serves; the default is 5 s.
func WithStale(d time.Duration) Option { return func(c *Core) { c.stale = d } }

// WithRetry sets the pause after the first order without effect; it doubles up to 32 times that. The default is 1 s.
func WithRetry(d time.Duration) Option { return func(c *Core) { c.retry = d } }

// New returns a core that knows no engine and holds no lease.
func New(options ...Option) *Core {
	c := &Core{loads: 2, transit: 5 * time.Second, window: 2 * time.Second, longest: 10 * time.Minute, stale: 5 * time.Second, retry: time.Second}
	for _, option := range options {
		option(c)
	}
	return c
}

// Step takes a message and returns what it led to.
func (c *Core) Step(now time.Duration, message Message) Effects {
	var effects Effects
	message.apply(c, now, &effects)
	return effects
}

func (m Desired) apply(c *Core, _ time.Duration, _ *Effects) {
	if m.Version < c.version {
		return
	}
	c.version = m.Version
	if m.Loads > 0 {
		c.loads = m.Loads
	}
	for _, e := range c.engines {
		e.present = false
	}
	for _, u := range m.Upstreams {
		if u.Kind != catalogue.Engine {
			continue
		}
		e := c.find(u.Name, true)
		e.configure(u)
	}
	slices.SortFunc(c.engines, func(a, b *engine) int { return cmp.Compare(a.name, b.name) })
}

func (m Lease) apply(c *Core, now time.Duration, _ *Effects) {
	if m.Number != c.lease.Number || m.Number == 0 {
		c.opened = 0
	}
	c.lease = m
	if m.Number > 0 && m.Open && c.opened == 0 {
		c.opened = now
	}
}

func (m Report) apply(c *Core, _ time.Duration, _ *Effects) {
	e := c.find(m.Upstream, false)
	if e != nil && m.Address == e.want.Address {
		e.observe(m)
	}
}

func (m Answered) apply(c *Core, now time.Duration, _ *Effects) {
	if e := c.find(m.Upstream, false); e != nil {
		e.answer(now, m)
	}
}

func (Tick) apply(c *Core, now time.Duration, effects *Effects) {
	c.engines = slices.DeleteFunc(c.engines, func(e *engine) bool { return !e.present && !c.busy(now, e) })
	if c.lease.Number == 0 {
		return
	}
	for _, e := range c.engines {
		c.settle(e)
	}
	c.orderRoles(now, effects)
	c.orderLoads(now, effects)
}

func (c *Core) find(name string, add bool) *engine {
	for _, e := range c.engines {
		if e.name == name {
			return e
		}
	}
	if !add {
		return nil
	}
	e := &engine{name: name}
	c.engines = append(c.engines, e)
	return e
}

func longer(d time.Duration) time.Duration { return d + d*clockMargin/1000 }
