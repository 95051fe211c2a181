package booking_test

import (
	"bytes"
	"errors"
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/chicoryrelay/chicoryrelay/coord/configuration"
	"github.com/chicoryrelay/chicoryrelay/coord/lease"
	"github.com/chicoryrelay/chicoryrelay/coord/ledger"
	"github.com/chicoryrelay/chicoryrelay/coord/registry"
	"github.com/chicoryrelay/chicoryrelay/relay/booking"
	"github.com/chicoryrelay/chicoryrelay/relay/outcome"
)

const ms = time.Millisecond

// cluster simulates a control leader, VMs with booking cores, callers, and an upstream that counts the runs of each key.
type cluster struct {
	*simulation
	control    process
	machine    *registry.Machine
	granter    *lease.Granter
	wallOffset time.Duration
	vms        []*vm
	callers    []*caller
	attempts   uint64
	runs       map[string]int
	// ranConn is the caller's connection whose attempt ran, by key.
	ranConn map[string]int
	// finalNotRun are the keys that were reported as not run and that the caller will not send again.
	finalNotRun map[string]bool
	// reported counts the outcomes reported to callers.
	reported map[outcome.Outcome]int
}

type vm struct {
	process
	cluster  *cluster
	name     string
	boot     uint64
	lease    *lease.Holder
	calls    []*call
	lastTick time.Duration
	// knownSequence is the newest ledger sequence in any reply.
	knownSequence uint64
}

type call struct {
	*vm
	core       *booking.Core
	claim      ledger.Claim
	caller     *caller
	conn       int
	boot       uint64
	receivedAt time.Duration
}

func checkDraining(objects configuration.Objects, _ ledger.Claim) error {
	if _, draining := objects.Get("upstream", "draining"); draining {
		return errors.New("the service is draining")
	}
	return nil
}

func newCluster(seed uint64) *cluster {
	t := &cluster{simulation: newSimulation(seed), granter: lease.NewGranter(), runs: map[string]int{}, ranConn: map[string]int{}, finalNotRun: map[string]bool{}, reported: map[outcome.Outcome]int{}}
	t.check = func() {}
	t.control, t.machine = t.process(), newMachine()
	t.granter.StartGranting(t.control.clock())
	t.control.tick(50*ms, 150*ms, t.leaderTick)
	for i := range 5 {
		v := &vm{cluster: t, name: fmt.Sprint("vm", i)}
		t.vms = append(t.vms, v)
		v.start()
	}
	for i := range 25 {
		c := &caller{cluster: t, key: fmt.Sprint("key", i), openConns: map[int]bool{}, concurrent: map[int]bool{}}
		t.callers = append(t.callers, c)
		t.after(t.between(0, 50*time.Second), c.sendRequest)
	}
	t.every(500*ms, 4*time.Second, t.injectFault)
	return t
}

func newMachine() *registry.Machine {
	return registry.New(registry.WithClaimCheck(checkDraining), registry.WithLedger(ledger.WithRetention(15*time.Second)))
}

func (t *cluster) apply(data []byte) registry.Reply {
	return t.machine.Apply(t.machine.Index()+1, data)
}

func (t *cluster) clock() time.Time {
	return time.UnixMilli(1_800_000_000_000).Add(t.wallOffset + t.control.clock())
}

// leaderTick is one tick of the control leader, whose quorum always confirms its leadership.
func (t *cluster) leaderTick() {
	now := t.control.clock()
	t.granter.Confirm(now)
	owners := []lease.Incarnation{}
	for _, owner := range t.machine.Ledger().Owners() {
		owners = append(owners, lease.Incarnation(owner))
	}
	for _, lost := range t.granter.Expired(now, owners) {
		owner := ledger.Owner(lost)
		t.apply(registry.LedgerEntry(t.clock(), ledger.Command{LostOwner: &owner}))
	}
}

func (t *cluster) injectFault() {
	if t.reliable {
		return
	}
	v := t.vms[t.IntN(len(t.vms))]
	switch t.IntN(6) {
	case 0:
		v.pausedUntil = t.now + t.between(100*ms, 15*time.Second)
	case 1:
		t.control.pausedUntil = t.now + t.between(100*ms, 8*time.Second)
	case 2:
		v.start()
	case 3:
		// A new leader knows no leases and has another wall clock.
		t.wallOffset = t.between(-2*time.Second, 2*time.Second)
		t.granter.StartGranting(t.control.clock())
	case 4:
		restored := newMachine()
		Expect(restored.Restore(t.machine.Snapshot())).To(Succeed())
		Expect(bytes.Equal(restored.Snapshot(), t.machine.Snapshot())).To(BeTrue())
		t.machine = restored
	case 5:
		t.drain(true)
		t.after(t.between(time.Second, 5*time.Second), func() { t.drain(false) })
	}
}

// drain adds or removes the configuration object on which checkDraining denies claims.
func (t *cluster) drain(draining bool) {
	change := configuration.Put("upstream", "draining", nil)
	if !draining {
		change = configuration.Remove("upstream", "draining")
	}
	version := t.machine.Configuration().InForce()
	id := fmt.Sprint(t.machine.Index())
	t.apply(registry.ChangeEntry(t.clock(), configuration.Command{ID: id, Expected: version, Changes: []configuration.Change{change}}))
	t.apply(registry.InForceEntry(t.clock(), version+1))
}

// start begins an incarnation of the VM, which does not know the calls of the previous one.
func (v *vm) start() {
	v.boot++
	v.process, v.calls = v.cluster.process(), nil
	v.lease = lease.NewHolder(v.name, v.boot)
	boot := v.boot
	v.process.tick(30*ms, 100*ms, func() { v.tick(boot) })
}

func (v *vm) tick(boot uint64) {
	if boot != v.boot {
		return
	}
	now := v.process.clock()
	if v.lease.RenewalDue(now) {
		request := v.lease.Request(now, 1<<62)
		v.cluster.control.send(func() {
			reply := v.cluster.granter.Grant(v.cluster.control.clock(), request, v.cluster.machine.Configuration().Newest())
			reply.Time, reply.Sequence = v.cluster.clock(), v.cluster.machine.Ledger().Sequence()
			v.send(func() { v.lease.Receive(reply) })
		})
	}
	kind := booking.Tick
	switch {
	case now > v.lastTick+time.Second:
		kind = booking.Resumed
	case !v.lease.Valid(now):
		kind = booking.LeaseLost
	}
	v.lastTick = now
	for _, c := range v.calls {
		c.step(booking.Event{Kind: kind})
		c.step(booking.Event{Kind: booking.Tick})
	}
}

func (v *vm) receive(c *caller, conn int, resent bool) {
	now := v.process.clock()
	v.cluster.attempts++
	claim := ledger.Claim{
		Key: ledger.Key{Account: "baths", Path: "/slots", Key: c.key}, Attempt: ledger.Attempt{byte(v.cluster.attempts), byte(v.cluster.attempts >> 8), 1},
		Owner: ledger.Owner(v.lease.Incarnation()), Deadline: v.lease.Time(now).Add(10 * time.Second),
		KnownSequence: max(v.lease.Sequence(), v.knownSequence), Resent: resent,
	}
	core := booking.New(booking.Call{Claim: claim, Replicas: 3}, booking.WithLeaseCheck(v.lease.Valid))
	received := &call{vm: v, core: core, claim: claim, caller: c, conn: conn, boot: v.boot, receivedAt: now}
	v.calls = append(v.calls, received)
	received.step(booking.Event{Kind: booking.Start})
}

// deliver passes an event to the call after a delay unless the VM has restarted, and sometimes also to another call of the VM.
func (c *call) deliver(d time.Duration, event booking.Event) {
	c.process.after(d, func() { c.do(func() { c.step(event) }) })
	if event.Kind <= booking.ResultRecorded && len(c.calls) > 0 && c.chance(5) {
		other := c.calls[c.IntN(len(c.calls))]
		if other != c {
			c.process.after(d, func() { c.do(func() { other.step(event) }) })
		}
	}
}

func (c *call) step(event booking.Event) {
	if c.boot != c.vm.boot {
		return
	}
	for _, effect := range c.core.Step(c.process.clock(), event) {
		c.perform(effect)
	}
}

func (c *call) perform(effect booking.Effect) {
	switch effect.Kind {
	case booking.SendClaim, booking.SendComplete, booking.SendRelease:
		c.cluster.control.send(func() { c.commit(effect) })
	case booking.Dial:
		if c.chance(25) {
			c.deliver(c.between(ms, 200*ms), booking.Event{Kind: booking.DialFailed})
			return
		}
		c.deliver(c.between(ms, 20*ms), booking.Event{Kind: booking.Dialled})
	case booking.Dispatch:
		c.dispatch()
	case booking.AnswerCaller:
		c.process.after(c.networkDelay(), func() { c.caller.answered(c.conn, effect) })
	}
}

// commit commits the command at the control leader after a delay; the reply may be lost.
func (c *call) commit(effect booking.Effect) {
	c.cluster.control.after(c.between(ms, 50*ms), func() {
		c.cluster.control.do(func() {
			reply := *c.cluster.apply(registry.LedgerEntry(c.cluster.clock(), effect.Command)).Ledger
			event := booking.Event{Kind: booking.ResultRecorded, Reply: reply}
			if effect.Kind == booking.SendClaim {
				event = booking.ClaimReplied(reply)
			}
			if c.reliable || c.chance(90) {
				c.knownSequence = max(c.knownSequence, reply.Sequence)
				c.deliver(c.networkDelay(), event)
			}
		})
	})
}

// dispatch sends the call to the upstream; the connection may break or the VM may pause before the first byte is sent.
func (c *call) dispatch() {
	if now := c.process.clock(); !c.vm.lease.Valid(now) || now >= c.receivedAt+5940*ms {
		Fail(fmt.Sprintf("attempt %s is dispatched without a lease or with an expired claim", c.claim.Attempt))
	}
	if c.chance(10) {
		c.deliver(ms, booking.Event{Kind: booking.ExchangeFailed})
		return
	}
	if !c.reliable && c.chance(5) {
		c.pausedUntil = c.now + c.between(time.Second, 10*time.Second)
	}
	c.do(func() {
		if c.boot != c.vm.boot {
			return
		}
		c.step(booking.Event{Kind: booking.FirstByteSent})
		c.deliver(4*time.Second, booking.Event{Kind: booking.ExchangeFailed})
		if c.reliable || c.chance(90) {
			c.process.after(c.networkDelay(), c.serve)
		}
	})
}

// serve runs the call at the upstream; its answer may be lost.
func (c *call) serve() {
	key := c.caller.key
	c.cluster.runs[key]++
	c.cluster.ranConn[key] = c.conn
	if c.cluster.runs[key] > 1 {
		Fail(fmt.Sprintf("%s ran twice, the second time by attempt %s", key, c.claim.Attempt))
	}
	if c.cluster.finalNotRun[key] {
		Fail(fmt.Sprintf("%s ran by attempt %s after it was reported as not run", key, c.claim.Attempt))
	}
	if c.reliable || c.chance(85) {
		c.deliver(c.networkDelay(), booking.Event{Kind: booking.UpstreamAnswered, Answer: []byte(key)})
	}
}

// caller sends one key, each time to a random VM, until it has a final outcome; without an answer it times out and sends it again.
type caller struct {
	*cluster
	key       string
	connCount int
	openConns map[int]bool
	// concurrent are the connections that were open at the same time as another one.
	concurrent map[int]bool
	finished   bool
}

func (c *caller) sendRequest() {
	if c.finished {
		return
	}
	resent := c.connCount > 0
	if !c.reliable && c.chance(10) {
		// Two clients of the account send the key at the same time.
		resent = true
		c.connect(true)
	}
	c.connect(resent)
}

func (c *caller) connect(resent bool) {
	c.connCount++
	conn, v := c.connCount, c.vms[c.IntN(len(c.vms))]
	c.openConns[conn] = true
	for open := range c.openConns {
		c.concurrent[open] = len(c.openConns) > 1 || c.concurrent[open]
	}
	arrived := false
	v.send(func() {
		// A connection delivers its request once and before its close, so the VM drops a request whose connection has closed.
		if c.openConns[conn] && !arrived {
			arrived = true
			v.receive(c, conn, resent)
		}
	})
	c.after(c.between(300*ms, 6*time.Second), func() {
		if !c.openConns[conn] {
			return
		}
		delete(c.openConns, conn)
		v.send(func() { v.cancel(c, conn) })
		if len(c.openConns) == 0 {
			c.sendRequest()
		}
	})
}

func (v *vm) cancel(by *caller, conn int) {
	for _, c := range v.calls {
		if c.caller == by && c.conn == conn {
			c.step(booking.Event{Kind: booking.Cancelled})
		}
	}
}

// answered checks the outcome reported to the caller against the upstream's runs.
func (c *caller) answered(conn int, effect booking.Effect) {
	if !c.openConns[conn] {
		return
	}
	delete(c.openConns, conn)
	reported := effect.Outcome()
	c.reported[reported]++
	switch reported {
	case outcome.Ran:
		Expect(c.runs[c.key]).To(Equal(1), "%s was reported to have run", c.key)
		if effect.Refusal == nil {
			Expect(string(effect.Answer)).To(Equal(c.key), "the answer belongs to another call")
		}
		c.finished = true
	case outcome.NotRun:
		// A concurrent request may arrive and run after the ledger's reply to this one, which no VM can foresee.
		if c.runs[c.key] > 0 && (!c.concurrent[conn] || c.ranConn[c.key] == conn) {
			Fail(fmt.Sprintf("%s was reported as not run although it ran: %v", c.key, effect.Refusal))
		}
		if len(c.openConns) == 0 && c.chance(30) {
			c.finished, c.finalNotRun[c.key] = true, true
		}
	case outcome.MayHaveRun:
		kind := effect.Refusal.Kind
		c.finished = (kind == outcome.UnknownOutcome || kind == outcome.UpstreamFailed) && c.chance(50)
	}
	if !c.finished && len(c.openConns) == 0 {
		c.after(c.between(50*ms, 2*time.Second), c.sendRequest)
	}
}

// expectSettled checks that the ledger has ended every call and that its verdicts agree with the upstream's runs.
func (t *cluster) expectSettled() {
	for _, c := range t.callers {
		key := ledger.Key{Account: "baths", Path: "/slots", Key: c.key}
		verdict := t.machine.Ledger().Lookup(key).Verdict
		Expect(verdict).NotTo(Equal(ledger.Running), "%s is still claimed", c.key)
		if t.runs[c.key] > 0 {
			Expect(verdict).To(BeElementOf(ledger.Ran, ledger.MayHaveRun), "%s ran", c.key)
		}
	}
	Expect(t.machine.Ledger().Owners()).To(BeEmpty())
	Expect(t.reported[outcome.Ran]).To(BeNumerically(">", 0))
}

var _ = Describe("non-idempotent calls under faults", func() {
	for _, seed := range seeds() {
		It(fmt.Sprintf("run at most once and end with an outcome, seed %d", seed), func() {
			t := newCluster(seed)
			t.runUntil(60 * time.Second)
			t.reliable = true
			t.runUntil(120 * time.Second)
			for _, c := range t.callers {
				Expect(c.finished).To(BeTrue(), "%s has no outcome", c.key)
			}
			t.expectSettled()
		})
	}
})
