package control_test

import (
	"fmt"
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/chicoryrelay/chicoryrelay/coord/journal/journaltest"
)

// diskTurns takes the room of the control VMs' disks one after another, never of two at once, and restarts the processes that end.
type diskTurns struct {
	simulation *simulation
	random     *rand.Rand
	// full is the VM whose disk has no room, nil if all have.
	full *vm
	// changeAt is when the disk has room again, or when the next one has none.
	changeAt time.Duration
	turns    int
}

func (d *diskTurns) inject() {
	s := d.simulation
	for _, v := range s.vms[:voters] {
		if v.node == nil && s.now >= v.restartAt {
			s.boot(v)
		}
	}
	if s.now < d.changeAt {
		return
	}
	if d.full != nil {
		d.setRoom()
		// The next disk may be without room as soon as this one has some.
		d.changeAt = s.now + time.Duration(d.random.IntN(3))*time.Duration(d.random.Int64N(int64(3*time.Second)))
		return
	}
	d.turns++
	d.full = d.choose()
	d.full.noRoom = true
	d.full.disk.SetFault([]journaltest.Fault{journaltest.Full, journaltest.ShortWrites, journaltest.FailedSyncs}[d.random.IntN(3)])
	d.changeAt = s.now + time.Second + time.Duration(d.random.Int64N(int64(6*time.Second)))
}

// choose returns the leader in half of the cases.
func (d *diskTurns) choose() *vm {
	if leader := d.simulation.leading(); leader != nil && d.random.IntN(2) == 0 {
		return leader
	}
	return d.simulation.vms[d.random.IntN(voters)]
}

func (d *diskTurns) setRoom() {
	if d.full != nil {
		d.full.noRoom = false
		d.full.disk.SetFault(journaltest.NoFault)
		d.full = nil
	}
}

// Guards against control VMs that, once all disks have room again after some had none one after another, accept no change any more, have
// lost one that was accepted, or do not agree.
var _ = Describe("nodes whose disks have no room one after another", func() {
	for _, seed := range seedsOr(5) {
		It(fmt.Sprintf("accept changes again and agree on those accepted, seed %d", seed), func() {
			s := newSimulation(seed)
			d := &diskTurns{simulation: s, random: rand.New(rand.NewPCG(seed, 9))}
			s.run(15*time.Second, nil)
			s.run(60*time.Second, d.inject)
			d.setRoom()
			d.changeAt = s.now + time.Hour
			Expect(d.turns).To(BeNumerically(">=", 6), "two rounds of three disks")
			before := s.operators.accepted
			s.run(15*time.Second, d.inject)
			expectProgress(s, before)
			expectAgreement(s)
		})
	}
})
