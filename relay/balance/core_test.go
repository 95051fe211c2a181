package balance_test

import (
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/chicoryrelay/chicoryrelay/relay/balance"
)

func newCore() *balance.Core { return balance.New(rand.New(rand.NewPCG(1, 1))) }

func replicas(ids ...string) []balance.Candidate {
	var list []balance.Candidate
	for _, id := range ids {
		list = append(list, balance.Candidate{ID: id, Slots: 6})
	}
	return list
}

func choose(core *balance.Core, now time.Duration, list []balance.Candidate, exclude ...string) string {
	GinkgoHelper()
	id, ok := core.Choose(now, "ledger", list, exclude)
	Expect(ok).To(BeTrue())
	return id
}

var _ = Describe("balancer", func() {
	It("spreads requests, so that none waits at a full replica beside an idle one", func() {
		core, count := newCore(), map[string]int{}
		for range 18 {
			id := choose(core, 0, replicas("a", "b", "c"))
			core.Sent(0, id)
			count[id]++
		}
		Expect(count).To(Equal(map[string]int{"a": 6, "b": 6, "c": 6}))
	})

	It("prefers the near replica until it is nearly full", func() {
		core := newCore()
		list := replicas("near", "far")
		list[1].Link = 25 * time.Millisecond
		near := 0
		for range 8 {
			id := choose(core, 0, list)
			core.Sent(0, id)
			if id == "near" {
				near++
			}
		}
		Expect(near).To(BeNumerically(">=", 5))
		Expect(near).To(BeNumerically("<", 8))
	})

	It("leaves a replica alone after failures, for longer each time, and comes back to it", func() {
		core := newCore()
		for range 2 {
			core.Sent(0, "a")
			core.Failed(0, "a")
		}
		for range 5 {
			Expect(choose(core, 300*time.Millisecond, replicas("a", "b"))).To(Equal("b"))
		}
		core.Sent(time.Second, "a")
		core.Ended(time.Second, "ledger", "a", 30*time.Millisecond, nil)
		count := map[string]int{}
		for range 12 {
			id := choose(core, 6*time.Second, replicas("a", "b"))
			core.Sent(6*time.Second, id)
			count[id]++
		}
		Expect(count["a"]).To(BeNumerically(">", 0))
	})

	It("takes a paused replica where there is no other, since a refusal would be certain", func() {
		core := newCore()
		core.Sent(0, "a")
		core.Failed(0, "a")
		Expect(choose(core, 0, replicas("a"))).To(Equal("a"))
	})

	It("does not choose an excluded replica", func() {
		_, ok := newCore().Choose(0, "ledger", replicas("a"), []string{"a"})
		Expect(ok).To(BeFalse())
	})

	It("believes a replica's own word on its load for a moment", func() {
		core := newCore()
		core.Sent(0, "a")
		core.Ended(0, "ledger", "a", 30*time.Millisecond, &balance.Load{Running: 6, Waiting: 9, Slots: 6})
		Expect(choose(core, 100*time.Millisecond, replicas("a", "b"))).To(Equal("b"))
	})

	It("never counts below zero when an end is reported twice", func() {
		core := newCore()
		core.Sent(0, "a")
		core.Cancelled(0, "a")
		core.Cancelled(0, "a")
		count := map[string]int{}
		for range 4 {
			id := choose(core, 0, replicas("a", "b"))
			core.Sent(0, id)
			count[id]++
		}
		Expect(count).To(Equal(map[string]int{"a": 2, "b": 2}))
	})
})
