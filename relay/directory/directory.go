package directory

import (
	"cmp"
	"slices"
	"time"
)

// reportTime is how long an upstream's own report goes before the platform's list, which lags.
const reportTime = 3 * time.Second

// Report is what an upstream says of itself, or what its holder of orders is about to do with it.
type Report struct {
	ID string
	// Models is nil if the report says nothing of them.
	Models  []Model
	Loading bool
	Leaving bool
	// Gone says that another upstream, or none, answered in its place.
	Gone bool
	Born time.Time
}

// Directory merges the list with reports.
type Directory struct {
	listed  map[string]Upstream
	reports map[string]heard
}

type heard struct {
	Report
	at time.Duration
}

// New returns an empty directory.
func New() *Directory {
	return &Directory{listed: map[string]Upstream{}, reports: map[string]heard{}}
}

// Listed replaces what the platform's list says.
func (d *Directory) Listed(upstreams []Upstream) {
	clear(d.listed)
	for _, u := range upstreams {
		d.listed[u.ID] = u
	}
}

// Hear takes a report that was made at a time of the caller's clock.
func (d *Directory) Hear(now time.Duration, r Report) {
	d.reports[r.ID] = heard{r, now}
}

// Upstreams returns the merged set ordered by ID.
func (d *Directory) Upstreams(now time.Duration) []Upstream {
	merged := make([]Upstream, 0, len(d.listed))
	for id, u := range d.listed {
		h, ok := d.reports[id]
		if ok && now-h.at <= reportTime && (h.Born.IsZero() || u.Born.IsZero() || !h.Born.Before(u.Born)) {
			u = h.apply(u)
		}
		merged = append(merged, u)
	}
	slices.SortFunc(merged, func(a, b Upstream) int { return cmp.Compare(a.ID, b.ID) })
	for id, h := range d.reports {
		if now-h.at > reportTime {
			delete(d.reports, id)
		}
	}
	return merged
}

func (h heard) apply(u Upstream) Upstream {
	u.Leaving = u.Leaving || h.Leaving || h.Gone
	u.Loading = h.Loading
	if h.Models != nil {
		u.Models = h.Models
	}
	if h.Born.After(u.Born) {
		u.Born = h.Born
	}
	return u
}
