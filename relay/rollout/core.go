package rollout

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// stage is an engine's step in the rollout of a weights version.
type stage uint8

const (
	serving stage = iota
	// draining engines get no new requests.
	draining
	// ordered engines were sent an order to load; no report has shown yet that it has ended.
	ordered
)

// observation is the weights version of a model that an engine itself has shown, and the earliest time at which it can have done so.
type observation struct {
	weights uint64
	at      time.Duration
}

// engine is the rollout state of one engine, which executes one order at a time whatever its models are.
type engine struct {
	Engine
	// startedAt is the newest start of the engine that is known, zero if none is. All fields below but lateOrderUntil are about that
	// incarnation.
	startedAt time.Time
	stage     stage
	// observed is what the engine's last report and answers show, by model.
	observed map[string]observation
	// order is the number of the order that no result has come for, or 0; loading and loadingWeights are the model and the version of the
	// last order.
	order          uint64
	loading        string
	loadingWeights uint64
	// stageSince is the time at which the stage began.
	stageSince time.Duration
	lastReport Report
	reported   bool
	polledAt   time.Duration
	// backoffUntil is the end of the backoff after an order without effect or a missing report.
	backoffUntil time.Duration
	// lateOrderUntil is the time until which an order without an answer may still be executed, also by a later incarnation.
	lateOrderUntil time.Duration
}

const (
	// pollInterval is the time between two polls of an engine that is not serving; it is limited because each poll has a cost.
	pollInterval = 100 * time.Millisecond
	// drainTimeout limits the wait for requests that can't move to another engine; these take a few hundred milliseconds.
	drainTimeout = 1200 * time.Millisecond
	// movableRequestTimeout limits the wait for requests that can move to another engine; it is above zero because each move costs
	// a repeated send and a pause in the answer.
	movableRequestTimeout = 600 * time.Millisecond
	// orderEffectTimeout is the time after which an order whose effect no report shows counts as lost.
	orderEffectTimeout = 500 * time.Millisecond
	// reportTimeout limits how long an engine without reports, which may have crashed, counts as draining or loading. It is also
	// the backoff afterwards.
	reportTimeout = 3 * time.Second
	// retriesLag is the time after which the VMs' retries include the requests that an order has interrupted.
	retriesLag = time.Second
	// orderBackoff is the pause after an order that was refused or had no effect.
	orderBackoff = 250 * time.Millisecond
	// listLag is the time by which the directory may lag behind what the engines report. A longer lag costs further polls only.
	listLag = 2 * time.Second
	// verifyInterval is the time between two polls of a serving engine whose weights are in doubt.
	verifyInterval = time.Second
	// lateOrderTime is the time for which an order without an answer may still be executed.
	lateOrderTime = 15 * time.Second
	// maxListAge is the age from which the directory does not show in time that an engine has executed a late order.
	maxListAge = 3 * time.Second
)

// interruption counts the requests that an order interrupts.
type interruption struct {
	at       time.Duration
	requests int
}

// Core decides which engines drain and which are ordered to load new weights.
type Core struct {
	loadShare float64
	lease     Lease
	now       time.Duration
	listedAt  time.Duration
	engines   []*engine
	byID      map[string]*engine
	// orderCount is the number of the last order.
	orderCount uint64
	// observedUnder is the fencing number under which the engines were observed.
	observedUnder uint64
	// retries is the number of requests that the VMs may repeat; interrupted are the requests that recent orders interrupt, which it may
	// not include yet.
	retries     Retries
	interrupted []interruption
	// fencedNumber is the highest fencing number that an engine refused because it had seen a higher one.
	fencedNumber uint64
}

// Option configures a Core.
type Option func(*Core)

// WithLoadShare sets the share of the engines that load at the same time; loading and draining engines are at most twice as many.
func WithLoadShare(loadShare float64) Option { return func(c *Core) { c.loadShare = loadShare } }

// New returns a core that knows no engine and holds no lease.
func New(options ...Option) *Core {
	c := &Core{loadShare: 0.2, byID: map[string]*engine{}}
	for _, option := range options {
		option(c)
	}
	return c
}

// Step handles a message and returns the effects that the host must carry out.
func (c *Core) Step(now time.Duration, message Message) Effects {
	var effects Effects
	c.now = now
	message.apply(c, now, &effects)
	return effects
}

// OutOfRotation reports whether an engine must get no new requests.
func (c *Core) OutOfRotation(id string) bool {
	e := c.byID[id]
	return e != nil && e.stage != serving
}

// StartedAt returns the newest start of an engine that the directory or its reports have shown, zero if none is known.
func (c *Core) StartedAt(id string) time.Time {
	if e := c.byID[id]; e != nil {
		return e.startedAt
	}
	return time.Time{}
}

// ReportedWeights returns the weights version of a model from the last report of an engine or its answer to an order, or 0 if there is
// neither or the directory is newer.
func (c *Core) ReportedWeights(id, model string) uint64 {
	if e := c.byID[id]; e != nil && !c.isNewer(e.observed[model]) {
		return e.observed[model].weights
	}
	return 0
}

// isNewer reports whether what the directory says is newer than an observation, whatever its lag.
func (c *Core) isNewer(o observation) bool { return c.listedAt >= o.at+listLag }

// InProgress reports whether any engine drains, loads, serves an older weights version than wanted, or must be polled for its version.
func (c *Core) InProgress() bool {
	for _, e := range c.engines {
		if e.stage != serving || e.due() != nil || c.inDoubt(e) {
			return true
		}
	}
	return false
}

// inDoubt reports whether a serving engine may have changed to older weights than it has shown, as by an order that it executed late: a
// newer directory says so, or the directory is too old to tell. Only the engine itself can say, since a directory may lag.
func (c *Core) inDoubt(e *engine) bool {
	if e.stage != serving || e.Leaving {
		return false
	}
	if c.now < e.lateOrderUntil && c.now >= c.listedAt+maxListAge {
		return true
	}
	if e.StartedAt.Before(e.startedAt) {
		return false
	}
	return slices.ContainsFunc(e.Models, func(m Model) bool {
		o, known := e.observed[m.Name]
		return known && m.Weights < m.WantedWeights && o.weights >= m.WantedWeights && c.isNewer(o)
	})
}

// due returns the model of which the engine is to load newer weights next, an overdue one first, or nil.
func (e *engine) due() *Model {
	var next *Model
	for i := range e.Models {
		m := &e.Models[i]
		if !e.Leaving && e.version(m) < m.WantedWeights && (next == nil || m.Overdue && !next.Overdue) {
			next = m
		}
	}
	return next
}

// version returns the version of a model that the engine serves, as far as the engine itself shows, or else the directory.
func (e *engine) version(m *Model) uint64 {
	if o, known := e.observed[m.Name]; known {
		return o.weights
	}
	return m.Weights
}

// observe records what the engine shows unless something newer is known.
func (e *engine) observe(model string, o observation) {
	if known, ok := e.observed[model]; !ok || o.at >= known.at {
		e.observed[model] = o
	}
}

// restart forgets what was known of the earlier incarnation of an engine.
func (e *engine) restart(now time.Duration, startedAt time.Time, effects *Effects) {
	effects.Changed = true
	*e = engine{Engine: e.Engine, startedAt: startedAt, observed: map[string]observation{}, stageSince: now, lateOrderUntil: e.lateOrderUntil}
}

// sees takes in the start of an engine that the directory or a report shows, and reports whether it is that of the newest incarnation.
func (e *engine) sees(now time.Duration, startedAt time.Time, effects *Effects) bool {
	switch {
	case startedAt.IsZero():
	case e.startedAt.IsZero():
		e.startedAt = startedAt
	case startedAt.After(e.startedAt):
		e.restart(now, startedAt, effects)
	case startedAt.Before(e.startedAt):
		return false
	}
	return true
}

// model returns a model of the engine, or nil.
func (e *engine) model(name string) *Model {
	for i := range e.Models {
		if e.Models[i].Name == name {
			return &e.Models[i]
		}
	}
	return nil
}

// hasLoaded reports whether the last order has had its effect, or none is wanted any more.
func (e *engine) hasLoaded() bool {
	return e.model(e.loading) == nil || e.observed[e.loading].weights >= e.loadingWeights
}

func (m Engines) apply(c *Core, now time.Duration, effects *Effects) {
	kept := make([]*engine, 0, len(m.List))
	byID := make(map[string]*engine, len(m.List))
	for _, info := range m.List {
		e := c.byID[info.ID]
		if e == nil {
			e = &engine{observed: map[string]observation{}}
		}
		e.Engine = info
		e.sees(now, info.StartedAt, effects)
		kept = append(kept, e)
		byID[info.ID] = e
	}
	c.engines, c.byID, c.listedAt = kept, byID, m.ListedAt
}

func (m Lease) apply(c *Core, now time.Duration, effects *Effects) {
	if m.FencingNumber != c.lease.FencingNumber {
		// The stages set under the previous fencing number are reset; reports show which orders are still being executed.
		for _, e := range c.engines {
			e.setStage(now, serving, effects)
		}
	}
	if m.FencingNumber > c.observedUnder {
		// Another VM may have given orders since the observations were made.
		c.observedUnder = m.FencingNumber
		for _, e := range c.engines {
			clear(e.observed)
		}
	}
	c.lease = m
}

func (m Retries) apply(c *Core, _ time.Duration, _ *Effects) { c.retries = m }

// mayInterrupt reports whether the VMs may repeat a number of further requests.
func (c *Core) mayInterrupt(now time.Duration, requests int) bool {
	if !c.retries.Known {
		return true
	}
	c.interrupted = slices.DeleteFunc(c.interrupted, func(i interruption) bool { return now >= i.at+retriesLag })
	left := c.retries.Left
	for _, i := range c.interrupted {
		left -= i.requests
	}
	return requests <= left
}

// mayInterruptAll reports whether all requests in progress at an engine may be interrupted: each can be repeated, and the VMs may do so.
// An answer that goes on under newer weights is worth more to its caller than one that is broken off.
func (c *Core) mayInterruptAll(now time.Duration, r Report) bool {
	return r.NonRepeatableRequests == 0 && (r.ActiveRequests == 0 || c.mayInterrupt(now, r.ActiveRequests))
}

func (m Report) apply(c *Core, now time.Duration, effects *Effects) {
	e := c.byID[m.ID]
	if e == nil || !e.sees(now, m.StartedAt, effects) || e.reported && m.MadeAt < e.lastReport.MadeAt {
		return
	}
	if e.reported && m.Sequence < e.lastReport.Sequence {
		// The count of orders starts anew with each start of the engine, which may not tell when it started.
		e.restart(now, e.startedAt, effects)
	}
	e.lastReport, e.reported = m, true
	// A serving engine is polled if its weights are in doubt, so that the report may differ from what was published.
	effects.Changed = effects.Changed || e.stage == serving
	for model, weights := range m.Weights {
		e.observe(model, observation{weights, m.MadeAt})
	}
	switch {
	case m.Executing:
		if e.stage != ordered {
			e.setStage(now, ordered, effects)
		}
	case e.stage == ordered && m.MadeAt >= e.stageSince && (e.hasLoaded() || m.MadeAt >= e.stageSince+orderEffectTimeout):
		e.setStage(now, serving, effects)
		if !e.hasLoaded() {
			e.backoffUntil = now + orderBackoff
		}
	}
}

func (m OrderResult) apply(c *Core, now time.Duration, effects *Effects) {
	e := c.byID[m.ID]
	if e == nil {
		return
	}
	if m.Result == Unknown {
		e.lateOrderUntil = now + lateOrderTime
	}
	if e.stage != ordered || m.Number != e.order {
		return
	}
	e.order = 0
	switch m.Result {
	case Unknown, Accepted:
	case AlreadyServed:
		e.observe(e.loading, observation{e.loadingWeights, e.stageSince})
		e.setStage(now, serving, effects)
	default:
		if m.Result == Fenced {
			c.fencedNumber = max(c.fencedNumber, c.lease.FencingNumber)
		}
		e.setStage(now, serving, effects)
		e.backoffUntil = now + orderBackoff
	}
}

func (e *engine) setStage(now time.Duration, to stage, effects *Effects) {
	if e.stage == to {
		return
	}
	e.stage, e.stageSince = to, now
	effects.Changed = true
}

func (Tick) apply(c *Core, now time.Duration, effects *Effects) {
	if c.lease.FencingNumber == 0 || !c.lease.PreviousEnded || c.lease.FencingNumber <= c.fencedNumber {
		return
	}
	loadCount, drainCount := 0, 0
	for _, e := range c.engines {
		if e.stage != serving && now >= max(e.stageSince, e.lastReport.MadeAt)+reportTimeout {
			e.setStage(now, serving, effects)
			e.backoffUntil = now + reportTimeout
		}
		switch e.stage {
		case ordered:
			loadCount++
		case draining:
			drainCount++
		}
	}
	maxLoading := max(1, int(math.Round(c.loadShare*float64(len(c.engines)))))
	for _, e := range c.engines {
		if e.stage == draining && e.due() == nil {
			e.setStage(now, serving, effects)
			drainCount--
		}
		if e.stage == draining && loadCount < maxLoading && c.readyToLoad(now, e) {
			c.order(now, e, effects)
			loadCount, drainCount = loadCount+1, drainCount-1
		}
	}
	for _, e := range c.oldestFirst() {
		if e.stage == serving && e.due() != nil && now >= e.backoffUntil && loadCount+drainCount < 2*maxLoading {
			e.setStage(now, draining, effects)
			drainCount++
		}
	}
	for _, e := range c.engines {
		if e.stage != serving && now >= e.polledAt+pollInterval || c.inDoubt(e) && now >= e.polledAt+verifyInterval {
			e.polledAt = now
			effects.Poll = append(effects.Poll, e.ID)
		}
	}
}

// order orders an engine to load.
func (c *Core) order(now time.Duration, e *engine, effects *Effects) {
	e.setStage(now, ordered, effects)
	due := e.due()
	c.orderCount++
	e.order, e.loading, e.loadingWeights = c.orderCount, due.Name, due.WantedWeights
	retain := !c.mayInterruptAll(now, e.lastReport)
	if !retain {
		c.interrupted = append(c.interrupted, interruption{now, e.lastReport.repeatable()})
	}
	effects.Orders = append(effects.Orders, Order{ID: e.ID, Number: e.order, Model: due.Name, Weights: due.WantedWeights, FencingNumber: c.lease.FencingNumber, Sequence: e.lastReport.Sequence, Retain: retain})
}

// oldestFirst returns the engines sorted by how far their weights are behind. Otherwise the engines loaded last could starve the
// others when new versions are named faster than they can be rolled out.
func (c *Core) oldestFirst() []*engine {
	list := slices.Clone(c.engines)
	slices.SortStableFunc(list, func(a, b *engine) int { return cmp.Compare(b.lag(), a.lag()) })
	return list
}

// lag returns by how many versions the weights of the model that the engine is to load next are behind.
func (e *engine) lag() uint64 {
	if due := e.due(); due != nil {
		return due.WantedWeights - e.version(due)
	}
	return 0
}

// readyToLoad reports whether an engine may be ordered to load: its report is newer than the start of the drain, and it shows no
// request, or the timeout for the remaining requests has passed and the VMs may repeat those that can move. Without a report the
// sequence number of the order is not known.
func (c *Core) readyToLoad(now time.Duration, e *engine) bool {
	if !e.reported || e.lastReport.MadeAt < e.stageSince {
		return false
	}
	timeout := movableRequestTimeout
	if e.lastReport.NonRepeatableRequests > 0 {
		timeout = drainTimeout
	}
	switch {
	case e.lastReport.ActiveRequests == 0:
		return true
	case now < e.stageSince+timeout:
		return false
	}
	return e.due().Overdue || c.mayInterrupt(now, e.lastReport.repeatable())
}

// repeatable returns the number of requests in progress that can move to another engine.
func (m Report) repeatable() int { return max(0, m.ActiveRequests-m.NonRepeatableRequests) }
