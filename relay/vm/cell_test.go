package vm

import (
	"fmt"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/chicoryrelay/chicoryrelay/relay/peer"
)

func TestSuite(t *testing.T) {
	RegisterFailHandler(Fail)
	config, reporter := GinkgoConfiguration()
	config.RandomSeed = 1
	RunSpecs(t, "vm", config, reporter)
}

// rosterOf returns a roster of one control VM and the given number of VMs with callers in each data centre.
func rosterOf(centres map[string]int) *peer.Roster {
	roster := &peer.Roster{Vms: []*peer.RosterVM{{Name: "control", Centre: "a"}}}
	for centre, count := range centres {
		for i := range count {
			roster.Vms = append(roster.Vms, &peer.RosterVM{Name: fmt.Sprint(centre, i), Centre: centre, Callers: true})
		}
	}
	return roster
}

var _ = Describe("cell", func() {
	regions := map[string]string{"a": "north", "b": "north", "c": "south"}

	It("spans all regions in a small system", func() {
		Expect(cellPeers(rosterOf(map[string]int{"a": 3, "b": 3, "c": 2}), "a0", "a", regions)).To(ConsistOf("a1", "a2", "b0", "b1", "b2", "c0", "c1"))
	})

	It("is the data centre in a large system without regions, so that messages do not grow with the square of all VMs", func() {
		Expect(cellPeers(rosterOf(map[string]int{"a": 7, "b": 15}), "a0", "a", nil)).To(ConsistOf("a1", "a2", "a3", "a4", "a5", "a6"))
	})

	It("is the region in a large system, so that its data centres do not each prefill the shared prefixes", func() {
		Expect(cellPeers(rosterOf(map[string]int{"a": 7, "b": 2, "c": 15}), "a0", "a", regions)).To(
			ConsistOf("a1", "a2", "a3", "a4", "a5", "a6", "b0", "b1"))
	})

	It("is the data centre if the region has too many VMs", func() {
		Expect(cellPeers(rosterOf(map[string]int{"a": 6, "b": 40, "c": 15}), "a0", "a", regions)).To(ConsistOf("a1", "a2", "a3", "a4", "a5"))
	})

	It("is empty until the roster is known", func() {
		Expect(cellPeers(nil, "a0", "a", regions)).To(BeEmpty())
	})
})
