package routing

import (
	"time"

	"github.com/chicoryrelay/chicoryrelay/relay/admission"
)

const (
	// minEjection is the ejection after a failure without a byte of an answer; it doubles with each further one up to maxEjection.
	minEjection = 100 * time.Millisecond
	maxEjection = 10 * time.Second
	// maxAttempts limits the attempts of a request, the first one included.
	maxAttempts = 3
)

func (c *Core) eject(now time.Duration, u *upstream) {
	u.failures++
	u.ejectedUntil = now + min(maxEjection, minEjection<<min(u.failures-1, 8))
}

// retry allows another attempt of a request that was not run, or that may run twice, within the retry budget.
func (c *Core) retry(f *flight, m Failed, effects *Effects) {
	if m.Sent && !f.request.Idempotent || f.request.Attempt+1 >= maxAttempts || !c.retries.Withdraw() {
		return
	}
	wait := admission.Backoff(c.random, f.request.Attempt+1, c.times.BaseBackoff, c.times.MaxBackoff)
	effects.Retry = append(effects.Retry, Retry{ID: m.ID, Wait: wait, Exclude: m.Upstream})
}
