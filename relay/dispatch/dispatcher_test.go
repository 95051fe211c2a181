package dispatch_test

import (
	"context"
	"fmt"
	"net/netip"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/chicoryrelay/chicoryrelay/relay/catalogue"
	"github.com/chicoryrelay/chicoryrelay/relay/dispatch"
	"github.com/chicoryrelay/chicoryrelay/relay/routing"
)

// start runs a dispatcher with one upstream, which serves the model m.
func start() *dispatch.Dispatcher {
	d := dispatch.New(routing.New(routing.WithLocation("vm1", "c", "r")))
	d.Run()
	DeferCleanup(d.Stop)
	d.Configure(&catalogue.Catalogue{Upstreams: []catalogue.Upstream{{
		Name: "e1", Address: netip.MustParseAddrPort("10.0.0.1:8000"), DataCentre: "c", Region: "r", Kind: catalogue.Engine,
		Model: "m", Weights: "1", Slots: 8, State: catalogue.Active,
	}}})
	return d
}

// exclusionReason returns why the upstream is no candidate for requests, empty if it is one.
func exclusionReason(d *dispatch.Dispatcher) (reason string) {
	d.Inspect(func(now time.Duration, core *routing.Core) {
		reason = fmt.Sprint(core.Explain(now, routing.Request{ID: "explain", Model: "m", PromptTokens: 10})[0].ExclusionReason)
	})
	return reason
}

var _ = Describe("a failed attempt", func() {
	It("is retried at once, whether idempotent or not, outside the retry budget and without counting as a crash, if the upstream did not run it", func() {
		d := start()
		before := exclusionReason(d)
		for i := range 50 {
			ticket, err := d.Acquire(context.Background(), dispatch.Request{ID: fmt.Sprint(i), Assistant: catalogue.Assistant{Model: "m"}})
			Expect(err).NotTo(HaveOccurred())
			wait, retry := ticket.Fail(dispatch.Failure{Sent: true, NotRun: true})
			Expect(retry).To(BeTrue())
			Expect(wait).To(BeZero())
		}
		Expect(exclusionReason(d)).To(Equal(before))
	})

	It("is not retried if the request may have run and is not idempotent", func() {
		ticket, err := start().Acquire(context.Background(), dispatch.Request{ID: "a", Assistant: catalogue.Assistant{Model: "m"}})
		Expect(err).NotTo(HaveOccurred())
		_, retry := ticket.Fail(dispatch.Failure{Sent: true})
		Expect(retry).To(BeFalse())
	})
})
