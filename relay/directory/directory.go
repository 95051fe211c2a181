package directory

import (
	"cmp"
	"slices"
	"time"
)

// reportLifetime is how long an upstream's own report takes precedence over the platform's list, which lags behind.
const reportLifetime = 3 * time.Second

// Report is an upstream's state as its responses show it, or as the holder of the order lease is about to change it.
type Report struct {
	ID string
	// Models is nil if the report has no information on them.
	Models  []Model
	Loading bool
	Leaving bool
	// Gone is set if another upstream answered at the address, so that this one has left it.
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
func (r receivedReport) valid(now time.Duration) bool {
	limit := reportLifetime
	if r.Validity > 0 {
		limit = r.Validity
	}
	return now-r.receivedAt <= limit
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
		r, ok := d.reports[id]
		if ok && r.valid(now) && (r.StartedAt.IsZero() || u.StartedAt.IsZero() || !r.StartedAt.Before(u.StartedAt)) {
			u = r.apply(u)
		}
		merged = append(merged, u)
	}
	slices.SortFunc(merged, func(a, b Upstream) int { return cmp.Compare(a.ID, b.ID) })
	for id, r := range d.reports {
		if !r.valid(now) {
			delete(d.reports, id)
		}
	}
	return merged
}

func (r receivedReport) apply(u Upstream) Upstream {
	u.Leaving = u.Leaving || r.Leaving || r.Gone
	u.Loading = r.Loading
	if r.Models != nil {
		u.Models = r.Models
	}
	if r.StartedAt.After(u.StartedAt) {
		u.StartedAt = r.StartedAt
	}
	return u
}
