package lease

import (
	"slices"
	"time"
)

// Held is one lease in the granter's table.
type Held struct {
	Life
	Installed uint64
	// Until is when the lease has expired on every clock within the margin.
	Until time.Duration
}

// Held returns the leases that have not expired, in order of VM and boot number.
func (g *Granter) Held(now time.Duration) []Held {
	var list []Held
	for incarnation, granted := range g.grants {
		if now < granted.expiry {
			list = append(list, Held{Life: incarnation, Installed: granted.installed, Until: granted.expiry})
		}
	}
	slices.SortFunc(list, func(a, b Held) int { return compareIncarnations(a.Life, b.Life) })
	return list
}
