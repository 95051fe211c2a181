package control

import (
	"hash/fnv"
	"slices"
	"strings"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/chicoryrelay/chicoryrelay/relay/peer"
)

// place is where a VM stands and whether it serves callers.
type place struct {
	centre  string
	callers bool
}

// roster lists the members of the replicated log and the VMs that hold a lease, in order.
func (v *Voter) roster(now time.Duration) *peer.Roster {
	roster := &peer.Roster{}
	for _, member := range v.core.Members() {
		if !slices.Contains(roster.Controls, member.Name) {
			roster.Controls = append(roster.Controls, member.Name)
		}
	}
	for _, held := range v.granter.Held(now) {
		at := v.places[held.VM]
		if last := len(roster.Vms) - 1; last >= 0 && roster.Vms[last].Name == held.VM {
			continue
		}
		roster.Vms = append(roster.Vms, &peer.RosterVM{Name: held.VM, Centre: at.centre, Callers: at.callers})
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

// learnRoster takes the leader's word on which VMs there are. The control VMs of the settings stay known: they are the way
// back when every VM of the roster is gone.
func (n *Node) learnRoster(roster *peer.Roster) {
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

// learnControls adds control VMs that this VM has heard of, so that it is connected to them before a leader has told it the roster:
// after a restart of all VMs the leader may be no seed.
func (n *Node) learnControls(names ...string) {
	var news []string
	for _, name := range names {
		if name != "" && name != n.name && !slices.Contains(n.controls, name) {
			news = append(news, name)
		}
	}
	if len(news) == 0 {
		return
	}
	n.controls = append(slices.Clone(n.controls), news...)
	roster := &peer.Roster{}
	if n.roster != nil {
		roster, _ = proto.Clone(n.roster).(*peer.Roster)
	}
	roster.Controls = append(roster.Controls, news...)
	n.roster = roster
	n.effects.Roster = roster
	n.notice("control VMs heard of", strings.Join(news, " "))
}

// Seed replaces the control VMs that are known without the roster.
func (n *Node) Seed(at Moment, names []string) (Effects, error) {
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

// Controls returns the control VMs that this VM knows.
func (n *Node) Controls() []string { return slices.Clone(n.controls) }

// Roster returns the VMs of the system as the leader last told; nil before the first lease.
func (n *Node) Roster() *peer.Roster { return n.roster }
