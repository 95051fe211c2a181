package vm

import "github.com/chicoryrelay/chicoryrelay/relay/peer"

// cellSize is the number of VMs with callers in a data centre from which they form a cell of their own. VMs share what they have in
// progress, and what engines hold, within their cell only: among all VMs of a large system that would cost more processor time and
// traffic between regions than it is worth.
const cellSize = 6

// inCell reports whether the VMs of a data centre form a cell of their own.
func inCell(roster *peer.Roster, centre string) bool {
	inside := 0
	for _, vm := range roster.GetVms() {
		if vm.GetCallers() && vm.GetCentre() == centre {
			inside++
		}
	}
	return inside >= cellSize
}

// cell returns the names of the other VMs that a VM shares its view with.
func cell(roster *peer.Roster, name, centre string) []string {
	var near, all []string
	for _, vm := range roster.GetVms() {
		if !vm.GetCallers() {
			continue
		}
		if vm.GetName() == name {
			continue
		}
		all = append(all, vm.GetName())
		if vm.GetCentre() == centre {
			near = append(near, vm.GetName())
		}
	}
	if inCell(roster, centre) {
		return near
	}
	return all
}
