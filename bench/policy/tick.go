package policy

import (
	"maps"
	"slices"
	"time"

	"github.com/chicoryrelay/chicoryrelay/bench/experiment"
	"github.com/chicoryrelay/chicoryrelay/relay/routing"
)

// tick drives timers, hedges that are due, retries and the digests among the VMs.
func (v *vm) tick(now time.Duration) []experiment.Decision {
	decisions := append(v.late, v.step(now, routing.Tick{})...)
	v.late = nil
	for _, id := range slices.Sorted(maps.Keys(v.hedges)) {
		if now < v.hedges[id] {
			continue
		}
		delete(v.hedges, id)
		if d, ok := v.core.Hedge(now, id); ok {
			decisions = append(decisions, v.translate(now, id, d))
		}
	}
	for _, id := range slices.Sorted(maps.Keys(v.retries)) {
		retry := v.retries[id]
		if now < retry.at {
			continue
		}
		delete(v.retries, id)
		question := v.prompts[id].Request
		question.Attempt++
		question.Exclude = append(question.Exclude, retry.exclude)
		v.prompts[id] = request{Request: question, answer: v.prompts[id].answer}
		decisions = append(decisions, v.translate(now, id, v.core.Decide(now, question)))
	}
	if now >= v.told+v.fleet.digests {
		v.told = now
		digest := v.core.Digest(now)
		for _, other := range v.fleet.vms {
			if other != v {
				other.hear(now, digest)
			}
		}
	}
	return decisions
}
