package order_test

import (
	"fmt"
	"net/netip"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/chicoryrelay/chicoryrelay/relay/catalogue"
	"github.com/chicoryrelay/chicoryrelay/relay/order"
)

var address = netip.MustParseAddrPort("10.0.0.1:8000")

// harness is a core with simulated engines, whose reports the test sets.
type harness struct {
	core      *order.Core
	now       time.Duration
	upstreams []catalogue.Upstream
	reports   map[string]order.Report
}

// newHarness creates one engine per model, named e0, e1 and so on, that serves weights 1 and is configured for weights 2.
func newHarness(models ...string) *harness {
	h := &harness{now: time.Second, reports: map[string]order.Report{}, core: order.New(
		order.WithMaxLoads(2), order.WithMaxTransit(time.Second), order.WithSendWindow(time.Second), order.WithMaxLoadTime(time.Minute), order.WithStaleAge(5*time.Second),
	)}
	for i, model := range models {
		name := fmt.Sprintf("e%d", i)
		h.upstreams = append(h.upstreams, catalogue.Upstream{Name: name, Address: address, Kind: catalogue.Engine, Model: model, Weights: "2", State: catalogue.Active})
		h.reports[name] = order.Report{Upstream: name, Address: address, Version: order.ModelVersion{Model: model, Weights: "1"}}
	}
	return h
}

func (h *harness) configure(version uint64) {
	h.core.Step(h.now, order.DesiredState{Version: version, Upstreams: h.upstreams})
}

// tick advances the time, delivers a new report of each engine that reports, and returns the orders of one Tick.
func (h *harness) tick(d time.Duration, lease order.Lease) []order.Order {
	h.core.Step(h.now, lease)
	h.now += d
	for _, u := range h.upstreams {
		if report, ok := h.reports[u.Name]; ok {
			report.MadeAt = h.now
			h.core.Step(h.now, report)
		}
	}
	h.core.Step(h.now, lease)
	return h.core.Step(h.now, order.Tick{}).Orders
}

// exclusiveLease is a lease after the previous holder's orders have ended.
var exclusiveLease = order.Lease{FencingNumber: 3, PreviousEnded: true}

// expectOrders fails unless exactly the given engines get orders.
func expectOrders(orders []order.Order, upstreams ...string) {
	GinkgoHelper()
	names := []string{}
	for _, o := range orders {
		names = append(names, o.Upstream)
	}
	Expect(names).To(Equal(append([]string{}, upstreams...)))
}

var _ = Describe("core", func() {
	It("orders the configured version that a report lacks, under the lease's fencing number", func() {
		h := newHarness("a")
		h.configure(1)
		orders := h.tick(time.Second, exclusiveLease)
		expectOrders(orders, "e0")
		Expect(orders[0]).To(Equal(order.Order{
			ID: 1, Upstream: "e0", Address: address, FencingNumber: 3, Kind: order.Load, Version: order.ModelVersion{Model: "a", Weights: "2"}, SendDeadline: h.now + time.Second,
		}))
	})

	It("permits an order only until its deadline and under the fencing number that it was decided under", func() {
		o := order.Order{FencingNumber: 3, SendDeadline: time.Second}
		Expect(o.MaySend(time.Second, exclusiveLease)).To(BeTrue())
		Expect(o.MaySend(time.Second+1, exclusiveLease)).To(BeFalse())
		Expect(o.MaySend(time.Second, order.Lease{})).To(BeFalse())
		Expect(o.MaySend(time.Second, order.Lease{FencingNumber: 4, PreviousEnded: true})).To(BeFalse())
	})

	It("sends no order without the lease and no load order before the previous holder's orders have ended", func() {
		h := newHarness("a")
		h.configure(1)
		expectOrders(h.tick(time.Second, order.Lease{}))
		expectOrders(h.tick(time.Second, order.Lease{FencingNumber: 3}))
	})

	It("sends a role order before the previous holder's orders have ended only to an engine that checks fencing numbers", func() {
		h := newHarness("a", "a")
		h.upstreams[0].Fenced = true
		for i := range h.upstreams {
			h.upstreams[i].Role = catalogue.RolePrefill
		}
		h.configure(1)
		expectOrders(h.tick(time.Second, order.Lease{FencingNumber: 3}), "e0")
	})

	It("treats a report without a role as the role both, so that it does not repeat a role order forever", func() {
		h := newHarness("a")
		h.upstreams[0].Role, h.upstreams[0].Weights = catalogue.RoleBoth, "1"
		h.configure(1)
		expectOrders(h.tick(time.Second, exclusiveLease))
	})

	It("retries an order without effect with a growing backoff", func() {
		h := newHarness("a")
		h.configure(1)
		expectOrders(h.tick(time.Second, exclusiveLease), "e0")
		h.core.Step(h.now, order.SendResult{Upstream: "e0", ID: 1, Result: order.NotSent})
		expectOrders(h.tick(900*time.Millisecond, exclusiveLease))
		expectOrders(h.tick(200*time.Millisecond, exclusiveLease), "e0")
		h.core.Step(h.now, order.SendResult{Upstream: "e0", ID: 2, Result: order.NotSent})
		expectOrders(h.tick(1500*time.Millisecond, exclusiveLease))
		expectOrders(h.tick(600*time.Millisecond, exclusiveLease), "e0")
	})

	It("does not mistake a late answer to an earlier order for the answer to the outstanding one", func() {
		h := newHarness("a")
		h.configure(1)
		h.tick(time.Second, exclusiveLease)
		expectOrders(h.tick(3*time.Second, exclusiveLease), "e0")
		h.core.Step(h.now, order.SendResult{Upstream: "e0", ID: 1, Result: order.Refused})
		expectOrders(h.tick(2*time.Second, exclusiveLease))
	})

	It("frees the load slot of an engine that does not report for the maximum load time, so that a dead engine does not block the others", func() {
		h := newHarness("a", "b", "c", "d")
		h.configure(1)
		expectOrders(h.tick(time.Second, exclusiveLease), "e0", "e1")
		delete(h.reports, "e0")
		delete(h.reports, "e1")
		expectOrders(h.tick(50*time.Second, exclusiveLease))
		expectOrders(h.tick(15*time.Second, exclusiveLease), "e2", "e3")
	})

	It("ignores a configuration older than the current one, which would roll engines back", func() {
		h := newHarness("a")
		h.configure(2)
		h.upstreams[0].Weights = "1"
		h.configure(1)
		expectOrders(h.tick(time.Second, exclusiveLease), "e0")
	})

	It("uses the report that was made last when reports arrive out of order", func() {
		h := newHarness("a")
		h.configure(1)
		h.core.Step(h.now, exclusiveLease)
		latest := h.reports["e0"]
		latest.Version.Weights, latest.MadeAt = "2", h.now+time.Second
		h.core.Step(h.now, latest)
		outOfOrder := h.reports["e0"]
		outOfOrder.MadeAt = h.now + time.Millisecond
		delete(h.reports, "e0")
		h.core.Step(h.now, outOfOrder)
		expectOrders(h.tick(time.Second, exclusiveLease))
	})

	It("ignores a report from another address, which may be that of another engine", func() {
		h := newHarness("a")
		h.configure(1)
		other := h.reports["e0"]
		other.Address = netip.MustParseAddrPort("10.0.0.2:8000")
		h.reports["e0"] = other
		expectOrders(h.tick(time.Second, exclusiveLease))
	})
})

var _ = Describe("core with several replicas of a model", func() {
	It("keeps half of them serving during loads", func() {
		h := newHarness("a", "a", "a")
		h.configure(1)
		expectOrders(h.tick(time.Second, exclusiveLease), "e0", "e1")
		h = newHarness("a", "a")
		h.configure(1)
		expectOrders(h.tick(time.Second, exclusiveLease), "e0")
	})

	It("does not load the last serving replica while the other one is down", func() {
		h := newHarness("a", "a")
		delete(h.reports, "e1")
		h.configure(1)
		expectOrders(h.tick(time.Second, exclusiveLease))
		expectOrders(h.tick(2*time.Minute, exclusiveLease))
	})

	It("loads draining engines at the same time, since they serve no requests", func() {
		h := newHarness("a", "a")
		h.upstreams[0].State, h.upstreams[1].State = catalogue.Draining, catalogue.Draining
		h.configure(1)
		expectOrders(h.tick(time.Second, exclusiveLease), "e0", "e1")
	})

	It("swaps the models of two engines one after the other, although each waits for the other to replace it", func() {
		h := newHarness("a", "b")
		h.upstreams[0].Model, h.upstreams[1].Model = "b", "a"
		h.configure(1)
		expectOrders(h.tick(time.Second, exclusiveLease), "e0")
	})
})

var _ = Describe("effective upstreams", func() {
	engine := catalogue.Upstream{Name: "e0", Address: address, Kind: catalogue.Engine, Model: "m", Weights: "2", State: catalogue.Active}
	report := order.Report{Upstream: "e0", Address: address, Version: order.ModelVersion{Model: "m", Weights: "1"}}

	DescribeTable("follow the load report, so that no request for the configured version reaches an engine that serves another one",
		func(change func(*order.Report), weights string, state catalogue.UpstreamState) {
			r := report
			change(&r)
			effective := order.Effective([]catalogue.Upstream{engine}, map[string]order.Report{"e0": r})
			Expect(effective).To(HaveLen(1))
			Expect(effective[0].Weights).To(Equal(weights))
			Expect(effective[0].State).To(Equal(state))
		},
		Entry("when the engine serves another version", func(*order.Report) {}, "1", catalogue.Active),
		Entry("when the engine is loading", func(r *order.Report) { r.Loading = true }, "1", catalogue.Draining),
		Entry("unless the engine reports no version", func(r *order.Report) { r.Version = order.ModelVersion{} }, "2", catalogue.Active),
		Entry("unless the report comes from another address", func(r *order.Report) { r.Address = netip.AddrPort{} }, "2", catalogue.Active),
	)

	DescribeTable("follow the software version in the load report, so that a stream is resumed only where its version runs",
		func(reported, software string) {
			configured, r := engine, report
			configured.Software, r.Software = "1.0", reported
			effective := order.Effective([]catalogue.Upstream{configured}, map[string]order.Report{"e0": r})
			Expect(effective[0].Software).To(Equal(software))
		},
		Entry("when the engine runs another version", "1.1", "1.1"),
		Entry("unless the engine reports none", "", "1.0"),
		Entry("unless it is no version", "1.1\n", "1.0"),
		Entry("unless it is too long", strings.Repeat("1", 129), "1.0"),
	)

	It("equal the configured ones before the first report and for services", func() {
		service := catalogue.Upstream{Name: "s", Address: address, Kind: catalogue.Service, State: catalogue.Active}
		reports := map[string]order.Report{"s": {Upstream: "s", Address: address, Loading: true}}
		Expect(order.Effective([]catalogue.Upstream{engine, service}, reports)).To(Equal([]catalogue.Upstream{engine, service}))
	})
})
