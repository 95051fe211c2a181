package control_test

import (
	"encoding/json"
	"fmt"
	"time"

	. "github.com/onsi/gomega"

	"github.com/chicoryrelay/chicoryrelay/coord/configuration"
	"github.com/chicoryrelay/chicoryrelay/coord/ledger"
	"github.com/chicoryrelay/chicoryrelay/coord/registry"
	"github.com/chicoryrelay/chicoryrelay/relay/booking"
	"github.com/chicoryrelay/chicoryrelay/relay/catalogue"
	"github.com/chicoryrelay/chicoryrelay/relay/control"
	"github.com/chicoryrelay/chicoryrelay/relay/outcome"
)

func accountValue(weight int) []byte {
	value, err := json.Marshal(catalogue.Account{Key: catalogue.HashKey("k"), Weight: weight})
	Expect(err).NotTo(HaveOccurred())
	return value
}

func founding() *configuration.Command {
	return &configuration.Command{ID: "founding", Actor: "founding", Changes: []configuration.Change{configuration.Put("account", "a", accountValue(1))}}
}

// operators submits configuration changes: some race for the same version, others are repeated at another VM.
type operators struct {
	simulation *simulation
	next       int
	submitted  []submittedChange
	outcomes   map[string]configuration.Outcome
	winners    map[uint64]string
	accepted   uint64
	refused    int
	paused     bool
}

type submittedChange struct {
	vm      *vm
	boot    uint64
	id      uint64
	command configuration.Command
}

// firstChangeID separates the submission IDs of changes from those of bookings.
const firstChangeID = 1 << 32

func (o *operators) tick() {
	if o.paused || o.simulation.random.IntN(150) > 0 {
		return
	}
	v := o.simulation.vms[o.simulation.random.IntN(vms)]
	if !o.simulation.up(v) || v.node.Version() == 0 {
		return
	}
	o.next++
	command := configuration.Command{
		ID: fmt.Sprintf("c%d", o.next), Actor: v.name, Expected: v.node.Version(),
		Changes: []configuration.Change{configuration.Put("account", "a", accountValue(1+o.next%1000))},
	}
	o.submit(v, command)
	// Either a second operator races with the same expected version, or the first one repeats its command at another VM.
	if other := o.simulation.vms[o.simulation.random.IntN(vms)]; o.simulation.up(other) {
		if o.simulation.random.IntN(2) == 0 {
			command.ID += "-rival"
		}
		o.submit(other, command)
	}
}

func (o *operators) submit(v *vm, command configuration.Command) {
	id := uint64(firstChangeID + len(o.submitted))
	o.submitted = append(o.submitted, submittedChange{v, v.bootNumber, id, command})
	o.simulation.handleInput(v, func() (control.Effects, error) {
		return v.node.Submit(o.simulation.clockReading(v), id, registry.ChangeEntry(time.Time{}, command))
	})
}

func (o *operators) handleResult(v *vm, answer control.CommandResult) {
	if answer.ID < firstChangeID {
		return
	}
	change := o.submitted[answer.ID-firstChangeID]
	Expect(change.vm).To(Equal(v))
	result := *answer.Result.Change
	Expect(result.ID).To(Equal(change.command.ID), "the outcome belongs to the command")
	if result.Status == configuration.NotInForce {
		return
	}
	if before, ok := o.outcomes[result.ID]; ok {
		Expect(result.Status).To(Equal(before.Status), "command %s has one outcome", result.ID)
		Expect(result.Version).To(Equal(before.Version), "command %s has one outcome", result.ID)
	}
	if result.Status == configuration.Refused {
		o.refused++
		if result.Reason != configuration.Conflict {
			Expect(result.Reason).To(Equal(configuration.VersionUnknown))
		}
		// A refusal carries the newest version, which grows, so that only acceptances are kept for comparison.
		return
	}
	o.outcomes[result.ID] = result
	o.checkAccepted(result)
}

// checkAccepted checks that no lease holder has an older version installed once a change is reported as accepted.
func (o *operators) checkAccepted(result configuration.Outcome) {
	if winner, ok := o.winners[result.Version]; ok {
		Expect(result.ID).To(Equal(winner), "version %d has one winner", result.Version)
	}
	o.winners[result.Version] = result.ID
	o.accepted = max(o.accepted, result.Version)
	for _, v := range o.simulation.vms {
		if v.node != nil && v.node.Leased(o.simulation.clock(v)) {
			Expect(v.node.Version()).To(BeNumerically(">=", result.Version), "%s holds a lease and acts on version %d after version %d was accepted", v.name, v.node.Version(), result.Version)
		}
	}
}

// call is one caller's booking request at one VM.
type call struct {
	key      string
	sequence uint64
	core     *booking.Core
	claim    ledger.Claim
	// isClaim maps the IDs of the call's submissions to whether they carry its claim; the others end the call.
	isClaim   map[uint64]bool
	answerDue time.Duration
	dialledAt time.Duration
	started   bool
}

// callers sends booking requests and repeats recent keys at several VMs.
type callers struct {
	simulation *simulation
	next       int
	attempts   uint64
	runs       map[string]int
	// lastNotRun maps each key to its newest request with outcome "not run": from then on no earlier request of the key may run.
	// A later request may, even if it was sent before that outcome arrived, because its caller waits for both answers.
	lastNotRun map[string]uint64
	// ranBy maps each key to the request that ran; a late "not run" for an earlier request of the key is correct.
	ranBy   map[string]uint64
	ran     int
	unknown int
	refused int
	paused  bool
}

func (c *callers) sendRequest() {
	s := c.simulation
	if c.paused || s.random.IntN(20) > 0 {
		return
	}
	if c.next == 0 || s.random.IntN(2) == 0 {
		c.next++
	}
	key := fmt.Sprintf("key%d", max(1, c.next-s.random.IntN(4)))
	v := s.vms[s.random.IntN(vms)]
	if !s.up(v) || v.node.Version() == 0 {
		return
	}
	c.attempts++
	claim := ledger.Claim{
		Key: ledger.Key{Account: "a", Path: "booking", Key: key}, Digest: ledger.Digest{1}, Owner: ledger.Owner(v.node.Incarnation()),
		Configuration: v.node.Version(), KnownSequence: v.node.LedgerSequence(), Resent: true,
	}
	claim.Attempt[0], claim.Attempt[1], claim.Attempt[2] = byte(c.attempts), byte(c.attempts>>8), 1
	if registry := v.node.RegistryTime(s.clock(v)); !registry.IsZero() {
		claim.Deadline = registry.Add(3 * time.Second)
	}
	b := &call{key: key, sequence: c.attempts, claim: claim, isClaim: map[uint64]bool{}}
	b.core = booking.New(booking.Call{Claim: claim, Replicas: 2}, booking.WithLeaseCheck(v.node.Leased))
	v.calls = append(v.calls, b)
	c.step(v, b, booking.Event{Kind: booking.Start})
}

func (c *callers) tick(v *vm) {
	for _, b := range v.calls {
		if v.node == nil {
			return
		}
		if b.started && !b.core.Done() && c.simulation.now >= b.answerDue && b.answerDue > 0 {
			b.answerDue = 0
			if c.simulation.random.IntN(8) == 0 {
				c.step(v, b, booking.Event{Kind: booking.ExchangeFailed})
			} else {
				c.step(v, b, booking.Event{Kind: booking.UpstreamAnswered, Answer: []byte("ok")})
			}
		}
		if b.dialledAt > 0 && c.simulation.now >= b.dialledAt {
			b.dialledAt = 0
			kind := booking.Dialled
			if c.simulation.random.IntN(5) == 0 {
				kind = booking.DialFailed
			}
			c.step(v, b, booking.Event{Kind: kind})
		}
		c.step(v, b, booking.Event{Kind: booking.Tick})
	}
}

func (c *callers) handleResult(v *vm, answer control.CommandResult) {
	if answer.ID >= firstChangeID {
		return
	}
	for _, b := range v.calls {
		if claim, ok := b.isClaim[answer.ID]; ok {
			event := booking.Event{Kind: booking.ResultRecorded, Reply: *answer.Result.Ledger}
			if claim {
				event = booking.ClaimReplied(*answer.Result.Ledger)
			}
			c.step(v, b, event)
		}
	}
}

func (c *callers) step(v *vm, b *call, event booking.Event) {
	s := c.simulation
	for _, effect := range b.core.Step(s.clock(v), event) {
		if v.node == nil {
			// The process has ended at the effect before.
			return
		}
		switch effect.Kind {
		case booking.SendClaim, booking.SendComplete, booking.SendRelease:
			c.attempts++
			id := c.attempts
			b.isClaim[id] = effect.Kind == booking.SendClaim
			s.handleInput(v, func() (control.Effects, error) {
				return v.node.Submit(s.clockReading(v), id, registry.LedgerEntry(time.Time{}, effect.Command))
			})
		case booking.Dial:
			b.dialledAt = s.now + step
		case booking.Dispatch:
			c.runs[b.key]++
			c.ranBy[b.key] = b.sequence
			Expect(c.runs[b.key]).To(Equal(1), "key %s ran twice, the second time at %s", b.key, v.name)
			Expect(c.lastNotRun[b.key]).To(BeNumerically("<=", b.sequence), "key %s runs although a later request was reported as not run", b.key)
			b.started = true
			b.answerDue = s.now + time.Duration(s.random.Int64N(int64(3*time.Second)))
			c.step(v, b, booking.Event{Kind: booking.FirstByteSent})
		case booking.AnswerCaller:
			c.checkOutcome(b, effect.Outcome())
		}
	}
}

func (c *callers) checkOutcome(b *call, o outcome.Outcome) {
	switch o {
	case outcome.Ran:
		c.ran++
		Expect(c.runs[b.key]).To(Equal(1), "key %s is reported as run", b.key)
	case outcome.NotRun:
		c.refused++
		if c.runs[b.key] > 0 {
			Expect(c.ranBy[b.key]).To(BeNumerically(">", b.sequence), "key %s is reported as not run", b.key)
		}
		c.lastNotRun[b.key] = max(c.lastNotRun[b.key], b.sequence)
	default:
		c.unknown++
	}
}
