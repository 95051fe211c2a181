package quorum_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/chicoryrelay/chicoryrelay/coord/quorum"
)

// votersAndLearners returns the names of the voters and of the learners.
func votersAndLearners(members []quorum.Member) (voters, learners []string) {
	for _, m := range members {
		if m.Learner {
			learners = append(learners, m.Name)
		} else {
			voters = append(voters, m.Name)
		}
	}
	return voters, learners
}

func expectVoters(sim *simulation, count int) []string {
	GinkgoHelper()
	voters, _ := votersAndLearners(sim.leader().core.Members())
	Expect(voters).To(HaveLen(count))
	return voters
}

var _ = Describe("group that admits VMs of new names", func() {
	It("grows to its target number of voters, so that it tolerates the number of lost VMs that it is configured for", func() {
		sim := newSimulation(1, 3, 5)
		sim.run(20 * time.Second)
		expectVoters(sim, 5)
		sim.expectProgress()
	})

	It("keeps further VMs as learners once it has its target number of voters", func() {
		sim := newSimulation(1, 3, 3)
		sim.run(20 * time.Second)
		expectVoters(sim, 3)
		_, learners := votersAndLearners(sim.leader().core.Members())
		Expect(learners).To(ConsistOf("d", "e"))
	})

	It("replaces a permanently lost voter by a VM of another name, so that it tolerates the next loss", func() {
		sim := newSimulation(1, 3, 3)
		sim.run(20 * time.Second)
		removed := sim.follower()
		sim.kill(removed)
		sim.run(sim.now + 15*time.Second)
		Expect(expectVoters(sim, 3)).NotTo(ContainElement(removed.name))
		second := sim.follower()
		if second == removed {
			second = sim.vms[2]
		}
		sim.kill(second)
		sim.run(sim.now + 15*time.Second)
		sim.expectProgress()
	})

	It("readmits a voter that was replaced while it was isolated, instead of leaving it a candidate for ever", func() {
		sim := newSimulation(1, 3, 3)
		sim.run(20 * time.Second)
		partitioned := sim.follower()
		sim.isolate(partitioned)
		sim.run(sim.now + 20*time.Second)
		Expect(expectVoters(sim, 3)).NotTo(ContainElement(partitioned.name))
		clear(sim.partitioned)
		sim.run(sim.now + 20*time.Second)
		members := sim.leader().core.Members()
		voters, learners := votersAndLearners(members)
		Expect(append(voters, learners...)).To(ContainElement(partitioned.name))
		sim.expectProgress()
	})

	It("learns of a VM that knows only a follower's name, because the follower forwards the announcement once", func() {
		core := newCore(foundingState("a", "b", "c"))
		core.Step(testTime, appendMessage(b, 2, leaderEntries(2, 3), 2))
		nonMember := quorum.Identity{Name: "z", Incarnation: 9}
		effects := core.Step(testTime, quorum.Message{Kind: quorum.Join, From: nonMember, To: quorum.Identity{Name: "a"}})
		forwarded := messagesOfKind(effects.Send, quorum.Join)
		Expect(forwarded).To(HaveLen(1))
		Expect(forwarded[0].From).To(Equal(nonMember))
		Expect(forwarded[0].To.Name).To(Equal("b"))
		again := forwarded[0]
		again.To.Name = "a"
		Expect(messagesOfKind(core.Step(testTime, again).Send, quorum.Join)).To(BeEmpty())
	})
})
