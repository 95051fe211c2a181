package forward

import (
	"context"
	"fmt"
	"sync"

	"github.com/chicoryrelay/chicoryrelay/relay/route"
)

// WatchFunc is called when an attempt is sent. giveUp gives the attempt up in favour of another upstream and reports whether it did; it is
// nil for a request that must stay where it is. The returned function is called when the answer begins, with true, and when the attempt
// ends.
type WatchFunc func(r *route.Route, p *Placement, giveUp func() bool) (ended func(answered bool))

// WithWatch sets the function that watches the attempts for silent upstreams.
func WithWatch(watch WatchFunc) Option { return func(f *Forwarder) { f.watch = watch } }

// errSilent is the cause of an attempt that was given up because its upstream is silent.
var errSilent = fmt.Errorf("the upstream is silent: %w", errStalled)

// watchedAttempt is an attempt that waits for the first byte of its answer.
type watchedAttempt struct {
	mu sync.Mutex
	// over is set once the answer has begun, the attempt has ended or was given up; paid once its retry was withdrawn from the budget.
	over, paid bool
}

// takePaid reports whether the retry that follows the attempt was withdrawn from the budget already.
func (a *watchedAttempt) takePaid() bool {
	if a == nil {
		return false
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	paid := a.paid
	a.paid = false
	return paid
}

// watch reports an attempt to the function of WithWatch. An attempt is given up only if another may follow, if there is time for it and its
// retry is in the budget: the many that wait at one silent upstream would otherwise all be given up for the few that can be repeated.
func (s *session) watch(cancel context.CancelCauseFunc, p *Placement) (ended func(answered bool)) {
	if s.f.watch == nil {
		return func(bool) {}
	}
	a := &watchedAttempt{}
	s.watched = a
	var giveUp func() bool
	if s.route.Repeatable() && s.otherUpstreamAllowed(p.Upstream.ID) && s.mayRunAfter(s.begun) {
		service := s.placementRequest.Service.Name
		giveUp = func() bool {
			a.mu.Lock()
			defer a.mu.Unlock()
			tooLate := s.placementRequest.Deadline.Sub(s.f.now()) <= p.Expected
			if a.over || tooLate || !s.f.budget.Withdraw(service) {
				return false
			}
			a.over, a.paid = true, true
			cancel(errSilent)
			return true
		}
	}
	report := s.f.watch(s.route, p, giveUp)
	return func(answered bool) {
		a.mu.Lock()
		a.over = true
		a.mu.Unlock()
		report(answered)
	}
}
