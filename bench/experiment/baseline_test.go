package experiment_test

import (
	"time"

	"github.com/chicoryrelay/chicoryrelay/bench/experiment"
)

// dispatchTo returns the decision to dispatch a request to an upstream.
func dispatchTo(request, upstream string) experiment.Decision {
	return experiment.Decision{Request: request, Verdict: experiment.Dispatch, Upstream: upstream}
}

// robin chooses the upstreams in turn.
func robin(s experiment.Settings) experiment.Router {
	next := 0
	choose := func(request string) experiment.Decision {
		next++
		return dispatchTo(request, s.Upstreams[next%len(s.Upstreams)].Name)
	}
	return experiment.Router{
		Decide: func(_ time.Duration, r experiment.Request) experiment.Decision { return choose(r.ID) },
		Failed: func(_ time.Duration, request, _ string) []experiment.Decision {
			return []experiment.Decision{choose(request)}
		},
	}
}

// least chooses the upstream with the fewest requests in progress from this VM.
func least(s experiment.Settings) experiment.Router {
	running := map[string]int{}
	choose := func(request string) experiment.Decision {
		best := s.Upstreams[0].Name
		for _, upstream := range s.Upstreams {
			if running[upstream.Name] < running[best] {
				best = upstream.Name
			}
		}
		return dispatchTo(request, best)
	}
	return experiment.Router{
		Decide:     func(_ time.Duration, r experiment.Request) experiment.Decision { return choose(r.ID) },
		Dispatched: func(_ time.Duration, _, upstream string) { running[upstream]++ },
		Finished: func(_ time.Duration, _, upstream string, _ int) []experiment.Decision {
			running[upstream]--
			return nil
		},
		Failed: func(_ time.Duration, request, upstream string) []experiment.Decision {
			running[upstream]--
			return []experiment.Decision{choose(request)}
		},
	}
}

// prefix chooses the upstream by the hash of the prompt's second prefix level.
func prefix(s experiment.Settings) experiment.Router {
	return experiment.Router{Decide: func(_ time.Duration, r experiment.Request) experiment.Decision {
		level := r.Entry.Levels[min(1, len(r.Entry.Levels)-1)]
		return dispatchTo(r.ID, s.Upstreams[level.Hash%uint64(len(s.Upstreams))].Name)
	}}
}

// hedged dispatches each request in turn and hedges it to the first upstream at the next tick.
func hedged(s experiment.Settings) experiment.Router {
	router := robin(s)
	var waiting []string
	decide := router.Decide
	router.Decide = func(now time.Duration, r experiment.Request) experiment.Decision {
		waiting = append(waiting, r.ID)
		return decide(now, r)
	}
	router.Tick = func(time.Duration) []experiment.Decision {
		var decisions []experiment.Decision
		for _, request := range waiting {
			decisions = append(decisions, dispatchTo(request, s.Upstreams[0].Name))
		}
		waiting = nil
		return decisions
	}
	return router
}

// refuser refuses every request.
func refuser(experiment.Settings) experiment.Router {
	return experiment.Router{Decide: func(_ time.Duration, r experiment.Request) experiment.Decision {
		return experiment.Decision{Request: r.ID, Verdict: experiment.Refuse}
	}}
}

// importing chooses the upstreams in turn and imports each prompt from the one chosen before.
func importing(s experiment.Settings) experiment.Router {
	router := robin(s)
	decide, last := router.Decide, ""
	router.Decide = func(now time.Duration, r experiment.Request) experiment.Decision {
		d := decide(now, r)
		d.Import, last = last, d.Upstream
		return d
	}
	return router
}

// queueUntilTick queues every request until the next tick.
func queueUntilTick(s experiment.Settings) experiment.Router {
	router := robin(s)
	var waiting []experiment.Decision
	decide := router.Decide
	router.Decide = func(now time.Duration, r experiment.Request) experiment.Decision {
		waiting = append(waiting, decide(now, r))
		return experiment.Decision{Request: r.ID, Verdict: experiment.Queue}
	}
	router.Tick = func(time.Duration) []experiment.Decision {
		decisions := waiting
		waiting = nil
		return decisions
	}
	return router
}
