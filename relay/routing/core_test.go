package routing_test

import (
	"fmt"
	"net/netip"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/chicoryrelay/chicoryrelay/relay/catalogue"
	"github.com/chicoryrelay/chicoryrelay/relay/outcome"
	"github.com/chicoryrelay/chicoryrelay/relay/prompt"
	"github.com/chicoryrelay/chicoryrelay/relay/routing"
)

// newUpstreams returns n engines of one model in one data centre, with the given changes.
func newUpstreams(n int, change ...func(i int, u *catalogue.Upstream)) []catalogue.Upstream {
	list := make([]catalogue.Upstream, n)
	for i := range list {
		list[i] = catalogue.Upstream{
			Name: fmt.Sprintf("u%d", i), Address: netip.MustParseAddrPort("127.0.0.1:1"), DataCentre: "dc", Region: "r",
			Kind: catalogue.Engine, Model: "m", Weights: "1", Slots: 4, Cache: 20_000, State: catalogue.Active,
		}
		for _, f := range change {
			f(i, &list[i])
		}
	}
	return list
}

func newCore(list []catalogue.Upstream, opts ...routing.Option) *routing.Core {
	core := routing.New(append([]routing.Option{routing.WithLocation("vm", "dc", "r")}, opts...)...)
	core.Step(0, routing.Upstreams{List: list})
	return core
}

// newRequest returns a request whose prompt has a level for each text; equal numbers are equal texts.
func newRequest(id int, texts ...uint64) routing.Request {
	r := routing.Request{ID: fmt.Sprint(id), Account: "a", Model: "m", Idempotent: true, PromptTokens: 100, AnswerTokens: 10}
	hash := uint64(7)
	for _, text := range texts {
		hash = hash*31 + text
		r.PromptTokens += 2000
		r.Levels = append(r.Levels, prompt.Level{Hash: hash, Tokens: r.PromptTokens - 100})
	}
	return r
}

func serve(core *routing.Core, now time.Duration, r routing.Request, d routing.Decision) {
	core.Step(now, routing.FirstToken{ID: r.ID, Upstream: d.Upstream, Incarnation: 1})
	core.Step(now, routing.Finished{ID: r.ID, Upstream: d.Upstream, Incarnation: 1, PromptTokens: r.PromptTokens, CachedTokens: d.CachedTokens, AnswerTokens: 10})
}

func expectRefused(d routing.Decision, kind outcome.Kind) {
	GinkgoHelper()
	Expect(d.Refusal).NotTo(BeNil())
	Expect(d.Refusal.Kind).To(Equal(kind))
	Expect(d.Refusal.Outcome).To(Equal(outcome.NotRun))
}

var _ = Describe("core", func() {
	It("sends requests with an equal prefix to one upstream, so that no other computes it again", func() {
		core := newCore(newUpstreams(5))
		first := core.Decide(0, newRequest(1, 1, 2))
		serve(core, time.Second, newRequest(1, 1, 2), first)
		second := core.Decide(2*time.Second, newRequest(2, 1, 2))
		Expect(second.Upstream).To(Equal(first.Upstream))
		Expect(second.CachedTokens).To(Equal(4000))
	})

	It("reports no upstream for an unknown model", func() {
		r := newRequest(1)
		r.Model = "other"
		expectRefused(newCore(newUpstreams(1)).Decide(0, r), outcome.NoUpstream)
	})

	It("queues a request while all upstreams are busy and dispatches it when one is free", func() {
		core := newCore(newUpstreams(1, func(_ int, u *catalogue.Upstream) { u.Slots = 1 }))
		Expect(core.Decide(0, newRequest(1)).Upstream).To(Equal("u0"))
		Expect(core.Decide(0, newRequest(2)).Queued).To(BeTrue())
		effects := core.Step(time.Second, routing.Finished{ID: "1", Upstream: "u0", Incarnation: 1})
		Expect(effects.Released).To(HaveLen(1))
		Expect(effects.Released[0].ID).To(Equal("2"))
		Expect(effects.Released[0].Decision.Upstream).To(Equal("u0"))
	})
})
