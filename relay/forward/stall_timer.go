package forward

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/chicoryrelay/chicoryrelay/relay/directory"
	"github.com/chicoryrelay/chicoryrelay/relay/route"
)

const (
	// stallTimeout is the time without an event after which a stream is resumed at another upstream. It is below the two seconds
	// after which callers leave, and above the pauses of a busy engine.
	stallTimeout = 1200 * time.Millisecond
	// firstEventTimeout is the timeout of the first event.
	firstEventTimeout = time.Second
)

// stallTimer cancels an attempt that receives no event in time, if another attempt may follow. The zero value never fires; it is
// for requests that must not run twice, for last attempts and for deadlines that end sooner.
type stallTimer struct {
	mu      sync.Mutex
	stopped bool
	timer   *time.Timer
	limit   time.Duration
}

func (s *session) newStallTimer(cancel context.CancelCauseFunc, p *Placement) *stallTimer {
	// A request that must not run twice, and the last attempt, get no timeout, because no other attempt could follow.
	if !s.route.Repeatable() || !s.otherUpstreamAllowed(p.Upstream.ID) {
		return &stallTimer{}
	}
	limit := stallTimeout
	switch {
	case s.route.Kind == route.Idempotent:
		limit = max(stallTimeout/3, 2*s.route.Target)
	case !s.begun:
		limit = firstEventTimeout
	}
	if time.Until(s.placementRequest.Deadline) < limit {
		return &stallTimer{}
	}
	t := &stallTimer{limit: limit}
	since := s.f.now()
	t.mu.Lock()
	defer t.mu.Unlock()
	t.timer = time.AfterFunc(limit, func() {
		// An upstream that answers other requests is busy, not stalled; another upstream would have to start the request anew.
		// Without retry budget no other attempt could follow.
		if s.f.pool.LastReceived(p.Upstream.Address).After(since) || !s.f.budget.CanWithdraw(p.Upstream.Service) {
			since = s.f.now()
			t.reset(limit)
			return
		}
		cancel(errStalled)
	})
	if !s.mayRunAfter(s.begun) {
		// The limit of sends allows another one only once the answer has begun: the first event starts the timer.
		t.timer.Stop()
	}
	return t
}

// otherUpstreamAllowed reports whether the request may run at another upstream if the attempt at this one is given up.
func (s *session) otherUpstreamAllowed(upstream string) bool {
	if !s.begun {
		return s.runs+1 < s.attempts()
	}
	elsewhere := slices.ContainsFunc(s.ranAt, func(u *directory.Upstream) bool { return u.ID != upstream })
	return s.sends < maxStreamSends && (elsewhere || s.attempts() > 1)
}

// eventReceived restarts the timer after an event, with the attempt's limit or stallTimeout, whichever is shorter.
func (t *stallTimer) eventReceived() { t.reset(min(t.limit, stallTimeout)) }

// reset restarts the timer unless it was stopped.
func (t *stallTimer) reset(limit time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.timer != nil && !t.stopped {
		t.timer.Reset(limit)
	}
}

func (t *stallTimer) stop() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.stopped = true
	if t.timer != nil {
		t.timer.Stop()
	}
}
