package settings

import (
	"fmt"
	"net/netip"
	"strings"
)

// A larger group of voters makes each commit wait for more disks; the design allows seven control VMs.
const mostControl = 7

// clashes refuses values that are each allowed but not together.
func (r *reader) clashes() error {
	for _, check := range []func() error{r.clashingTimes, r.clashingListeners, r.clashingPeers, r.clashingData} {
		if err := check(); err != nil {
			return err
		}
	}
	return nil
}

// clash reports a fault at the first of the fields that the file gives, or else at its beginning.
func (r *reader) clash(problem, remedy string, fields ...string) error {
	for _, field := range fields {
		if offset, ok := r.places[field]; ok {
			return r.fault(offset, field, problem, remedy)
		}
	}
	return r.fault(0, fields[0], problem, remedy)
}

func (r *reader) clashingTimes() error {
	t := r.settings.Times
	if t.Renew >= t.Lease {
		return r.clash(fmt.Sprintf("renew %s is not less than lease %s", t.Renew, t.Lease),
			"make renew at most a third of lease, so that one lost renewal does not end it", "times.renew", "times.lease")
	}
	if t.Heartbeat >= t.Silence {
		return r.clash(fmt.Sprintf("heartbeat %s is not less than silence %s", t.Heartbeat, t.Silence),
			"make heartbeat at most a third of silence, so that one lost heartbeat does not end a connection", "times.heartbeat", "times.silence")
	}
	return nil
}

func (r *reader) clashingListeners() error {
	l := r.settings.Listeners
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
			if overlap(first.address, second.address) {
				return r.clash(fmt.Sprintf("%s and %s listen on the same address %s", first.field, second.field, second.address),
					"give each listener its own port", second.field, first.field)
			}
		}
	}
	return nil
}

// overlap says whether two listeners can't both be opened.
func overlap(a, b netip.AddrPort) bool {
	return a.IsValid() && b.IsValid() && a.Port() == b.Port() && (a.Addr() == b.Addr() || a.Addr().IsUnspecified() || b.Addr().IsUnspecified())
}

func (r *reader) clashingPeers() error {
	if n := len(r.settings.Control); n > mostControl {
		return r.clash(fmt.Sprintf("control names %d VMs", n), fmt.Sprintf("name at most %d, three or five as a rule", mostControl), fmt.Sprintf("control[%d]", mostControl))
	}
	names := map[string]Peer{}
	for _, list := range []struct {
		name  string
		peers []Peer
	}{{"control", r.settings.Control}, {"neighbours", r.settings.Neighbours}} {
		inList := map[string]bool{}
		for i, peer := range list.peers {
			place := fmt.Sprintf("%s[%d]", list.name, i)
			if inList[peer.Name] {
				return r.clash(peer.Name+" is named twice in "+list.name, "give each VM one entry and a name of its own", place+".name")
			}
			inList[peer.Name] = true
			if list.name == "neighbours" && peer.Name == r.settings.Name {
				return r.clash(peer.Name+" is this VM itself", "name only the other VMs of the data centre", place+".name")
			}
			if err := r.sameAddress(names, place, peer); err != nil {
				return err
			}
			names[peer.Name] = peer
		}
	}
	return nil
}

// sameAddress refuses two addresses of one VM and one address of two VMs.
func (r *reader) sameAddress(names map[string]Peer, place string, peer Peer) error {
	if known, ok := names[peer.Name]; ok && known.Address != peer.Address {
		return r.clash(fmt.Sprintf("%s has the addresses %s and %s", peer.Name, known.Address, peer.Address),
			"give the address of its peers' listener in both lists", place+".address")
	}
	var others []string
	for _, known := range names {
		if known.Address == peer.Address && known.Name != peer.Name {
			others = append(others, known.Name)
		}
	}
	if len(others) > 0 {
		return r.clash(fmt.Sprintf("%s has the address %s of %s", peer.Name, peer.Address, strings.Join(others, ", ")), "give each VM its own address", place+".address")
	}
	own := r.settings.Listeners.Peers
	if peer.Name == r.settings.Name && (own.Port() != peer.Address.Port() || !own.Addr().IsUnspecified() && own.Addr() != peer.Address.Addr()) {
		return r.clash(fmt.Sprintf("this VM's entry has the address %s and its peers' listener %s", peer.Address, own), "make them the same", place+".address")
	}
	if peer.Name != r.settings.Name && own == peer.Address {
		return r.clash(fmt.Sprintf("%s has this VM's own address %s", peer.Name, peer.Address), "give each VM its own address", place+".address")
	}
	return nil
}

func (r *reader) clashingData() error {
	if r.settings.Discovered.Used() {
		if len(r.settings.Control) > 0 || len(r.settings.Neighbours) > 0 {
			return r.clash("seeds are given beside named VMs", "name VMs in control and neighbours, or give seeds", "discovered.seeds", "control", "neighbours")
		}
		return nil
	}
	named := false
	for _, peer := range r.settings.Control {
		named = named || peer.Name == r.settings.Name
	}
	if named && r.settings.Data == "" {
		return r.clash(r.settings.Name+" is named in control but has no data folder", "set data to a folder on a local disk, or take the VM out of control", "control")
	}
	if !named && r.settings.Data != "" {
		return r.clash(r.settings.Name+" has a data folder but is not named in control", "add the VM to control, or remove data", "data")
	}
	return nil
}
