package forward

import (
	"context"
	"time"

	"github.com/chicoryrelay/chicoryrelay/relay/route"
)

const (
	// stallTime is the time without an event after which a begun stream goes on at another upstream: well below the two seconds
	// after which callers leave, and above the pauses that a busy engine makes.
	stallTime = 1200 * time.Millisecond
	// firstTime is that for the first event, which may wait behind other prompts.
	firstTime = 1500 * time.Millisecond
)

// watch gives up an attempt that nothing comes from, where the request may be repeated. For others a silent upstream is no
// reason to end an answer sooner.
type watch struct {
	timer *time.Timer
	limit time.Duration
}

func (s *session) watch(cancel context.CancelCauseFunc, p *Placement) *watch {
	// The last attempt is not cut short: nothing could follow it.
	if !s.route.Repeatable() || s.runs+1 >= max(1, s.route.Attempts)+s.resumes() {
		return &watch{}
	}
	limit := stallTime
	switch {
	case s.route.Kind == route.Idempotent:
		limit = max(stallTime/3, 2*s.route.Target)
	case !s.begun:
		limit = firstTime
	}
	if time.Until(s.work.Until) < limit {
		return &watch{}
	}
	return &watch{limit: limit, timer: time.AfterFunc(limit, func() {
		if s.f.budget.Left(p.Upstream.Service) {
			cancel(errStalled)
		}
	})}
}

// heard starts the time anew; with a pause objective the limit is that of the pauses between events.
func (w *watch) heard() {
	if w.timer != nil {
		w.timer.Reset(min(w.limit, stallTime))
	}
}

func (w *watch) stop() {
	if w.timer != nil {
		w.timer.Stop()
	}
}
