package balance_test

import (
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/chicoryrelay/chicoryrelay/relay/balance"
)

func newCore() *balance.Core { return balance.New(rand.New(rand.NewPCG(1, 1))) }

func candidates(ids ...string) []balance.Candidate {
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
	It("spreads requests, so that none waits at a full replica while another is idle", func() {
		core, count := newCore(), map[string]int{}
		for range 18 {
			id := choose(core, 0, candidates("a", "b", "c"))
			core.Sent(0, id)
			count[id]++
		}
		Expect(count).To(Equal(map[string]int{"a": 6, "b": 6, "c": 6}))
	})

	It("prefers the nearer replica until it is nearly full", func() {
		core := newCore()
		list := candidates("near", "far")
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

	It("avoids a replica after failures and uses it again later", func() {
		core := newCore()
		for range 2 {
			core.Sent(0, "a")
			core.Failed(0, "a")
		}
		for range 5 {
			Expect(choose(core, 300*time.Millisecond, candidates("a", "b"))).To(Equal("b"))
		}
		core.Sent(time.Second, "a")
		core.Completed(time.Second, "ledger", "a", 30*time.Millisecond, nil)
		count := map[string]int{}
		for range 12 {
			id := choose(core, 6*time.Second, candidates("a", "b"))
			core.Sent(6*time.Second, id)
			count[id]++
		}
		Expect(count["a"]).To(BeNumerically(">", 0))
	})

	It("chooses a replica in backoff if there is no other, instead of refusing the request", func() {
		core := newCore()
		core.Sent(0, "a")
		core.Failed(0, "a")
		Expect(choose(core, 0, candidates("a"))).To(Equal("a"))
	})

	It("does not choose an excluded replica", func() {
		_, ok := newCore().Choose(0, "ledger", candidates("a"), []string{"a"})
		Expect(ok).To(BeFalse())
	})

	It("counts the requests of other VMs that a replica's recent load report includes", func() {
		core := newCore()
		core.Sent(0, "a")
		core.Completed(0, "ledger", "a", 30*time.Millisecond, &balance.LoadReport{Running: 6, Waiting: 9, Slots: 6})
		Expect(choose(core, 100*time.Millisecond, candidates("a", "b"))).To(Equal("b"))
	})

	It("does not count outstanding requests below zero when an end is reported twice", func() {
		core := newCore()
		core.Sent(0, "a")
		core.Cancelled(0, "a")
		core.Cancelled(0, "a")
		count := map[string]int{}
		for range 4 {
			id := choose(core, 0, candidates("a", "b"))
			core.Sent(0, id)
			count[id]++
		}
		Expect(count).To(Equal(map[string]int{"a": 2, "b": 2}))
	})
})
