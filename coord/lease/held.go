package lease

import (
	"slices"
	"time"
)

// HeldLease is one lease in the granter's table.
type HeldLease struct {
	Incarnation
	Installed uint64
	// Expiry is when the lease has expired on every clock within the margin.
	Expiry time.Duration
}

// Leases returns the leases that have not expired, in order of VM and boot number.
func (g *Granter) Leases(now time.Duration) []HeldLease {
	var list []HeldLease
	for incarnation, granted := range g.grants {
		if now < granted.expiry {
			list = append(list, HeldLease{Incarnation: incarnation, Installed: granted.installed, Expiry: granted.expiry})
		}
	}
	slices.SortFunc(list, func(a, b HeldLease) int { return compareIncarnations(a.Incarnation, b.Incarnation) })
	return list
}
