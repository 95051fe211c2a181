package order

import (
	"cmp"
	"slices"
	"time"

	"github.com/chicoryrelay/chicoryrelay/relay/catalogue"
)

// clockMarginPerMille is the greatest deviation of a clock's rate, in parts per thousand, on each of two clocks.
const clockMarginPerMille = 20

// Core compares the engines' reports with the configuration and decides which orders to send.
type Core struct {
	maxLoads       int
	maxTransit     time.Duration
	sendWindow     time.Duration
	maxLoadTime    time.Duration
	staleAge       time.Duration
	initialBackoff time.Duration

	lease Lease
	// previousEndedAt is when Lease.PreviousEnded was first set under the current fencing number, 0 if it is not. Reports made earlier
	// may not show the effect of the previous holder's last orders.
	previousEndedAt time.Duration
	version         uint64
	engines         []*engine
	lastID          uint64
}

// Option configures a Core.
type Option func(*Core)

// WithMaxLoads sets the maximum number of engines that read from the weight store at once; the default is 2.
func WithMaxLoads(n int) Option { return func(c *Core) { c.maxLoads = n } }

// WithMaxTransit sets the maximum time from sending an order's first byte to its arrival; the default is 5 s.
func WithMaxTransit(d time.Duration) Option { return func(c *Core) { c.maxTransit = d } }

// WithSendWindow sets the maximum time from the decision to send an order to its first byte; the default is 2 s.
func WithSendWindow(d time.Duration) Option { return func(c *Core) { c.sendWindow = d } }

// WithMaxLoadTime sets how long an engine that does not report is assumed to be loading; the default is 10 min.
func WithMaxLoadTime(d time.Duration) Option { return func(c *Core) { c.maxLoadTime = d } }

// WithStaleAge sets the age above which a report is stale and no longer shows that an engine serves; the default is 5 s.
func WithStaleAge(d time.Duration) Option { return func(c *Core) { c.staleAge = d } }

// WithInitialBackoff sets the initial backoff, which doubles with each further order without effect up to 32 times that; the
// default is 1 s.
func WithInitialBackoff(d time.Duration) Option { return func(c *Core) { c.initialBackoff = d } }

// New returns a core without engines and without the order lease.
func New(options ...Option) *Core {
	c := &Core{maxLoads: 2, maxTransit: 5 * time.Second, sendWindow: 2 * time.Second, maxLoadTime: 10 * time.Minute, staleAge: 5 * time.Second, initialBackoff: time.Second}
	for _, option := range options {
		option(c)
	}
	return c
}

// Step applies a message and returns what the host must do.
func (c *Core) Step(now time.Duration, message Message) Effects {
	var effects Effects
	message.apply(c, now, &effects)
	return effects
}

func (m DesiredState) apply(c *Core, _ time.Duration, _ *Effects) {
	if m.Version < c.version {
		return
	}
	c.version = m.Version
	if m.MaxLoads > 0 {
		c.maxLoads = m.MaxLoads
	}
	for _, e := range c.engines {
		e.configured = false
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
	if m.FencingNumber != c.lease.FencingNumber || m.FencingNumber == 0 {
		c.previousEndedAt = 0
	}
	c.lease = m
	if m.FencingNumber > 0 && m.PreviousEnded && c.previousEndedAt == 0 {
		c.previousEndedAt = now
	}
}

func (m Report) apply(c *Core, _ time.Duration, _ *Effects) {
	e := c.find(m.Upstream, false)
	if e != nil && m.Address == e.desired.Address {
		e.recordReport(m)
	}
}

func (m SendResult) apply(c *Core, now time.Duration, _ *Effects) {
	if e := c.find(m.Upstream, false); e != nil {
		e.recordAnswer(now, m)
	}
}

func (Tick) apply(c *Core, now time.Duration, effects *Effects) {
	c.engines = slices.DeleteFunc(c.engines, func(e *engine) bool { return !e.configured && !c.mayBeLoading(now, e) })
	if c.lease.FencingNumber == 0 {
		return
	}
	for _, e := range c.engines {
		c.clearCompletedOrder(e)
	}
	c.orderRoles(now, effects)
	c.orderLoads(now, effects)
}

func (c *Core) find(name string, create bool) *engine {
	for _, e := range c.engines {
		if e.name == name {
			return e
		}
	}
	if !create {
		return nil
	}
	e := &engine{name: name}
	c.engines = append(c.engines, e)
	return e
}

func withClockMargin(d time.Duration) time.Duration { return d + d*clockMarginPerMille/1000 }
