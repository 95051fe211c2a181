package control

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("a VM's view", func() {
	start := time.Unix(1_800_000_000, 0)
	at := func(now, wall time.Duration) ClockReading { return ClockReading{Now: now, Wall: start.Add(wall)} }
	const grace = time.Second
	view := &View{LeasedUntil: 10 * time.Second, leasedAt: at(9*time.Second, 9*time.Second)}

	// Guards against VMs that go by a configuration which may no longer be in force: cut off, frozen, suspended, or just started.
	DescribeTable("is current",
		func(v *View, at ClockReading, expected bool) { Expect(v.isCurrent(at, grace)).To(Equal(expected)) },
		Entry("while its lease is valid", view, at(9500*time.Millisecond, 9500*time.Millisecond), true),
		Entry("for the grace after its lease", view, at(10900*time.Millisecond, 10900*time.Millisecond), true),
		Entry("not later", view, at(11*time.Second, 11*time.Second), false),
		Entry("not on a machine that was suspended since, whose monotonic clock missed that time", view, at(9100*time.Millisecond, 20*time.Second), false),
		Entry("while the time of day was set back", view, at(9100*time.Millisecond, 5*time.Second), true),
		Entry("not before its first lease", &View{}, at(100*time.Millisecond, 100*time.Millisecond), false),
	)
})
