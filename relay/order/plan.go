package order

import (
	"time"

	"github.com/chicoryrelay/chicoryrelay/relay/catalogue"
)

// orderRoles sends role orders. They do not use the weight store, so a fenced engine gets them before the previous
// holder's orders have ended.
func (c *Core) orderRoles(now time.Duration, effects *Effects) {
	for _, e := range c.engines {
		if e.hasDesiredRole() || !c.ready(now, e) || !e.desired.Fenced && !c.showsAllOrders(e) {
			continue
		}
		c.sendOrder(now, effects, e, Order{Kind: Role, Role: e.desired.Role})
	}
}

// orderLoads sends load orders while the weight store has capacity and enough replicas keep serving. All wait until the previous
// holder's orders have ended: the weight store has no fencing numbers, so loads on fenced engines could exceed its limit too.
func (c *Core) orderLoads(now time.Duration, effects *Effects) {
	free := c.maxLoads
	for _, e := range c.engines {
		if c.mayBeLoading(now, e) {
			free--
		}
	}
	noneLoading := free == c.maxLoads
	sentBefore := len(effects.Orders)
	free = c.sendLoads(now, effects, free, c.replicasSuffice)
	// Engines that are to swap models wait for each other, so while nothing else loads, one of them goes first.
	if noneLoading && len(effects.Orders) == sentBefore {
		c.sendLoads(now, effects, min(free, 1), c.swapsModel)
	}
}

func (c *Core) sendLoads(now time.Duration, effects *Effects, free int, allowed func(time.Duration, *engine) bool) int {
	for _, e := range c.engines {
		if free <= 0 {
			break
		}
		if e.lastReport.Version == desiredVersion(e.desired) || !c.ready(now, e) || !c.showsAllOrders(e) || !allowed(now, e) {
			continue
		}
		c.sendOrder(now, effects, e, Order{Kind: Load, Version: desiredVersion(e.desired)})
		free--
	}
	return free
}

func (c *Core) sendOrder(now time.Duration, effects *Effects, e *engine, o Order) {
	c.lastID++
	o.ID, o.Upstream, o.Address, o.FencingNumber, o.SendDeadline = c.lastID, e.name, e.desired.Address, c.lease.FencingNumber, now+c.sendWindow
	o.Sequence = e.lastReport.Sequence
	e.outstanding = &o
	e.visibleFrom = o.SendDeadline + withClockMargin(c.maxTransit)
	e.retryAt = now + c.initialBackoff<<min(e.attempts, maxBackoffDoublings)
	e.attempts++
	effects.Orders = append(effects.Orders, o)
}

// replicasSuffice reports whether enough other replicas serve while this one loads: half of all that are not down, and at least one.
// It is always true for an engine that accepts no requests or whose model no other engine serves or is configured to serve.
func (c *Core) replicasSuffice(now time.Duration, e *engine) bool {
	if e.desired.State == catalogue.Draining || e.lastReport.Leaving {
		return true
	}
	served := e.lastReport.Version.replicaKey()
	up, serving, replicas := 1, 0, 0
	for _, other := range c.engines {
		if other == e || !other.configured || other.desired.State == catalogue.Draining {
			continue
		}
		servesSame := other.hasReport && other.lastReport.Version.replicaKey() == served
		if !servesSame && desiredVersion(other.desired).replicaKey() != served {
			continue
		}
		replicas++
		if !c.down(now, other) {
			up++
		}
		if servesSame && c.fresh(now, other) && c.serving(other) {
			serving++
		}
	}
	return replicas == 0 || serving >= max(1, up/2)
}

func (c *Core) serving(e *engine) bool {
	return c.showsAllOrders(e) && !e.lastReport.Loading && !e.lastReport.Leaving
}

// swapsModel reports whether the engine is to change its model and every engine that is to replace it freshly reports another model,
// so that they wait for each other.
func (c *Core) swapsModel(now time.Duration, e *engine) bool {
	served := e.lastReport.Version.replicaKey()
	for _, other := range c.engines {
		if other == e || !other.configured {
			continue
		}
		if desiredVersion(other.desired).replicaKey() == served && (!c.fresh(now, other) || other.lastReport.Version.replicaKey() == served) {
			return false
		}
	}
	return desiredVersion(e.desired).replicaKey() != served
}
