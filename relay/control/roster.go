package control

import (
	"hash/fnv"
	"slices"
	"strings"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/chicoryrelay/chicoryrelay/relay/peer"
)

// vmInfo is a VM's data centre, whether it serves callers, and how many requests it may repeat.
type vmInfo struct {
	centre        string
	servesCallers bool
	// retries is one more than the number, or 0 if the VM does not tell.
	retries int
}

// Retries returns the number of requests that all VMs with callers together may repeat now, as of their last lease requests; false if
// one of them does not tell.
func (v *Voter) Retries(now time.Duration) (retries int, known bool) {
	for _, held := range v.granter.Leases(now) {
		info := v.vmInfos[held.VM]
		if info.servesCallers && info.retries == 0 {
			return 0, false
		}
		retries += max(0, info.retries-1)
	}
	return retries, true
}

// roster returns the members of the replicated log and the VMs that hold a lease, in order.
func (v *Voter) roster(now time.Duration) *peer.Roster {
	roster := &peer.Roster{}
	for _, member := range v.core.Members() {
		if !slices.Contains(roster.Controls, member.Name) {
			roster.Controls = append(roster.Controls, member.Name)
		}
	}
	for _, held := range v.granter.Leases(now) {
		info := v.vmInfos[held.VM]
		if last := len(roster.Vms) - 1; last >= 0 && roster.Vms[last].Name == held.VM {
			continue
		}
		roster.Vms = append(roster.Vms, &peer.RosterVM{Name: held.VM, Centre: info.centre, Callers: info.servesCallers})
	}
	// The messages have no map fields, so equal rosters have equal bytes.
	data, err := proto.MarshalOptions{Deterministic: true}.Marshal(roster)
	if err != nil {
		panic("control: " + err.Error())
	}
	hash := fnv.New64a()
	_, _ = hash.Write(data)
	roster.Checksum = hash.Sum64()
	return roster
}

// updateRoster installs the leader's roster. The seed control VMs of the settings stay known, so that this VM can reconnect when
// every VM of the roster is gone.
func (n *Node) updateRoster(roster *peer.Roster) {
	if roster == nil || roster.GetChecksum() == n.roster.GetChecksum() {
		return
	}
	n.roster = roster
	n.controls = slices.Clone(n.seeds)
	for _, name := range roster.GetControls() {
		if !slices.Contains(n.controls, name) {
			n.controls = append(n.controls, name)
		}
	}
	n.effects.Roster = roster
}

// addControls adds control VMs named by other VMs or the log, so that this VM connects to them before it receives a roster: after a
// restart of all VMs the leader may not be a seed.
func (n *Node) addControls(names ...string) {
	var added []string
	for _, name := range names {
		if name != "" && name != n.name && !slices.Contains(n.controls, name) {
			added = append(added, name)
		}
	}
	if len(added) == 0 {
		return
	}
	n.controls = append(slices.Clone(n.controls), added...)
	roster := &peer.Roster{}
	if n.roster != nil {
		roster, _ = proto.Clone(n.roster).(*peer.Roster)
	}
	roster.Controls = append(roster.Controls, added...)
	n.roster = roster
	n.effects.Roster = roster
	n.notice("control VMs heard of", strings.Join(added, " "))
}

// SetSeeds replaces the seed control VMs, which stay known whatever the roster lists.
func (n *Node) SetSeeds(at ClockReading, names []string) (Effects, error) {
	return n.step(at, func() error {
		n.seeds = names
		n.controls = slices.Clone(names)
		for _, name := range n.roster.GetControls() {
			if !slices.Contains(n.controls, name) {
				n.controls = append(n.controls, name)
			}
		}
		if n.voter != nil {
			n.voter.core.SetPeers(names)
		}
		return nil
	})
}

// Controls returns the known control VMs: the seeds, those of the roster and those named by other VMs.
func (n *Node) Controls() []string { return slices.Clone(n.controls) }

// Roster returns the leader's last roster with the control VMs learned since; nil if none are known.
func (n *Node) Roster() *peer.Roster { return n.roster }
