package quarantine_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/chicoryrelay/chicoryrelay/relay/quarantine"
)

var _ = Describe("trials of a request in quarantine", func() {
	// lateCrashes counts the replicas that end under a request which comes at a VM each interval, later than contact after the third.
	lateCrashes := func(f *fleet, interval, duration time.Duration) (late int) {
		crashes, third := 0, time.Duration(0)
		for f.now < duration {
			if f.crashRequest(f.vms[crashes%len(f.vms)], fmt.Sprint("s", crashes), crashingRequest) {
				if crashes++; crashes == 3 {
					third = f.now
				}
				if crashes > 3 && f.now > third+contact {
					late++
				}
			}
			f.run(interval)
		}
		return late
	}

	// Guards against trials each 30 s by a control VM that takes the failure of one that it has given away for an earlier crash.
	for _, judges := range []int{1, 3} {
		It(fmt.Sprintf("come at growing intervals also after failed ones, with %d control VMs", judges), func() {
			Expect(lateCrashes(newFleet(4, judges), time.Second, 9*time.Minute)).To(BeNumerically("<=", 2))
		})
	}

	It("come at growing intervals if several VMs ask for each, among them the other control VMs", func() {
		f := newFleet(4, 3)
		f.condemnRequest()
		late := 0
		for f.now < 9*time.Minute {
			// All ask at one moment; the control VM that leaves the trial to vm0 tells the others when the next one is due.
			for _, name := range []string{"vm0", "judge1", "judge2"} {
				f.cores[name].AdmitRequest(f.now, crashingRequest)
			}
			f.run(3 * tick)
			if f.crashRequest("vm0", fmt.Sprint("t", late), crashingRequest) {
				late++
			}
			f.run(850 * time.Millisecond)
		}
		Expect(late).To(BeNumerically("<=", 2))
	})

	// Guards against a request that comes so seldom that each crash under it is forgotten before the next one.
	for _, interval := range []time.Duration{35 * time.Second, 2 * time.Minute} {
		It(fmt.Sprintf("are all that is sent of it once three replicas have ended, also if it comes each %v only", interval), func() {
			Expect(lateCrashes(newFleet(4, 3), interval, 16*time.Minute)).To(BeNumerically("<=", 3))
		})
	}

	It("are not needed for a request that is seldom sent and answered between the ends of replicas", func() {
		f := newFleet(4, 3)
		for i := range 10 {
			Expect(f.crashRequest(f.vms[i%4], fmt.Sprint("s", i), soundRequest)).To(BeTrue())
			f.run(100 * time.Second)
			Expect(f.admits(f.vms[(i+1)%4], soundRequest)).To(BeTrue())
			f.cores[f.vms[(i+1)%4]].AnsweredRequest(f.now, soundRequest)
			f.run(100 * time.Second)
		}
	})
})

var _ = Describe("trials of two requests that were there each time replicas ended", func() {
	tied := func() *fleet {
		f := newFleet(4, 3)
		for i := range 3 {
			for k, request := range []uint64{crashingRequest, soundRequest} {
				f.crashRequest(f.vms[k], fmt.Sprint("s", i), request)
			}
			f.run(400 * time.Millisecond)
		}
		f.run(400 * time.Millisecond)
		return f
	}

	// Guards against a sound request that waits 30 s for its trial because the other one was judged before it.
	It("are due at once for both", func() {
		f := tied()
		Expect(f.cores["judge0"].Verdicts(f.now)).To(And(HaveLen(2), HaveEach(HaveField("TrialIn", BeZero()))))
	})

	// Guards against a sound request that is refused for minutes because its trial is made at the replica that ends under the other one's.
	It("are made one after the other", func() {
		f, served := tied(), 0
		for second := range 10 {
			crashes, sound := f.admits("vm2", crashingRequest), f.admits("vm3", soundRequest)
			if crashes {
				f.cores["vm2"].Crashed(f.now, quarantine.Crash{Upstream: fmt.Sprint("t", second), Request: crashingRequest, Running: 2 * tick})
			}
			switch {
			case sound && crashes:
				f.cores["vm3"].Crashed(f.now, quarantine.Crash{Upstream: fmt.Sprint("t", second), Request: soundRequest, Running: 2 * tick})
			case sound:
				served++
				f.cores["vm3"].AnsweredRequest(f.now, soundRequest)
			}
			f.run(time.Second)
		}
		Expect(served).To(BeNumerically(">=", 5))
		Expect(f.admits("vm0", crashingRequest)).To(BeFalse())
	})
})

var _ = Describe("trials of a part of prompts", func() {
	// Guards against trials each 30 s by a VM that judges the crashes of its own trials.
	It("come at growing intervals also if the control VM makes them itself", func() {
		f := newFleet(0, 1)
		late := 0
		for f.now < 9*time.Minute {
			if f.crash("judge0", fmt.Sprint("e", late), crashing) {
				late++
			}
			f.run(time.Second)
		}
		// Three crashes, and the trials after 30 s and after 2 minutes more.
		Expect(late).To(BeNumerically("<=", 3+2))
	})
})
