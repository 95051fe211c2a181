package quorum_test

import (
	"fmt"
	"os"
	"slices"
	"strconv"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/chicoryrelay/chicoryrelay/coord/quorum"
)

const (
	faultDuration = 90 * time.Second
	// recoveryDuration covers the silence before a repair, its three membership changes and two elections.
	recoveryDuration = 45 * time.Second
)

// seeds returns 1..25, 1..CHICORY_SEEDS or CHICORY_SEED alone.
func seeds() []uint64 {
	if one, err := strconv.ParseUint(os.Getenv("CHICORY_SEED"), 10, 64); err == nil {
		return []uint64{one}
	}
	count, err := strconv.ParseUint(os.Getenv("CHICORY_SEEDS"), 10, 64)
	if err != nil {
		count = 25
	}
	var list []uint64
	for seed := uint64(1); seed <= count; seed++ {
		list = append(list, seed)
	}
	return list
}

var _ = Describe("group under random faults", func() {
	for _, seed := range seeds() {
		It(fmt.Sprintf("keeps every committed entry and makes progress after the faults, seed %d", seed), func() {
			runWithFaults(seed).expectRecovery()
		})
	}

	It("runs identically for the same seed, so that a failing seed can be reproduced", func() {
		first, second := runWithFaults(3), runWithFaults(3)
		Expect(second.stateSums).To(Equal(first.stateSums))
		Expect(second.sentByKind).To(Equal(first.sentByKind))
	})
})

// toleratesLossOf reports whether every membership in effect on some VM keeps a quorum of its disks without the given identity,
// before and after a repair in progress. The algorithm does not cover the loss of more disks.
func (sim *simulation) toleratesLossOf(id quorum.Identity) bool {
	for _, vm := range sim.vms {
		voters, names, wiped := 0, map[string]bool{}, 0
		for _, m := range vm.core.Members() {
			gone := m.Identity == id || slices.Contains(sim.wiped, m.Identity)
			if !m.Learner {
				voters++
				wiped += map[bool]int{true: 1}[gone]
			}
			names[m.Name] = names[m.Name] || gone
		}
		wipedNames := 0
		for _, gone := range names {
			wipedNames += map[bool]int{true: 1}[gone]
		}
		if wiped > max(0, voters-1)/2 || wipedNames > max(0, len(names)-1)/2 {
			return false
		}
	}
	return true
}

func (sim *simulation) injectFault() {
	vm, other := sim.vms[sim.random.IntN(5)], sim.vms[sim.random.IntN(5)]
	switch sim.random.IntN(16) {
	case 0:
		sim.partitioned[[2]string{vm.name, other.name}] = true
	case 1:
		sim.partitioned[[2]string{vm.name, other.name}], sim.partitioned[[2]string{other.name, vm.name}] = true, true
	case 2:
		for _, name := range sim.names {
			sim.partitioned[[2]string{vm.name, name}], sim.partitioned[[2]string{name, vm.name}] = true, true
		}
	case 3, 4:
		clear(sim.partitioned)
		sim.lossRate = 0.2 * sim.random.Float64() * float64(sim.random.IntN(2))
	case 5:
		vm.frozenUntil = sim.now + time.Duration(sim.random.Int64N(int64(5*time.Second)))
	case 6:
		if vm.up {
			sim.kill(vm)
		}
	case 7:
		vm.crashOnSync = true
	case 8, 9, 10:
		for _, down := range sim.vms {
			if !down.up {
				sim.boot(down)
			}
		}
	case 11:
		if sim.random.IntN(2) == 0 && sim.toleratesLossOf(vm.id) {
			sim.kill(vm)
			vm.disk.Wipe()
			sim.wiped = append(sim.wiped, vm.id)
		}
	case 12, 13:
		sim.restartRandomVMs()
	default:
		sim.forEachLeader(sim.operatorAction)
	}
	for range sim.random.IntN(12) {
		sim.at(sim.now+time.Duration(sim.random.Int64N(int64(time.Second))), func() { sim.forEachLeader(sim.propose) })
	}
}

func runWithFaults(seed uint64) *simulation {
	// Every third seed admits VMs of new names, with a target of five or three voters.
	targetVoters := []int{0, 0, 5, 0, 0, 3}[seed%6]
	sim := newSimulation(seed, 3+2*int(seed%2), targetVoters)
	sim.unstable = seed%3 == 0
	for sim.now < faultDuration {
		sim.injectFault()
		sim.run(sim.now + time.Duration(sim.random.Int64N(int64(2*time.Second)>>sim.random.IntN(6))))
	}
	return sim
}

// restartRandomVMs restarts a random selection of the VMs at once.
func (sim *simulation) restartRandomVMs() {
	for _, vm := range sim.vms {
		if sim.random.IntN(2) == 0 {
			sim.restart(vm)
		}
	}
}

// forEachLeader calls do for each VM that considers itself the leader.
func (sim *simulation) forEachLeader(do func(*simulatedVM, time.Duration) (quorum.Effects, error)) {
	for _, vm := range sim.vms {
		if vm.up && sim.now >= vm.frozenUntil && vm.core.Role() == quorum.Leader {
			effects, _ := do(vm, vm.localTime(sim.now))
			sim.handleEffects(vm, effects)
		}
	}
}

func (sim *simulation) propose(vm *simulatedVM, now time.Duration) (quorum.Effects, error) {
	sim.proposals++
	return vm.core.Propose(now, fmt.Append(nil, "proposal ", sim.proposals))
}

// operatorAction changes the membership or transfers the leadership.
func (sim *simulation) operatorAction(vm *simulatedVM, now time.Duration) (quorum.Effects, error) {
	target := sim.vms[sim.random.IntN(5)]
	switch sim.random.IntN(3) {
	case 0:
		return vm.core.TransferLeadership(now), nil
	case 1:
		return vm.core.AddMember(now, target.id, true)
	}
	if len(vm.core.Members()) > 3 && !slices.ContainsFunc(vm.core.Members(), func(m quorum.Member) bool { return slices.Contains(sim.wiped, m.Identity) }) {
		return vm.core.RemoveMember(now, target.id)
	}
	return quorum.Effects{}, nil
}

// expectRecovery ends all faults and expects that after recoveryDuration all members apply a new proposal and no lost
// incarnation is left among them.
func (sim *simulation) expectRecovery() {
	clear(sim.partitioned)
	sim.lossRate = 0
	unstable := sim.unstable
	sim.unstable = false
	for _, vm := range sim.vms {
		vm.frozenUntil, vm.crashOnSync = 0, false
		if !vm.up || unstable {
			sim.restart(vm)
		}
	}
	sim.run(sim.now + recoveryDuration)
	before := sim.highestApplied
	sim.forEachLeader(sim.propose)
	sim.run(sim.now + 5*time.Second)
	var members []quorum.Member
	for _, vm := range sim.vms {
		if vm.core.Role() == quorum.Leader {
			members = vm.core.Members()
		}
	}
	if len(members) < 3 || sim.highestApplied <= before {
		Fail(fmt.Sprintf("no progress after the faults: members %v, highest entry %d", members, sim.highestApplied))
	}
	// Only a group that has its target number of voters keeps learners.
	voters, _ := votersAndLearners(members)
	full := sim.voters > 0 && len(voters) >= sim.voters
	for _, m := range members {
		vm := sim.vms[slices.Index(sim.names, m.Name)]
		if vm.id != m.Identity || m.Learner && !full || vm.stateMachine.index != sim.highestApplied {
			Fail(fmt.Sprintf("member %v is at entry %d of %d as %s", m, vm.stateMachine.index, sim.highestApplied, vm.id))
		}
	}
}
