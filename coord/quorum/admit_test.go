package quorum_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/chicoryrelay/chicoryrelay/coord/quorum"
)

// roles returns the names of the voters and of the learners.
func roles(members []quorum.Member) (voters, learners []string) {
	for _, m := range members {
		if m.Learner {
			learners = append(learners, m.Name)
		} else {
			voters = append(voters, m.Name)
		}
	}
	return voters, learners
}

func expectVoters(w *world, count int) []string {
	GinkgoHelper()
	voters, _ := roles(w.leader().core.Members())
	Expect(voters).To(HaveLen(count))
	return voters
}

var _ = Describe("group that admits VMs of new names", func() {
	It("grows to its number of voters, without which it could not bear the losses that it is set for", func() {
		w := newWorld(1, 3, 5)
		w.run(20 * time.Second)
		expectVoters(w, 5)
		w.expectProgress()
	})

	It("keeps further VMs as learners once it has its voters", func() {
		w := newWorld(1, 3, 3)
		w.run(20 * time.Second)
		expectVoters(w, 3)
		_, learners := roles(w.leader().core.Members())
		Expect(learners).To(ConsistOf("d", "e"))
	})

	It("replaces a voter that is gone for good by a VM at another address, so that the next loss is borne", func() {
		w := newWorld(1, 3, 3)
		w.run(20 * time.Second)
		gone := w.follower()
		w.kill(gone)
		w.run(w.now + 15*time.Second)
		Expect(expectVoters(w, 3)).NotTo(ContainElement(gone.name))
		second := w.follower()
		if second == gone {
			second = w.nodes[2]
		}
		w.kill(second)
		w.run(w.now + 15*time.Second)
		w.expectProgress()
	})

	It("takes a voter that was replaced while it was cut off back, instead of leaving it a candidate for ever", func() {
		w := newWorld(1, 3, 3)
		w.run(20 * time.Second)
		cut := w.follower()
		w.isolate(cut)
		w.run(w.now + 20*time.Second)
		Expect(expectVoters(w, 3)).NotTo(ContainElement(cut.name))
		clear(w.cut)
		w.run(w.now + 20*time.Second)
		members := w.leader().core.Members()
		voters, learners := roles(members)
		Expect(append(voters, learners...)).To(ContainElement(cut.name))
		w.expectProgress()
	})

	It("hears of a VM that knows only a follower's name, which passes the announcement on once", func() {
		core := newCore(founding("a", "b", "c"))
		core.Step(later, appendFrom(b, 2, entriesFrom(2, 3), 2))
		stranger := quorum.Identity{Name: "z", Incarnation: 9}
		effects := core.Step(later, quorum.Message{Kind: quorum.Join, From: stranger, To: quorum.Identity{Name: "a"}})
		passed := kinds(effects.Send, quorum.Join)
		Expect(passed).To(HaveLen(1))
		Expect(passed[0].From).To(Equal(stranger))
		Expect(passed[0].To.Name).To(Equal("b"))
		again := passed[0]
		again.To.Name = "a"
		Expect(kinds(core.Step(later, again).Send, quorum.Join)).To(BeEmpty())
	})
})
