package control_test

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"syscall"
	"time"

	. "github.com/onsi/gomega"
	"google.golang.org/protobuf/proto"

	"github.com/chicoryrelay/chicoryrelay/coord/configuration"
	"github.com/chicoryrelay/chicoryrelay/coord/journal"
	"github.com/chicoryrelay/chicoryrelay/coord/journal/journaltest"
	"github.com/chicoryrelay/chicoryrelay/coord/lease"
	"github.com/chicoryrelay/chicoryrelay/relay/control"
	"github.com/chicoryrelay/chicoryrelay/relay/peer"
)

const (
	// step is the virtual time between two rounds.
	step = 10 * time.Millisecond
	// voters is the number of VMs that are control VMs.
	voters = 3
	vms    = 6
	// restartDelay is the time after which a process that has ended by itself starts again.
	restartDelay = 300 * time.Millisecond
)

// vm is a simulated VM; volume and saved survive its restarts.
type vm struct {
	name      string
	clockRate float64
	volume    *journal.Volume
	// disk is the volume, which may be without room; its fault is noRoom.
	disk   *journaltest.FaultyDisk
	noRoom bool
	// restartAt is when the process starts again after it has ended by itself.
	restartAt   time.Duration
	saved       []byte
	node        *control.Node
	bootedAt    time.Duration
	bootNumber  uint64
	frozenUntil time.Duration
	tickedAt    time.Duration
	// installedVersion is the highest version that the VM has installed; without a data folder it is reset by a restart.
	installedVersion uint64
	calls            []*call
}

type packet struct {
	at       time.Duration
	sequence int
	from, to string
	body     []byte
}

// simulation runs VMs on one virtual clock and a network that loses, duplicates, delays and blocks messages.
type simulation struct {
	random     *rand.Rand
	now        time.Duration
	vms        []*vm
	network    []packet
	sent       int
	lossRate   float64
	blocked    map[[2]string]bool
	wipedDisks int
	operators  *operators
	calls      *callers
	// namer is nil in runs without weights.
	namer *namer
	// walls is nil in runs without isolated accounts.
	walls *walls
	// retries returns the retries that a VM tells its leader; nil if no VM does.
	retries func(name string) int
}

func newSimulation(seed uint64) *simulation {
	s := &simulation{random: rand.New(rand.NewPCG(seed, 7)), blocked: map[[2]string]bool{}}
	s.operators = &operators{simulation: s, outcomes: map[string]configuration.Outcome{}, winners: map[uint64]string{}}
	s.calls = &callers{simulation: s, runs: map[string]int{}, lastNotRun: map[string]uint64{}, ranBy: map[string]uint64{}}
	for i := range vms {
		v := &vm{name: fmt.Sprintf("vm%d", i), clockRate: 0.99 + 0.02*s.random.Float64()}
		if i < voters {
			v.volume = journal.NewVolume()
			v.disk = journaltest.NewFaultyDisk(v.volume.Disk)
			Expect(control.Bootstrap(v.volume.Disk, v.name, s.names(voters))).To(Succeed())
		}
		s.vms = append(s.vms, v)
	}
	for _, v := range s.vms {
		s.boot(v)
	}
	return s
}

func (s *simulation) names(n int) []string {
	var list []string
	for i := range n {
		list = append(list, fmt.Sprintf("vm%d", i))
	}
	return list
}

func (s *simulation) boot(v *vm) { s.bootWith(v) }

// bootWith starts a VM with further options.
func (s *simulation) bootWith(v *vm, further ...control.Option) {
	v.bootNumber++
	v.bootedAt, v.frozenUntil, v.tickedAt = s.now, 0, 0
	installed := configuration.NewHolder()
	options := []control.Option{control.WithControls(s.names(voters)), control.WithNeighbours(s.names(vms)), control.WithTiming(lease.DefaultTiming)}
	if s.retries != nil {
		options = append(options, control.WithVMInfo("a", v.volume == nil), control.WithRetries(func() int { return s.retries(v.name) }))
	}
	if v.volume != nil {
		voter, _, err := control.Open(control.OpenOptions{
			Name: v.name, Controls: s.names(voters), Disk: v.disk.Disk, Random: s.random.Uint64,
			ElectionTimeout: time.Second, LeaseTiming: lease.DefaultTiming, OrderTransit: 5 * time.Second, Founding: founding(),
		})
		if s.endWithoutRoom(v, err) {
			return
		}
		if v.saved != nil {
			Expect(installed.Load(v.saved)).To(Succeed())
		}
		Expect(installed.Version()).To(BeNumerically(">=", v.installedVersion), "the data folder kept the installed version")
		options = append(options, control.WithVoter(voter), control.WithInstalled(installed, func(data []byte) error {
			if v.noRoom {
				return syscall.ENOSPC
			}
			v.saved = data
			return nil
		}))
	} else {
		v.installedVersion = 0
	}
	v.node = control.New(v.name, v.bootNumber, append(options, further...)...)
}

// clock returns the VM's own monotonic clock, which starts with the process and runs at the VM's rate.
func (s *simulation) clock(v *vm) time.Duration {
	return time.Duration(float64(s.now-v.bootedAt)*v.clockRate) + time.Millisecond
}

func (s *simulation) clockReading(v *vm) control.ClockReading {
	return control.ClockReading{Now: s.clock(v), Wall: time.Unix(1_800_000_000, 0).Add(s.now)}
}

func (s *simulation) up(v *vm) bool { return v.node != nil && s.now >= v.frozenUntil }

// crash ends a VM's process; unsynced writes are lost and the last record may be torn.
func (s *simulation) crash(v *vm) {
	v.node, v.calls = nil, nil
	if v.volume != nil {
		v.volume.Crash(s.random)
	}
}

// endWithoutRoom ends a VM's process after an error of its disk, which must be without room, and reports whether there was one. The
// process starts again if the test restarts it. A kernel may drop what a failed sync has left unwritten, as a loss of power does.
func (s *simulation) endWithoutRoom(v *vm, err error) bool {
	if err == nil {
		return false
	}
	Expect(err).To(MatchError(syscall.ENOSPC))
	Expect(v.noRoom).To(BeTrue(), "the disk of %s has room", v.name)
	v.node, v.calls, v.restartAt = nil, nil, s.now+restartDelay
	if s.random.IntN(2) == 0 {
		v.volume.Crash(s.random)
	}
	return true
}

// wipe erases the disk of a VM that is down.
func (s *simulation) wipe(v *vm) {
	v.volume.Wipe()
	v.saved, v.installedVersion = nil, 0
}

// run advances the simulation by a virtual duration.
func (s *simulation) run(d time.Duration, faults func()) {
	for end := s.now + d; s.now < end; s.now += step {
		if faults != nil {
			faults()
		}
		s.deliver()
		for _, v := range s.vms {
			if s.up(v) && s.now >= v.tickedAt+50*time.Millisecond {
				v.tickedAt = s.now
				s.handleInput(v, func() (control.Effects, error) { return v.node.Tick(s.clockReading(v)) })
				s.calls.tick(v)
				s.namer.check(v)
			}
		}
		s.operators.tick()
		s.namer.tick()
		s.walls.tick()
		s.calls.sendRequest()
	}
}

func (s *simulation) deliver() {
	slices.SortFunc(s.network, func(a, b packet) int { return cmp.Or(cmp.Compare(a.at, b.at), cmp.Compare(a.sequence, b.sequence)) })
	for len(s.network) > 0 && s.network[0].at <= s.now {
		p := s.network[0]
		s.network = s.network[1:]
		to := s.find(p.to)
		if !s.up(to) {
			// A frozen process reads the message when it continues; a crashed one never does.
			if to.node != nil {
				p.at = to.frozenUntil
				s.network = append(s.network, p)
				slices.SortFunc(s.network, func(a, b packet) int { return cmp.Or(cmp.Compare(a.at, b.at), cmp.Compare(a.sequence, b.sequence)) })
			}
			continue
		}
		var body peer.Envelope
		Expect(proto.Unmarshal(p.body, &body)).To(Succeed())
		s.handleInput(to, func() (control.Effects, error) { return to.node.Receive(s.clockReading(to), p.from, &body) })
	}
}

func (s *simulation) find(name string) *vm {
	i := slices.IndexFunc(s.vms, func(v *vm) bool { return v.name == name })
	return s.vms[i]
}

// handleInput performs the effects of one input and checks that the installed version never decreases.
func (s *simulation) handleInput(v *vm, input func() (control.Effects, error)) {
	effects, err := input()
	if s.endWithoutRoom(v, err) {
		return
	}
	for _, out := range effects.Send {
		s.transmit(v.name, out)
	}
	Expect(v.node.Version()).To(BeNumerically(">=", v.installedVersion), "%s reverted from version %d", v.name, v.installedVersion)
	v.installedVersion = v.node.Version()
	for _, result := range effects.Results {
		if result.ID >= firstWallID {
			s.walls.handleResult(result)
			continue
		}
		if result.ID >= firstNamingID {
			s.namer.handleResult(result)
			continue
		}
		s.operators.handleResult(v, result)
		s.calls.handleResult(v, result)
	}
}

func (s *simulation) transmit(from string, out control.Outgoing) {
	if s.blocked[[2]string{from, out.To}] || s.random.Float64() < s.lossRate {
		return
	}
	body, err := proto.Marshal(out.Body)
	Expect(err).NotTo(HaveOccurred())
	copies := 1
	if s.lossRate > 0 && s.random.IntN(20) == 0 {
		copies = 2
	}
	for range copies {
		s.sent++
		delay := step + time.Duration(s.random.Int64N(int64(20*time.Millisecond)))
		if s.lossRate > 0 && s.random.IntN(30) == 0 {
			delay += time.Duration(s.random.Int64N(int64(8 * time.Second)))
		}
		s.network = append(s.network, packet{at: s.now + delay, sequence: s.sent, from: from, to: out.To, body: body})
	}
}

// inForce returns the highest version that any control VM has in force.
func (s *simulation) inForce() uint64 {
	highest := uint64(0)
	for _, v := range s.vms {
		if v.node != nil && v.node.Voter() != nil {
			highest = max(highest, v.node.Voter().Machine().Configuration().InForce())
		}
	}
	return highest
}
