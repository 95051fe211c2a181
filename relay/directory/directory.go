package directory

import (
	"cmp"
	"slices"
	"time"
)

const (
	// reportLifetime is how long an upstream's own report takes precedence over the platform's list, which lags behind.
	reportLifetime = 3 * time.Second
	// departureLifetime is how long the announcement of an upstream that is off the list is kept.
	departureLifetime = 10 * time.Minute
	// returnTime is how long the list must show an upstream as ready, after it has shown it as leaving or not at all, before one whose
	// start is unknown counts as another incarnation. It is longer than lists from several readers can differ.
	returnTime = 10 * time.Second
	// silenceTime is how long after an announcement an answer without one shows another incarnation: answers on several connections
	// can overtake each other.
	silenceTime = time.Second
)

// departure is an upstream's announcement that it is about to stop.
type departure struct {
	// startedAt is the incarnation that announced it, zero if unknown; announcedAt is when it last did so.
	startedAt   time.Time
	announcedAt time.Duration
	// left is set once the list has shown the upstream as leaving or not at all; leftAt is when it last did so.
	left   bool
	leftAt time.Duration
	// listedAt is when the list last showed the upstream.
	listedAt time.Duration
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

// AddReport adds a report that was received at now, a time of the caller's clock. A report of an earlier incarnation than is known is
// ignored: it may be late, and would take the place of that of the newer one.
func (d *Directory) AddReport(now time.Duration, r Report) {
	if !r.StartedAt.IsZero() && (r.StartedAt.Before(d.reports[r.ID].StartedAt) || r.StartedAt.Before(d.listed[r.ID].StartedAt)) {
		return
	}
	d.reports[r.ID] = receivedReport{r, now}
}

// AddDeparture records that the present incarnation of an upstream has announced that it leaves, and reports whether this was unknown.
// Unlike a report it holds until another incarnation shows itself: the list may be late, or not readable.
func (d *Directory) AddDeparture(now time.Duration, id string) bool {
	if known := d.departures[id]; known != nil {
		known.announcedAt = now
		return false
	}
	d.departures[id] = &departure{startedAt: d.listed[id].StartedAt, announcedAt: now, listedAt: now}
	return true
}

// EndDeparture records an answer of an upstream without the announcement, and reports whether it shows another incarnation of one that
// had announced that it leaves.
func (d *Directory) EndDeparture(now time.Duration, id string) bool {
	known := d.departures[id]
	if known == nil || now-known.announcedAt < silenceTime {
		return false
	}
	delete(d.departures, id)
	return true
}

// Departures returns the number of upstreams that have announced that they leave.
func (d *Directory) Departures() int { return len(d.departures) }

// updateDepartures ends the announcements of upstreams of which the list shows another incarnation, and deletes old ones.
func (d *Directory) updateDepartures(now time.Duration) {
	for id, known := range d.departures {
		u, listed := d.listed[id]
		if !listed || u.Leaving {
			known.left, known.leftAt = true, now
		}
		if listed {
			known.listedAt = now
		}
		switch {
		case now-known.listedAt >= departureLifetime:
			delete(d.departures, id)
		case listed && !known.startedAt.IsZero() && u.StartedAt.After(known.startedAt):
			delete(d.departures, id)
		case listed && known.startedAt.IsZero() && known.left && now-known.leftAt >= returnTime:
			delete(d.departures, id)
		}
	}
}

// Upstreams returns the listed upstreams with valid reports applied, ordered by ID, and deletes expired reports.
func (d *Directory) Upstreams(now time.Duration) []Upstream {
	d.updateDepartures(now)
	merged := make([]Upstream, 0, len(d.listed))
	for id, u := range d.listed {
		r, ok := d.reports[id]
		if ok && r.valid(now) && (r.StartedAt.IsZero() || u.StartedAt.IsZero() || !r.StartedAt.Before(u.StartedAt)) {
			u = r.apply(u)
		}
		u.Leaving = u.Leaving || d.departures[id] != nil
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
