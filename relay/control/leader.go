package control

import (
	"fmt"
	"time"

	"github.com/chicoryrelay/chicoryrelay/coord/lease"
	"github.com/chicoryrelay/chicoryrelay/coord/ledger"
	"github.com/chicoryrelay/chicoryrelay/coord/registry"
	"github.com/chicoryrelay/chicoryrelay/relay/peer"
)

// reproposeInterval is the time after which the leader repeats a proposal of its own that was not applied.
const reproposeInterval = time.Second

// leaderTick runs the leader's periodic work.
func (n *Node) leaderTick() error {
	v := n.voter
	v.confirmLeases()
	if !v.granter.Granting() {
		return nil
	}
	for _, incarnation := range v.granter.Prune(n.at.Now) {
		n.notice("lease expired", incarnation.String())
	}
	if n.at.Now >= v.pushedAt+pushInterval {
		n.pushPending()
	}
	if err := n.proposeFounding(); err != nil {
		return err
	}
	if err := n.proposeOrderLease(); err != nil {
		return err
	}
	if err := n.proposeInForce(); err != nil {
		return err
	}
	return n.proposeLostOwners()
}

// confirmLeases passes the time at which a quorum last confirmed this leader to the granter and to the order lease.
func (v *Voter) confirmLeases() {
	confirmed := v.core.QuorumContact()
	v.granter.Confirm(confirmed)
	v.orders.Confirm(confirmed)
}

// proposalDue reports whether to make a proposal that was not made yet or may have been lost, and sets its time.
func (n *Node) proposalDue(proposedAt *time.Duration) bool {
	if *proposedAt > 0 && n.at.Now < *proposedAt+reproposeInterval {
		return false
	}
	*proposedAt = n.at.Now
	return true
}

// pushPending sends a pending configuration to the lease holders that have not installed it.
func (n *Node) pushPending() {
	v := n.voter
	v.pushedAt = n.at.Now
	version, pending := v.machine.Configuration().PendingVersion()
	if !pending {
		return
	}
	updates := map[uint64][]byte{}
	for _, held := range v.granter.Leases(n.at.Now) {
		if held.Installed >= version {
			continue
		}
		update, ok := updates[held.Installed]
		if !ok {
			update = v.machine.Configuration().Update(held.Installed).Marshal()
			updates[held.Installed] = update
		}
		n.send(held.VM, &peer.Envelope{Body: &peer.Envelope_LeaseGrant{LeaseGrant: &peer.LeaseGrant{
			Vm: held.VM, Boot: held.Boot, Newest: version, Update: update, Pushed: true,
		}}})
	}
}

// proposeFounding proposes the founding configuration while none is committed.
func (n *Node) proposeFounding() error {
	v := n.voter
	if v.founding == nil || v.machine.Configuration().Newest() > 0 || !n.proposalDue(&v.foundingProposedAt) {
		return nil
	}
	return n.propose(registry.ChangeEntry(n.at.Wall, *v.founding), submitter{})
}

// proposeOrderLease proposes that this VM takes the order lease, which raises the fencing number.
func (n *Node) proposeOrderLease() error {
	v := n.voter
	if v.machine.Fence().Holder == n.holder.Incarnation() && v.orderLeaseProposedAt > 0 || !n.proposalDue(&v.orderLeaseProposedAt) {
		return nil
	}
	return n.propose(registry.AcquireOrderLeaseEntry(n.at.Wall, n.holder.Incarnation()), submitter{})
}

// proposeInForce proposes that a pending version is in force once every lease holder has installed it, so that no VM can act on the
// previous one.
func (n *Node) proposeInForce() error {
	v := n.voter
	newest, pending := v.machine.Configuration().PendingVersion()
	if !pending {
		return nil
	}
	version := v.granter.InstalledByAll(n.at.Now, newest)
	if version <= v.machine.Configuration().InForce() {
		return nil
	}
	if v.inForceProposed != version {
		v.inForceProposed, v.inForceProposedAt = version, 0
	}
	if !n.proposalDue(&v.inForceProposedAt) {
		return nil
	}
	n.notice("configuration in force", fmt.Sprintf("version %d", version))
	return n.propose(registry.InForceEntry(n.at.Wall, version), submitter{})
}

// proposeLostOwners proposes to end the open claims of VM incarnations whose lease has expired or that a
// newer incarnation has replaced.
func (n *Node) proposeLostOwners() error {
	v := n.voter
	owners := v.machine.Ledger().Owners()
	incarnations := make([]lease.Incarnation, 0, len(owners))
	for _, owner := range owners {
		incarnations = append(incarnations, lease.Incarnation(owner))
	}
	for _, incarnation := range v.granter.Expired(n.at.Now, incarnations) {
		if v.lostProposed[incarnation] {
			continue
		}
		v.lostProposed[incarnation] = true
		n.notice("claims lost", incarnation.String())
		owner := ledger.Owner(incarnation)
		if err := n.propose(registry.LedgerEntry(n.at.Wall, ledger.Command{LostOwner: &owner}), submitter{}); err != nil {
			return err
		}
	}
	return nil
}

// receiveLeaseRequest replies with a lease, or with the reason for its refusal and the known leader or the missing update.
func (n *Node) receiveLeaseRequest(from string, m *peer.LeaseRequest) {
	if n.voter == nil || m.GetVm() != from {
		return
	}
	v := n.voter
	request := lease.Request{VM: m.GetVm(), Boot: m.GetBoot(), Installed: m.GetInstalled(), Sent: time.Duration(m.GetSent())}
	incarnation := lease.Incarnation{VM: request.VM, Boot: request.Boot}
	v.confirmLeases()
	v.granter.Acknowledge(incarnation, request.Installed)
	v.vmInfos[request.VM] = vmInfo{centre: m.GetCentre(), servesCallers: m.GetCallers(), retries: int(m.GetRetries())}
	newest := v.machine.Configuration().Newest()
	reply := v.granter.Grant(n.at.Now, request, newest)
	grant := &peer.LeaseGrant{
		Vm: reply.VM, Boot: reply.Boot, Sent: int64(reply.Sent), Reason: uint32(reply.Reason), Duration: int64(reply.Duration), Newest: reply.Newest,
		Time: n.registryTime().UnixMilli(), Ledger: v.machine.Ledger().Sequence(),
	}
	switch reply.Reason {
	case lease.Granted:
		delete(v.lostProposed, incarnation)
	case lease.NotLeader:
		if leader := v.core.Leader().Name; leader != n.name {
			grant.Leader = leader
		}
	case lease.Outdated:
		grant.Update = v.machine.Configuration().Update(request.Installed).Marshal()
	}
	if reply.Reason == lease.Granted {
		if roster := v.roster(n.at.Now); roster.GetChecksum() != m.GetRoster() {
			grant.Roster = roster
		}
		v.addBoard(n.at.Now, grant, m.GetBoard())
	}
	n.send(from, &peer.Envelope{Body: &peer.Envelope_LeaseGrant{LeaseGrant: grant}})
}

// registryTime returns the registry's time after a command proposed now: the wall clock, but not before the last applied command.
func (n *Node) registryTime() time.Time {
	if applied := n.voter.machine.Time(); applied.After(n.at.Wall) {
		return applied
	}
	return n.at.Wall
}

// Lease is one VM's lease in the leader's table.
type Lease struct {
	lease.Incarnation
	Installed uint64
	Remaining time.Duration
}

// Leases returns the leases that have not expired, in order; nil unless this VM leads.
func (v *Voter) Leases(now time.Duration) []Lease {
	var list []Lease
	for _, held := range v.granter.Leases(now) {
		list = append(list, Lease{Incarnation: held.Incarnation, Installed: held.Installed, Remaining: held.Expiry - now})
	}
	return list
}
