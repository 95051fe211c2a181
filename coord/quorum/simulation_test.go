package quorum_test

import (
	"bytes"
	"container/heap"
	"encoding/binary"
	"errors"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"

	"github.com/chicoryrelay/chicoryrelay/coord/journal"
	"github.com/chicoryrelay/chicoryrelay/coord/quorum"
	"github.com/chicoryrelay/chicoryrelay/coord/wire"
)

type event struct {
	at  time.Duration
	seq int
	run func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].seq < e[j].seq
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// stateMachine is a hash over all applied entries.
type stateMachine struct{ index, sum uint64 }

func (m *stateMachine) apply(e quorum.Entry) {
	hash := fnv.New64a()
	_, _ = fmt.Fprint(hash, m.sum, e.Index, e.Term, e.Kind, e.Note, e.Members, string(e.Data))
	*m = stateMachine{e.Index, hash.Sum64()}
}

func (m stateMachine) bytes() []byte {
	return binary.BigEndian.AppendUint64(binary.BigEndian.AppendUint64(bytes.Repeat([]byte{7}, 100), m.index), m.sum)
}

type simulatedVM struct {
	name            string
	disk            *journal.Volume
	id              quorum.Identity
	core            *quorum.Core
	journal         *journal.Journal
	stateMachine    stateMachine
	up              bool
	bootedAt        time.Duration
	frozenUntil     time.Duration
	clockRate       float64
	timerGeneration int
	crashOnSync     bool
}

type simulation struct {
	random *rand.Rand
	now    time.Duration
	seq    int
	events events
	vms    []*simulatedVM
	names  []string
	// partitioned contains the links that drop all messages, as the names of sender and receiver.
	partitioned map[[2]string]bool
	lossRate    float64
	// wiped contains the identities that lost their disk.
	wiped        []quorum.Identity
	leaderByTerm map[uint64]quorum.Identity
	// stateSums maps a log index to the sum of the state machine at that index.
	stateSums      map[uint64]uint64
	highestApplied uint64
	proposals      int
	sentByKind     map[quorum.MessageKind]int
	// unstable makes the group elect often, restart VMs right after votes and delay many messages.
	unstable bool
	// identicalTimers gives all VMs equal clocks and the same random delays.
	identicalTimers bool
	// voters is the number of voters that the group grows to; 0 admits no new names.
	voters  int
	onApply func(*simulatedVM, quorum.Entry)
}

// newSimulation starts five VMs, of which the first ones found the group.
func newSimulation(seed uint64, founders int, voters ...int) *simulation {
	sim := &simulation{
		random: rand.New(rand.NewPCG(seed, 0)), partitioned: map[[2]string]bool{}, sentByKind: map[quorum.MessageKind]int{},
		leaderByTerm: map[uint64]quorum.Identity{}, stateSums: map[uint64]uint64{}, onApply: func(*simulatedVM, quorum.Entry) {},
	}
	if len(voters) > 0 {
		sim.voters = voters[0]
	}
	sim.names = []string{"a", "b", "c", "d", "e"}
	for i, name := range sim.names {
		vm := &simulatedVM{name: name, disk: journal.NewVolume(), clockRate: 0.9 + 0.2*sim.random.Float64()}
		sim.vms = append(sim.vms, vm)
		if i < founders {
			sim.failOnError(journal.Bootstrap(vm.disk.Disk, "g", name, sim.names[:founders]))
		}
		sim.boot(vm)
	}
	return sim
}

func (sim *simulation) failOnError(err error) {
	if err != nil {
		Fail(fmt.Sprintf("at %v: %v", sim.now, err))
	}
}

func (sim *simulation) at(at time.Duration, run func()) {
	sim.seq++
	heap.Push(&sim.events, event{max(at, sim.now), sim.seq, run})
}

func (sim *simulation) run(until time.Duration) {
	for len(sim.events) > 0 && sim.events[0].at <= until {
		next := heap.Pop(&sim.events).(event)
		sim.now = next.at
		next.run()
	}
	sim.now = until
}

func (vm *simulatedVM) localTime(now time.Duration) time.Duration {
	return time.Duration(float64(now-vm.bootedAt) * vm.clockRate)
}

// boot starts a VM on a disk whose Sync fails once crashOnSync is set.
func (sim *simulation) boot(vm *simulatedVM) {
	disk := vm.disk.Disk
	disk.Sync = func(name string) error {
		if vm.crashOnSync {
			return errors.New("crash before sync")
		}
		return vm.disk.Sync(name)
	}
	vm.crashOnSync = false
	j, stored, err := journal.Open(disk, journal.WithCluster("g"), journal.WithName(vm.name),
		journal.WithRandom(sim.random.Uint64), journal.WithSegmentSize(2000))
	sim.failOnError(err)
	vm.journal, vm.id, vm.up, vm.bootedAt = j, stored.Identity, true, sim.now
	randomSeed := sim.random.Uint64()
	if sim.identicalTimers {
		randomSeed, vm.clockRate = 1, 1
	}
	heartbeat, election := 300*time.Millisecond, 1500*time.Millisecond
	if sim.unstable && sim.now < faultDuration {
		heartbeat, election = 30*time.Millisecond, 60*time.Millisecond
	}
	vm.core = quorum.New(quorum.WithTimeouts(heartbeat, election), quorum.WithIdentity(stored.Identity), quorum.WithCluster("g"), quorum.WithState(stored.State),
		quorum.WithPeers(sim.names), quorum.WithRandom(rand.New(rand.NewPCG(randomSeed, 0))),
		quorum.WithRepairAfter(5*time.Second), quorum.WithCompaction(30, 5), quorum.WithReplicationLimits(300, 3), quorum.WithSnapshotLimits(50, 1<<20), quorum.WithTargetVoters(sim.voters))
	vm.stateMachine = stateMachine{index: stored.State.Snapshot.Index}
	sim.restore(vm, stored.State.Snapshot)
	sim.scheduleTick(vm)
}

func (sim *simulation) restore(vm *simulatedVM, s quorum.Snapshot) {
	if s.Index < vm.stateMachine.index {
		Fail(fmt.Sprintf("%s would return from entry %d to the snapshot at entry %d", vm.id, vm.stateMachine.index, s.Index))
	}
	vm.stateMachine = stateMachine{index: s.Index}
	if size := len(s.Data); size > 0 {
		vm.stateMachine.sum = binary.BigEndian.Uint64(s.Data[size-8:])
		sim.checkState(vm)
	}
}

// checkState fails if another VM had a different state at the same index.
func (sim *simulation) checkState(vm *simulatedVM) {
	if sum, ok := sim.stateSums[vm.stateMachine.index]; ok && sum != vm.stateMachine.sum {
		Fail(fmt.Sprintf("at %v %s applied a different sequence of entries up to %d", sim.now, vm.id, vm.stateMachine.index))
	}
	sim.stateSums[vm.stateMachine.index] = vm.stateMachine.sum
	sim.highestApplied = max(sim.highestApplied, vm.stateMachine.index)
}

func (sim *simulation) kill(vm *simulatedVM) {
	vm.up = false
	vm.timerGeneration++
	vm.disk.Crash(sim.random)
}

func (sim *simulation) restart(vm *simulatedVM) {
	if vm.up {
		sim.kill(vm)
	}
	sim.boot(vm)
}

func (sim *simulation) scheduleTick(vm *simulatedVM) {
	vm.timerGeneration++
	timerGeneration, deadline := vm.timerGeneration, vm.core.NextDeadline(vm.localTime(sim.now))
	sim.at(vm.bootedAt+time.Duration(float64(deadline)/vm.clockRate)+time.Microsecond, func() { sim.tick(vm, timerGeneration) })
}

func (sim *simulation) tick(vm *simulatedVM, timerGeneration int) {
	if timerGeneration != vm.timerGeneration {
		return
	}
	if sim.now < vm.frozenUntil {
		sim.at(vm.frozenUntil, func() { sim.tick(vm, timerGeneration) })
		return
	}
	sim.handleEffects(vm, vm.core.Tick(vm.localTime(sim.now)))
}

// handleEffects acts as the host: it saves, restores, applies, sends and compacts, in this order.
func (sim *simulation) handleEffects(vm *simulatedVM, effects quorum.Effects) {
	if vm.journal.Save(effects.Save) != nil {
		sim.kill(vm)
		return
	}
	if effects.Restore != nil {
		sim.restore(vm, *effects.Restore)
	}
	for _, entry := range effects.Committed {
		vm.stateMachine.apply(entry)
		sim.onApply(vm, entry)
		sim.checkState(vm)
	}
	if vm.core.Role() == quorum.Leader {
		if other, ok := sim.leaderByTerm[vm.core.Term()]; ok && other != vm.id {
			Fail(fmt.Sprintf("term %d has the leaders %s and %s", vm.core.Term(), other, vm.id))
		}
		sim.leaderByTerm[vm.core.Term()] = vm.id
	}
	for _, m := range effects.Send {
		sim.send(vm, m)
	}
	if effects.SnapshotDue {
		sim.handleEffects(vm, vm.core.Compact(vm.stateMachine.index, vm.stateMachine.bytes()))
		return
	}
	sim.scheduleTick(vm)
}

func (sim *simulation) send(from *simulatedVM, m quorum.Message) {
	data := wire.EncodeMessage(m)
	sim.sentByKind[m.Kind]++
	if sim.unstable && m.Kind == quorum.VoteReply && sim.random.IntN(4) == 0 {
		sim.at(sim.now, func() { sim.restart(from) })
	}
	for copies := 1 + sim.random.IntN(20)/19; copies > 0; copies-- {
		delay := time.Duration(1+sim.random.IntN(20)) * time.Millisecond
		if sim.random.IntN(50) == 0 || sim.unstable && sim.random.IntN(5) == 0 {
			delay *= time.Duration(1 + sim.random.IntN(100))
		}
		if sim.random.Float64() >= sim.lossRate {
			sim.at(sim.now+delay, func() { sim.deliver(from, m.To.Name, data) })
		}
	}
}

func (sim *simulation) deliver(from *simulatedVM, to string, data []byte) {
	vm := sim.vms[slices.Index(sim.names, to)]
	if sim.partitioned[[2]string{from.name, to}] || !vm.up {
		return
	}
	if sim.now < vm.frozenUntil {
		sim.at(vm.frozenUntil, func() { sim.deliver(from, to, data) })
		return
	}
	m, err := wire.DecodeMessage(data)
	sim.failOnError(err)
	sim.handleEffects(vm, vm.core.Step(vm.localTime(sim.now), m))
}
