package registry_test

import (
	"bytes"
	"fmt"
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/chicoryrelay/chicoryrelay/coord/configuration"
	"github.com/chicoryrelay/chicoryrelay/coord/lease"
	"github.com/chicoryrelay/chicoryrelay/coord/registry"
)

const ms = time.Millisecond

// cluster simulates three control VMs that share a list of committed entries, the VMs that hold leases, and operators.
type cluster struct {
	*simulation
	log        [][]byte
	term       uint64
	controlVMs []*controlVM
	vms        []*vm
	// staleProcesses are the old processes of VMs that were restarted while frozen.
	staleProcesses []*vm
	operators      []*operator
	// inForce is the newest version whose InForceEntry is committed.
	inForce  uint64
	restarts uint64
	// commandOf maps each version to the ID of the command that made it.
	commandOf map[uint64]string
	// expectedVersions maps each command ID to the version that the command expects.
	expectedVersions map[string]uint64
	outcomes         map[string]configuration.Outcome
}

type controlVM struct {
	process
	*cluster
	machine *registry.Machine
	granter *lease.Granter
	term    uint64
	// firstIndex is the index of the term's first entry.
	firstIndex uint64
	// firstProposedAt is when the leader proposed that entry, by its own clock.
	firstProposedAt time.Duration
	leading         bool
	// applyBlockedUntil is the time until which no committed entries are applied.
	applyBlockedUntil time.Duration
}

type vm struct {
	process
	*cluster
	name    string
	hasDisk bool
	// savedConfig is the configuration on disk.
	savedConfig []byte
	boot        uint64
	lease       *lease.Holder
	config      *configuration.Holder
	// newestInstalled is the newest version that was installed, which must not decrease.
	newestInstalled uint64
	// ignoresUpdates makes the VM drop configuration updates, as with a full disk.
	ignoresUpdates bool
}

func newCluster(seed uint64) *cluster {
	c := &cluster{simulation: newSimulation(seed), commandOf: map[uint64]string{}, expectedVersions: map[string]uint64{}, outcomes: map[string]configuration.Outcome{}}
	c.afterTask = c.checkInvariants
	for range 3 {
		controlVM := &controlVM{process: c.process(), cluster: c, machine: registry.New(), granter: lease.NewGranter()}
		c.controlVMs = append(c.controlVMs, controlVM)
		controlVM.process.tick(80*ms, 120*ms, controlVM.tick)
	}
	for i := range 6 {
		v := &vm{cluster: c, name: fmt.Sprint("vm", i), hasDisk: i%2 == 0}
		c.vms = append(c.vms, v)
		v.start(uint64(i + 10))
	}
	for i := range 3 {
		o := &operator{cluster: c, name: fmt.Sprint("operator", i)}
		c.operators = append(c.operators, o)
		c.every(200*ms, 2*time.Second, o.sendCommand)
	}
	c.elect()
	c.every(4*time.Second, 16*time.Second, c.elect)
	c.every(500*ms, 4*time.Second, c.injectFault)
	return c
}

// elect makes a control VM the leader; the deposed leader does not notice it for up to 20 s.
func (c *cluster) elect() {
	next := c.controlVMs[c.IntN(3)]
	if c.faultsOff && c.term > 0 || c.now < next.frozenUntil {
		return
	}
	c.term++
	for _, old := range c.controlVMs {
		if old != next && old.leading {
			deposed := old.term
			c.after(c.between(0, 20*time.Second), func() {
				old.runWhenThawed(func() {
					if old.term == deposed {
						old.leading = false
						old.granter.StopGranting()
					}
				})
			})
		}
	}
	next.granter.StopGranting()
	next.term, next.leading, next.firstProposedAt = c.term, true, next.process.clock()
	next.firstIndex = uint64(len(c.log) + 1)
	c.commit(nil)
	if c.chance(20) {
		next.frozenUntil = c.now + c.between(time.Second, 15*time.Second)
	}
}

func (c *cluster) injectFault() {
	if c.faultsOff {
		return
	}
	switch v, cv := c.vms[c.IntN(len(c.vms))], c.controlVMs[c.IntN(3)]; c.IntN(5) {
	case 0:
		v.frozenUntil = c.now + c.between(100*ms, 15*time.Second)
	case 1:
		cv.frozenUntil = c.now + c.between(100*ms, 10*time.Second)
	case 2:
		v.restart()
	case 3:
		Expect(cv.machine.Restore(cv.machine.Snapshot())).To(Succeed())
	case 4:
		cv.applyBlockedUntil = c.now + c.between(time.Second, 10*time.Second)
	}
}

func (c *cluster) commit(data []byte) {
	c.log = append(c.log, data)
	for _, cv := range c.controlVMs {
		cv.process.after(cv.process.delay(), func() { cv.runWhenThawed(func() { cv.catchUp() }) })
	}
}

// propose commits an entry unless another leader is elected before a quorum has stored it.
func (cv *controlVM) propose(data []byte) {
	term := cv.term
	cv.process.after(cv.process.between(ms, 60*ms), func() {
		if cv.cluster.term == term {
			cv.commit(data)
		}
	})
}

func (cv *controlVM) wallClock() time.Time { return start.Add(cv.process.clock()) }

func (cv *controlVM) catchUp() {
	if cv.process.now < cv.applyBlockedUntil {
		cv.process.after(cv.applyBlockedUntil-cv.process.now, func() { cv.runWhenThawed(cv.catchUp) })
		return
	}
	for cv.machine.Index() < uint64(len(cv.log)) {
		index := cv.machine.Index() + 1
		reply := cv.machine.Apply(index, cv.log[index-1])
		cv.checkOutcome(reply)
		if index == cv.firstIndex && cv.leading {
			cv.granter.StartGranting(cv.firstProposedAt)
		}
		if newest, pending := cv.machine.Configuration().PendingVersion(); pending && cv.leading && reply.Outcome != nil && newest == reply.Outcome.Version {
			for _, v := range cv.vms {
				update := cv.machine.Configuration().Update(newest - 1)
				v.send(func() { v.install(update) })
			}
		}
	}
}

// checkOutcome fails if two commands made the same version, or if a version does not follow the expected one.
func (cv *controlVM) checkOutcome(reply registry.Reply) {
	if reply.Outcome == nil || reply.Outcome.Status == configuration.Refused {
		return
	}
	outcome := reply.Outcome
	if outcome.Version != cv.expectedVersions[outcome.ID]+1 {
		Fail(fmt.Sprintf("command %s made version %d from expected version %d", outcome.ID, outcome.Version, cv.expectedVersions[outcome.ID]))
	}
	if winner, ok := cv.commandOf[outcome.Version]; ok && winner != outcome.ID {
		Fail(fmt.Sprintf("version %d was made by both %s and %s", outcome.Version, winner, outcome.ID))
	}
	cv.commandOf[outcome.Version] = outcome.ID
	if outcome.Status == configuration.Accepted {
		cv.inForce = max(cv.inForce, outcome.Version)
	}
}

func (cv *controlVM) tick() {
	if !cv.leading {
		return
	}
	term, sent := cv.term, cv.process.clock()
	cv.process.after(cv.process.delay(), func() {
		if cv.cluster.term == term {
			cv.send(func() { cv.granter.Confirm(sent) })
		}
	})
	if pending, ok := cv.machine.Configuration().PendingVersion(); ok && cv.granter.CanDeclareInForce(cv.process.clock(), pending) {
		cv.propose(registry.InForceEntry(cv.wallClock(), pending))
	}
}

func (cv *controlVM) grant(v *vm, boot uint64, request lease.Request) {
	newest := cv.machine.Configuration().Newest()
	reply := cv.granter.Grant(cv.process.clock(), request, newest)
	update := cv.machine.Configuration().Update(request.Installed)
	v.send(func() {
		if v.boot == boot {
			v.lease.Receive(reply)
			v.install(update)
		}
	})
}

func (v *vm) start(boot uint64) {
	v.process, v.boot = v.cluster.process(), boot
	v.lease, v.config = lease.NewHolder(v.name, boot), configuration.NewHolder()
	if v.hasDisk && v.savedConfig != nil {
		Expect(v.config.Load(v.savedConfig)).To(Succeed())
	} else {
		v.newestInstalled = 0
	}
	v.process.tick(50*ms, 300*ms, v.tick)
}

// restart starts a new process of the VM. A frozen old process stays and may treat its expired lease as valid when it thaws.
func (v *vm) restart() {
	stale := *v
	if v.process.now < v.frozenUntil {
		v.cluster.staleProcesses = append(v.cluster.staleProcesses, &stale)
	}
	v.cluster.restarts++
	boot := 1000*v.cluster.restarts + 500
	if v.cluster.chance(20) {
		// The wall clock went back, so the boot number is lower than earlier ones, but still unique.
		boot = 500*v.cluster.restarts + 1
	}
	v.start(boot)
	if peer := v.vms[v.cluster.IntN(6)]; !v.hasDisk && v.cluster.chance(50) {
		Expect(v.config.Load(peer.config.Save())).To(Succeed())
	}
}

func (v *vm) tick() {
	if !v.lease.RenewalDue(v.process.clock()) {
		return
	}
	v.requestLease()
}

func (v *vm) requestLease() {
	request := v.lease.Request(v.process.clock(), v.config.Version())
	boot := v.boot
	for _, cv := range v.controlVMs {
		if cv.leading {
			cv.send(func() { cv.grant(v, boot, request) })
		}
	}
}

func (v *vm) install(update configuration.Update) {
	if v.ignoresUpdates {
		return
	}
	changed, err := v.config.Install(update)
	if err == nil && changed {
		v.savedConfig = v.config.Save()
		v.requestLease()
	}
}

// checkInvariants fails if a VM with a valid lease has a version older than the one in force, or if a version decreases.
func (c *cluster) checkInvariants() {
	for _, v := range slices.Concat(c.vms, c.staleProcesses) {
		version := v.config.Version()
		if v.lease.Valid(v.process.clock()) && version < c.inForce {
			Fail(fmt.Sprintf("%s has a valid lease and version %d at %s although version %d is in force", v.lease.Incarnation(), version, c.now, c.inForce))
		}
		if version < v.newestInstalled {
			Fail(fmt.Sprintf("%s went back from version %d to %d", v.name, v.newestInstalled, version))
		}
		v.newestInstalled = version
	}
}

// operator competes with the others: it changes the version that it sees, and retries a command until it has the outcome.
type operator struct {
	*cluster
	name    string
	count   int
	command *configuration.Command
}

func (o *operator) sendCommand() {
	if o.command == nil {
		if o.faultsOff {
			return
		}
		o.count++
		id := fmt.Sprint(o.name, "-", o.count)
		machine := o.controlVMs[o.IntN(3)].machine.Configuration()
		seen := machine.InForce()
		if o.chance(20) {
			seen = machine.Newest()
		}
		o.expectedVersions[id] = seen
		o.command = &configuration.Command{ID: id, Actor: o.name, Expected: seen, Changes: []configuration.Change{configuration.Put("rule", o.name, []byte(id))}}
	}
	command := *o.command
	for _, cv := range o.controlVMs {
		if cv.leading {
			cv.send(func() { cv.handleCommand(o, command) })
		}
	}
}

// handleCommand sends the operator a final outcome from the leader's own log, and proposes a command without an outcome.
func (cv *controlVM) handleCommand(o *operator, command configuration.Command) {
	outcome := cv.machine.Configuration().Outcome(command.ID)
	if outcome.Status == configuration.Unknown {
		cv.propose(registry.ChangeEntry(cv.wallClock(), command))
	}
	if outcome.Status == configuration.Accepted || outcome.Status == configuration.Refused {
		o.receiveOutcome(outcome)
	}
}

func (o *operator) receiveOutcome(outcome configuration.Outcome) {
	if first, ok := o.outcomes[outcome.ID]; ok {
		Expect(outcome).To(Equal(first), "command has two outcomes")
	}
	o.outcomes[outcome.ID] = outcome
	if o.command != nil && o.command.ID == outcome.ID && (o.faultsOff || o.chance(80)) {
		o.command = nil
	}
}

// expectOutcomes checks that every command has an outcome although one VM can't install the newest version.
func (c *cluster) expectOutcomes() {
	for _, o := range c.operators {
		Expect(o.command).To(BeNil(), "%s has no outcome", o.name)
	}
	Expect(c.inForce).To(BeNumerically(">", 0))
}

// expectConverged checks that after the faults every VM has a lease and all VMs and control VMs have the same state.
func (c *cluster) expectConverged() {
	for _, v := range c.vms {
		Expect(v.lease.Valid(v.process.clock())).To(BeTrue(), "%s has no lease", v.name)
		Expect(v.config.Objects().All()).To(Equal(c.controlVMs[0].machine.Configuration().Objects().All()))
	}
	for _, cv := range c.controlVMs {
		Expect(bytes.Equal(cv.machine.Snapshot(), c.controlVMs[0].machine.Snapshot())).To(BeTrue(), "control VMs have different states")
	}
}

var _ = Describe("registry with leases under faults", func() {
	for _, seed := range seeds() {
		It(fmt.Sprintf("gives each command one outcome and lets no VM with a valid lease use a version older than the one in force, seed %d", seed), func() {
			c := newCluster(seed)
			c.runUntil(60 * time.Second)
			c.faultsOff, c.vms[5].ignoresUpdates = true, true
			c.runUntil(100 * time.Second)
			c.expectOutcomes()
			c.vms[5].ignoresUpdates = false
			c.runUntil(110 * time.Second)
			c.expectConverged()
		})
	}
})
