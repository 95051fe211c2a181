package directory

import (
	"cmp"
	"slices"
	"time"
)

const (
	// reportLifetime is how long an upstream's own report takes precedence over the platform's list, which lags behind.
	reportLifetime = 3 * time.Second
	// absence is how long an upstream whose start is unknown must be off the list before one of the same ID counts as another
	// incarnation; it is longer than the list lags, also after a change of its reader.
	absence = 10 * time.Second
	// departureLifetime is how long the announcement of an upstream that is off the list is kept.
	departureLifetime = 10 * time.Minute
)

// departure is an upstream's announcement that it is about to stop.
type departure struct {
	// startedAt is the incarnation that announced it, zero if unknown.
	startedAt time.Time
	// absentSince is when the list stopped to show the upstream; present reports that it shows it.
	absentSince time.Duration
	present     bool
}

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
	// departures are the upstreams that have announced that they leave, whatever the list says.
	departures map[string]*departure
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
	return &Directory{listed: map[string]Upstream{}, reports: map[string]receivedReport{}, departures: map[string]*departure{}}
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

// AddDeparture records that the present incarnation of an upstream has announced that it leaves, and reports whether this was unknown.
// Unlike a report it holds until another incarnation is listed: the list may be late, or not readable.
func (d *Directory) AddDeparture(now time.Duration, id string) bool {
	if d.departures[id] != nil {
		return false
	}
	listed, present := d.listed[id]
	d.departures[id] = &departure{startedAt: listed.StartedAt, absentSince: now, present: present}
	return true
}

// leaves reports whether a listed upstream has announced that it leaves.
func (d *Directory) leaves(now time.Duration, u Upstream) bool {
	left := d.departures[u.ID]
	if left == nil {
		return false
	}
	another := u.StartedAt.After(left.startedAt)
	if left.startedAt.IsZero() {
		another = !left.present && now-left.absentSince >= absence
	}
	if another {
		delete(d.departures, u.ID)
		return false
	}
	left.present = true
	return true
}

// pruneDepartures notes which announcements are of upstreams off the list, and deletes old ones.
func (d *Directory) pruneDepartures(now time.Duration) {
	for id, left := range d.departures {
		_, listed := d.listed[id]
		switch {
		case listed:
		case left.present:
			left.present, left.absentSince = false, now
		case now-left.absentSince >= departureLifetime:
			delete(d.departures, id)
		}
	}
}

// Upstreams returns the listed upstreams with valid reports applied, ordered by ID, and deletes expired reports.
func (d *Directory) Upstreams(now time.Duration) []Upstream {
	merged := make([]Upstream, 0, len(d.listed))
	for id, u := range d.listed {
		r, ok := d.reports[id]
		if ok && r.valid(now) && (r.StartedAt.IsZero() || u.StartedAt.IsZero() || !r.StartedAt.Before(u.StartedAt)) {
			u = r.apply(u)
		}
		u.Leaving = d.leaves(now, u) || u.Leaving
		merged = append(merged, u)
	}
	slices.SortFunc(merged, func(a, b Upstream) int { return cmp.Compare(a.ID, b.ID) })
	d.pruneDepartures(now)
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
