package engine

import "time"

// reportInterval is the interval between load reports; the platform samples its engines about ten times per second.
const reportInterval = 100 * time.Millisecond

// Report is a load report.
type Report struct {
	Incarnation uint64 `json:"incarnation"`
	Version
	Software string `json:"software,omitempty"`
	Role     string `json:"role,omitempty"`
	Slots    int    `json:"slots"`
	Running  int    `json:"running"`
	Waiting  int    `json:"waiting"`
	// Queued is the number of tokens still to be prefilled; Cached is the number of tokens in the prefix cache.
	Queued  int           `json:"queued"`
	Cached  int           `json:"cached"`
	Leaving bool          `json:"leaving"`
	Loading bool          `json:"loading"`
	Fencing uint64        `json:"fencing"`
	At      time.Duration `json:"-"`
	// Age is the report's age in milliseconds.
	Age int64 `json:"age_ms"`
}

// recordReport appends a report of the current state; if the report before the newest is less than reportInterval old, it replaces
// the newest instead.
func (e *Engine) recordReport() {
	n := len(e.reports)
	if n >= 2 && e.now-e.reports[n-2].At < reportInterval {
		e.reports[n-1] = e.currentReport()
		return
	}
	oldest := 0
	for oldest+1 < n && e.reports[oldest+1].At <= e.now-e.settings.ReportLag {
		oldest++
	}
	e.reports = append(e.reports[oldest:], e.currentReport())
}

func (e *Engine) currentReport() Report {
	r := Report{
		Incarnation: e.incarnation, Version: e.settings.Version, Software: e.settings.Software, Role: e.orders.role, Slots: e.settings.Slots,
		Running: len(e.running), Waiting: len(e.waiting), Cached: e.cache.tokens(),
		Leaving: e.leaving, Loading: e.orders.loading != nil, Fencing: e.orders.fencing, At: e.now,
	}
	for _, s := range e.running {
		r.Queued += s.uncomputed
	}
	for _, s := range e.waiting {
		r.Queued += s.Prompt + s.From
	}
	return r
}

// Load returns the newest load report that is at least Settings.ReportLag old, or the oldest one if there is none.
//
// Leaving is always current, since a leaving engine announces it itself.
func (e *Engine) Load(now time.Duration) Report {
	e.advance(now)
	e.recordReport()
	visible := e.reports[0]
	for _, r := range e.reports {
		if r.At <= now-e.settings.ReportLag {
			visible = r
		}
	}
	visible.Age = (now - visible.At).Milliseconds()
	visible.Leaving = e.leaving
	return visible
}
