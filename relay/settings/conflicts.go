package settings

import (
	"fmt"
	"net/netip"
	"strings"
)

// maxControlVMs limits the number of control VMs, because each commit waits for the disks of more voters in a larger group.
const maxControlVMs = 7

// checkConflicts refuses combinations of values that are each valid alone.
func (p *parser) checkConflicts() error {
	for _, check := range []func() error{p.checkTimes, p.checkListeners, p.checkPeers, p.checkData, p.checkRouting} {
		if err := check(); err != nil {
			return err
		}
	}
	return nil
}

// conflictError returns an error at the first of the fields that the file sets, or at the beginning of the file if it sets none.
func (p *parser) conflictError(problem, remedy string, fields ...string) error {
	for _, field := range fields {
		if offset, ok := p.offsets[field]; ok {
			return p.errorAt(offset, field, problem, remedy)
		}
	}
	return p.errorAt(0, fields[0], problem, remedy)
}

func (p *parser) checkTimes() error {
	times := p.settings.Times
	if times.Renew >= times.Lease {
		return p.conflictError(fmt.Sprintf("times.renew %s is not less than times.lease %s", times.Renew, times.Lease),
			"set renew to at most a third of lease, so that the lease survives one lost renewal", "times.renew", "times.lease")
	}
	if times.Heartbeat >= times.Silence {
		return p.conflictError(fmt.Sprintf("times.heartbeat %s is not less than times.silence %s", times.Heartbeat, times.Silence),
			"set heartbeat to at most a third of silence, so that a connection survives one lost heartbeat", "times.heartbeat", "times.silence")
	}
	return nil
}

func (p *parser) checkRouting() error {
	if room := p.settings.Routing.Room; room > 1 {
		return p.conflictError(fmt.Sprintf("routing.room %g is more than the whole memory of an engine", room), "set room to a share from 0 to 1", "routing.room")
	}
	return nil
}

func (p *parser) checkListeners() error {
	l := p.settings.Listeners
	listeners := []struct {
		field   string
		address netip.AddrPort
	}{{"listeners.callers", l.Callers}, {"listeners.operators", l.Operators}, {"listeners.peers", l.Peers}}
	for _, optional := range []struct {
		field   string
		address netip.AddrPort
	}{{"listeners.ready", l.Ready}, {"listeners.requests", l.Requests}, {"listeners.metrics", l.Metrics}} {
		if optional.address.IsValid() {
			listeners = append(listeners, optional)
		}
	}
	for i, second := range listeners {
		for _, first := range listeners[:i] {
			if overlapping(first.address, second.address) {
				return p.conflictError(fmt.Sprintf("%s and %s cannot both listen on %s", first.field, second.field, second.address),
					"give each listener its own port", second.field, first.field)
			}
		}
	}
	return nil
}

// overlapping reports whether two listeners cannot both be opened.
func overlapping(a, b netip.AddrPort) bool {
	return a.IsValid() && b.IsValid() && a.Port() == b.Port() && (a.Addr() == b.Addr() || a.Addr().IsUnspecified() || b.Addr().IsUnspecified())
}

func (p *parser) checkPeers() error {
	if n := len(p.settings.Control); n > maxControlVMs {
		return p.conflictError(fmt.Sprintf("control lists %d VMs", n), fmt.Sprintf("list at most %d, usually three or five", maxControlVMs), fmt.Sprintf("control[%d]", maxControlVMs))
	}
	peersByName := map[string]Peer{}
	for _, list := range []struct {
		name  string
		peers []Peer
	}{{"control", p.settings.Control}, {"neighbours", p.settings.Neighbours}} {
		seen := map[string]bool{}
		for i, peer := range list.peers {
			path := fmt.Sprintf("%s[%d]", list.name, i)
			if seen[peer.Name] {
				return p.conflictError(peer.Name+" is listed twice in "+list.name, "give each VM one entry with a name of its own", path+".name")
			}
			seen[peer.Name] = true
			if list.name == "neighbours" && peer.Name == p.settings.Name {
				return p.conflictError(peer.Name+" is the name of this VM", "remove the entry and list only the other VMs", path+".name")
			}
			if err := p.checkAddress(peersByName, path, peer); err != nil {
				return err
			}
			peersByName[peer.Name] = peer
		}
	}
	return nil
}

// checkAddress refuses a VM with two addresses and an address of two VMs.
func (p *parser) checkAddress(peersByName map[string]Peer, path string, peer Peer) error {
	if known, ok := peersByName[peer.Name]; ok && known.Address != peer.Address {
		return p.conflictError(fmt.Sprintf("VM %s has two addresses, %s and %s", peer.Name, known.Address, peer.Address),
			"write the address of its peer listener in both lists", path+".address")
	}
	var others []string
	for _, known := range peersByName {
		if known.Address == peer.Address && known.Name != peer.Name {
			others = append(others, known.Name)
		}
	}
	if len(others) > 0 {
		return p.conflictError(fmt.Sprintf("VM %s has the address %s, which is also that of %s", peer.Name, peer.Address, strings.Join(others, ", ")), "give each VM its own address", path+".address")
	}
	listener := p.settings.Listeners.Peers
	if peer.Name == p.settings.Name && (listener.Port() != peer.Address.Port() || !listener.Addr().IsUnspecified() && listener.Addr() != peer.Address.Addr()) {
		return p.conflictError(fmt.Sprintf("this VM's entry has the address %s, but listeners.peers is %s", peer.Address, listener), "make both addresses the same", path+".address")
	}
	if peer.Name != p.settings.Name && listener == peer.Address {
		return p.conflictError(fmt.Sprintf("VM %s has the address %s, which is listeners.peers of this VM", peer.Name, peer.Address), "give each VM its own address", path+".address")
	}
	return nil
}

func (p *parser) checkData() error {
	if p.settings.Discovered.Enabled() {
		if len(p.settings.Control) > 0 || len(p.settings.Neighbours) > 0 {
			return p.conflictError("discovered.seeds is set together with control or neighbours", "set either discovered.seeds or control and neighbours", "discovered.seeds", "control", "neighbours")
		}
		return nil
	}
	named := false
	for _, peer := range p.settings.Control {
		named = named || peer.Name == p.settings.Name
	}
	if named && p.settings.Data == "" {
		return p.conflictError(p.settings.Name+" is listed in control, but data is empty", "set data to a folder on a local disk, or remove the VM from control", "control")
	}
	if !named && p.settings.Data != "" {
		return p.conflictError(p.settings.Name+" has a data folder, but control does not list it", "add the VM to control, or remove data", "data")
	}
	return nil
}
