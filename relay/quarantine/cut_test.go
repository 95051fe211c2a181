package quarantine_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/chicoryrelay/chicoryrelay/relay/quarantine"
)

var _ = Describe("quarantine of a request after a cut", func() {
	// lateCrashes counts the replicas that end under a request which comes at all VMs in turn once those that were cut off are in touch again.
	lateCrashes := func(f *fleet) (late int) {
		clear(f.cut)
		f.run(contact)
		for round := range 100 {
			if f.crashRequest(f.vms[round%len(f.vms)], fmt.Sprint("t", round), crashingRequest) {
				late++
			}
			f.run(200 * time.Millisecond)
		}
		return late
	}

	// Guards against a request that ends replicas anew because the reports of the first ones that ended under it were lost.
	It("is passed on the crashes that VMs saw while they were cut off", func() {
		f := newFleet(8, 3)
		for i := range 3 {
			f.cut[f.vms[i]] = true
		}
		for i := range 3 {
			f.crashRequest(f.vms[i], fmt.Sprint("s", i), crashingRequest)
			f.run(400 * time.Millisecond)
		}
		Expect(lateCrashes(f)).To(BeNumerically("<=", 3))
	})

	It("is passed on the crashes that VMs saw while all control VMs were cut off", func() {
		f := newFleet(8, 3)
		for _, name := range f.judges {
			f.cut[name] = true
		}
		for i := range 3 {
			f.crashRequest(f.vms[i], fmt.Sprint("s", i), crashingRequest)
			f.run(400 * time.Millisecond)
		}
		f.run(10 * time.Second)
		Expect(lateCrashes(f)).To(BeNumerically("<=", 3))
	})

	// Guards against a sound request that is refused because one crash is taken for several, as its report comes again much later.
	It("counts a crash once whose report is repeated", func() {
		judge, vm, now := quarantine.New("judge", quarantine.WithJudge()), quarantine.New("vm"), 10*time.Second
		vm.Crashed(now, quarantine.Crash{Upstream: "s", Request: soundRequest, Running: 20 * time.Millisecond})
		reports := 0
		for range 200 {
			now += tick
			for _, out := range vm.Tick(now).Outgoing {
				// No report is acknowledged, and each comes later than the one before.
				judge.Receive(now+time.Duration(reports)*5*time.Second, "vm", out.Report)
				reports += len(out.Report.Crashes)
			}
		}
		judge.Tick(now + time.Minute)
		Expect(reports).To(BeNumerically(">=", 5))
		Expect(judge.Count(now + time.Minute)).To(BeZero())
	})

	It("is no longer reported once a control VM has acknowledged it", func() {
		f := newFleet(1, 1)
		f.crashRequest("vm0", "s", soundRequest)
		f.run(time.Second)
		for _, out := range f.cores["vm0"].Tick(f.now + 5*time.Second).Outgoing {
			Expect(out.Report.Crashes).To(BeEmpty())
		}
	})

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
