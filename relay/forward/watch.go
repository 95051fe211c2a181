package forward

import (
	"context"
	"sync"
	"time"

	"github.com/chicoryrelay/chicoryrelay/relay/route"
)

const (
	// stallTime is the time without an event after which a begun stream goes on at another upstream: well below the two seconds
	// after which callers leave, and above the pauses that a busy engine makes.
	stallTime = 1200 * time.Millisecond
	// firstTime is that for the first event.
	firstTime = time.Second
)

// watch gives up an attempt that nothing comes from, where the request may be repeated. For others a silent upstream is no
// reason to end an answer sooner.
type watch struct {
	mu    sync.Mutex
	ended bool
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
	w := &watch{limit: limit}
	sent := s.f.now()
	w.mu.Lock()
	defer w.mu.Unlock()
	w.timer = time.AfterFunc(limit, func() {
		// An upstream that answers others is busy and not silent; another one would only begin from the start.
		if s.f.pool.LastReceived(p.Upstream.Address).After(sent) || !s.f.budget.CanWithdraw(p.Upstream.Service) {
			sent = s.f.now()
			w.reset(limit)
			return
		}
		cancel(errStalled)
	})
	return w
}

// heard starts the time anew; with a pause objective the limit is that of the pauses between events.
func (w *watch) heard() { w.reset(min(w.limit, stallTime)) }

// reset starts the time anew unless the watch has ended.
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
