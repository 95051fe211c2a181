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

// pushInterval is the interval of pushes of a pending configuration to a VM that has not installed it.
const pushInterval = 500 * time.Millisecond

// Voter is a control VM's part in the replicated log, with the state that it needs while it leads.
type Voter struct {
	core    *quorum.Core
	machine *registry.Machine
	save    func(quorum.Save) error
	granter *lease.Granter
	orders  *lease.OrderLease
	// founding is the first configuration, proposed by a leader while none is committed; nil means none.
	founding *configuration.Command

	leaderSince time.Duration
	isLeader    bool
	// elected is the leader that the core knew last; empty for none.
	elected        string
	applied        uint64
	proposals      map[uint64]proposal
	pendingChanges []pendingChange
	// inForceProposedAt is when the version inForceProposed was last proposed to be in force.
	inForceProposedAt    time.Duration
	inForceProposed      uint64
	foundingProposedAt   time.Duration
	orderLeaseProposedAt time.Duration
	lostProposed         map[lease.Incarnation]bool
	vmInfos              map[string]vmInfo
	board                *peer.Board
	// listedAt is when this VM last read the platform's list.
	listedAt time.Duration
	pushedAt time.Duration
}

// submitter identifies a submission that waits for a reply; the zero value marks the leader's own proposals.
type submitter struct {
	vm   string
	id   uint64
	boot uint64
}

type proposal struct {
	term uint64
	submitter
}

// pendingChange is a committed change that is not in force yet, with the submitter that waits for it.
type pendingChange struct {
	submitter
	outcome configuration.Outcome
}

// newVoter returns a voter; save must write durably before it returns, and its error ends the process.
func newVoter(core *quorum.Core, machine *registry.Machine, save func(quorum.Save) error) *Voter {
	return &Voter{
		core: core, machine: machine, save: save,
		proposals: map[uint64]proposal{}, lostProposed: map[lease.Incarnation]bool{}, vmInfos: map[string]vmInfo{},
	}
}

// Machine returns the replicated state machine, for reading only.
func (v *Voter) Machine() *registry.Machine { return v.machine }

// Leads reports whether this VM leads and has applied every committed entry of earlier leaders.
func (v *Voter) Leads() bool { return v.isLeader && v.granter.Granting() }

// Core returns the replicated log's core, for reading only.
func (v *Voter) Core() *quorum.Core { return v.core }

// FencingNumber returns the fencing number for an order to an engine and whether it may be sent now; fenced means that the engine
// refuses old fencing numbers.
func (v *Voter) FencingNumber(now time.Duration, fenced bool) (uint64, bool) {
	return v.orders.FencingNumber(now, fenced)
}

func (n *Node) voterTick() error {
	v := n.voter
	if err := n.handleQuorumEffects(v.core.Tick(n.at.Now)); err != nil {
		return err
	}
	if !v.isLeader {
		return nil
	}
	return n.leaderTick()
}

// handleQuorumEffects performs a core's effects in the order that the quorum package requires.
func (n *Node) handleQuorumEffects(effects quorum.Effects) error {
	v := n.voter
	if !effects.Save.Empty() {
		if err := v.save(effects.Save); err != nil {
			return fmt.Errorf("the replicated log can't be written to the data folder; free space or replace the disk, then restart: %w", err)
		}
	}
	if effects.Restore != nil {
		if err := n.restore(*effects.Restore); err != nil {
			return err
		}
	}
	n.updateRole()
	for _, entry := range effects.Committed {
		n.apply(entry)
	}
	for _, m := range effects.Send {
		n.send(m.To.Name, &peer.Envelope{Body: &peer.Envelope_Quorum{Quorum: wire.EncodeMessage(m)}})
	}
	if effects.SnapshotDue {
		return n.handleQuorumEffects(v.core.Compact(v.applied, v.machine.Snapshot()))
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

// updateRole follows the core's role. A node that stops leading grants no leases, and the VMs that wait for a reply resend to the
// new leader.
func (n *Node) updateRole() {
	v := n.voter
	n.updateElected(v.core.Leader().Name)
	isLeader := v.core.Role() == quorum.Leader
	if isLeader == v.isLeader {
		return
	}
	v.isLeader = isLeader
	if isLeader {
		v.leaderSince, v.orderLeaseProposedAt, v.inForceProposedAt, v.foundingProposedAt = n.at.Now, 0, 0, 0
		v.lostProposed = map[lease.Incarnation]bool{}
		n.adoptBoard()
		n.notice("leader", fmt.Sprintf("term %d", v.core.Term()))
		return
	}
	v.granter.StopGranting()
	v.orders.Release()
	n.notice("follower", fmt.Sprintf("term %d", v.core.Term()))
	// The commands may still be committed; the VMs resend them and get the same outcome.
	v.proposals, v.pendingChanges = map[uint64]proposal{}, nil
}

// updateElected presumes the leader that the core has learned of. It does so once, since the core of a VM that is no longer a voter
// may know an old leader for ever.
func (n *Node) updateElected(name string) {
	if name != "" && name != n.voter.elected {
		n.leader, n.leaseRepliedAt = name, n.at.Now
	}
	n.voter.elected = name
}

func (n *Node) apply(entry quorum.Entry) {
	v := n.voter
	v.applied = entry.Index
	switch entry.Kind {
	case quorum.Empty:
		if v.isLeader && entry.Term == v.core.Term() {
			v.granter.StartGranting(v.leaderSince)
		}
		return
	case quorum.MembershipChange:
		n.notice("voters changed", entry.Note)
		return
	}
	reply := v.machine.Apply(entry.Index, entry.Data)
	p, waited := v.proposals[entry.Index]
	delete(v.proposals, entry.Index)
	if !v.isLeader {
		return
	}
	if reply.Outcome != nil {
		n.applyChange(*reply.Outcome, p, waited && p.term == entry.Term)
		return
	}
	if reply.Fence != nil && reply.Fence.Holder.VM == n.name && entry.Term == v.core.Term() {
		v.orders.Acquired(v.orderLeaseProposedAt, reply.Fence.Number)
	}
	if waited && p.term == entry.Term && p.vm != "" {
		n.reply(p.submitter, reply)
	}
}

// applyChange replies to a refused change at once, and to a committed one when it is in force.
func (n *Node) applyChange(outcome configuration.Outcome, p proposal, waited bool) {
	v := n.voter
	if outcome.Status == configuration.NotInForce {
		if waited && p.vm != "" {
			v.pendingChanges = append(v.pendingChanges, pendingChange{submitter: p.submitter, outcome: outcome})
		}
		n.pushPending()
		return
	}
	if waited && p.vm != "" {
		n.reply(p.submitter, registry.Reply{Outcome: &outcome})
	}
	if outcome.Status == configuration.Accepted {
		n.replyInForce()
	}
}

// replyInForce replies to the submitters of the pending changes that are now in force.
func (n *Node) replyInForce() {
	v := n.voter
	inForce := v.machine.Configuration().InForce()
	v.pendingChanges = slices.DeleteFunc(v.pendingChanges, func(c pendingChange) bool {
		if c.outcome.Version > inForce {
			return false
		}
		c.outcome.Status = configuration.Accepted
		n.reply(c.submitter, registry.Reply{Outcome: &c.outcome})
		return true
	})
}

func (n *Node) reply(to submitter, reply registry.Reply) {
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
	// Other members may forward a join announcement.
	if m.From.Name != from && m.Kind != quorum.Join {
		n.notice("quorum message refused", fmt.Sprintf("a message from %s names the sender %s", from, m.From.Name))
		return nil
	}
	return n.handleQuorumEffects(n.voter.core.Step(n.at.Now, m))
}

func (n *Node) receiveSubmit(from string, m *peer.Submit) error {
	to := submitter{vm: from, id: m.GetId(), boot: m.GetBoot()}
	if n.voter == nil {
		return nil
	}
	command, message, err := stamp(m.GetCommand(), n.registryTime(), n.voter.machine.Configuration().Objects())
	if err != nil {
		n.notice("command refused", from+": "+err.Error())
		return nil
	}
	if n.expectsPending(message) || n.namesWeightsEarly(message) {
		return nil
	}
	return n.propose(command, to)
}

// expectsPending reports whether a change expects the pending version. It gets no reply, so that the VM resends it: a refusal would
// report a lost race although no other change has won.
func (n *Node) expectsPending(message *wire.RegistryCommand) bool {
	change := message.GetPropose()
	version, pending := n.voter.machine.Configuration().PendingVersion()
	return n.voter.isLeader && change != nil && !change.GetNumbered() && pending && change.GetExpected() == version
}

// namesWeightsEarly reports whether a command names weights while this leader has not applied all entries of earlier leaders, so that
// the namings that it would record lack some of theirs. It gets no reply, so that the VM resends it.
func (n *Node) namesWeightsEarly(message *wire.RegistryCommand) bool {
	return n.voter.isLeader && !n.voter.Leads() && namedWeights(message) != nil
}

func (n *Node) propose(command []byte, to submitter) error {
	v := n.voter
	effects, err := v.core.Propose(n.at.Now, command)
	var notLeader *quorum.NotLeader
	switch {
	case errors.As(err, &notLeader):
		if to.vm != "" {
			n.send(to.vm, &peer.Envelope{Body: &peer.Envelope_Submitted{Submitted: &peer.Submitted{Id: to.id, Boot: to.boot, Leader: notLeader.Leader.Name}}})
		}
	case err != nil:
		// The log is full or the command too large. There is no reply, so that the VM resends the command.
		n.notice("command held", err.Error())
	default:
		v.proposals[effects.Index] = proposal{term: effects.Term, submitter: to}
	}
	return n.handleQuorumEffects(effects)
}
