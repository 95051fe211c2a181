package quarantine_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/chicoryrelay/chicoryrelay/relay/quarantine"
)

var _ = Describe("quarantine of a request that was in progress each time upstreams ended under another one", func() {
	// judge returns a control VM's core that knows of three crashes under both requests, and that the sound one was answered before.
	judge := func() (*quarantine.Core, func(time.Duration)) {
		c, now := quarantine.New("judge1", quarantine.WithJudge()), time.Duration(0)
		run := func(d time.Duration) {
			for end := now + d; now < end; now += tick {
				c.Tick(now)
			}
		}
		run(10 * time.Second)
		for i := range 3 {
			for _, request := range []uint64{crashingRequest, soundRequest} {
				c.Receive(now, "vm0", quarantine.Report{Crashes: []quarantine.Crash{{Upstream: fmt.Sprint("s", i), Request: request, Running: 10 * time.Millisecond}}})
			}
			run(2 * tick)
		}
		c.Receive(now, "vm1", quarantine.Report{Answered: []quarantine.Answer{{Part: soundRequest, Age: time.Second}}})
		return c, run
	}

	It("is spared by a control VM that judges both", func() {
		c, run := judge()
		run(time.Second)
		Expect(c.AdmitRequest(20*time.Second, crashingRequest).Admitted).To(BeFalse())
		Expect(c.Verdicts(20 * time.Second)).To(HaveLen(1))
	})

	// Guards against a verdict on a sound request because another control VM's verdict removes the one that it would be compared with.
	It("is spared also by one that hears of another one's verdict first", func() {
		c, run := judge()
		c.Receive(10*time.Second+6*tick, "judge0", quarantine.Report{Verdicts: []quarantine.Verdict{{Part: crashingRequest, Request: true, Generation: 1, Remaining: time.Minute, Trial: "judge0"}}})
		run(time.Second)
		Expect(c.Verdicts(20 * time.Second)).To(HaveLen(1))
	})
})
