package control

import (
	"fmt"
	"time"

	"github.com/chicoryrelay/chicoryrelay/coord/lease"
	"github.com/chicoryrelay/chicoryrelay/coord/ledger"
	"github.com/chicoryrelay/chicoryrelay/coord/registry"
	"github.com/chicoryrelay/chicoryrelay/relay/peer"
)

// proposeInterval is the time after which the leader proposes a command of its own again if it was not applied.
const proposeInterval = time.Second

// lead does the leader's regular work.
func (n *Node) lead() error {
	v := n.voter
	v.confirm()
	if !v.granter.Leads() {
		return nil
	}
	for _, life := range v.granter.Prune(n.at.Now) {
		n.notice("lease expired", life.String())
	}
	if n.at.Now >= v.pushed+pushInterval {
		n.push()
	}
	if err := n.found(); err != nil {
		return err
	}
	if err := n.takeOrders(); err != nil {
		return err
	}
	if err := n.declare(); err != nil {
		return err
	}
	return n.reportLost()
}

// confirm tells the leases when a quorum last confirmed this leader.
func (v *Voter) confirm() {
	confirmed := v.core.Confirmed()
	v.granter.Confirm(confirmed)
	v.orders.Confirm(confirmed)
}

// due reports whether a command that may have been lost is to be proposed again, and notes the time.
func (n *Node) due(last *time.Duration) bool {
	if *last > 0 && n.at.Now < *last+proposeInterval {
		return false
	}
	*last = n.at.Now
	return true
}

// push sends a pending configuration to the VMs that hold a lease and have not installed it.
func (n *Node) push() {
	v := n.voter
	v.pushed = n.at.Now
	version, pending := v.machine.Configuration().PendingVersion()
	if !pending {
		return
	}
	updates := map[uint64][]byte{}
	for _, held := range v.granter.Held(n.at.Now) {
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

// found proposes the first configuration.
func (n *Node) found() error {
	v := n.voter
	if v.founding == nil || v.machine.Configuration().Newest() > 0 || !n.due(&v.founded) {
		return nil
	}
	return n.propose(registry.Change(n.at.Wall, *v.founding), origin{})
}

// takeOrders takes the order lease, which raises the fencing number.
func (n *Node) takeOrders() error {
	v := n.voter
	if v.machine.Fence().Life == n.holder.Life() && v.taking > 0 || !n.due(&v.taking) {
		return nil
	}
	return n.propose(registry.TakeOrders(n.at.Wall, n.holder.Life()), origin{})
}

// declare proposes that a pending version is in force once no VM can act on the one before.
func (n *Node) declare() error {
	v := n.voter
	newest, pending := v.machine.Configuration().PendingVersion()
	if !pending {
		return nil
	}
	version := v.granter.Settled(n.at.Now, newest)
	if version <= v.machine.Configuration().InForce() {
		return nil
	}
	if v.declaring != version {
		v.declaring, v.declared = version, 0
	}
	if !n.due(&v.declared) {
		return nil
	}
	n.notice("configuration in force", fmt.Sprintf("version %d", version))
	return n.propose(registry.InForce(n.at.Wall, version), origin{})
}

// reportLost ends the open claims of VMs whose lease has run out.
func (n *Node) reportLost() error {
	v := n.voter
	owners := v.machine.Ledger().Owners()
	lives := make([]lease.Life, 0, len(owners))
	for _, owner := range owners {
		lives = append(lives, lease.Life(owner))
	}
	for _, life := range v.granter.Lost(n.at.Now, lives) {
		if v.lost[life] {
			continue
		}
		v.lost[life] = true
		n.notice("claims lost", life.String())
		owner := ledger.Owner(life)
		if err := n.propose(registry.Booking(n.at.Wall, ledger.Command{Lost: &owner}), origin{}); err != nil {
			return err
		}
	}
	return nil
}

// receiveLeaseRequest answers with a lease, or with what the VM lacks to get one.
func (n *Node) receiveLeaseRequest(from string, m *peer.LeaseRequest) {
	if n.voter == nil || m.GetVm() != from {
		return
	}
	v := n.voter
	request := lease.Request{VM: m.GetVm(), Boot: m.GetBoot(), Installed: m.GetInstalled(), Sent: time.Duration(m.GetSent())}
	life := lease.Life{VM: request.VM, Boot: request.Boot}
	v.confirm()
	v.granter.Acknowledge(life, request.Installed)
	v.places[request.VM] = place{centre: m.GetCentre(), callers: m.GetCallers()}
	newest := v.machine.Configuration().Newest()
	reply := v.granter.Grant(n.at.Now, request, newest)
	grant := &peer.LeaseGrant{
		Vm: reply.VM, Boot: reply.Boot, Sent: int64(reply.Sent), Reason: uint32(reply.Reason), Duration: int64(reply.Duration), Newest: reply.Newest,
		Time: n.registryTime().UnixMilli(), Ledger: v.machine.Ledger().Sequence(),
	}
	switch reply.Reason {
	case lease.Granted:
		delete(v.lost, life)
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
		if v.board.GetChecksum() != m.GetBoard() {
			grant.Board = v.board
		}
		grant.Aged = uint32((n.at.Now - v.listed).Milliseconds())
	}
	n.send(from, &peer.Envelope{Body: &peer.Envelope_LeaseGrant{LeaseGrant: grant}})
}

// registryTime returns the time that the registry will show when a command is proposed now.
func (n *Node) registryTime() time.Time {
	if applied := n.voter.machine.Time(); applied.After(n.at.Wall) {
		return applied
	}
	return n.at.Wall
}

// Lease is one VM's lease as the leader knows it.
type Lease struct {
	lease.Life
	Installed uint64
	Remaining time.Duration
}

// Leases returns the leases in order; only the leader knows any.
func (v *Voter) Leases(now time.Duration) []Lease {
	var list []Lease
	for _, held := range v.granter.Held(now) {
		list = append(list, Lease{Life: held.Life, Installed: held.Installed, Remaining: held.Until - now})
	}
	return list
}
