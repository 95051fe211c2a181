package control

import (
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/chicoryrelay/chicoryrelay/coord/configuration"
	"github.com/chicoryrelay/chicoryrelay/coord/lease"
	"github.com/chicoryrelay/chicoryrelay/coord/quorum"
	"github.com/chicoryrelay/chicoryrelay/coord/registry"
	"github.com/chicoryrelay/chicoryrelay/coord/wire"
	"github.com/chicoryrelay/chicoryrelay/relay/peer"
)

// pushInterval is the time between two pushes of a pending configuration to a VM that has not installed it.
const pushInterval = 500 * time.Millisecond

// Voter is the part of a node that holds the replicated log.
type Voter struct {
	core    *quorum.Core
	machine *registry.Machine
	save    func(quorum.Save) error
	granter *lease.Granter
	orders  *lease.Orders
	// founding is the first configuration; it is proposed by a leader that finds none.
	founding *configuration.Command

	ledSince  time.Duration
	leads     bool
	applied   uint64
	proposals map[uint64]proposal
	changes   []waiter
	// declared is when the pending version declaring was proposed to be in force last.
	declared  time.Duration
	declaring uint64
	founded   time.Duration
	taking    time.Duration
	lost      map[lease.Life]bool
	places    map[string]place
	board     *peer.Board
	// listed is when this VM last read the platform's list.
	listed time.Duration
	pushed time.Duration
}

// origin is the VM that waits for a reply.
type origin struct {
	vm   string
	id   uint64
	boot uint64
}

type proposal struct {
	term uint64
	origin
}

// waiter is a VM that waits for a committed change to be in force.
type waiter struct {
	origin
	outcome configuration.Outcome
}

// newVoter returns a control VM's part; save must be durable when it returns, and its error ends the process.
func newVoter(core *quorum.Core, machine *registry.Machine, save func(quorum.Save) error) *Voter {
	return &Voter{
		core: core, machine: machine, save: save,
		proposals: map[uint64]proposal{}, lost: map[lease.Life]bool{}, places: map[string]place{},
	}
}

// Machine returns the replicated state for reading.
func (v *Voter) Machine() *registry.Machine { return v.machine }

// Leads reports whether this VM leads and has applied every committed entry of earlier leaders.
func (v *Voter) Leads() bool { return v.leads && v.granter.Leads() }

// Core returns the replicated log's core for reading.
func (v *Voter) Core() *quorum.Core { return v.core }

// Order returns the fencing number with which this VM may send an order to an engine now.
func (v *Voter) Order(now time.Duration, fenced bool) (uint64, bool) {
	return v.orders.Number(now, fenced)
}

func (n *Node) voterTick() error {
	v := n.voter
	if err := n.drive(v.core.Tick(n.at.Now)); err != nil {
		return err
	}
	if !v.leads {
		return nil
	}
	return n.lead()
}

// drive makes a core's effects happen in the order that the quorum package asks for.
func (n *Node) drive(effects quorum.Effects) error {
	v := n.voter
	if !effects.Save.Empty() {
		if err := v.save(effects.Save); err != nil {
			return fmt.Errorf("the data folder failed; the process must stop: %w", err)
		}
	}
	if effects.Restore != nil {
		if err := n.restore(*effects.Restore); err != nil {
			return err
		}
	}
	n.noteRole()
	for _, entry := range effects.Commit {
		n.apply(entry)
	}
	for _, m := range effects.Send {
		n.send(m.To.Name, &peer.Envelope{Body: &peer.Envelope_Quorum{Quorum: wire.EncodeMessage(m)}})
	}
	if effects.Compact {
		return n.drive(v.core.Compact(v.applied, v.machine.Snapshot()))
	}
	return nil
}

func (n *Node) restore(snapshot quorum.Snapshot) error {
	n.voter.applied = snapshot.Index
	if len(snapshot.Data) == 0 {
		return nil
	}
	n.notice("snapshot restored", fmt.Sprintf("index %d", snapshot.Index))
	return n.voter.machine.Restore(snapshot.Data)
}

// noteRole follows the core's role; a node that no longer leads grants nothing and sends the waiting VMs to the new leader.
func (n *Node) noteRole() {
	v := n.voter
	leads := v.core.Role() == quorum.Leader
	if leads == v.leads {
		return
	}
	v.leads = leads
	if leads {
		v.ledSince, v.taking, v.declared, v.founded = n.at.Now, 0, 0, 0
		v.lost = map[lease.Life]bool{}
		n.notice("leader", fmt.Sprintf("term %d", v.core.Term()))
		return
	}
	v.granter.Follow()
	v.orders.Drop()
	n.notice("follower", fmt.Sprintf("term %d", v.core.Term()))
	// The commands may still be committed; the VMs send them again and get the one outcome.
	v.proposals, v.changes = map[uint64]proposal{}, nil
}

func (n *Node) apply(entry quorum.Entry) {
	v := n.voter
	v.applied = entry.Index
	switch entry.Kind {
	case quorum.Empty:
		if v.leads && entry.Term == v.core.Term() {
			v.granter.Lead(v.ledSince)
		}
		return
	case quorum.Change:
		n.notice("voters changed", entry.Note)
		return
	}
	reply := v.machine.Apply(entry.Index, entry.Data)
	p, waited := v.proposals[entry.Index]
	delete(v.proposals, entry.Index)
	if !v.leads {
		return
	}
	if reply.Change != nil {
		n.applyChange(*reply.Change, p, waited && p.term == entry.Term)
		return
	}
	if reply.Fence != nil && reply.Fence.Life.VM == n.name && entry.Term == v.core.Term() {
		v.orders.Taken(v.taking, reply.Fence.Number)
	}
	if waited && p.term == entry.Term && p.vm != "" {
		n.reply(p.origin, reply)
	}
}

// applyChange answers a refused change at once, and an accepted one when it is in force.
func (n *Node) applyChange(outcome configuration.Outcome, p proposal, waited bool) {
	v := n.voter
	if outcome.Status == configuration.Committed {
		if waited && p.vm != "" {
			v.changes = append(v.changes, waiter{origin: p.origin, outcome: outcome})
		}
		n.push()
		return
	}
	if waited && p.vm != "" {
		n.reply(p.origin, registry.Reply{Change: &outcome})
	}
	if outcome.Status == configuration.Accepted {
		n.answerWaiters()
	}
}

// answerWaiters tells the VMs whose changes are in force by now.
func (n *Node) answerWaiters() {
	v := n.voter
	inForce := v.machine.Configuration().InForce()
	v.changes = slices.DeleteFunc(v.changes, func(w waiter) bool {
		if w.outcome.Version > inForce {
			return false
		}
		w.outcome.Status = configuration.Accepted
		n.reply(w.origin, registry.Reply{Change: &w.outcome})
		return true
	})
}

func (n *Node) reply(to origin, reply registry.Reply) {
	n.send(to.vm, &peer.Envelope{Body: &peer.Envelope_Submitted{Submitted: encodeResult(to.id, to.boot, reply)}})
}

func (n *Node) receiveQuorum(from string, data []byte) error {
	if n.voter == nil {
		return nil
	}
	m, err := wire.DecodeMessage(data)
	if err != nil {
		n.notice("quorum message refused", from+": "+err.Error())
		return nil
	}
	// An announcement may be passed on by another member.
	if m.From.Name != from && m.Kind != quorum.Join {
		n.notice("quorum message refused", fmt.Sprintf("%s sent it in the name of %s", from, m.From.Name))
		return nil
	}
	return n.drive(n.voter.core.Step(n.at.Now, m))
}

func (n *Node) receiveSubmit(from string, m *peer.Submit) error {
	to := origin{vm: from, id: m.GetId(), boot: m.GetBoot()}
	if n.voter == nil {
		return nil
	}
	command, message, err := stamp(m.GetCommand(), n.at.Wall)
	if err != nil {
		n.notice("command refused", from+": "+err.Error())
		return nil
	}
	if n.early(message) {
		return nil
	}
	return n.propose(command, to)
}

// early reports whether a change is made for a version that is committed but not in force yet. It is not answered, so that the
// VM sends it again, instead of being refused for a race that nobody won.
func (n *Node) early(message *wire.RegistryCommand) bool {
	change := message.GetPropose()
	version, pending := n.voter.machine.Configuration().PendingVersion()
	return n.voter.leads && change != nil && !change.GetNumbered() && pending && change.GetExpected() == version
}

func (n *Node) propose(command []byte, to origin) error {
	v := n.voter
	effects, err := v.core.Propose(n.at.Now, command)
	var notLeader *quorum.NotLeader
	switch {
	case errors.As(err, &notLeader):
		if to.vm != "" {
			n.send(to.vm, &peer.Envelope{Body: &peer.Envelope_Submitted{Submitted: &peer.Submitted{Id: to.id, Boot: to.boot, Leader: notLeader.Leader.Name}}})
		}
	case err != nil:
		// A full log is no refusal: the VM sends the command again.
		n.notice("command held", err.Error())
	default:
		v.proposals[effects.Index] = proposal{term: effects.Term, origin: to}
	}
	return n.drive(effects)
}
