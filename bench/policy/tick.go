package policy

import (
	"maps"
	"slices"
	"time"

	"github.com/chicoryrelay/chicoryrelay/bench/experiment"
	"github.com/chicoryrelay/chicoryrelay/relay/routing"
)

// tick runs the timers of the core, the hedges and retries that are due, and the digests to the other VMs.
func (v *vm) tick(now time.Duration) []experiment.Decision {
	decisions := append(v.pendingDecisions, v.step(now, routing.Tick{})...)
	v.pendingDecisions = nil
	for _, id := range slices.Sorted(maps.Keys(v.hedges)) {
		if now < v.hedges[id] {
			continue
		}
		delete(v.hedges, id)
		if d, ok := v.core.StartHedge(now, id); ok {
			decisions = append(decisions, v.translate(now, id, d))
		}
	}
	for _, id := range slices.Sorted(maps.Keys(v.retries)) {
		retry := v.retries[id]
		if now < retry.at {
			continue
		}
		delete(v.retries, id)
		retried := v.requests[id].Request
		retried.Attempt++
		retried.Exclude = append(retried.Exclude, retry.exclude)
		v.requests[id] = request{Request: retried, answer: v.requests[id].answer}
		decisions = append(decisions, v.translate(now, id, v.core.Decide(now, retried)))
	}
	if now >= v.lastDigest+v.fleet.interval {
		v.lastDigest = now
		digest := v.core.Digest(now)
		for _, other := range v.fleet.vms {
			if other != v {
				other.receiveDigest(now, digest)
			}
		}
	}
	return decisions
}
