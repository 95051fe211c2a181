package control_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/chicoryrelay/chicoryrelay/coord/configuration"
)

// leading returns the control VM that leads; nil if none does.
func (s *simulation) leading() *vm {
	for _, v := range s.vms[:voters] {
		if v.node != nil && v.node.Voter().Leads() {
			return v
		}
	}
	return nil
}

// Guards against a change that waits out the interval of its resends, or is sent to a control VM that is down, although the control VM
// that has it knows the new leader or leads itself.
var _ = Describe("a change whose leader is lost", func() {
	for _, seed := range seeds() {
		It(fmt.Sprintf("is proposed as soon as a new leader is known, seed %d", seed), func() {
			s := newSimulation(seed)
			s.operators.paused, s.calls.paused = true, true
			s.run(15*time.Second, nil)
			lost := s.leading()
			Expect(lost).NotTo(BeNil())
			s.crash(lost)
			v := s.vms[(int(seed)+voters)%voters]
			if v == lost {
				v = s.vms[(int(seed)+1)%voters]
			}
			before := v.node.Version()
			s.operators.submit(v, configuration.Command{
				ID: "c", Actor: v.name, Expected: before, Changes: []configuration.Change{configuration.Put("account", "a", accountValue(2))},
			})
			for s.leading() == nil {
				s.run(step, nil)
				Expect(s.now).To(BeNumerically("<", time.Minute))
			}
			// A heartbeat, a tick, and the messages of a proposal.
			s.run(500*time.Millisecond, nil)
			Expect(s.leading().node.Voter().Machine().Configuration().Newest()).To(BeNumerically(">", before))
		})
	}
})
