package vm

import (
	"github.com/chicoryrelay/chicoryrelay/relay/peer"
	"github.com/chicoryrelay/chicoryrelay/relay/routing"
)

const (
	// cellLeast is the number of VMs with callers in a data centre from which the system is divided into cells. VMs share what they
	// have in progress, and what engines hold, within their cell only: among all VMs of a large system that would cost more
	// processor time and traffic between regions than it is worth.
	cellLeast = 6
	// cellMost is the number of VMs with callers up to which a region is one cell; its messages grow with the square of the VMs.
	cellMost = 32
)

// reach returns how far the cell of a VM extends.
func reach(roster *peer.Roster, centre string, regions map[string]string) routing.Span {
	centres, region := 0, 0
	for _, vm := range roster.GetVms() {
		if !vm.GetCallers() {
			continue
		}
		if vm.GetCentre() == centre {
			centres++
		}
		if regionOf(vm.GetCentre(), regions) == regionOf(centre, regions) {
			region++
		}
	}
	switch {
	case centres < cellLeast:
		return routing.Everywhere
	case region <= cellMost:
		return routing.Region
	}
	return routing.Centre
}

// regionOf takes a data centre that no region is set for as a region of its own.
func regionOf(centre string, regions map[string]string) string {
	if region := regions[centre]; region != "" {
		return region
	}
	return centre
}

// cell returns the names of the other VMs that a VM shares its view with.
func cell(roster *peer.Roster, name, centre string, regions map[string]string) []string {
	span := reach(roster, centre, regions)
	var names []string
	for _, vm := range roster.GetVms() {
		near := span == routing.Everywhere || vm.GetCentre() == centre ||
			span == routing.Region && regionOf(vm.GetCentre(), regions) == regionOf(centre, regions)
		if vm.GetCallers() && vm.GetName() != name && near {
			names = append(names, vm.GetName())
		}
	}
	return names
}
