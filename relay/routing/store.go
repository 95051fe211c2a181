package routing

import (
	"time"

	"github.com/chicoryrelay/chicoryrelay/relay/cache"
	"github.com/chicoryrelay/chicoryrelay/relay/catalogue"
)

// store is a store of KV cache beside the engines.
type store struct {
	info   catalogue.Upstream
	handle cache.Handle
	epoch  uint64
	// down reports that the store did not answer recently: a failed fetch costs more than prefilling the parts.
	down bool
}

// maxStoreFactor is the greatest moveFactor between a store and an engine that uses it: transfers to other regions occupy its link
// ten times as long.
const maxStoreFactor = centreMoveFactor

// StoreDown reports that a store of KV cache does not answer, or answers again.
type StoreDown struct {
	Store string
	Down  bool
}

func (m StoreDown) apply(c *Core, _ time.Duration, _ *Effects) {
	if s := c.stores[m.Store]; s != nil {
		s.down = m.Down
	}
}

// setStores replaces the set of stores.
func (c *Core) setStores(list []catalogue.Upstream) {
	present := map[string]bool{}
	for _, info := range list {
		if info.Kind != catalogue.Store {
			continue
		}
		present[info.Name] = true
		s := c.stores[info.Name]
		if s == nil {
			s = &store{handle: c.cache.Attach(info.Name, info.Cache)}
			c.stores[info.Name] = s
		}
		s.info = info
	}
	for name, s := range c.stores {
		if !present[name] {
			c.partIndex.drop(s.handle)
			c.cache.Detach(s.handle)
			delete(c.stores, name)
		}
	}
}

// moveFactor returns the factor by which a transfer between two places takes longer than within one data centre.
func moveFactor(a, b *catalogue.Upstream) float64 {
	switch {
	case a.Region != b.Region:
		return regionMoveFactor
	case a.DataCentre != b.DataCentre:
		return centreMoveFactor
	}
	return 1
}

// nearestStore returns the nearest store that an engine may save parts to, or nil.
func (c *Core) nearestStore(u *upstream) *store {
	var best *store
	for _, s := range c.stores {
		if s.down || moveFactor(&s.info, &u.info) > maxStoreFactor {
			continue
		}
		if best == nil || moveFactor(&s.info, &u.info) < moveFactor(&best.info, &u.info) || s.info.Name < best.info.Name {
			best = s
		}
	}
	return best
}
