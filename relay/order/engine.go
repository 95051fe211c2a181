package order

import (
	"time"

	"github.com/chicoryrelay/chicoryrelay/relay/catalogue"
)

// maxBackoffDoublings bounds the backoff between orders without effect.
const maxBackoffDoublings = 5

// downAfterStalePeriods is the number of stale periods without a report after which an engine is considered down. It is more than
// one, since a few lost reports must not lower the number of replicas that have to keep serving.
const downAfterStalePeriods = 6

// engine is the desired and the observed state of one engine.
type engine struct {
	name       string
	desired    catalogue.Upstream
	configured bool
	lastReport Report
	hasReport  bool
	// visibleFrom is the earliest time of a report that is sure to show the last order's effect; before it, the order may still arrive.
	visibleFrom time.Duration
	// outstanding is the last order until a report shows its effect; its ID distinguishes its answer from those to earlier orders.
	outstanding *Order
	// retryAt is the end of the backoff after orders without effect; attempts counts these orders.
	retryAt  time.Duration
	attempts int
}

func (e *engine) configure(u catalogue.Upstream) {
	if desiredVersion(u) != desiredVersion(e.desired) || u.Role != e.desired.Role || u.Address != e.desired.Address {
		e.attempts, e.retryAt = 0, 0
	}
	if u.Address != e.desired.Address {
		e.hasReport = false
	}
	e.desired, e.configured = u, true
}

// recordReport records a report unless a later one is known, since reports can arrive out of order.
func (e *engine) recordReport(m Report) {
	if !e.hasReport || m.MadeAt >= e.lastReport.MadeAt {
		e.lastReport, e.hasReport = m, true
	}
}

func (e *engine) recordAnswer(now time.Duration, m SendResult) {
	if e.outstanding == nil || e.outstanding.ID != m.ID || m.Result == Unknown {
		return
	}
	// The engine decided before it answered, so any report made from now on shows the order's effect.
	e.visibleFrom = min(e.visibleFrom, now)
	if m.Result == Accepted {
		return
	}
	e.outstanding = nil
}

func desiredVersion(u catalogue.Upstream) ModelVersion {
	return ModelVersion{u.Model, u.Adapter, u.Weights}
}

// replicaKey identifies the engines that can replace each other: same model and adapter, whatever the weights version.
type replicaKey struct{ model, adapter string }

func (v ModelVersion) replicaKey() replicaKey { return replicaKey{v.Model, v.Adapter} }

// showsOwnOrders reports whether the last report shows the effect of every order that this core sent.
func (c *Core) showsOwnOrders(e *engine) bool {
	return e.hasReport && e.lastReport.MadeAt >= e.visibleFrom
}

// showsAllOrders reports whether the last report also shows the effect of every order of previous holders.
func (c *Core) showsAllOrders(e *engine) bool {
	return c.previousEndedAt > 0 && e.lastReport.MadeAt >= c.previousEndedAt && c.showsOwnOrders(e)
}

// fresh reports whether the last report is recent enough to show the engine's current state.
func (c *Core) fresh(now time.Duration, e *engine) bool {
	return e.hasReport && e.lastReport.MadeAt >= now-c.staleAge
}

// down reports whether the engine has sent no report for so long that it is considered down.
func (c *Core) down(now time.Duration, e *engine) bool {
	return now >= max(c.previousEndedAt, e.lastReport.MadeAt)+downAfterStalePeriods*c.staleAge
}

// mayBeLoading reports whether the engine loads or may be loading. An engine that does not report is assumed to have ended its load
// after the maximum load time.
func (c *Core) mayBeLoading(now time.Duration, e *engine) bool {
	loadingSince := max(c.previousEndedAt, e.visibleFrom)
	if c.showsAllOrders(e) {
		if !e.lastReport.Loading {
			return false
		}
		loadingSince = max(loadingSince, e.lastReport.MadeAt)
	}
	return now < loadingSince+withClockMargin(c.maxLoadTime)
}

// clearCompletedOrder clears the outstanding order once a report shows its effect, and resets the attempts of a converged engine.
func (c *Core) clearCompletedOrder(e *engine) {
	if e.outstanding != nil && c.showsOwnOrders(e) && !e.lastReport.Loading {
		e.outstanding = nil
	}
	if e.converged() {
		e.attempts = 0
	}
}

// converged reports whether the engine's last report shows the configured version and role.
func (e *engine) converged() bool {
	return e.lastReport.Version == desiredVersion(e.desired) && e.hasDesiredRole()
}

// hasDesiredRole reports whether the engine has its configured role; an engine that reports no role does both prefill and decode.
func (e *engine) hasDesiredRole() bool {
	role := e.lastReport.Role
	if role == "" {
		role = catalogue.RoleBoth
	}
	return e.desired.Role == "" || e.desired.Role == role
}

// ready reports whether the engine can be sent an order: its last report is recent, shows the effect of the last order and no load in
// progress, and its backoff is over.
func (c *Core) ready(now time.Duration, e *engine) bool {
	return e.configured && e.outstanding == nil && c.fresh(now, e) && c.showsOwnOrders(e) && !e.lastReport.Loading && now >= e.retryAt
}
