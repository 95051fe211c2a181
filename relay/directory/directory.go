package directory

import (
	"cmp"
	"slices"
	"time"
)

// reportLifetime is how long an upstream's own report takes precedence over the platform's list, which lags behind.
const reportLifetime = 3 * time.Second

// Report is what an upstream reports of itself, or what the order lease holder is about to do with it.
type Report struct {
	ID string
	// Models is nil if the report has no information on them.
	Models  []Model
	Loading bool
	Leaving bool
	// Gone is set if another upstream, or none, answered at the upstream's address.
	Gone      bool
	StartedAt time.Time
	// Validity is how long the report is valid; 0 means the default.
	Validity time.Duration
}

// Directory merges the platform's list with reports.
type Directory struct {
	listed  map[string]Upstream
	reports map[string]receivedReport
}

type receivedReport struct {
	Report
	receivedAt time.Duration
}

// valid reports whether the report still takes precedence over the list.
func (h receivedReport) valid(now time.Duration) bool {
	limit := reportLifetime
	if h.Validity > 0 {
		limit = h.Validity
	}
	return now-h.receivedAt <= limit
}

// New returns an empty directory.
func New() *Directory {
	return &Directory{listed: map[string]Upstream{}, reports: map[string]receivedReport{}}
}

// SetList replaces the platform's list.
func (d *Directory) SetList(upstreams []Upstream) {
	clear(d.listed)
	for _, u := range upstreams {
		d.listed[u.ID] = u
	}
}

// AddReport adds a report that was received at now, a time of the caller's clock.
func (d *Directory) AddReport(now time.Duration, r Report) {
	d.reports[r.ID] = receivedReport{r, now}
}

// Upstreams returns the listed upstreams with valid reports applied, ordered by ID, and deletes expired reports.
func (d *Directory) Upstreams(now time.Duration) []Upstream {
	merged := make([]Upstream, 0, len(d.listed))
	for id, u := range d.listed {
		h, ok := d.reports[id]
		if ok && h.valid(now) && (h.StartedAt.IsZero() || u.StartedAt.IsZero() || !h.StartedAt.Before(u.StartedAt)) {
			u = h.apply(u)
		}
		merged = append(merged, u)
	}
	slices.SortFunc(merged, func(a, b Upstream) int { return cmp.Compare(a.ID, b.ID) })
	for id, h := range d.reports {
		if !h.valid(now) {
			delete(d.reports, id)
		}
	}
	return merged
}

func (h receivedReport) apply(u Upstream) Upstream {
	u.Leaving = u.Leaving || h.Leaving || h.Gone
	u.Loading = h.Loading
	if h.Models != nil {
		u.Models = h.Models
	}
	if h.StartedAt.After(u.StartedAt) {
		u.StartedAt = h.StartedAt
	}
	return u
}
