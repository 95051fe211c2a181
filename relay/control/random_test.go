package control_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// Guards against four failures while messages, processes, clocks and disks fail: a change accepted while a VM acts on an older
// version, an installed version that decreases, a booking that runs twice, and an outcome "not run" for a booking that ran.
var _ = Describe("nodes under failure", func() {
	for _, seed := range seeds() {
		It(fmt.Sprintf("keep versions and bookings consistent and make progress again afterwards, seed %d", seed), func() {
			s := newSimulation(seed)
			s.run(15*time.Second, nil)
			expectProgress(s, 0)
			s.lossRate = 0.05
			s.run(90*time.Second, s.injectFault)
			s.heal()
			before := s.operators.accepted
			s.run(40*time.Second, nil)
			expectProgress(s, before)
			expectAgreement(s)
		})
	}
})

// injectFault injects a random fault in one of 60 rounds.
func (s *simulation) injectFault() {
	if s.random.IntN(60) > 0 {
		return
	}
	v := s.vms[s.random.IntN(vms)]
	switch s.random.IntN(7) {
	case 0:
		if v.node != nil {
			s.crash(v)
		}
	case 1, 2:
		for _, down := range s.vms {
			if down.node == nil {
				s.boot(down)
				return
			}
		}
	case 3:
		if v.node != nil {
			v.frozenUntil = s.now + time.Duration(s.random.Int64N(int64(15*time.Second)))
		}
	case 4:
		other := s.vms[s.random.IntN(vms)]
		s.blocked[[2]string{v.name, other.name}] = true
		if s.random.IntN(2) == 0 {
			s.blocked[[2]string{other.name, v.name}] = true
		}
	case 5:
		clear(s.blocked)
	case 6:
		// At most one disk is lost per run, and only while all control VMs are up to date, since a quorum of disks must survive.
		if v.node != nil && v.volume != nil && s.wipedDisks == 0 && s.upToDateVoters() == voters {
			s.wipedDisks++
			s.crash(v)
			s.wipe(v)
		}
	}
}

// upToDateVoters counts the running control VMs that have applied the highest applied index.
func (s *simulation) upToDateVoters() int {
	count := 0
	highest := uint64(0)
	for _, v := range s.vms[:voters] {
		if s.up(v) {
			highest = max(highest, v.node.Voter().Machine().Index())
		}
	}
	for _, v := range s.vms[:voters] {
		if s.up(v) && v.node.Voter().Machine().Index() == highest {
			count++
		}
	}
	return count
}

func (s *simulation) heal() {
	s.lossRate = 0
	clear(s.blocked)
	for _, v := range s.vms {
		v.frozenUntil = 0
		if v.node == nil {
			s.boot(v)
		}
	}
}

func expectProgress(s *simulation, before uint64) {
	GinkgoHelper()
	Expect(s.operators.accepted).To(BeNumerically(">", before), "changes are accepted again")
	Expect(s.calls.ran).To(BeNumerically(">", 0))
}

// expectAgreement stops the load, waits until open requests have ended and compares all VMs.
func expectAgreement(s *simulation) {
	GinkgoHelper()
	s.operators.paused, s.calls.paused = true, true
	s.run(20*time.Second, nil)
	for _, v := range s.vms {
		Expect(v.node.Version()).To(Equal(s.inForce()), "%s has the version in force", v.name)
		Expect(v.node.Leased(s.clock(v))).To(BeTrue(), "%s has a lease", v.name)
		for _, b := range v.calls {
			Expect(b.core.Done()).To(BeTrue(), "the booking of key %s at %s has ended", b.key, v.name)
		}
	}
	Expect(s.inForce()).To(BeNumerically(">=", s.operators.accepted))
	for version, id := range s.operators.winners {
		for _, entry := range s.vms[0].node.Voter().Machine().Configuration().History() {
			if entry.Number == version {
				Expect(entry.Command).To(Equal(id), "the accepted version %d is in the history", version)
			}
		}
	}
	expectEqualSnapshots(s)
	expectNoStaleClaims(s)
}

// expectNoStaleClaims guards against a key that stays "running" for ever after its VM has crashed.
func expectNoStaleClaims(s *simulation) {
	GinkgoHelper()
	for _, owner := range s.vms[0].node.Voter().Machine().Ledger().Owners() {
		incarnation := s.find(owner.VM).node.Incarnation()
		Expect(incarnation.Boot).To(Equal(owner.Boot), "%s has open claims of an earlier incarnation", owner.VM)
	}
}

func expectEqualSnapshots(s *simulation) {
	GinkgoHelper()
	first := s.vms[0].node.Voter().Machine()
	for _, v := range s.vms[1:voters] {
		Expect(v.node.Voter().Machine().Index()).To(Equal(first.Index()))
		Expect(v.node.Voter().Machine().Snapshot()).To(Equal(first.Snapshot()), "%s has the same state", v.name)
	}
}
