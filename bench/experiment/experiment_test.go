package experiment_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/chicoryrelay/chicoryrelay/bench/experiment"
	"github.com/chicoryrelay/chicoryrelay/bench/report"
	"github.com/chicoryrelay/chicoryrelay/bench/trace"
	"github.com/chicoryrelay/chicoryrelay/standin/engine"
)

type policy func(experiment.Settings) experiment.Router

func run(s experiment.Settings, p policy) report.Report {
	GinkgoHelper()
	var routers []experiment.Router
	for range s.VMs {
		routers = append(routers, p(s))
	}
	result, err := experiment.Run(s, routers)
	Expect(err).NotTo(HaveOccurred())
	return result
}

func coop(duration time.Duration) experiment.Settings {
	GinkgoHelper()
	settings := trace.DefaultCoop()
	settings.Duration, settings.Rate = duration, 6
	entries, err := trace.Generate(settings)
	Expect(err).NotTo(HaveOccurred())
	return experiment.Coop(entries)
}

func expectAllServed(r report.Report) {
	GinkgoHelper()
	Expect(r.Requests).To(BeNumerically(">", 50))
	Expect(r.Served).To(Equal(r.Requests))
}

var _ = Describe("experiment", func() {
	DescribeTable("serves all requests and gives the same report in each run with", func(p policy) {
		s := coop(20 * time.Second)
		first := run(s, p)
		expectAllServed(first)
		Expect(first.CachedTokens).To(BeNumerically("<=", first.UnlimitedTokens))
		Expect(run(s, p)).To(Equal(first))
	}, Entry("round robin", robin), Entry("least outstanding", least), Entry("prefix hash", prefix))

	It("counts less than half as many wasted tokens with prefix affinity as with round robin", func() {
		s := coop(40 * time.Second)
		Expect(run(s, prefix).WastedTokens).To(BeNumerically("<", run(s, robin).WastedTokens/2))
	})

	It("counts as many cached tokens as one unlimited cache would have, with slow arrivals at one upstream of unlimited cache", func() {
		s := coop(20 * time.Second)
		s.Upstreams = s.Upstreams[:1]
		s.Upstreams[0].Engine.Cache = 1 << 30
		for i := range s.Entries {
			s.Entries[i].Arrival = time.Duration(i) * time.Minute
		}
		r := run(s, robin)
		Expect(r.CachedTokens).To(Equal(r.UnlimitedTokens))
		Expect(r.WastedTokens).To(BeZero())
	})

	It("resumes requests that failed in a crash", func() {
		s := coop(20 * time.Second)
		s.Crashes = []experiment.Crash{{Upstream: 2, At: 5 * time.Second}, {Upstream: 3, At: 6 * time.Second}}
		expectAllServed(run(s, least))
	})

	It("counts requests that failed in a crash as truncated or errors if the router does not resume them", func() {
		s := coop(20 * time.Second)
		s.Crashes = []experiment.Crash{{Upstream: 2, At: 5 * time.Second}}
		r := run(s, func(s experiment.Settings) experiment.Router {
			router := robin(s)
			router.Failed = nil
			return router
		})
		Expect(r.Served).To(BeNumerically("<", r.Requests))
		Expect(r.Served + r.Truncated + r.Errors).To(Equal(r.Requests))
	})

	It("cancels the losing copies of hedged requests and counts their prompt tokens as wasted", func() {
		s := coop(20 * time.Second)
		plain, double := run(s, robin), run(s, hedged)
		expectAllServed(double)
		missed := func(r report.Report) int { return max(0, r.UnlimitedTokens-r.CachedTokens) }
		Expect(plain.WastedTokens).To(Equal(missed(plain)))
		Expect(double.WastedTokens).To(BeNumerically(">", missed(double)))
	})

	It("finds imported prefixes in the cache of the importing upstream", func() {
		s := coop(20 * time.Second)
		r := run(s, importing)
		expectAllServed(r)
		Expect(r.CachedTokens).To(BeNumerically(">", run(s, robin).CachedTokens))
	})

	It("includes a request's time in its router's queue in the time to first token", func() {
		s := coop(20 * time.Second)
		s.Tick = 5 * time.Second
		r := run(s, queueUntilTick)
		expectAllServed(r)
		Expect(r.First.Max).To(BeNumerically(">", s.Tick))
	})

	It("counts each request that the router never dispatches as an error", func() {
		s := coop(20 * time.Second)
		s.Limit = time.Minute
		r := run(s, func(experiment.Settings) experiment.Router {
			return experiment.Router{Decide: func(_ time.Duration, r experiment.Request) experiment.Decision {
				return experiment.Decision{Request: r.ID}
			}}
		})
		Expect(r.Errors).To(Equal(r.Requests))
	})

	It("reports a longer tail of times to first token while upstreams are slowed", func() {
		s := coop(40 * time.Second)
		slow := s.SlowThird(engine.Slow{From: 10 * time.Second, Until: 30 * time.Second, Factor: 5})
		Expect(run(slow, robin).SlowedFirst.P99).To(BeNumerically(">", run(s, robin).First.P99))
	})

	It("counts refused requests", func() {
		r := run(coop(20*time.Second), refuser)
		Expect(r.Refused).To(Equal(r.Requests))
	})

	It("returns an error for a decision with an unknown upstream", func() {
		s := coop(5 * time.Second)
		router := experiment.Router{Decide: func(_ time.Duration, r experiment.Request) experiment.Decision { return dispatchTo(r.ID, "engine99") }}
		routers := make([]experiment.Router, len(s.VMs))
		for i := range routers {
			routers[i] = router
		}
		_, err := experiment.Run(s, routers)
		Expect(err).To(MatchError(ContainSubstring("engine99")))
	})
})
