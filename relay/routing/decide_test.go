package routing_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/chicoryrelay/chicoryrelay/relay/catalogue"
	"github.com/chicoryrelay/chicoryrelay/relay/outcome"
	"github.com/chicoryrelay/chicoryrelay/relay/routing"
)

func withSlots(n int) func(int, *catalogue.Upstream) {
	return func(_ int, u *catalogue.Upstream) { u.Slots = n }
}

// moveOthers puts all upstreams but the first into another data centre or region.
func moveOthers(centre, region string) func(int, *catalogue.Upstream) {
	return func(i int, u *catalogue.Upstream) {
		if i > 0 {
			u.DataCentre, u.Region = centre, region
		}
	}
}

// sendRequests sends n requests and returns how many went to each upstream.
func sendRequests(core *routing.Core, now time.Duration, from, n int, change func(*routing.Request)) map[string]int {
	counts := map[string]int{}
	for i := range n {
		r := newRequest(from + i)
		change(&r)
		counts[core.Decide(now, r).Upstream]++
	}
	return counts
}

func unchanged(*routing.Request) {}

var _ = Describe("leaving upstreams", func() {
	signals := map[string]routing.Message{
		"a drain in the configuration": routing.Upstreams{List: newUpstreams(2, func(i int, u *catalogue.Upstream) {
			if i == 0 {
				u.State = catalogue.Draining
			}
		})},
		"the platform's list":       routing.Leaving{Upstream: "u0", Leaving: true},
		"the upstream's own report": routing.LoadReport{Upstream: "u0", Incarnation: 1, Leaving: true},
	}
	for name, signal := range signals {
		It("get no new work after "+name, func() {
			for _, policy := range []routing.Policy{routing.Cost, routing.RoundRobin, routing.LeastOutstanding, routing.PrefixHash} {
				core := newCore(newUpstreams(2), routing.WithPolicy(policy))
				core.Step(0, signal)
				Expect(sendRequests(core, 0, 0, 4, unchanged)).To(Equal(map[string]int{"u1": 4}), string(policy))
			}
		})
	}
})

var _ = Describe("versions", func() {
	upstreams := newUpstreams(2, func(i int, u *catalogue.Upstream) { u.Weights = []string{"v9", "v10"}[i] })

	It("are never mixed within a resumed stream", func() {
		core := newCore(upstreams)
		Expect(sendRequests(core, 0, 0, 3, func(r *routing.Request) { r.Weights = "v9" })).To(Equal(map[string]int{"u0": 3}))
		unavailable := newRequest(9)
		unavailable.Weights = "v8"
		expectRefused(core.Decide(0, unavailable), outcome.NoUpstream)
	})

	It("share unpinned work by their slots, so that a new version's first upstream isn't overloaded", func() {
		counts := map[string]int{}
		for i := range 200 {
			r := newRequest(i, uint64(i))
			counts[newCore(upstreams).Decide(0, r).Upstream]++
		}
		Expect(counts["u0"]).To(BeNumerically("~", 100, 30))
		Expect(counts["u0"] + counts["u1"]).To(Equal(200))
	})

	It("are chosen by prefix, with the same result on every VM", func() {
		counts := map[string]int{}
		for i := range 20 {
			r := newRequest(i, 7)
			counts[newCore(upstreams).Decide(0, r).Upstream]++
		}
		Expect(counts).To(HaveLen(1))
	})
})

var _ = Describe("regions", func() {
	It("are not left by requests bound to them, even if upstreams elsewhere are free", func() {
		for _, policy := range []routing.Policy{routing.Cost, routing.RoundRobin, routing.LeastOutstanding, routing.PrefixHash} {
			core := newCore(newUpstreams(3, withSlots(2), moveOthers("far", "r2")), routing.WithPolicy(policy))
			counts := sendRequests(core, 0, 0, 6, func(r *routing.Request) { r.Regions = []string{"r"} })
			Expect(counts).NotTo(HaveKey("u1"))
			Expect(counts).NotTo(HaveKey("u2"))
		}
	})

	It("are not left by requests of accounts that are bound to them", func() {
		core := newCore(newUpstreams(2, moveOthers("far", "r2")))
		core.Step(0, routing.Accounts{List: []catalogue.Account{{Name: "a", Regions: []string{"r2"}}}})
		Expect(sendRequests(core, 0, 0, 2, unchanged)).To(Equal(map[string]int{"u1": 2}))
		conflicting := newRequest(9)
		conflicting.Regions = []string{"r"}
		expectRefused(core.Decide(0, conflicting), outcome.NoUpstream)
	})

	It("are left by other requests only when the gain exceeds the price of the traffic", func() {
		core := newCore(newUpstreams(2, withSlots(2), moveOthers("far", "r2")))
		Expect(sendRequests(core, 0, 0, 2, unchanged)).To(Equal(map[string]int{"u0": 2}))
		Expect(sendRequests(core, 0, 2, 2, unchanged)).To(Equal(map[string]int{"u1": 2}))
		expensive := newCore(newUpstreams(2, withSlots(2), moveOthers("far", "r2")), routing.WithLinks(routing.Link{}, routing.Link{Price: time.Hour}))
		Expect(sendRequests(expensive, 0, 0, 4, unchanged)).To(Equal(map[string]int{"u0": 2, "": 2}))
	})
})

var _ = Describe("queue", func() {
	release := func(core *routing.Core, now time.Duration, id int) string {
		effects := core.Step(now, routing.Finished{ID: fmt.Sprint(id), Upstream: "u0", Incarnation: 1})
		if len(effects.Released) == 0 {
			return ""
		}
		Expect(effects.Released[0].Decision.Refusal).To(BeNil())
		return effects.Released[0].ID
	}
	long := func(id int) routing.Request {
		r := newRequest(id)
		r.AnswerTokens = 100_000
		return r
	}

	It("serves short work before long work, but long work before short work that arrived much later", func() {
		core := newCore(newUpstreams(1, withSlots(1)))
		core.Decide(0, newRequest(0))
		Expect(core.Decide(0, long(1)).Queued).To(BeTrue())
		Expect(core.Decide(time.Millisecond, newRequest(2)).Queued).To(BeTrue())
		Expect(release(core, 10*time.Millisecond, 0)).To(Equal("2"))
		Expect(core.Decide(10*time.Second, newRequest(3)).Queued).To(BeTrue())
		Expect(release(core, 10*time.Second, 2)).To(Equal("1"))
	})

	It("keeps a share of the slots free of long work, which could otherwise occupy all of them", func() {
		core := newCore(newUpstreams(1, withSlots(4)))
		sent := 0
		for i := range 5 {
			if core.Decide(0, long(i)).Upstream != "" {
				sent++
			}
		}
		Expect(sent).To(Equal(3))
		Expect(core.Decide(0, newRequest(9)).Upstream).To(Equal("u0"))
	})

	It("serves a small account before the backlog of a large one", func() {
		core := newCore(newUpstreams(1, withSlots(1)))
		for i := range 20 {
			core.Decide(0, newRequest(i))
		}
		small := newRequest(99)
		small.Account = "b"
		core.Decide(0, small)
		last, position := "0", 0
		for position = 1; last != "99"; position++ {
			effects := core.Step(time.Millisecond, routing.Finished{ID: last, Upstream: "u0", Incarnation: 1})
			last = effects.Released[0].ID
		}
		Expect(position).To(BeNumerically("<", 6))
	})

	It("refuses work whose deadline can't be met, on arrival or when the deadline passes", func() {
		core := newCore(newUpstreams(1, withSlots(1)))
		near := newRequest(1, 1, 2, 3, 4)
		near.Deadline = time.Millisecond
		expectRefused(core.Decide(0, near), outcome.DeadlineTooNear)
		core.Decide(0, newRequest(2))
		waiting := newRequest(3)
		waiting.Deadline = 2 * time.Second
		Expect(core.Decide(0, waiting).Queued).To(BeTrue())
		effects := core.Step(3*time.Second, routing.Tick{})
		Expect(effects.Released).To(HaveLen(1))
		expectRefused(effects.Released[0].Decision, outcome.DeadlineTooNear)
	})

	It("refuses requests when it is full, when their wait times out and when no upstream is left", func() {
		core := newCore(newUpstreams(1, withSlots(1)), routing.WithMaxQueued(1))
		core.Decide(0, newRequest(1))
		core.Decide(0, newRequest(2))
		expectRefused(core.Decide(0, newRequest(3)), outcome.Overloaded)
		expectRefused(core.Step(2*time.Minute, routing.Tick{}).Released[0].Decision, outcome.Overloaded)
		core.Decide(2*time.Minute, newRequest(4))
		core.Step(2*time.Minute, routing.Upstreams{})
		expectRefused(core.Step(2*time.Minute, routing.Tick{}).Released[0].Decision, outcome.NoUpstream)
	})

	It("enforces an account's limit and frees the place of a cancelled request", func() {
		core := newCore(newUpstreams(1))
		core.Step(0, routing.Accounts{List: []catalogue.Account{{Name: "a", Limit: 2}}})
		Expect(sendRequests(core, 0, 0, 2, unchanged)).To(Equal(map[string]int{"u0": 2}))
		expectRefused(core.Decide(0, newRequest(5)), outcome.AccountLimit)
		core.Step(0, routing.Cancelled{ID: "0"})
		Expect(core.Decide(0, newRequest(6)).Upstream).To(Equal("u0"))
	})
})

var _ = Describe("prefix affinity", func() {
	It("makes VMs without contact choose the same upstream for a prefix", func() {
		for text := range uint64(20) {
			first := newCore(newUpstreams(9)).Decide(0, newRequest(1, text))
			Expect(newCore(newUpstreams(9)).Decide(0, newRequest(1, text)).Upstream).To(Equal(first.Upstream))
		}
	})

	countHomes := func(core *routing.Core, now time.Duration) int {
		n := 0
		for _, candidate := range core.Explain(now, newRequest(0, 1)) {
			if candidate.Home {
				n++
			}
		}
		return n
	}

	It("spreads a hot prefix over more homes as its demand grows, and back to one afterwards", func() {
		core := newCore(newUpstreams(9, withSlots(2)))
		now := time.Duration(0)
		for i := range 400 {
			now += 20 * time.Millisecond
			r := newRequest(i, 1)
			if d := core.Decide(now, r); d.Upstream != "" {
				serve(core, now+150*time.Millisecond, r, d)
			}
		}
		Expect(countHomes(core, now)).To(BeNumerically(">", 1))
		Expect(countHomes(core, now+5*time.Minute)).To(Equal(1))
	})

	It("counts tokens that another upstream had cached as wasted", func() {
		core := newCore(newUpstreams(2), routing.WithPolicy(routing.RoundRobin))
		for i := range 2 {
			r := newRequest(i, 1)
			now := time.Duration(i) * time.Second
			serve(core, now+300*time.Millisecond, r, core.Decide(now, r))
		}
		Expect(core.Waste().Avoidable).To(BeNumerically("~", 2000, 100))
	})

	It("plans a KV cache import when that is faster than recomputation", func() {
		core := newCore(newUpstreams(2, withSlots(1)), routing.WithImport(time.Microsecond))
		r := newRequest(1, 1, 2)
		d := core.Decide(0, r)
		core.Step(0, routing.LoadReport{Upstream: d.Upstream, Incarnation: 1})
		serve(core, 500*time.Millisecond, r, d)
		core.Decide(time.Second, newRequest(2, 1, 2))
		second := core.Decide(time.Second, newRequest(3, 1, 2))
		Expect(second.Upstream).NotTo(Equal(d.Upstream))
		Expect(second.Import).To(Equal(&routing.Import{From: d.Upstream, Incarnation: 1, Tokens: 4000}))
	})

	It("explains a decision without changing the next one", func() {
		core := newCore(newUpstreams(4))
		candidates := core.Explain(0, newRequest(1, 5))
		Expect(candidates).To(HaveLen(4))
		best := candidates[0]
		for _, candidate := range candidates {
			if candidate.Total < best.Total {
				best = candidate
			}
		}
		Expect(core.Decide(0, newRequest(1, 5)).Upstream).To(Equal(best.Upstream))
	})
})

// serveInTurn serves n requests one after another, with the given latency of each upstream, and returns how many went to u0.
func serveInTurn(core *routing.Core, now *time.Duration, from, n int, latency func(name string) time.Duration) int {
	count := 0
	for i := range n {
		r := newRequest(from + i)
		r.PromptTokens = 2000
		d := core.Decide(*now, r)
		if d.Upstream == "u0" {
			count++
		}
		*now += latency(d.Upstream)
		serve(core, *now, r, d)
		core.Step(*now, routing.Tick{})
	}
	return count
}

var _ = Describe("slow upstreams", func() {
	It("lose their load within a few requests, are probed, and get it back when they recover", func() {
		core := newCore(newUpstreams(3))
		now := time.Duration(0)
		normal := func(string) time.Duration { return 200 * time.Millisecond }
		slowed := func(name string) time.Duration {
			if name == "u0" {
				return time.Second
			}
			return 200 * time.Millisecond
		}
		before := serveInTurn(core, &now, 0, 90, normal)
		Expect(before).To(BeNumerically(">", 10))
		Expect(serveInTurn(core, &now, 1000, 60, slowed)).To(BeNumerically("<=", 12))
		Expect(serveInTurn(core, &now, 2000, 60, slowed)).To(BeNumerically("<=", 12), "probes only")
		serveInTurn(core, &now, 3000, 60, normal)
		Expect(serveInTurn(core, &now, 4000, 90, normal)).To(BeNumerically(">", 10))
	})
})

var _ = Describe("hedges and retries", func() {
	It("include hedges of short idempotent work within the budget", func() {
		core := newCore(newUpstreams(3, withSlots(64)))
		allowed := 0
		for i := range 100 {
			d := core.Decide(0, newRequest(i))
			Expect(d.Hedge).NotTo(BeNil())
			if second, ok := core.StartHedge(time.Second, fmt.Sprint(i)); ok {
				Expect(second.Upstream).NotTo(Equal(d.Upstream))
				allowed++
			}
		}
		Expect(allowed).To(BeNumerically("~", 14, 2))
	})

	It("include no hedges of work that must run once, nor after the first token", func() {
		core := newCore(newUpstreams(3))
		once := newRequest(1)
		once.Idempotent = false
		Expect(core.Decide(0, once).Hedge).To(BeNil())
		_, ok := core.StartHedge(time.Second, "1")
		Expect(ok).To(BeFalse())
		d := core.Decide(0, newRequest(2))
		core.Step(0, routing.FirstToken{ID: "2", Upstream: d.Upstream, Incarnation: 1})
		_, ok = core.StartHedge(time.Second, "2")
		Expect(ok).To(BeFalse())
	})

	It("include retries elsewhere, within the budget, of requests that were not run or may run twice", func() {
		core := newCore(newUpstreams(3))
		fail := func(id int, idempotent, sent bool) []routing.Retry {
			r := newRequest(id)
			r.Idempotent = idempotent
			d := core.Decide(0, r)
			return core.Step(0, routing.Failed{ID: r.ID, Upstream: d.Upstream, Sent: sent}).Retry
		}
		retry := fail(1, false, false)
		Expect(retry).To(HaveLen(1))
		again := newRequest(1)
		again.Exclude, again.Attempt = []string{retry[0].Exclude}, 1
		Expect(core.Decide(0, again).Upstream).NotTo(Equal(retry[0].Exclude))
		Expect(fail(2, false, true)).To(BeEmpty(), "it may have run")
		allowed := 0
		for i := range 40 {
			core.Step(time.Hour, routing.Tick{})
			r := newRequest(100 + i)
			if d := core.Decide(time.Duration(i)*time.Hour, r); d.Upstream != "" {
				allowed += len(core.Step(time.Duration(i)*time.Hour, routing.Failed{ID: r.ID, Upstream: d.Upstream, Sent: true}).Retry)
			}
		}
		Expect(allowed).To(BeNumerically("<=", 14))
	})
})
