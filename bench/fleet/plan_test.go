package fleet

import (
	"encoding/json"
	"net/netip"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/chicoryrelay/chicoryrelay/relay/catalogue"
)

func example() Plan {
	return Plan{Base: 7000, Relays: 4, Voters: 3, Engines: 5, Services: 3, Centres: 2, Regions: 2, Platform: true, Model: "m", Version: "1", Slots: 4, Cache: 100, Folder: "f"}
}

// settingAt returns the value at a path of the settings.
func settingAt(settings map[string]any, path ...string) any {
	var value any = settings
	for _, key := range path {
		value = value.(map[string]any)[key]
	}
	return value
}

var _ = Describe("plan", func() {
	It("creates objects that the relay's configuration accepts", func() {
		plan := example()
		objects, err := plan.objects()
		Expect(err).NotTo(HaveOccurred())
		c, err := catalogue.New(1, objects)
		Expect(err).NotTo(HaveOccurred())
		Expect(c.Upstreams).To(HaveLen(8))
		account, ok := c.AccountByKey(Key("coop-1"))
		Expect(ok).To(BeTrue())
		Expect(account.Name).To(Equal("coop-1"))
		Expect(c.Rule("booking", "POST", "/slots").Idempotent).To(BeFalse())
	})

	It("assigns the software versions to the engines in turn, and none without them", func() {
		plan := example()
		for _, versions := range [][]string{nil, {"1.0", "1.1"}} {
			plan.Software = versions
			objects, err := plan.objects()
			Expect(err).NotTo(HaveOccurred())
			c, err := catalogue.New(1, objects)
			Expect(err).NotTo(HaveOccurred())
			var software []string
			for _, u := range c.Upstreams {
				if u.Kind == catalogue.Engine {
					software = append(software, u.Software)
				}
			}
			want := []string{"", "", "", "", ""}
			if versions != nil {
				want = []string{"1.0", "1.1", "1.0", "1.1", "1.0"}
			}
			Expect(software).To(Equal(want))
		}
	})

	It("sets a data folder for voters only, and the same voters for every relay", func() {
		plan := example()
		for i := range plan.Relays {
			settings, err := plan.settings(i)
			Expect(err).NotTo(HaveOccurred())
			Expect(settings["control"]).To(HaveLen(3))
			Expect(settings["neighbours"]).To(HaveLen(min(plan.Relays-1, maxNeighbours)))
			_, voter := settings["data"]
			Expect(voter).To(Equal(i < 3))
		}
	})

	It("assigns a different address to each process", func() {
		plan := example()
		plan.Relays, plan.Engines, plan.Services = maxRelays, maxEngines, maxServices
		seen := map[netip.AddrPort]bool{plan.address(platformPort): true, plan.address(weightsPort): true, plan.address(storePort): true}
		count := len(seen)
		add := func(n int, addresses ...func(int) netip.AddrPort) {
			for i := range n {
				for _, address := range addresses {
					seen[address(i)] = true
					count++
				}
			}
		}
		add(maxRelays, plan.callerAddress, plan.operatorAddress, plan.peerAddress)
		add(maxEngines, plan.engineAddress)
		add(maxServices, plan.serviceAddress)
		Expect(seen).To(HaveLen(count))
	})

	It("changes nested settings and keeps the others", func() {
		plan := example()
		plan.Set = []string{"times.balancer=0s", "limits.queue=5", "routing.policy=robin"}
		settings, err := plan.settings(0)
		Expect(err).NotTo(HaveOccurred())
		Expect(settingAt(settings, "times", "balancer")).To(Equal("0s"))
		Expect(settingAt(settings, "limits", "queue")).To(BeNumerically("==", 5))
		Expect(settingAt(settings, "routing", "policy")).To(Equal("robin"))
		_, err = json.Marshal(settings)
		Expect(err).NotTo(HaveOccurred())
	})

	It("is rejected if it has more voters than relays", func() {
		plan := example()
		plan.Voters = 5
		Expect(plan.check()).To(MatchError(ContainSubstring("voters")))
	})
})
