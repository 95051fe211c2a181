package order

import (
	"time"

	"github.com/chicoryrelay/chicoryrelay/relay/catalogue"
)

// orderRoles sends role orders. They need nothing from the weight store, so a fenced engine gets them at once.
func (c *Core) orderRoles(now time.Duration, effects *Effects) {
	for _, e := range c.engines {
		if e.fits() || !c.idle(now, e) || !e.want.Fenced && !c.known(e) {
			continue
		}
		c.send(now, effects, e, Order{Kind: Role, Role: e.want.Role})
	}
}

// orderLoads sends load orders while the weight store has room and enough replicas go on serving. All wait until the orders of the
// previous holder have ended: the weight store knows no fencing numbers, so even a fenced engine's loads would exceed its limit.
func (c *Core) orderLoads(now time.Duration, effects *Effects) {
	free := c.loads
	for _, e := range c.engines {
		if c.busy(now, e) {
			free--
		}
	}
	full := free == c.loads
	before := len(effects.Send)
	free = c.load(now, effects, free, c.spare)
	// Engines that are to exchange their models wait for each other; the first of them goes.
	if full && len(effects.Send) == before {
		c.load(now, effects, min(free, 1), c.exchange)
	}
}

func (c *Core) load(now time.Duration, effects *Effects, free int, may func(time.Duration, *engine) bool) int {
	for _, e := range c.engines {
		if free <= 0 {
			break
		}
		if e.last.Version == wanted(e.want) || !c.idle(now, e) || !c.known(e) || !may(now, e) {
			continue
		}
		c.send(now, effects, e, Order{Kind: Load, Version: wanted(e.want)})
		free--
	}
	return free
}

func (c *Core) send(now time.Duration, effects *Effects, e *engine, o Order) {
	c.ids++
	o.ID, o.Upstream, o.Address, o.Number, o.Until = c.ids, e.name, e.want.Address, c.lease.Number, now+c.window
	o.Sequence = e.last.Sequence
	e.sent = &o
	e.after = o.Until + longer(c.transit)
	e.earliest = now + c.retry<<min(e.tries, mostDoublings)
	e.tries++
	effects.Send = append(effects.Send, o)
}

// spare says that enough other replicas serve while this one loads: half of those that are not down and at least one. An engine that serves
// no requests, or has no replica that could ever serve in its place, is always spare.
func (c *Core) spare(now time.Duration, e *engine) bool {
	if e.want.State == catalogue.Draining || e.last.Leaving {
		return true
	}
	served := e.last.Version.family()
	standing, serving, replicas := 1, 0, 0
	for _, other := range c.engines {
		if other == e || !other.present || other.want.State == catalogue.Draining {
			continue
		}
		current := other.heard && other.last.Version.family() == served
		if !current && wanted(other.want).family() != served {
			continue
		}
		replicas++
		if !c.gone(now, other) {
			standing++
		}
		if current && c.fresh(now, other) && c.serving(other) {
			serving++
		}
	}
	return replicas == 0 || serving >= max(1, standing/2)
}

func (c *Core) serving(e *engine) bool {
	return c.known(e) && !e.last.Loading && !e.last.Leaving
}

// exchange says that every replica that the engine waits for reports, serves another model and so waits itself.
func (c *Core) exchange(now time.Duration, e *engine) bool {
	served := e.last.Version.family()
	for _, other := range c.engines {
		if other == e || !other.present {
			continue
		}
		if wanted(other.want).family() == served && (!c.fresh(now, other) || other.last.Version.family() == served) {
			return false
		}
	}
	return wanted(e.want).family() != served
}
