package policy_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/chicoryrelay/chicoryrelay/bench/experiment"
	"github.com/chicoryrelay/chicoryrelay/bench/policy"
	"github.com/chicoryrelay/chicoryrelay/bench/report"
	"github.com/chicoryrelay/chicoryrelay/bench/trace"
)

func runReuse(s experiment.Settings) report.Report {
	GinkgoHelper()
	result, err := experiment.Run(s, policy.Reuse(s, 1))
	Expect(err).NotTo(HaveOccurred())
	Expect(result.Served).To(Equal(result.Requests))
	return result
}

var _ = Describe("policy reuse in the experiment", func() {
	entries := trace.CoopSheet().Generate(1, 30*time.Second)

	It("has a larger hit share with the engines' cache events than without them", func() {
		withoutEvents := experiment.Coop(entries).Sheet()
		withoutEvents.Events = 0
		withEvents := runReuse(experiment.Coop(entries).Sheet())
		Expect(withEvents.HitShare).To(BeNumerically(">", runReuse(withoutEvents).HitShare))
	})

	It("has a lower p99 time to first token with full knowledge than with load reports and cache events two seconds late, and no smaller hit share", func() {
		late := experiment.Coop(entries).Sheet()
		late.Events, late.Poll = 2*time.Second, 2*time.Second
		for i := range late.Upstreams {
			e := &late.Upstreams[i].Engine
			e.EventLag, e.ReportLag = 2*time.Second, 2*time.Second
		}
		full := runReuse(experiment.Coop(entries).Sheet().Full())
		Expect(full.First.P99).To(BeNumerically("<", runReuse(late).First.P99))
		Expect(full.HitShare).To(BeNumerically(">=", runReuse(late).HitShare))
	})
})
