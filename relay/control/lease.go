package control

import (
	"fmt"
	"time"

	"github.com/chicoryrelay/chicoryrelay/coord/configuration"
	"github.com/chicoryrelay/chicoryrelay/coord/lease"
	"github.com/chicoryrelay/chicoryrelay/relay/peer"
)

// renew asks for the lease when it is due; without an answer from the known leader it asks the next control VM.
func (n *Node) renew() {
	if n.shutdown || !n.holder.Due(n.at.Now) {
		return
	}
	if n.at.Now >= n.heard+2*n.timing.Renewal {
		n.leader = ""
	}
	n.request(n.target())
}

func (n *Node) request(to string) {
	if to == "" || n.shutdown {
		return
	}
	r := n.holder.Request(n.at.Now, n.config.Version())
	n.send(to, &peer.Envelope{Body: &peer.Envelope_LeaseRequest{LeaseRequest: &peer.LeaseRequest{
		Vm: r.VM, Boot: r.Boot, Installed: r.Installed, Sent: int64(r.Sent),
		Centre: n.place.centre, Callers: n.place.callers, Roster: n.roster.GetChecksum(), Board: n.board.GetChecksum(),
	}}})
}

func (n *Node) receiveLeaseGrant(from string, m *peer.LeaseGrant) error {
	if len(m.GetUpdate()) > 0 {
		if err := n.installUpdate(from, m.GetUpdate()); err != nil {
			return err
		}
	}
	if m.GetPushed() {
		n.learnBoard(m)
		if len(m.GetUpdate()) > 0 && n.config.Version() >= m.GetNewest() {
			n.request(from)
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
	n.heard = n.at.Now
	switch reply.Reason {
	case lease.Granted:
		n.leader = from
		n.learnRoster(m.GetRoster())
		n.learnBoard(m)
	case lease.NotLeader:
		n.redirect(from, m.GetLeader())
		if n.leader != "" && n.leader != from {
			n.request(n.leader)
		}
	case lease.Outdated:
		if n.config.Version() >= reply.Newest {
			n.request(from)
		}
	case lease.OldBoot:
		n.boot = n.holder.Life().Boot
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
	return n.installed(before, from)
}

// installed saves a newly installed version before any message acknowledges it.
func (n *Node) installed(before uint64, from string) error {
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

// askNeighbours asks for the neighbours' configuration while no control VM answers, so that a VM that restarts in a data centre that is cut off can serve.
func (n *Node) askNeighbours() {
	interval := neighbourInterval
	if n.config.Version() == 0 {
		interval /= 4
	}
	if n.holder.Valid(n.at.Now) || n.asked > 0 && n.at.Now < n.asked+interval {
		return
	}
	n.asked = n.at.Now
	for _, name := range n.neighbours {
		n.send(name, &peer.Envelope{Body: &peer.Envelope_ConfigurationRequest{ConfigurationRequest: &peer.ConfigurationRequest{Installed: n.config.Version()}}})
	}
}
