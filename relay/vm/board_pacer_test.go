package vm

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("boards during a rollout in which some engine changes at each tick", func() {
	// publish ticks for a second, with a change at each tick of the first half, and returns the times of the boards.
	publish := func(engines int) (times []time.Duration) {
		var p boardPacer
		for now := time.Duration(0); now < time.Second; now += orderInterval {
			p.change(now < time.Second/2)
			if p.due(now, engines) {
				times = append(times, now)
			}
		}
		return times
	}

	It("are published at each tick in a small system", func() {
		Expect(publish(12)).To(HaveLen(17))
	})

	It("are fewer in a large system, where each costs every VM more", func() {
		Expect(len(publish(156))).To(BeNumerically("<=", 5))
		Expect(len(publish(1000))).To(BeNumerically(">=", 2))
	})

	It("tell the first change at once and the last one within the interval", func() {
		times := publish(156)
		Expect(times[0]).To(BeZero())
		Expect(times[len(times)-1]).To(And(BeNumerically(">=", 480*time.Millisecond), BeNumerically("<=", 700*time.Millisecond)))
	})
})
