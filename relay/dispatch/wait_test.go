package dispatch_test

import (
	"context"
	"errors"
	"fmt"
	"net/netip"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"google.golang.org/protobuf/proto"

	"github.com/chicoryrelay/chicoryrelay/relay/cache"
	"github.com/chicoryrelay/chicoryrelay/relay/catalogue"
	"github.com/chicoryrelay/chicoryrelay/relay/dispatch"
	"github.com/chicoryrelay/chicoryrelay/relay/outcome"
	"github.com/chicoryrelay/chicoryrelay/relay/peer"
	"github.com/chicoryrelay/chicoryrelay/relay/prompt"
	"github.com/chicoryrelay/chicoryrelay/relay/routing"
	"github.com/chicoryrelay/chicoryrelay/relay/upstream"
)

// timeout ends a failing test; it is far above the time that a passing one needs.
const timeout = 20 * time.Second

// startWith runs the dispatcher of a VM whose upstreams e1, e2 and so on have the given slots.
func startWith(vm string, slots ...int) *dispatch.Dispatcher {
	d := dispatch.New(routing.New(routing.WithLocation(vm, "c", "r")))
	d.Run()
	DeferCleanup(d.Stop)
	c := &catalogue.Catalogue{Accounts: map[string]catalogue.Account{"limited": {Name: "limited", Limit: 4}}}
	for i, n := range slots {
		c.Upstreams = append(c.Upstreams, catalogue.Upstream{
			Name: fmt.Sprintf("e%d", i+1), Address: netip.MustParseAddrPort(fmt.Sprintf("10.0.0.%d:8000", i+1)), DataCentre: "c", Region: "r",
			Kind: catalogue.Engine, Model: "m", Weights: "1", Slots: n, State: catalogue.Active,
		})
	}
	d.Configure(c)
	return d
}

func request(id string) dispatch.Request {
	return dispatch.Request{
		ID: id, Assistant: catalogue.Assistant{Model: "m"}, PromptTokens: 10, AnswerTokens: 10, Idempotent: true, Arrived: time.Now(),
	}
}

func acquired(d *dispatch.Dispatcher, r dispatch.Request) *dispatch.Ticket {
	GinkgoHelper()
	ticket, err := d.Acquire(context.Background(), r)
	Expect(err).NotTo(HaveOccurred())
	return ticket
}

// result has the return values of an Acquire in another goroutine.
type result struct {
	ticket *dispatch.Ticket
	err    error
}

func acquireAsync(ctx context.Context, d *dispatch.Dispatcher, id string) <-chan result {
	results := make(chan result, 1)
	go func() {
		ticket, err := d.Acquire(ctx, request(id))
		results <- result{ticket, err}
	}()
	return results
}

func received(results <-chan result) (r result) {
	GinkgoHelper()
	Eventually(results).WithTimeout(timeout).Should(Receive(&r))
	return r
}

func expectInProgress(d *dispatch.Dispatcher, sent, queued int) {
	GinkgoHelper()
	Eventually(func() (counts [2]int) {
		d.Inspect(func(_ time.Duration, core *routing.Core) { counts[0], counts[1] = core.InProgress() })
		return counts
	}).WithTimeout(timeout).Should(Equal([2]int{sent, queued}))
}

func expectNotRun(err error, kind outcome.Kind) {
	GinkgoHelper()
	var refusal *outcome.Refusal
	Expect(errors.As(err, &refusal)).To(BeTrue())
	Expect(refusal.Kind).To(Equal(kind))
	Expect(refusal.Outcome).To(Equal(outcome.NotRun))
}

var _ = Describe("a queued request", func() {
	// expectDispatched ends the only request at the upstream and checks that the queued one takes its slot.
	expectDispatched := func(end func(*dispatch.Ticket)) {
		GinkgoHelper()
		d := startWith("vm1", 1)
		first := acquired(d, request("first"))
		second := acquireAsync(context.Background(), d, "second")
		expectInProgress(d, 1, 1)
		Expect(second).NotTo(Receive())
		end(first)
		r := received(second)
		Expect(r.err).NotTo(HaveOccurred())
		Expect(r.ticket.Upstream.Name).To(Equal("e1"))
		r.ticket.Cancel()
		expectInProgress(d, 0, 0)
	}

	It("is dispatched when another request finishes, without waiting for a new request", func() {
		expectDispatched(func(t *dispatch.Ticket) { t.Finish(1, upstream.Counts{Prompt: 10, Answer: 10}) })
	})

	It("is dispatched when another request is cancelled, without waiting for an answer", func() {
		expectDispatched((*dispatch.Ticket).Cancel)
	})

	It("is removed when its caller goes away, so that no slot is assigned to it later", func() {
		d := startWith("vm1", 1)
		first := acquired(d, request("first"))
		ctx, cancel := context.WithCancel(context.Background())
		second := acquireAsync(ctx, d, "second")
		expectInProgress(d, 1, 1)
		cancel()
		expectNotRun(received(second).err, outcome.Cancelled)
		expectInProgress(d, 1, 0)
		first.Cancel()
		expectInProgress(d, 0, 0)
	})

	It("is refused as not run by Stop, so that its caller neither waits for ever nor assumes that the work may have run", func() {
		d := startWith("vm1", 1)
		acquired(d, request("first"))
		second, third := acquireAsync(context.Background(), d, "second"), acquireAsync(context.Background(), d, "third")
		expectInProgress(d, 1, 2)
		d.Stop()
		expectNotRun(received(second).err, outcome.ShuttingDown)
		expectNotRun(received(third).err, outcome.ShuttingDown)
		_, err := d.Acquire(context.Background(), request("late"))
		expectNotRun(err, outcome.ShuttingDown)
	})
})

var _ = Describe("a caller that goes away while its request is dispatched", func() {
	// expectNothingLeft cancels the ticket if the caller got one, and checks that no request is in progress.
	expectNothingLeft := func(d *dispatch.Dispatcher, results <-chan result) {
		GinkgoHelper()
		if r := received(results); r.err == nil {
			r.ticket.Cancel()
		} else {
			expectNotRun(r.err, outcome.Cancelled)
		}
		expectInProgress(d, 0, 0)
	}

	It("does not leak an upstream's slot if the routing goroutine is deciding", func() {
		d := startWith("vm1", 1)
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		for i := range 200 {
			expectNothingLeft(d, acquireAsync(ctx, d, fmt.Sprint(i)))
		}
	})

	It("does not leak an upstream's slot if the end of another request dispatches its own", func() {
		d := startWith("vm1", 1)
		for i := range 100 {
			first := acquired(d, request("first"))
			ctx, cancel := context.WithCancel(context.Background())
			second := acquireAsync(ctx, d, fmt.Sprint(i))
			expectInProgress(d, 1, 1)
			go cancel()
			first.Finish(1, upstream.Counts{Prompt: 10, Answer: 10})
			expectNothingLeft(d, second)
		}
	})

	It("does not cancel another request in progress if its own was refused for having the same ID", func() {
		d := startWith("vm1", 1)
		first := acquired(d, request("same"))
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		for range 50 {
			_, err := d.Acquire(ctx, request("same"))
			Expect(err).To(HaveOccurred())
		}
		expectInProgress(d, 1, 0)
		first.Cancel()
		expectInProgress(d, 0, 0)
	})

	It("does not remove a queued request, whose caller would wait for ever, if its own was refused for having the same ID", func() {
		d := startWith("vm1", 1)
		first := acquired(d, request("first"))
		queued := acquireAsync(context.Background(), d, "same")
		expectInProgress(d, 1, 1)
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		for range 50 {
			_, err := d.Acquire(ctx, request("same"))
			Expect(err).To(HaveOccurred())
		}
		first.Cancel()
		r := received(queued)
		Expect(r.err).NotTo(HaveOccurred())
		r.ticket.Cancel()
		expectInProgress(d, 0, 0)
	})
})

var _ = Describe("the ticket of a hedged second attempt", func() {
	// hedgeable returns the first ticket of an idempotent request, after enough requests to deposit into the hedge budget.
	hedgeable := func(d *dispatch.Dispatcher) *dispatch.Ticket {
		GinkgoHelper()
		for i := range 100 {
			acquired(d, request(fmt.Sprint(i))).Cancel()
		}
		expectInProgress(d, 0, 0)
		return acquired(d, request("hedged"))
	}

	// expectSecond requests the second ticket and checks that it is for the other upstream.
	expectSecond := func(first *dispatch.Ticket) *dispatch.Ticket {
		GinkgoHelper()
		second, ok := first.StartHedge()
		Expect(ok).To(BeTrue())
		Expect(second.Upstream.Name).NotTo(Equal(first.Upstream.Name))
		Expect(second.Upstream.Address.IsValid()).To(BeTrue())
		return second
	}

	It("is for the other upstream, and does not stay in progress after the answer of the first attempt", func() {
		d := startWith("vm1", 8, 8)
		first := hedgeable(d)
		Expect(first.HedgeDelay).To(BeNumerically(">", 0))
		second := expectSecond(first)
		expectInProgress(d, 1, 0)
		first.Finish(1, upstream.Counts{Prompt: 10, Answer: 10})
		second.Cancel()
		expectInProgress(d, 0, 0)
	})

	It("stays valid when the first attempt is cancelled", func() {
		d := startWith("vm1", 8, 8)
		first := hedgeable(d)
		second := expectSecond(first)
		first.Cancel()
		expectInProgress(d, 1, 0)
		second.Finish(1, upstream.Counts{Prompt: 10, Answer: 10})
		expectInProgress(d, 0, 0)
	})

	It("is refused after the first token, when a second attempt would only repeat the work", func() {
		d := startWith("vm1", 8, 8)
		first := hedgeable(d)
		first.FirstToken(1)
		_, ok := first.StartHedge()
		Expect(ok).To(BeFalse())
	})

	// Guards against a trial that ends two engines, and against a second attempt that is sent after the verdict.
	It("is refused while the request is in quarantine", func() {
		d := startWith("vm1", 8, 8)
		hedgeable(d).Cancel()
		ask := func(id string) *dispatch.Ticket {
			r := request(id)
			r.Fingerprint, r.SharedParts = 7, []uint64{crashingPart}
			return acquired(d, r)
		}
		early := ask("early")
		for i := range 5 {
			d.RequestCrashed(7, fmt.Sprint("e", i), time.Second)
		}
		Eventually(d.Quarantined).WithTimeout(timeout).Should(Equal(1))
		trial := ask("trial")
		for _, ticket := range []*dispatch.Ticket{early, trial} {
			_, ok := ticket.StartHedge()
			Expect(ok).To(BeFalse())
		}
		trial.Finish(1, upstream.Counts{Prompt: 10, Answer: 10})
		Eventually(d.Quarantined).WithTimeout(timeout).Should(BeZero())
		_, ok := early.StartHedge()
		Expect(ok).To(BeTrue())
	})

	It("is refused after Stop, so that the caller does not wait for ever", func() {
		d := startWith("vm1", 8, 8)
		first := hedgeable(d)
		d.Stop()
		_, ok := first.StartHedge()
		Expect(ok).To(BeFalse())
	})
})

var _ = Describe("a digest", func() {
	levels := []prompt.Level{{Hash: 1<<63 + 5, Tokens: 1024}, {Hash: 7, Tokens: 2048}}

	// sent returns the dispatcher's digest as a peer receives it.
	sent := func(d *dispatch.Dispatcher) *peer.Digest {
		GinkgoHelper()
		raw, err := proto.Marshal(d.Digest())
		Expect(err).NotTo(HaveOccurred())
		var arrived peer.Envelope
		Expect(proto.Unmarshal(raw, &arrived)).To(Succeed())
		return arrived.GetDigest()
	}

	requestWithPrompt := func(id string) dispatch.Request {
		r := request(id)
		r.Levels, r.PromptTokens = levels, 2048
		return r
	}

	// explain returns the first upstream as a candidate for a request with the prompt.
	explain := func(d *dispatch.Dispatcher) (c routing.Candidate) {
		d.Inspect(func(now time.Duration, core *routing.Core) {
			c = core.Explain(now, routing.Request{ID: "explain", Model: "m", Levels: levels, PromptTokens: 2048})[0]
		})
		return c
	}

	It("reports the requests in progress to a peer, so that two VMs do not fill the same slots", func() {
		d, other := startWith("vm1", 1), startWith("vm2", 1)
		r := request("a")
		r.Account.Name = "limited"
		acquired(d, r)
		digest := sent(d)
		Expect(digest.GetOutstanding()).To(ConsistOf(HaveField("Name", "e1")))
		Expect(digest.GetOutstanding()[0].GetCount()).To(Equal(uint32(1)))
		Expect(digest.GetAccounts()).To(ConsistOf(HaveField("Name", "limited")))
		Expect(explain(other).Ready).To(BeTrue())
		other.ReceiveDigest("vm1", digest)
		Expect(explain(other).Ready).To(BeFalse())
	})

	It("reports a cached prefix to a peer, so that the VMs do not have it computed at several upstreams", func() {
		d, other := startWith("vm1", 8), startWith("vm2", 8)
		// The peer must know the engine's incarnation, or it ignores the hint.
		for _, vm := range []*dispatch.Dispatcher{d, other} {
			vm.Notify(routing.LoadReport{Upstream: "e1", Incarnation: 9})
		}
		ticket := acquired(d, requestWithPrompt("a"))
		ticket.FirstToken(9)
		ticket.Finish(9, upstream.Counts{Prompt: 2048, Answer: 10})
		expectInProgress(d, 0, 0)
		Expect(explain(other).Cached).To(BeZero())
		digest, longest := sent(d), 0
		for _, hint := range digest.GetHints() {
			longest = max(longest, int(hint.GetTokens()))
		}
		Expect(longest).To(BeNumerically(">", 0))
		other.ReceiveDigest("vm1", digest)
		// Hints are sent for shared levels only, so the peer may know of fewer cached tokens than the VM that sent them.
		Expect(explain(other).Cached).To(Equal(longest))
	})

	It("carries the demand for prefixes, and binds each hint to the scope of its own account", func() {
		d := startWith("vm1", 8)
		d.Notify(routing.LoadReport{Upstream: "e1", Incarnation: 9})
		// A prefix must be used repeatedly to be hot.
		for i := range 8 {
			r := requestWithPrompt(fmt.Sprint(i))
			r.Account.Name = "limited"
			ticket := acquired(d, r)
			ticket.FirstToken(9)
			ticket.Finish(9, upstream.Counts{Prompt: 2048, Answer: 10})
			expectInProgress(d, 0, 0)
		}
		digest := sent(d)
		Expect(digest.GetHot()).To(ContainElement(HaveField("Rate", BeNumerically(">", 0))))
		Expect(digest.GetHints()).NotTo(BeEmpty())
		for _, hint := range digest.GetHints() {
			scope := cache.Scope{Account: hint.GetAccount(), Model: hint.GetModel(), Adapter: hint.GetAdapter(), Weights: hint.GetWeights()}
			Expect(scope).To(Equal(cache.Scope{Account: "limited", Model: "m", Weights: "1"}))
			Expect(hint.GetUpstream()).To(Equal("e1"))
			Expect(hint.GetIncarnation()).To(Equal(uint64(9)))
			Expect(levels).To(ContainElement(prompt.Level{Hash: hint.GetHash(), Tokens: int(hint.GetTokens())}))
		}
	})
})
