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
	// For is how long the report counts; 0 means the usual time.
	For time.Duration
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

// counts reports whether the report still goes before the list.
func (h heard) counts(now time.Duration) bool {
	limit := reportTime
	if h.For > 0 {
		limit = h.For
	}
	return now-h.at <= limit
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
		if ok && h.counts(now) && (h.Born.IsZero() || u.Born.IsZero() || !h.Born.Before(u.Born)) {
			u = h.apply(u)
		}
		merged = append(merged, u)
	}
	slices.SortFunc(merged, func(a, b Upstream) int { return cmp.Compare(a.ID, b.ID) })
	for id, h := range d.reports {
		if !h.counts(now) {
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
