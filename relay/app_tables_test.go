package main

import (
	"net/netip"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/chicoryrelay/chicoryrelay/relay/capacity"
	"github.com/chicoryrelay/chicoryrelay/relay/catalogue"
	"github.com/chicoryrelay/chicoryrelay/relay/dispatch"
	"github.com/chicoryrelay/chicoryrelay/relay/operator/view"
	"github.com/chicoryrelay/chicoryrelay/relay/routing"
)

// newObserved returns a dispatcher with two engines, of which each was observed 20 times if speeds are learned.
func newObserved(speeds bool) *dispatch.Dispatcher {
	d := dispatch.New(routing.New(routing.WithLocation("vm1", "c", "r"), routing.WithSpeeds(speeds)))
	d.Run()
	DeferCleanup(d.Stop)
	engine := func(name string, port uint16) catalogue.Upstream {
		return catalogue.Upstream{
			Name: name, Address: netip.AddrPortFrom(netip.MustParseAddr("10.0.0.1"), port), DataCentre: "c", Region: "r", Kind: catalogue.Engine,
			Model: "m", Weights: "1", Slots: 8, State: catalogue.Active,
		}
	}
	d.Configure(&catalogue.Catalogue{Upstreams: []catalogue.Upstream{engine("e1", 8000), engine("e2", 8001)}})
	d.Inspect(func(now time.Duration, core *routing.Core) {
		for range 20 {
			for _, name := range []string{"e1", "e2"} {
				if speeds {
					core.Speeds().Observe(now, capacity.Observation{Server: name, Kind: capacity.Prefill, Load: 0.1, Ratio: 1})
				}
			}
		}
	})
	return d
}

var _ = Describe("the table of upstreams", func() {
	// Guards against operators who can't see what a VM has learned of an upstream.
	It("shows speed, knee, age and number of observations of each upstream that was observed", func() {
		rows := view.Merge([]view.Row{{"name": "e1"}, {"name": "e2"}, {"name": "b1"}}, "name", speedRows(newObserved(true)))
		for _, row := range rows[:2] {
			Expect(row).To(And(HaveKeyWithValue("speed", 1.0), HaveKeyWithValue("knee", 1.0)))
			// The first eight observations of the group only fill its curve.
			Expect(row["observations"]).To(Equal(16))
			Expect(row["observed"]).To(BeNumerically("<", 10*time.Second))
		}
		Expect(rows[2]).To(Equal(view.Row{"name": "b1"}))
		for column := range rows[0] {
			Expect(view.Columns("upstreams")).To(ContainElement(column))
		}
	})

	It("has nothing of speeds while none are learned", func() {
		Expect(speedRows(newObserved(false))).To(BeEmpty())
	})

	It("rounds speeds and ages", func() {
		Expect(speedRow(capacity.State{Server: "e1", Factor: 1.6049, Knee: 0.625, Age: 1_250_400 * time.Microsecond, Observations: 40})).To(Equal(view.Row{
			"speed": 1.6, "knee": 0.625, "observed": 1250 * time.Millisecond, "observations": 40,
		}))
	})
})
