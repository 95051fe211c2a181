package forward

import (
	"context"
	"time"

	"github.com/chicoryrelay/chicoryrelay/relay/route"
)

// stallTime is the least time without a byte after which a resumable stream goes on at another upstream: well below the two
// seconds after which callers leave, and above the pauses that a busy engine makes.
const stallTime = 1200 * time.Millisecond

// watch gives up an attempt that nothing comes from, where the request may be repeated. For others a silent upstream is no
// reason to end an answer sooner.
type watch struct {
	timer *time.Timer
	limit time.Duration
}

func (s *session) watch(cancel context.CancelCauseFunc) *watch {
	if !s.route.Repeatable() {
		return &watch{}
	}
	limit := stallTime
	if s.route.Kind == route.Idempotent {
		limit = max(stallTime/2, 2*s.route.Target)
	} else {
		limit = max(limit, 3*s.route.Target)
	}
	// The last attempt is not cut short: nothing could follow it.
	if left := time.Until(s.work.Until); left < limit || s.runs+1 >= max(1, s.route.Attempts)+s.resumes() {
		return &watch{}
	}
	return &watch{limit: limit, timer: time.AfterFunc(limit, func() { cancel(errStalled) })}
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
