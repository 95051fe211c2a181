package routing

import (
	"slices"
	"time"
)

// Engines share a prefix only once it is computed: of two requests that arrive together, both compute it. A request therefore waits at
// the VM while the engine that it is meant for computes most of its prompt for another request. The engine would compute the two
// prompts one after the other, so the wait delays nothing.

const (
	// minSharedPrefill is the prefill in tokens for which a request waits; a batch step computes about as much.
	minSharedPrefill = 512
	// maxPrefillWait bounds the wait, as a multiple of the prefill's expected time: after that the estimate was wrong, or the upstream
	// does not answer.
	maxPrefillWait = 2
	// maxPrefillAge is the age of a request, as a share of the time that it may wait in the queue, from which it no longer waits for a
	// prefill: the rest of that time is left for engines that are busy. With half of it requests were still refused.
	maxPrefillAge = 0.25
)

// prefilling reports whether the upstream is computing tokens for another request that the planned one counts as cached there, and
// more of them than the planned one has left to compute itself.
func (u *upstream) prefilling(now time.Duration, p *plan, cached int) bool {
	least := max(minSharedPrefill, p.tokens-cached)
	slowdown := u.relativeSlowdown(now)
	for _, a := range u.awaiting {
		if a.flight == p.flight || a.scope != p.scope || a.flight.request.PromptTokens < least {
			continue
		}
		from, until := a.computing(now, slowdown)
		if now < until && commonTokens(&a.flight.request, &p.flight.request)-from >= least {
			return true
		}
	}
	return slices.ContainsFunc(u.othersPrefilling, func(o othersPrefill) bool { return now < o.until && o.commonTokens(p)-o.cached >= least })
}

// awaitsPrefill reports whether a request must wait for a prefill of its prefix at the upstream.
func (c *Core) awaitsPrefill(now time.Duration, u *upstream, p *plan, cached int) bool {
	return cached > 0 && (now-p.flight.arrived).Seconds() < maxPrefillAge*c.queueTimeout(p.flight).Seconds() && u.prefilling(now, p, cached)
}

// computing returns the number of leading tokens that the attempt does not compute, and the time at which it ought to be done. An attempt
// without a first token after its expected time at the usual speed has most probably found its prefix evicted; the slowdown can't tell,
// as it rises with the delay.
func (a *attempt) computing(now time.Duration, slowdown float64) (from int, until time.Duration) {
	if now < a.sent+seconds(a.expected) {
		return a.expectedHit.Tokens, a.sent + seconds(maxPrefillWait*a.expected*slowdown)
	}
	return 0, a.sent + seconds(maxPrefillWait*a.coldTTFT*slowdown)
}

// commonTokens returns the length of the prefix that two requests have in common.
func commonTokens(a, b *Request) int {
	tokens := 0
	for i := 0; i < len(a.Levels) && i < len(b.Levels) && a.Levels[i] == b.Levels[i]; i++ {
		tokens = a.Levels[i].Tokens
	}
	return tokens
}

// othersPrefill is a prefill of shared parts for a request of another VM, of which cached leading tokens need none.
type othersPrefill struct {
	parts  []uint64
	cached int
	until  time.Duration
}

// commonTokens returns the length of the shared parts that the planned request has in common with the prefill.
func (o *othersPrefill) commonTokens(p *plan) int {
	tokens := 0
	for i := 0; i < len(o.parts) && i+1 < len(p.partKeys) && o.parts[i] == p.partKeys[i]; i++ {
		tokens = p.flight.request.Levels[i].Tokens
	}
	return tokens
}

// addOthersPrefill records a prefill that a peer has notified of and that the upstream's load includes already.
func (u *upstream) addOthersPrefill(now time.Duration, m PlacementNotice) {
	u.othersPrefilling = slices.DeleteFunc(u.othersPrefilling, func(o othersPrefill) bool { return now >= o.until })
	if len(m.Parts) == 0 || m.Epoch != u.epoch {
		return
	}
	perToken := u.group.model.perToken.value
	work := u.othersBacklog(now, perToken) + workAhead(&u.backlog, numClasses-1)
	until := now + seconds(maxPrefillWait*float64(work)*perToken*u.relativeSlowdown(now))
	u.othersPrefilling = append(u.othersPrefilling, othersPrefill{parts: m.Parts, cached: m.MemoryTokens - m.UncachedTokens, until: until})
}

// endOthersPrefill ends the prefills whose last shared part the engine has reported, and returns whether there were any.
func (u *upstream) endOthersPrefill(added []uint64) bool {
	before := len(u.othersPrefilling)
	u.othersPrefilling = slices.DeleteFunc(u.othersPrefilling, func(o othersPrefill) bool {
		return slices.Contains(added, o.parts[len(o.parts)-1])
	})
	return len(u.othersPrefilling) < before
}
