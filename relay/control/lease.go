package control

import (
	"fmt"
	"time"

	"github.com/chicoryrelay/chicoryrelay/coord/configuration"
	"github.com/chicoryrelay/chicoryrelay/coord/lease"
	"github.com/chicoryrelay/chicoryrelay/relay/peer"
)

// renewLease requests the lease when its renewal is due. A leader that has not replied for two renewal intervals is forgotten, and
// the next control VM is asked.
func (n *Node) renewLease() {
	if n.shutdown || !n.holder.RenewalDue(n.at.Now) {
		return
	}
	if n.at.Now >= n.leaseRepliedAt+2*n.timing.Renewal {
		n.leader = ""
	}
	n.requestLease(n.target())
}

func (n *Node) requestLease(to string) {
	if to == "" || n.shutdown {
		return
	}
	r := n.holder.Request(n.at.Now, n.config.Version())
	request := &peer.LeaseRequest{
		Vm: r.VM, Boot: r.Boot, Installed: r.Installed, Sent: int64(r.Sent),
		Centre: n.vmInfo.centre, Callers: n.vmInfo.servesCallers, Roster: n.roster.GetChecksum(), Board: n.board.GetChecksum(),
	}
	if n.retries != nil {
		request.Retries = uint32(n.retries()) + 1
	}
	n.send(to, &peer.Envelope{Body: &peer.Envelope_LeaseRequest{LeaseRequest: request}})
}

func (n *Node) receiveLeaseGrant(from string, m *peer.LeaseGrant) error {
	if len(m.GetUpdate()) > 0 {
		if err := n.installUpdate(from, m.GetUpdate()); err != nil {
			return err
		}
	}
	if m.GetPushed() {
		n.updateBoard(m)
		if len(m.GetUpdate()) > 0 && n.config.Version() >= m.GetNewest() {
			n.requestLease(from)
		}
		return nil
	}
	reply := lease.Reply{
		VM: m.GetVm(), Boot: m.GetBoot(), Sent: time.Duration(m.GetSent()),
		Reason: lease.Reason(m.GetReason()), Duration: time.Duration(m.GetDuration()), Newest: m.GetNewest(),
		Time: time.UnixMilli(m.GetTime()), Sequence: m.GetLedger(),
	}
	if !n.holder.Receive(reply) {
		return nil
	}
	n.leaseRepliedAt = n.at.Now
	switch reply.Reason {
	case lease.Granted:
		n.leader = from
		n.updateRoster(m.GetRoster())
		n.updateBoard(m)
	case lease.NotLeader:
		n.updateLeader(from, m.GetLeader())
		if n.leader != "" && n.leader != from {
			n.requestLease(n.leader)
		}
	case lease.Outdated:
		if n.config.Version() >= reply.Newest {
			n.requestLease(from)
		}
	case lease.StaleBoot:
		n.boot = n.holder.Incarnation().Boot
	}
	return nil
}

func (n *Node) installUpdate(from string, data []byte) error {
	update, err := configuration.UnmarshalUpdate(data)
	if err != nil {
		n.notice("update refused", from+": "+err.Error())
		return nil
	}
	before := n.config.Version()
	if _, err := n.config.Install(update); err != nil {
		n.notice("update refused", from+": "+err.Error())
		return nil
	}
	return n.saveInstalled(before, from)
}

// saveInstalled saves a newly installed version before any message acknowledges it.
func (n *Node) saveInstalled(before uint64, from string) error {
	if n.config.Version() == before {
		return nil
	}
	if err := n.persist(n.config.Save()); err != nil {
		return err
	}
	n.effects.Installed = true
	n.notice("configuration installed", fmt.Sprintf("version %d from %s", n.config.Version(), from))
	return nil
}

// requestNeighbourConfiguration asks the neighbours for their configuration while this VM has no lease, so that a VM that restarts
// in a data centre without connection to the control VMs can serve.
func (n *Node) requestNeighbourConfiguration() {
	interval := neighbourInterval
	if n.config.Version() == 0 {
		interval /= 4
	}
	if n.holder.Valid(n.at.Now) || n.neighboursAskedAt > 0 && n.at.Now < n.neighboursAskedAt+interval {
		return
	}
	n.neighboursAskedAt = n.at.Now
	for _, name := range n.neighbours {
		n.send(name, &peer.Envelope{Body: &peer.Envelope_ConfigurationRequest{ConfigurationRequest: &peer.ConfigurationRequest{Installed: n.config.Version()}}})
	}
}
