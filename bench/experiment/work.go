package experiment

import (
	"fmt"
	"slices"
	"time"

	"github.com/chicoryrelay/chicoryrelay/standin/engine"
)

// apply executes the decisions of one VM.
func (r *run) apply(now time.Duration, vm int, decisions []Decision) {
	for _, d := range decisions {
		w := r.requests[d.Request]
		if w == nil || w.vm != vm {
			r.fail(fmt.Errorf("decide on requests of the own VM only, not on %q", d.Request))
			return
		}
		switch {
		case w.done || d.Verdict == Queue:
		case d.Verdict == Refuse:
			r.refuse(now, w)
		default:
			r.dispatch(now, w, d)
		}
	}
}

// refuse ends a request as refused, or as truncated if tokens were delivered.
func (r *run) refuse(now time.Duration, w *request) {
	for _, a := range slices.Clone(w.attempts) {
		r.cancelAttempt(now, a)
	}
	w.outcome.Refused, w.outcome.Truncated = w.delivered == 0, w.delivered > 0
	r.finishRequest(w)
}

func (r *run) finishRequest(w *request) {
	w.done = true
	r.remaining--
	r.collector.Add(w.outcome)
}

// dispatch sends one copy of a request to an upstream, after a KV cache import if the decision has one.
func (r *run) dispatch(now time.Duration, w *request, d Decision) {
	target, ok := r.byName[d.Upstream]
	if !ok {
		r.fail(fmt.Errorf("request %s: choose one of the run's upstreams, not %q", w.id, d.Upstream))
		return
	}
	if w.winner != nil {
		// Tokens of another attempt are already delivered, and a further attempt would only repeat them.
		return
	}
	a := &attempt{id: fmt.Sprintf("%s#%d", w.id, r.attemptCount), request: w, upstream: target}
	r.attemptCount++
	w.attempts = append(w.attempts, a)
	r.attempts[a.id] = a
	if dispatched := r.routers[w.vm].Dispatched; dispatched != nil {
		dispatched(now, w.id, d.Upstream)
	}
	latency := r.delay(r.VMs[w.vm], r.Upstreams[target].Place)
	source, importing := r.byName[d.Import]
	r.clock.scheduleAt(now+latency, func(now time.Duration) {
		if importing {
			r.transfer(now, a, source, d.Priority)
			return
		}
		r.submit(now, a, d.Priority)
	})
}

// transfer copies the KV cache of the prompt from another upstream and then submits the request.
func (r *run) transfer(now time.Duration, a *attempt, source, priority int) {
	e := r.engines[a.upstream]
	bundle := r.engines[source].Export(now, a.request.entry.Account, a.request.entry.Chain(e.BlockTokens()))
	r.stepEngine(now, source)
	ready, err := e.Import(now, bundle)
	r.stepEngine(now, a.upstream)
	if err != nil || len(bundle.Chain) == 0 {
		r.submit(now, a, priority)
		return
	}
	latency := r.delay(r.Upstreams[source].Place, r.Upstreams[a.upstream].Place)
	r.clock.scheduleAt(ready+2*latency, func(now time.Duration) { r.submit(now, a, priority) })
}

func (r *run) submit(now time.Duration, a *attempt, priority int) {
	if a.cancelled {
		return
	}
	e, entry := r.engines[a.upstream], a.request.entry
	err := e.Submit(now, engine.Request{
		ID: a.id, Salt: entry.Account, Chain: entry.Chain(e.BlockTokens()), Prompt: entry.Prompt, Answer: entry.Answer,
		From: a.request.delivered, Priority: priority,
	})
	r.stepEngine(now, a.upstream)
	if err != nil {
		latency := r.delay(r.VMs[a.request.vm], r.Upstreams[a.upstream].Place)
		r.clock.scheduleAt(now+latency, func(now time.Duration) { r.attemptFailed(now, a) })
	}
}

// handleEvent handles an engine's event when the VM receives it.
func (r *run) handleEvent(now time.Duration, a *attempt, event engine.Event) {
	w := a.request
	if a.cancelled || w.done {
		return
	}
	router, upstream := r.routers[w.vm], r.Upstreams[a.upstream].Name
	switch event.Kind {
	case engine.Broken:
		if w.winner == a {
			w.delivered = event.Seq
			// What was computed for the lost attempt is computed again for the next one.
			w.outcome.Extra += event.Computed
		}
		r.attemptFailed(now, a)
		return
	case engine.Word:
		if w.winner == a {
			return
		}
		r.selectWinner(now, a, event)
		if router.FirstToken != nil {
			r.apply(now, w.vm, router.FirstToken(now, w.id, upstream, event.Cached))
		}
	case engine.Finish:
		if w.winner == nil {
			r.selectWinner(now, a, event)
		}
		w.outcome.Served, w.outcome.End = true, now-w.entry.Arrival
		r.removeAttempt(a)
		r.finishRequest(w)
		if router.Finished != nil {
			r.apply(now, w.vm, router.Finished(now, w.id, upstream, event.Cached))
		}
	}
}

// selectWinner selects the attempt that answered first and cancels the others.
func (r *run) selectWinner(now time.Duration, a *attempt, event engine.Event) {
	w := a.request
	if w.outcome.First == 0 {
		w.outcome.First, w.outcome.Cached = now-w.entry.Arrival, event.Cached
	}
	w.winner = a
	for _, other := range slices.Clone(w.attempts) {
		if other != a {
			r.cancelAttempt(now, other)
		}
	}
}

// cancelAttempt cancels one attempt and counts the prompt tokens that it computed as wasted.
//
// The cancellation has no network delay, so that the wasted tokens are known when the request ends.
func (r *run) cancelAttempt(now time.Duration, a *attempt) {
	a.cancelled = true
	r.removeAttempt(a)
	a.request.outcome.Extra += r.engines[a.upstream].Cancel(now, a.id)
	r.stepEngine(now, a.upstream)
}

func (r *run) removeAttempt(a *attempt) {
	delete(r.attempts, a.id)
	a.request.attempts = slices.DeleteFunc(a.request.attempts, func(other *attempt) bool { return other == a })
}

// attemptFailed reports a refused or lost attempt to the router. Without a Failed callback the request fails once it has no
// other attempt.
func (r *run) attemptFailed(now time.Duration, a *attempt) {
	w := a.request
	if w.done || a.cancelled {
		return
	}
	r.removeAttempt(a)
	if w.winner == a {
		w.winner = nil
	}
	router := r.routers[w.vm]
	if router.Failed == nil {
		if len(w.attempts) == 0 {
			w.outcome.Truncated = w.delivered > 0
			r.finishRequest(w)
		}
		return
	}
	r.apply(now, w.vm, router.Failed(now, w.id, r.Upstreams[a.upstream].Name))
}
