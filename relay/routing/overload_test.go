package routing_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/chicoryrelay/chicoryrelay/relay/outcome"
	"github.com/chicoryrelay/chicoryrelay/relay/routing"
)

// crest is a load of long prompts above the capacity of the engines for some seconds, followed by one below it: each prompt has
// 10,000 uncached tokens, which an engine prefills in 280 ms, one after the other.
type crest struct {
	engines           int
	perSecond, calm   float64
	duration, quieter time.Duration
}

// crestResult counts the requests of the crest alone: those whose first token came within the objective, those whose came later, and
// those refused; longestWait is the longest time in the queue.
type crestResult struct {
	onTime, late, refused int
	longestWait           time.Duration
}

// play plays the crest on a core with engines that prefill one prompt at a time.
func (c crest) play() crestResult {
	const tokens, prefill, objective = 10_000, 280 * time.Millisecond, 800 * time.Millisecond
	core := newReuseCore(c.engines)
	var result crestResult
	arrived, busyUntil := map[string]time.Duration{}, map[string]time.Duration{}
	var running []runningRequest
	now, next := time.Duration(0), time.Duration(0)
	place := func(id, upstream string) {
		start := max(now, busyUntil[upstream])
		busyUntil[upstream] = start + prefill
		running = append(running, runningRequest{due: start + prefill, request: routing.Request{ID: id, PromptTokens: tokens}, upstream: upstream})
		if arrived[id] > c.duration {
			return
		}
		result.longestWait = max(result.longestWait, now-arrived[id])
		if start+prefill-arrived[id] <= objective {
			result.onTime++
		} else {
			result.late++
		}
	}
	settle := func(id string, d routing.Decision) {
		switch {
		case d.Refusal != nil && arrived[id] <= c.duration:
			result.refused++
		case d.Upstream != "":
			place(id, d.Upstream)
		}
	}
	step := func(m routing.Message) {
		for _, release := range core.Step(now, m).Released {
			settle(release.ID, release.Decision)
		}
	}
	for i := 0; now < c.duration+c.quieter; now += 10 * time.Millisecond {
		for kept := running; len(kept) > 0; {
			run := kept[0]
			kept = kept[1:]
			if run.due > now {
				continue
			}
			running = deleteRun(running, run.request.ID)
			step(routing.FirstToken{ID: run.request.ID, Upstream: run.upstream, Incarnation: 1})
			step(routing.Finished{ID: run.request.ID, Upstream: run.upstream, Incarnation: 1, PromptTokens: tokens, CountsMissing: true})
			kept = append([]runningRequest(nil), running...)
		}
		step(routing.Tick{})
		rate := c.perSecond
		if now > c.duration {
			rate = c.calm
		}
		for next <= now {
			i++
			id := fmt.Sprint(i)
			arrived[id] = now
			r := requestWithParts(id, 100+i, tokens-100-i)
			r.TargetTTFT, r.Deadline = objective, now+8*time.Second
			settle(id, core.Decide(now, r))
			next += time.Duration(float64(time.Second) / rate)
		}
	}
	return result
}

func deleteRun(running []runningRequest, id string) []runningRequest {
	var kept []runningRequest
	for _, run := range running {
		if run.request.ID != id {
			kept = append(kept, run)
		}
	}
	return kept
}

var _ = Describe("a crest of long prompts above the engines' capacity", func() {
	// Four engines prefill 14 prompts a second.
	load := crest{engines: 4, perSecond: 28, calm: 5, duration: 6 * time.Second, quieter: 8 * time.Second}

	It("does not make all requests late: most of what the engines can do still comes in time", func() {
		result := load.play()
		capacity := 14 * load.duration.Seconds()
		Expect(float64(result.onTime)).To(BeNumerically(">=", capacity/2), "%+v", result)
	})

	It("lets no request wait untried for longer than its objective", func() {
		Expect(load.play().longestWait).To(BeNumerically("<=", 800*time.Millisecond))
	})

	It("refuses nothing of a load within the capacity", func() {
		calm := load
		calm.perSecond = 8
		Expect(calm.play().refused).To(BeZero())
	})
})

var _ = Describe("a request that waits for an engine", func() {
	full := func() *routing.Core {
		core := newReuseCore(1, withSlots(1))
		mustDecide(core, 0, requestWithParts("first", 200, 628))
		return core
	}
	queue := func(core *routing.Core, target time.Duration) {
		GinkgoHelper()
		r := requestWithParts("second", 200, 628)
		r.TargetTTFT, r.Deadline = target, 4*time.Second
		Expect(core.Decide(0, r).Queued).To(BeTrue())
	}

	It("is refused as not run once its objective has passed, so that its caller can return in time", func() {
		core := full()
		queue(core, 500*time.Millisecond)
		Expect(core.Step(490*time.Millisecond, routing.Tick{}).Released).To(BeEmpty())
		released := core.Step(550*time.Millisecond, routing.Tick{}).Released
		Expect(released).To(HaveLen(1))
		expectRefused(released[0].Decision, outcome.Overloaded)
	})

	It("waits until its deadline if it has no objective", func() {
		core := full()
		queue(core, 0)
		Expect(core.Step(3*time.Second, routing.Tick{}).Released).To(BeEmpty())
	})
})

var _ = Describe("an engine that returns empty", func() {
	It("is not filled by each VM with a window of its own", func() {
		core := newReuseCore(1)
		core.Step(0, routing.Digest{VM: "peer", Outstanding: map[string]int{}, PrefillTokens: map[string]int{}, MemoryTokens: map[string]int{}})
		for range 4 {
			core.Step(0, routing.PlacementNotice{VM: "peer", Upstream: "u0", UncachedTokens: 10_000, MemoryTokens: 10_000})
		}
		Expect(core.Decide(0, requestWithParts("1", 2000, 8000)).Queued).To(BeTrue())
	})

	It("takes work again once it has prefilled that of the others", func() {
		core := newReuseCore(1)
		core.Step(0, routing.Digest{VM: "peer", Outstanding: map[string]int{}, PrefillTokens: map[string]int{}, MemoryTokens: map[string]int{}})
		core.Step(0, routing.PlacementNotice{VM: "peer", Upstream: "u0", UncachedTokens: 30_000, MemoryTokens: 30_000})
		Expect(core.Decide(0, requestWithParts("1", 2000, 8000)).Queued).To(BeTrue())
		Expect(core.Step(700*time.Millisecond, routing.Tick{}).Released).To(ContainElement(HaveField("ID", "1")))
	})
})

var _ = Describe("a lane whose engine loads weights", func() {
	It("gets another engine meanwhile, so that short notes have as many as they need", func() {
		core := newReuseCore(9)
		lr := &loadRun{core: core, queued: map[string]func(string){}}
		mixedLoad{checks: 18, notes: 60}.resume(lr, 6)
		lane := core.ServingLane()
		Expect(len(lane)).To(BeNumerically(">", 1))
		lr.stepCore(routing.Leaving{Upstream: lane[0], Leaving: true})
		lr.stepCore(routing.Tick{})
		Expect(core.ServingLane()).To(And(HaveLen(len(lane)), Not(ContainElement(lane[0]))))
	})
})
