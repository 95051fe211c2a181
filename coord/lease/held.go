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
	for life, held := range g.grants {
		if now < held.until {
			list = append(list, Held{Life: life, Installed: held.installed, Until: held.until})
		}
	}
	slices.SortFunc(list, func(a, b Held) int { return compareLives(a.Life, b.Life) })
	return list
}
