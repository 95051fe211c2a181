package rollout

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// stage is where an engine stands on its way to new weights.
type stage uint8

const (
	serving stage = iota
	// draining engines get no new requests.
	draining
	// ordered engines were sent an order that has not shown its effect.
	ordered
)

// engine is what is known of one engine.
type engine struct {
	Engine
	stage stage
	// since is when the stage began.
	since  time.Duration
	last   Report
	heard  bool
	polled time.Duration
	// earliest is the end of the pause after an order without effect.
	earliest time.Duration
	// unknown says that the last order got no answer.
	unknown bool
}

const (
	// pollInterval is the time between two questions to an engine that is not serving; each is paid for.
	pollInterval = 100 * time.Millisecond
	// drainLimit is how long an engine waits at most for runs that can't be repeated: they are a few hundred milliseconds long.
	drainLimit = 1200 * time.Millisecond
	// settleTime is how long an engine waits for runs that can go on at another engine: moving each costs a repeated send and a
	// pause in its answer.
	settleTime = 600 * time.Millisecond
	// lostTime is the time after an order without an answer after which the engine's report shows whether it was taken.
	lostTime = 500 * time.Millisecond
	// silentTime is how long an engine that sends no report keeps its place; it may have crashed.
	silentTime = 3 * time.Second
	// retryTime is the pause after an order that was refused.
	retryTime = 250 * time.Millisecond
)

// Core decides which engines drain and which are ordered to load.
type Core struct {
	share   float64
	lease   Lease
	engines []*engine
	byID    map[string]*engine
	// outdated is the highest fencing number that an engine refused as outdated.
	outdated uint64
}

// Option configures a Core.
type Option func(*Core)

// WithShare sets the part of the engines that load at once; as many others drain meanwhile.
func WithShare(share float64) Option { return func(c *Core) { c.share = share } }

// New returns a core that knows no engine and holds no lease.
func New(options ...Option) *Core {
	c := &Core{share: 0.2, byID: map[string]*engine{}}
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

// Resting reports whether an engine is to get no new requests.
func (c *Core) Resting(id string) bool {
	e := c.byID[id]
	return e != nil && e.stage != serving
}

// Serves returns the weights that an engine is known to serve by its own report, or 0.
func (c *Core) Serves(id string) uint64 {
	if e := c.byID[id]; e != nil && e.heard {
		return e.last.Serves
	}
	return 0
}

// Changing reports whether any engine serves other weights than it is to.
func (c *Core) Changing() bool {
	for _, e := range c.engines {
		if e.stage != serving || e.behind() {
			return true
		}
	}
	return false
}

func (e *engine) behind() bool { return !e.Leaving && e.serves() < e.Want }

// serves is the newest weights that the engine is known to have: they never go back.
func (e *engine) serves() uint64 {
	if e.heard {
		return max(e.Serves, e.last.Serves)
	}
	return e.Serves
}

func (m Engines) apply(c *Core, _ time.Duration, _ *Effects) {
	kept := make([]*engine, 0, len(m.List))
	byID := make(map[string]*engine, len(m.List))
	for _, info := range m.List {
		e := c.byID[info.ID]
		if e == nil {
			e = &engine{}
		}
		e.Engine = info
		kept = append(kept, e)
		byID[info.ID] = e
	}
	c.engines, c.byID = kept, byID
}

func (m Lease) apply(c *Core, now time.Duration, effects *Effects) {
	if m.Number != c.lease.Number {
		// What the previous life of the lease was about to do is forgotten; reports show what is under way.
		for _, e := range c.engines {
			e.move(now, serving, effects)
		}
	}
	c.lease = m
}

func (m Report) apply(c *Core, now time.Duration, effects *Effects) {
	e := c.byID[m.ID]
	if e == nil || e.heard && m.Made < e.last.Made {
		return
	}
	e.last, e.heard = m, true
	switch {
	case m.Busy:
		if e.stage != ordered {
			e.move(now, ordered, effects)
		}
		e.unknown = false
	case e.stage == ordered && m.Made >= e.since && (m.Serves >= e.Want || m.Made >= e.since+lostTime):
		e.move(now, serving, effects)
		if m.Serves < e.Want {
			e.earliest = now + retryTime
		}
	}
}

func (m Answered) apply(c *Core, now time.Duration, effects *Effects) {
	e := c.byID[m.ID]
	if e == nil || e.stage != ordered {
		return
	}
	switch m.Result {
	case Unknown:
		e.unknown = true
	case Taken:
	case Holds:
		e.last.Serves, e.heard = max(e.last.Serves, e.Want), true
		e.move(now, serving, effects)
	default:
		if m.Result == Outdated {
			c.outdated = max(c.outdated, c.lease.Number)
		}
		e.move(now, serving, effects)
		e.earliest = now + retryTime
	}
}

func (e *engine) move(now time.Duration, to stage, effects *Effects) {
	if e.stage == to {
		return
	}
	e.stage, e.since, e.unknown = to, now, false
	effects.Changed = true
}

func (Tick) apply(c *Core, now time.Duration, effects *Effects) {
	if c.lease.Number == 0 || !c.lease.Open || c.lease.Number <= c.outdated {
		return
	}
	loads, drains := 0, 0
	for _, e := range c.engines {
		if e.stage != serving && now >= max(e.since, e.last.Made)+silentTime {
			e.move(now, serving, effects)
			e.earliest = now + silentTime
		}
		switch e.stage {
		case ordered:
			loads++
		case draining:
			drains++
		}
	}
	limit := max(1, int(math.Round(c.share*float64(len(c.engines)))))
	for _, e := range c.engines {
		if e.stage == draining && !e.behind() {
			e.move(now, serving, effects)
			drains--
		}
		if e.stage == draining && loads < limit && c.drained(now, e) {
			e.move(now, ordered, effects)
			loads, drains = loads+1, drains-1
			effects.Order = append(effects.Order, Order{ID: e.ID, Model: e.Model, Weights: e.Want, Number: c.lease.Number, Sequence: e.last.Sequence})
		}
	}
	for _, e := range c.oldestFirst() {
		if e.stage == serving && e.behind() && now >= e.earliest && loads+drains < 2*limit {
			e.move(now, draining, effects)
			drains++
		}
	}
	for _, e := range c.engines {
		if e.stage != serving && now >= e.polled+pollInterval {
			e.polled = now
			effects.Poll = append(effects.Poll, e.ID)
		}
	}
}

// oldestFirst orders the engines by the weights that they serve: where weights are named faster than they can be rolled out, an
// engine that waits must not be overtaken for ever by those that were just loaded.
func (c *Core) oldestFirst() []*engine {
	list := slices.Clone(c.engines)
	slices.SortStableFunc(list, func(a, b *engine) int { return cmp.Compare(a.serves(), b.serves()) })
	return list
}

// drained reports whether an engine may be ordered to load: its report is newer than the drain and shows no run, or it has waited
// long enough for those that are left. Without any report the number of its orders is not known.
func (c *Core) drained(now time.Duration, e *engine) bool {
	if !e.heard || e.last.Made < e.since {
		return false
	}
	switch {
	case e.last.Running == 0 || now >= e.since+drainLimit:
		return true
	case e.last.Blocking > 0:
		return false
	}
	return now >= e.since+settleTime
}
