package quarantine_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/chicoryrelay/chicoryrelay/relay/quarantine"
)

var _ = Describe("quarantine of a request after a cut", func() {
	// Guards against a VM that lacks a verdict for ten seconds because the answer to its question was lost.
	It("is known to a VM whose question about the verdicts was lost soon after it asks again", func() {
		judge, vm := quarantine.New("judge", quarantine.WithJudge()), quarantine.New("vm")
		now := 10 * time.Second
		judge.Receive(now, "other", quarantine.Report{Verdicts: []quarantine.Verdict{{Part: crashingRequest, Request: true, Generation: 1, Remaining: time.Minute, Trial: "judge", TrialIn: 30 * time.Second}}})
		vm.Receive(now, "judge", quarantine.Report{Reply: true})
		lost := false
		for range 80 {
			now += tick
			for _, out := range judge.Tick(now).Outgoing {
				if out.Report.Checksum != 0 {
					vm.Receive(now, "judge", out.Report)
				}
			}
			for _, out := range vm.Tick(now).Outgoing {
				// The link is cut while the first question is under way.
				if lost {
					judge.Receive(now, "vm", out.Report)
				}
				lost = lost || out.Report.Query
			}
			for _, out := range judge.Tick(now).Outgoing {
				if out.Name == "vm" {
					vm.Receive(now, "judge", out.Report)
				}
			}
		}
		Expect(lost).To(BeTrue())
		Expect(vm.AdmitRequest(now, crashingRequest).Admitted).To(BeFalse())
	})
})
