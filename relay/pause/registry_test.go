package pause_test

import (
	"errors"
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/chicoryrelay/chicoryrelay/relay/pause"
)

var _ = Describe("the registry of pauses", func() {
	var now time.Time
	var r *pause.Registry

	BeforeEach(func() {
		now = time.Unix(1_700_000_000, 0)
		r = pause.New(pause.WithNow(func() time.Time { return now }))
	})

	It("holds requests to a paused upstream until the end of its pause, and no others", func() {
		r.Pause("a", 2*time.Second)
		now = now.Add(2*time.Second - 1)
		var held *pause.Error
		Expect(errors.As(r.Permit("a"), &held)).To(BeTrue())
		Expect(held.Upstream).To(Equal("a"))
		Expect(r.Permit("b")).To(Succeed())
		now = now.Add(1)
		Expect(r.Permit("a")).To(Succeed())
		Expect(r.Paused()).To(BeZero())
		Expect(r.Counts()).To(Equal(pause.Counts{Pauses: 1, Held: 1}))
	})

	It("keeps the later end of pauses that overlap, in any order", func() {
		r.Pause("a", 3*time.Second)
		r.Pause("a", time.Second)
		Expect(r.Until("a")).To(Equal(now.Add(3 * time.Second)))
		now = now.Add(time.Second)
		r.Pause("a", 5*time.Second)
		Expect(r.Until("a")).To(Equal(now.Add(5 * time.Second)))
	})

	It("counts the time in which the process stood still", func() {
		r.Pause("a", 5*time.Second)
		now = now.Add(6 * time.Second)
		Expect(r.Permit("a")).To(Succeed())
	})

	It("bounds a pause, and takes none that is not positive", func() {
		r.Pause("a", 24*time.Hour)
		Expect(r.Until("a")).To(Equal(now.Add(pause.MaxDuration)))
		r.Pause("b", 0)
		r.Pause("c", -time.Second)
		Expect(r.Paused()).To(Equal(1))
	})

	It("keeps a bounded number of pauses, those that last longest", func() {
		for i := range 10_100 {
			r.Pause(fmt.Sprint("e", i), time.Minute+time.Duration(i)*time.Millisecond)
		}
		Expect(r.Paused()).To(Equal(10_000))
		Expect(r.Permit("e99")).To(Succeed())
		Expect(r.Permit("e100")).NotTo(Succeed())
	})

	It("calls back when a pause begins and when it ends", func() {
		calls := make(chan struct{}, 4)
		r := pause.New()
		r.OnChange(func() { calls <- struct{}{} })
		r.Pause("a", 30*time.Millisecond)
		Eventually(calls, "1s").Should(Receive())
		Eventually(calls, "1s").Should(Receive())
		Expect(r.Permit("a")).To(Succeed())
	})
})
