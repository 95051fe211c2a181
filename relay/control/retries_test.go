package control_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/chicoryrelay/chicoryrelay/relay/control"
)

var _ = Describe("the requests that all VMs may repeat", func() {
	// leader returns the voter that leads.
	leader := func(s *simulation) (*vm, *control.Voter) {
		GinkgoHelper()
		for _, v := range s.vms[:voters] {
			if v.node != nil && v.node.Voter().Leads() {
				return v, v.node.Voter()
			}
		}
		Fail("no control VM leads")
		return nil, nil
	}
	retries := func(s *simulation) (int, bool) {
		GinkgoHelper()
		v, voter := leader(s)
		return voter.Retries(s.clock(v))
	}
	// newTellingSimulation starts VMs that tell 10 retries each, of which three serve callers.
	newTellingSimulation := func() *simulation {
		s := newSimulation(1)
		s.retries = func(string) int { return 10 }
		for _, v := range s.vms {
			s.crash(v)
			s.boot(v)
		}
		s.run(15*time.Second, nil)
		return s
	}

	It("are known to the leader from the lease requests, and follow them", func() {
		s := newTellingSimulation()
		left, known := retries(s)
		Expect(known).To(BeTrue())
		Expect(left).To(BeNumerically(">=", 30))
		s.retries = func(string) int { return 0 }
		s.run(5*time.Second, nil)
		left, known = retries(s)
		Expect(known).To(BeTrue())
		Expect(left).To(BeZero())
	})

	It("do not include those of a VM whose lease has ended", func() {
		s := newTellingSimulation()
		before, _ := retries(s)
		s.crash(s.vms[vms-1])
		s.run(10*time.Second, nil)
		after, known := retries(s)
		Expect(known).To(BeTrue())
		Expect(after).To(Equal(before - 10))
	})

	It("are unknown while a VM with callers does not tell, as one of an earlier release", func() {
		s := newTellingSimulation()
		s.crash(s.vms[vms-1])
		s.run(10*time.Second, nil)
		_, known := retries(s)
		Expect(known).To(BeTrue())
		s.bootWith(s.vms[vms-1], control.WithVMInfo("a", true), control.WithRetries(nil))
		s.run(10*time.Second, nil)
		_, known = retries(s)
		Expect(known).To(BeFalse())
	})
})
