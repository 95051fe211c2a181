package engine

import (
	"time"

	"github.com/samber/oops"
)

// OrderKind is the kind of an order.
type OrderKind string

// The kinds of order.
const (
	Load OrderKind = "load"
	Role OrderKind = "role"
)

// Order is a command to load a version or to change the role.
type Order struct {
	Fencing uint64    `json:"fencing"`
	Kind    OrderKind `json:"kind"`
	Version
	Role string `json:"role,omitempty"`
}

type orders struct {
	// fencing is the highest fencing number seen.
	fencing uint64
	role    string
	loading *Order
	// fetched is set once the weights to load are available.
	fetched bool
	// drained is set once all accepted requests have ended and the load itself has begun; loadedAt is when the load ends.
	drained  bool
	loadedAt time.Duration
}

// Order executes an order; with Settings.Fenced, it rejects one whose fencing number is lower than the highest seen.
func (e *Engine) Order(now time.Duration, o Order) error {
	e.advance(now)
	if e.settings.Fenced && o.Fencing < e.orders.fencing {
		return oops.Code("fenced").With("fencing", o.Fencing, "highest", e.orders.fencing).
			Errorf("fencing number %d is lower than %d, the highest seen; send the order under the current lease", o.Fencing, e.orders.fencing)
	}
	switch o.Kind {
	case Load:
		if o.Model == "" || o.Weights == "" {
			return oops.Code("order").Errorf("an order of kind load needs a model and weights; set both")
		}
		e.orders.loading, e.orders.drained, e.orders.fetched = &o, false, !e.settings.Fetched
	case Role:
		e.orders.role = o.Role
	default:
		return oops.Code("order").Errorf("order kind %q is unknown; use load or role", o.Kind)
	}
	e.orders.fencing = max(e.orders.fencing, o.Fencing)
	e.startStep(now)
	e.recordReport()
	return nil
}

// Fetch marks the weights of a version as available; it has no effect unless that version is being loaded.
func (e *Engine) Fetch(now time.Duration, version Version) {
	e.advance(now)
	if e.orders.loading == nil || e.orders.loading.Version != version {
		return
	}
	e.orders.fetched = true
	e.startStep(now)
}

func (e *Engine) startLoading(at time.Duration) {
	if e.orders.loading != nil && e.orders.fetched && !e.orders.drained {
		e.orders.drained, e.orders.loadedAt = true, at+e.settings.Loading
	}
}

// finishLoading starts to serve a version whose load has ended, with an empty cache, and reports whether there was one.
func (e *Engine) finishLoading(now time.Duration) bool {
	if e.orders.loading == nil || !e.orders.drained || e.orders.loadedAt > now {
		return false
	}
	e.now = e.orders.loadedAt
	e.settings.Version = e.orders.loading.Version
	e.orders.loading = nil
	e.imports = nil
	e.cache = newCache(e.settings.Cache, e.settings.Block, e.recordCacheEvent)
	e.cacheEvents.add(e.now, Cleared, Block{})
	e.recordReport()
	return true
}
