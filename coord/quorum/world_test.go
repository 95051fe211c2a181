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

// machine is the state machine: a hash over all entries applied.
type machine struct{ index, sum uint64 }

func (m *machine) apply(e quorum.Entry) {
	hash := fnv.New64a()
	_, _ = fmt.Fprint(hash, m.sum, e.Index, e.Term, e.Kind, e.Note, e.Members, string(e.Data))
	*m = machine{e.Index, hash.Sum64()}
}

func (m machine) bytes() []byte {
	return binary.BigEndian.AppendUint64(binary.BigEndian.AppendUint64(bytes.Repeat([]byte{7}, 100), m.index), m.sum)
}

type node struct {
	name    string
	disk    *journal.Volume
	id      quorum.Identity
	core    *quorum.Core
	journal *journal.Journal
	machine machine
	up      bool
	booted  time.Duration
	thaw    time.Duration
	rate    float64
	timer   int
	crash   bool
}

type world struct {
	random  *rand.Rand
	now     time.Duration
	seq     int
	events  events
	nodes   []*node
	names   []string
	cut     map[[2]string]bool
	loss    float64
	lost    []quorum.Identity
	leaders map[uint64]quorum.Identity
	truth   map[uint64]uint64
	highest uint64
	sent    int
	sends   map[quorum.MessageKind]int
	// restless groups elect often, restart right after votes, and get many late messages.
	restless bool
	// alike nodes have equal clocks and draw the same waits.
	alike bool
	// voters is the number of voters that the group grows to; 0 admits no new names.
	voters  int
	observe func(*node, quorum.Entry)
}

// newWorld starts five VMs, of which the first ones found the group.
func newWorld(seed uint64, founding int, voters ...int) *world {
	w := &world{
		random: rand.New(rand.NewPCG(seed, 0)), cut: map[[2]string]bool{}, sends: map[quorum.MessageKind]int{},
		leaders: map[uint64]quorum.Identity{}, truth: map[uint64]uint64{}, observe: func(*node, quorum.Entry) {},
	}
	if len(voters) > 0 {
		w.voters = voters[0]
	}
	w.names = []string{"a", "b", "c", "d", "e"}
	for i, name := range w.names {
		n := &node{name: name, disk: journal.Memory(), rate: 0.9 + 0.2*w.random.Float64()}
		w.nodes = append(w.nodes, n)
		if i < founding {
			w.check(journal.Found(n.disk.Disk, "g", name, w.names[:founding]))
		}
		w.boot(n)
	}
	return w
}

func (w *world) check(err error) {
	if err != nil {
		Fail(fmt.Sprintf("at %v: %v", w.now, err))
	}
}

func (w *world) at(at time.Duration, run func()) {
	w.seq++
	heap.Push(&w.events, event{max(at, w.now), w.seq, run})
}

func (w *world) run(until time.Duration) {
	for len(w.events) > 0 && w.events[0].at <= until {
		next := heap.Pop(&w.events).(event)
		w.now = next.at
		next.run()
	}
	w.now = until
}

func (n *node) local(now time.Duration) time.Duration {
	return time.Duration(float64(now-n.booted) * n.rate)
}

// boot opens the journal with a disk whose Sync fails when a crash is due.
func (w *world) boot(n *node) {
	disk := n.disk.Disk
	disk.Sync = func(name string) error {
		if n.crash {
			return errors.New("crash before sync")
		}
		return n.disk.Sync(name)
	}
	n.crash = false
	j, stored, err := journal.Open(disk, journal.WithCluster("g"), journal.WithName(n.name),
		journal.WithRandom(w.random.Uint64), journal.WithSegmentSize(2000))
	w.check(err)
	n.journal, n.id, n.up, n.booted = j, stored.Identity, true, w.now
	draws := w.random.Uint64()
	if w.alike {
		draws, n.rate = 1, 1
	}
	heartbeat, election := 300*time.Millisecond, 1500*time.Millisecond
	if w.restless && w.now < faultTime {
		heartbeat, election = 30*time.Millisecond, 60*time.Millisecond
	}
	n.core = quorum.New(quorum.WithTimeouts(heartbeat, election), quorum.WithIdentity(stored.Identity), quorum.WithCluster("g"), quorum.WithState(stored.State),
		quorum.WithPeers(w.names), quorum.WithRandom(rand.New(rand.NewPCG(draws, 0))),
		quorum.WithRepairAfter(5*time.Second), quorum.WithCompaction(30, 5), quorum.WithFlow(300, 3), quorum.WithSnapshots(50, 1<<20), quorum.WithVoters(w.voters))
	n.machine = machine{index: stored.State.Snapshot.Index}
	w.restore(n, stored.State.Snapshot)
	w.arm(n)
}

func (w *world) restore(n *node, s quorum.Snapshot) {
	if s.Index < n.machine.index {
		Fail(fmt.Sprintf("%s would go back from %d to the snapshot at %d", n.id, n.machine.index, s.Index))
	}
	n.machine = machine{index: s.Index}
	if size := len(s.Data); size > 0 {
		n.machine.sum = binary.BigEndian.Uint64(s.Data[size-8:])
		w.compare(n)
	}
}

// compare fails if another node had another state at the same index.
func (w *world) compare(n *node) {
	if sum, ok := w.truth[n.machine.index]; ok && sum != n.machine.sum {
		Fail(fmt.Sprintf("at %v %s applied another sequence up to %d", w.now, n.id, n.machine.index))
	}
	w.truth[n.machine.index] = n.machine.sum
	w.highest = max(w.highest, n.machine.index)
}

func (w *world) kill(n *node) {
	n.up = false
	n.timer++
	n.disk.Crash(w.random)
}

func (w *world) restart(n *node) {
	if n.up {
		w.kill(n)
	}
	w.boot(n)
}

func (w *world) arm(n *node) {
	n.timer++
	timer, deadline := n.timer, n.core.NextDeadline(n.local(w.now))
	w.at(n.booted+time.Duration(float64(deadline)/n.rate)+time.Microsecond, func() { w.tick(n, timer) })
}

func (w *world) tick(n *node, timer int) {
	if timer != n.timer {
		return
	}
	if w.now < n.thaw {
		w.at(n.thaw, func() { w.tick(n, timer) })
		return
	}
	w.perform(n, n.core.Tick(n.local(w.now)))
}

// perform is the host: it saves, restores, applies, sends and compacts, in this order.
func (w *world) perform(n *node, effects quorum.Effects) {
	if n.journal.Save(effects.Save) != nil {
		w.kill(n)
		return
	}
	if effects.Restore != nil {
		w.restore(n, *effects.Restore)
	}
	for _, entry := range effects.Commit {
		n.machine.apply(entry)
		w.observe(n, entry)
		w.compare(n)
	}
	if n.core.Role() == quorum.Leader {
		if other, ok := w.leaders[n.core.Term()]; ok && other != n.id {
			Fail(fmt.Sprintf("term %d has the leaders %s and %s", n.core.Term(), other, n.id))
		}
		w.leaders[n.core.Term()] = n.id
	}
	for _, m := range effects.Send {
		w.send(n, m)
	}
	if effects.Compact {
		w.perform(n, n.core.Compact(n.machine.index, n.machine.bytes()))
		return
	}
	w.arm(n)
}

func (w *world) send(from *node, m quorum.Message) {
	data := wire.EncodeMessage(m)
	w.sends[m.Kind]++
	if w.restless && m.Kind == quorum.VoteReply && w.random.IntN(4) == 0 {
		w.at(w.now, func() { w.restart(from) })
	}
	for copies := 1 + w.random.IntN(20)/19; copies > 0; copies-- {
		delay := time.Duration(1+w.random.IntN(20)) * time.Millisecond
		if w.random.IntN(50) == 0 || w.restless && w.random.IntN(5) == 0 {
			delay *= time.Duration(1 + w.random.IntN(100))
		}
		if w.random.Float64() >= w.loss {
			w.at(w.now+delay, func() { w.deliver(from, m.To.Name, data) })
		}
	}
}

func (w *world) deliver(from *node, to string, data []byte) {
	n := w.nodes[slices.Index(w.names, to)]
	if w.cut[[2]string{from.name, to}] || !n.up {
		return
	}
	if w.now < n.thaw {
		w.at(n.thaw, func() { w.deliver(from, to, data) })
		return
	}
	m, err := wire.DecodeMessage(data)
	w.check(err)
	w.perform(n, n.core.Step(n.local(w.now), m))
}
