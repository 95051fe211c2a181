package vm

import (
	"github.com/chicoryrelay/chicoryrelay/relay/peer"
	"github.com/chicoryrelay/chicoryrelay/relay/routing"
)

const (
	// minCentreVMs is the number of VMs with callers in a data centre from which the system is divided into cells. VMs exchange their
	// requests in progress and the cache contents of engines within their cell only: among all VMs of a large system the exchange
	// costs more processor time and traffic between regions than it saves.
	minCentreVMs = 6
	// maxRegionVMs is the number of VMs with callers up to which a region is one cell; messages grow with the square of the VMs.
	maxRegionVMs = 32
)

// cellSpan returns the span of the cell of a data centre's VMs.
func cellSpan(roster *peer.Roster, centre string, regions map[string]string) routing.Span {
	inCentre, inRegion := 0, 0
	for _, vm := range roster.GetVms() {
		if !vm.GetCallers() {
			continue
		}
		if vm.GetCentre() == centre {
			inCentre++
		}
		if regionOf(vm.GetCentre(), regions) == regionOf(centre, regions) {
			inRegion++
		}
	}
	switch {
	case inCentre < minCentreVMs:
		return routing.Everywhere
	case inRegion <= maxRegionVMs:
		return routing.Region
	}
	return routing.Centre
}

// regionOf returns the region of a data centre, which is the data centre itself if no region is set for it.
func regionOf(centre string, regions map[string]string) string {
	if region := regions[centre]; region != "" {
		return region
	}
	return centre
}

// cellPeers returns the names of the other VMs with callers in a VM's cell.
func cellPeers(roster *peer.Roster, name, centre string, regions map[string]string) []string {
	span := cellSpan(roster, centre, regions)
	var names []string
	for _, vm := range roster.GetVms() {
		inSpan := span == routing.Everywhere || vm.GetCentre() == centre ||
			span == routing.Region && regionOf(vm.GetCentre(), regions) == regionOf(centre, regions)
		if vm.GetCallers() && vm.GetName() != name && inSpan {
			names = append(names, vm.GetName())
		}
	}
	return names
}
