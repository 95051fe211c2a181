package control

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("a VM's lease", func() {
	const start, until = 100 * time.Hour, 10 * time.Second

	// Guards against VMs that go by a configuration which may no longer be in force: cut off, frozen, suspended, or just started.
	DescribeTable("is valid by a clock that continues while the machine is suspended",
		func(leasedUntil time.Duration, now time.Duration, expected bool) {
			clock := start
			host := NewHost(New("vm", 1), WithClock(func() time.Duration { return clock }))
			host.view.Store(&View{LeasedUntil: leasedUntil})
			clock += now
			Expect(host.Now()).To(Equal(now))
			Expect(host.Leased()).To(Equal(expected))
		},
		Entry("before its end", until, 9500*time.Millisecond, true),
		Entry("up to its end", until, until-1, true),
		Entry("not later, as a change may be in force from then on", until, until, false),
		Entry("not on a machine that has woken after its end", until, 20*time.Second, false),
		Entry("not before its first lease", time.Duration(0), 100*time.Millisecond, false),
	)
})
