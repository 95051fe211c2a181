package gateway

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/chicoryrelay/chicoryrelay/relay/outcome"
	"github.com/chicoryrelay/chicoryrelay/relay/quarantine"
	"github.com/chicoryrelay/chicoryrelay/relay/upstream"
)

// CrashGuard keeps calls to plain services from the replicas that end when they begin to run them. Calls are known by their fingerprints.
type CrashGuard struct {
	// Admit returns nil if a call may be sent, or else the refusal of a call that has not run.
	Admit func(ctx context.Context, fingerprint uint64) *outcome.Refusal
	// Crashed records that a replica's connection ended under a call, so long after it was sent; Unsent that an admitted call was not sent,
	// or was answered with an error that does not show whether a replica has run it.
	Crashed func(fingerprint uint64, upstream string, running time.Duration)
	Unsent  func(fingerprint uint64)
	// Answered records any other complete answer.
	Answered func(fingerprint uint64)
}

// newCrashGuard returns a guard that admits every call.
func newCrashGuard() CrashGuard {
	return CrashGuard{
		Admit:   func(context.Context, uint64) *outcome.Refusal { return nil },
		Crashed: func(uint64, string, time.Duration) {}, Unsent: func(uint64) {}, Answered: func(uint64) {},
	}
}

// record records the outcome of a call that was sent at a time: the status of its answer, or an error.
func (g *CrashGuard) record(fingerprint uint64, replica string, sentAt time.Time, status int, err error) {
	switch {
	case errors.Is(err, upstream.ErrNotSent), err == nil && (status >= http.StatusInternalServerError || status == http.StatusTooManyRequests):
		g.Unsent(fingerprint)
	case err == nil:
		g.Answered(fingerprint)
	case hasEnded(err):
		g.Crashed(fingerprint, replica, time.Since(sentAt))
	}
}

// fingerprint identifies a call that comes again, under whatever idempotency key.
func fingerprint(account, service string, call upstream.ServiceCall) uint64 {
	return quarantine.Fingerprint(account, call.Method, service, call.Path, call.Body)
}
