package dispatch_test

import (
	"context"
	"errors"
	"fmt"
	"net/netip"
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/chicoryrelay/chicoryrelay/relay/catalogue"
	"github.com/chicoryrelay/chicoryrelay/relay/dispatch"
	"github.com/chicoryrelay/chicoryrelay/relay/outcome"
	"github.com/chicoryrelay/chicoryrelay/relay/routing"
	"github.com/chicoryrelay/chicoryrelay/relay/upstream"
)

// Parts of prompts: the first is shared by all requests, engines end under the second.
const (
	sharedPart   = 1
	crashingPart = 2
	soundPart    = 3
)

// beginTime is longer than a crash counts after the first token.
const beginTime = 1100 * time.Millisecond

// crashInterval is the time between two crashes.
const crashInterval = 300 * time.Millisecond

// fleet is a dispatcher with engines that serve the model m.
type fleet struct {
	*dispatch.Dispatcher
	engines  []catalogue.Upstream
	requests int
}

func startFleet(engines int) *fleet {
	f := &fleet{Dispatcher: dispatch.New(routing.New(routing.WithLocation("vm1", "c", "r")))}
	f.Run()
	DeferCleanup(f.Stop)
	for i := range engines {
		f.engines = append(f.engines, catalogue.Upstream{
			Name: fmt.Sprintf("e%d", i), Address: netip.AddrPortFrom(netip.MustParseAddr("10.0.0.1"), uint16(8000+i)), DataCentre: "c", Region: "r",
			Kind: catalogue.Engine, Model: "m", Weights: "1", Slots: 8, State: catalogue.Active,
		})
	}
	f.Configure(&catalogue.Catalogue{Upstreams: f.engines})
	return f
}

// acquire asks for an engine for a new request with the given parts besides its own last one.
func (f *fleet) acquire(parts ...uint64) (*dispatch.Ticket, error) {
	f.requests++
	return f.acquireAgain(fmt.Sprint("r", f.requests), nil, parts...)
}

// acquireAgain asks for an engine for a request that has failed at others.
func (f *fleet) acquireAgain(id string, failed []string, parts ...uint64) (*dispatch.Ticket, error) {
	return f.Acquire(context.Background(), dispatch.Request{
		ID: id, Assistant: catalogue.Assistant{Model: "m"}, SharedParts: parts, PromptTokens: 10, FailedUpstreams: failed,
	})
}

// crash lets an engine end just after it has begun to answer a request with the given parts.
func (f *fleet) crash(parts ...uint64) {
	GinkgoHelper()
	ticket, err := f.acquire(parts...)
	Expect(err).NotTo(HaveOccurred())
	ticket.FirstToken(1)
	f.end(ticket)
}

// end lets the engine of a request end; it does not come back.
func (f *fleet) end(ticket *dispatch.Ticket) {
	ticket.Fail(dispatch.Failure{Sent: true, Received: true, Ended: true})
	f.engines = slices.DeleteFunc(f.engines, func(u catalogue.Upstream) bool { return u.Name == ticket.Upstream.Name })
	f.Configure(&catalogue.Catalogue{Upstreams: f.engines})
}

// answer lets an engine answer a request with the given parts.
func (f *fleet) answer(parts ...uint64) {
	GinkgoHelper()
	ticket, err := f.acquire(parts...)
	Expect(err).NotTo(HaveOccurred())
	ticket.FirstToken(1)
	ticket.Finish(1, upstream.Counts{Prompt: 10, Answer: 1})
}

var _ = Describe("a prompt part under which engines end", func() {
	// Guards against requests with one part in their prompts that end engine after engine.
	It("reaches no more than three engines after the fifth that ended under it", func() {
		f := startFleet(40)
		sent := 0
		for range 20 {
			ticket, err := f.acquire(sharedPart, crashingPart)
			if err == nil {
				sent++
				ticket.FirstToken(1)
				f.end(ticket)
			}
			f.answer(sharedPart, soundPart)
			time.Sleep(crashInterval)
		}
		Expect(sent).To(BeNumerically("<=", 5+3))
	})

	It("is refused at once as not run, while requests with other parts are served", func() {
		f := startFleet(40)
		for range 5 {
			f.crash(sharedPart, crashingPart)
			f.answer(sharedPart, soundPart)
			time.Sleep(crashInterval)
		}
		_, err := f.acquire(sharedPart, crashingPart)
		var refusal *outcome.Refusal
		Expect(errors.As(err, &refusal)).To(BeTrue())
		Expect(refusal.Kind).To(Equal(outcome.Quarantined))
		Expect(refusal.Outcome).To(Equal(outcome.NotRun))
		Expect(refusal.RetryAfter).To(BeNumerically(">", time.Minute))
		f.answer(sharedPart, soundPart)
		Expect(f.Quarantined()).To(Equal(1))
	})

	// Guards against an answer that is put together from pieces, under each of which an engine ended, and clears the part.
	It("is not cleared by an answer that engine after engine wrote a piece of", func() {
		f := startFleet(40)
		sent := 0
		for n := range 12 {
			id, failed := fmt.Sprint("s", n), []string(nil)
			for range 3 {
				ticket, err := f.acquireAgain(id, failed, sharedPart, crashingPart)
				if err != nil {
					break
				}
				sent++
				ticket.FirstToken(1)
				if len(failed) == 2 {
					ticket.Finish(1, upstream.Counts{Prompt: 10, Answer: 1})
					break
				}
				f.end(ticket)
				failed = append(failed, ticket.Upstream.Name)
			}
			time.Sleep(crashInterval)
		}
		Expect(sent).To(BeNumerically("<=", 5+3))
	})

	It("stays in use while engines end that had written for a while", func() {
		f := startFleet(40)
		for range 6 {
			ticket, err := f.acquire(crashingPart)
			Expect(err).NotTo(HaveOccurred())
			ticket.FirstToken(1)
			time.Sleep(beginTime)
			f.end(ticket)
		}
		f.answer(crashingPart)
	})
})
