package dispatch

import (
	"context"
	"time"

	"github.com/chicoryrelay/chicoryrelay/relay/outcome"
	"github.com/chicoryrelay/chicoryrelay/relay/quarantine"
)

const (
	// claimWait limits how long a quarantined request whose trial is due waits for the VM that may make it: a few round trips between
	// regions. claimPoll is the interval at which it looks.
	claimWait = 150 * time.Millisecond
	claimPoll = 10 * time.Millisecond
)

// AdmitRequest returns nil if a request may be sent as far as its fingerprint is concerned, 0 for none. Its refusals have not run. A
// request that it admits on trial is the only one until its outcome is known.
func (d *Dispatcher) AdmitRequest(ctx context.Context, fingerprint uint64) *outcome.Refusal {
	if fingerprint == 0 || d.quarantined.Load() == 0 {
		return nil
	}
	for until := time.Now().Add(claimWait); ; {
		admission := d.admission(fingerprint)
		switch {
		case admission.Admitted:
			return nil
		case !admission.Claimed || time.Now().After(until) || ctx.Err() != nil:
			return requestRefusal(admission.Wait)
		}
		select {
		case <-ctx.Done():
		case <-time.After(claimPoll):
		}
	}
}

// admission asks the quarantine, and sends the claim that it makes.
func (d *Dispatcher) admission(fingerprint uint64) quarantine.Admission {
	admissions := make(chan quarantine.Admission, 1)
	d.post(func(now time.Duration) {
		admission := d.quarantine.AdmitRequest(now, fingerprint)
		if admission.Claimed {
			d.tickQuarantine(now)
		}
		admissions <- admission
	})
	select {
	case admission := <-admissions:
		return admission
	case <-d.done:
		return quarantine.Admission{Wait: claimPoll}
	}
}

// requestRefusal refuses a request under which upstreams have ended until it may be tried again.
func requestRefusal(wait time.Duration) *outcome.Refusal {
	return outcome.Refuse(outcome.Quarantined, "upstreams end when they begin to answer this request; send another one, or this one after the time in Retry-After").WithRetryAfter(max(wait, claimWait))
}

// RequestCrashed records that an upstream's connection ended under a request that is not placed by the routing core, so long after it
// was sent.
func (d *Dispatcher) RequestCrashed(fingerprint uint64, upstream string, running time.Duration) {
	if fingerprint != 0 {
		d.post(func(now time.Duration) {
			d.quarantine.Crashed(now, quarantine.Crash{Upstream: upstream, Request: fingerprint, Running: running})
		})
	}
}

// RequestUnsent records that a request which was admitted was not run after all, or that its error doesn't show whether it was: its trial
// is still to be made.
func (d *Dispatcher) RequestUnsent(fingerprint uint64) {
	if fingerprint != 0 && d.quarantined.Load() > 0 {
		d.post(func(now time.Duration) { d.quarantine.UnsentRequest(now, fingerprint) })
	}
}

// RequestAnswered records a complete answer, other than an error, to a request that is not placed by the routing core.
func (d *Dispatcher) RequestAnswered(fingerprint uint64) {
	if fingerprint != 0 {
		d.post(func(now time.Duration) { d.quarantine.AnsweredRequest(now, fingerprint) })
	}
}
