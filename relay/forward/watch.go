package forward

import (
	"context"
	"sync"
	"time"

	"github.com/chicoryrelay/chicoryrelay/relay/route"
)

const (
	// stallTime is the time without an event after which a stream is resumed at another upstream. It is below the two seconds
	// after which callers leave, and above the pauses of a busy engine.
	stallTime = 1200 * time.Millisecond
	// firstTime is the timeout of the first event.
	firstTime = time.Second
)

// watch cancels an attempt that receives no data, if the request may be repeated. The zero value never fires: a request that must
// not run twice keeps waiting for its upstream.
type watch struct {
	mu    sync.Mutex
	ended bool
	timer *time.Timer
	limit time.Duration
}

func (s *session) watch(cancel context.CancelCauseFunc, p *Placement) *watch {
	// The last attempt gets no timeout, since no other could follow it.
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
	w := &watch{limit: limit}
	sent := s.f.now()
	w.mu.Lock()
	defer w.mu.Unlock()
	w.timer = time.AfterFunc(limit, func() {
		// An upstream that answers other requests is busy, not stalled; another upstream would have to start the request anew.
		if s.f.pool.Heard(p.Upstream.Address).After(sent) || !s.f.budget.Left(p.Upstream.Service) {
			sent = s.f.now()
			w.reset(limit)
			return
		}
		cancel(errStalled)
	})
	return w
}

// heard restarts the timer after an event, with the limit for the time between events.
func (w *watch) heard() { w.reset(min(w.limit, stallTime)) }

// reset restarts the timer unless it was stopped.
func (w *watch) reset(limit time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.timer != nil && !w.ended {
		w.timer.Reset(limit)
	}
}

func (w *watch) stop() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.ended = true
	if w.timer != nil {
		w.timer.Stop()
	}
}
