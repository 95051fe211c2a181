package control_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/chicoryrelay/chicoryrelay/coord/configuration"
	"github.com/chicoryrelay/chicoryrelay/coord/registry"
	"github.com/chicoryrelay/chicoryrelay/relay/catalogue"
	"github.com/chicoryrelay/chicoryrelay/relay/control"
)

// firstNamingID separates the submission IDs of weights from those of other changes.
const firstNamingID = 1 << 40

// namer names weights versions of one model at random VMs.
type namer struct {
	simulation *simulation
	random     *rand.Rand
	// submittedAt and acknowledgedAt have the times of the versions 1 to their length; 0 means not acknowledged.
	submittedAt, acknowledgedAt []time.Duration
	checked                     int
	paused                      bool
}

func (n *namer) tick() {
	if n == nil || n.paused || n.random.IntN(300) > 0 {
		return
	}
	s := n.simulation
	v := s.vms[n.random.IntN(vms)]
	if !s.up(v) || v.node.Version() == 0 {
		return
	}
	n.submittedAt, n.acknowledgedAt = append(n.submittedAt, s.now), append(n.acknowledgedAt, 0)
	version := uint64(len(n.submittedAt))
	command := configuration.PutNumbered(fmt.Sprintf("w%d", version), "operator", catalogue.KindWeights, "m", version, nil)
	s.handleInput(v, func() (control.Effects, error) {
		return v.node.Submit(s.clockReading(v), firstNamingID+version, registry.ChangeEntry(time.Time{}, command))
	})
}

func (n *namer) handleResult(result control.CommandResult) {
	version := result.ID - firstNamingID
	if result.Result.Change.Status == configuration.Accepted && n.acknowledgedAt[version-1] == 0 {
		n.acknowledgedAt[version-1] = n.simulation.now
	}
}

// namings returns the namings that a VM has installed, and its estimate of the replicated log's time.
func (n *namer) namings(v *vm) ([]catalogue.Naming, time.Time) {
	value, _ := v.node.Objects().Get(catalogue.KindWeights, "m")
	return catalogue.DecodeWeights(value).Namings, v.node.RegistryTime(n.simulation.clock(v))
}

// check expects that a VM with a lease knows for each older version that newer weights were acknowledged, and no later than they were.
func (n *namer) check(v *vm) {
	if n == nil || !v.node.Leased(n.simulation.clock(v)) || n.random.IntN(5) > 0 {
		return
	}
	s := n.simulation
	namings, registryTime := n.namings(v)
	acknowledgedAt := time.Duration(0)
	for older := len(n.acknowledgedAt) - 1; older >= max(0, len(n.acknowledgedAt)-10); older-- {
		if at := n.acknowledgedAt[older]; at > 0 && (acknowledgedAt == 0 || at < acknowledgedAt) {
			acknowledgedAt = at
		}
		if acknowledgedAt == 0 {
			continue
		}
		next := slices.IndexFunc(namings, func(naming catalogue.Naming) bool { return naming.Version > uint64(older) })
		Expect(next).To(BeNumerically(">=", 0), "%s knows no version above %d", v.name, older)
		// A clock that is 1% slow loses this much in a lease.
		Expect(registryTime.Sub(namings[next].At)).To(BeNumerically(">=", s.now-acknowledgedAt-100*time.Millisecond), "%s at %s: weights above version %d", v.name, s.now, older)
		n.checked++
	}
}

var _ = Describe("the age of named weights", func() {
	for _, seed := range seeds() {
		// Guards against VMs that start, thaw or are connected again and take weights that others have known for long for new ones, also
		// from a control VM that was restarted, has lost its disk or has just caught up.
		It(fmt.Sprintf("is known to each VM with a lease, whatever it has missed, seed %d", seed), func() {
			s := newSimulation(seed)
			s.namer = &namer{simulation: s, random: rand.New(rand.NewPCG(seed, 8))}
			s.run(10*time.Second, nil)
			s.lossRate = 0.05
			s.run(60*time.Second, s.injectFault)
			s.heal()
			s.run(15*time.Second, nil)
			s.namer.paused = true
			s.run(10*time.Second, nil)
			Expect(s.namer.checked).To(BeNumerically(">", 1000))
			// In calm, the age is no greater than the time since the operator's call either.
			for _, v := range s.vms {
				namings, registryTime := s.namer.namings(v)
				newest := namings[len(namings)-1]
				Expect(newest.Version).To(BeEquivalentTo(len(s.namer.submittedAt)))
				Expect(registryTime.Sub(newest.At)).To(BeNumerically("<=", s.now-s.namer.submittedAt[newest.Version-1]+200*time.Millisecond))
			}
		})
	}
})
