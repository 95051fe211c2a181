package dispatch_test

import (
	"context"
	"errors"
	"fmt"
	"net/netip"
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

// startFleet runs a dispatcher with a number of engines that serve the model m.
func startFleet(engines int) *dispatch.Dispatcher {
	d := dispatch.New(routing.New(routing.WithLocation("vm1", "c", "r")))
	d.Run()
	DeferCleanup(d.Stop)
	var list []catalogue.Upstream
	for i := range engines {
		list = append(list, catalogue.Upstream{
			Name: fmt.Sprintf("e%d", i), Address: netip.AddrPortFrom(netip.MustParseAddr("10.0.0.1"), uint16(8000+i)), DataCentre: "c", Region: "r",
			Kind: catalogue.Engine, Model: "m", Weights: "1", Slots: 8, State: catalogue.Active,
		})
	}
	d.Configure(&catalogue.Catalogue{Upstreams: list})
	return d
}

var requestNumber int

// ended are the engines that have ended; they are not used again.
var ended []string

// acquire asks for an engine for a new request with the given parts besides its own last one.
func acquire(d *dispatch.Dispatcher, parts ...uint64) (*dispatch.Ticket, error) {
	requestNumber++
	return d.Acquire(context.Background(), dispatch.Request{
		ID: fmt.Sprint("r", requestNumber), Assistant: catalogue.Assistant{Model: "m"}, SharedParts: parts, PromptTokens: 10, FailedUpstreams: ended,
	})
}

// crash lets an engine end just after it has begun to answer a request with the given parts.
func crash(d *dispatch.Dispatcher, parts ...uint64) {
	GinkgoHelper()
	ticket, err := acquire(d, parts...)
	Expect(err).NotTo(HaveOccurred())
	end(ticket)
}

// end lets the engine of a request end just after its first token.
func end(ticket *dispatch.Ticket) {
	ticket.FirstToken(1)
	ticket.Fail(dispatch.Failure{Sent: true, Received: true, Ended: true})
	ended = append(ended, ticket.Upstream.Name)
}

// answer lets an engine answer a request with the given parts.
func answer(d *dispatch.Dispatcher, parts ...uint64) {
	GinkgoHelper()
	ticket, err := acquire(d, parts...)
	Expect(err).NotTo(HaveOccurred())
	ticket.FirstToken(1)
	ticket.Finish(1, upstream.Counts{Prompt: 10, Answer: 1})
}

var _ = Describe("a prompt part under which engines end", func() {
	BeforeEach(func() { ended = nil })

	// Guards against requests with one part in their prompts that end engine after engine.
	It("reaches no more than three engines after the fifth that ended under it", func() {
		d := startFleet(40)
		sent := 0
		for range 20 {
			ticket, err := acquire(d, sharedPart, crashingPart)
			if err == nil {
				sent++
				end(ticket)
			}
			answer(d, sharedPart, soundPart)
			time.Sleep(crashInterval)
		}
		Expect(sent).To(BeNumerically("<=", 5+3))
	})

	It("is refused at once as not run, while requests with other parts are served", func() {
		d := startFleet(40)
		for range 5 {
			crash(d, sharedPart, crashingPart)
			answer(d, sharedPart, soundPart)
			time.Sleep(crashInterval)
		}
		_, err := acquire(d, sharedPart, crashingPart)
		var refusal *outcome.Refusal
		Expect(errors.As(err, &refusal)).To(BeTrue())
		Expect(refusal.Kind).To(Equal(outcome.Quarantined))
		Expect(refusal.Outcome).To(Equal(outcome.NotRun))
		Expect(refusal.RetryAfter).To(BeNumerically(">", time.Minute))
		answer(d, sharedPart, soundPart)
		Expect(d.Quarantined()).To(Equal(1))
	})

	It("stays in use while engines end that had written for a while", func() {
		d := startFleet(40)
		for range 6 {
			ticket, err := acquire(d, crashingPart)
			Expect(err).NotTo(HaveOccurred())
			ticket.FirstToken(1)
			time.Sleep(beginTime)
			ticket.Fail(dispatch.Failure{Sent: true, Received: true, Ended: true})
			ended = append(ended, ticket.Upstream.Name)
		}
		answer(d, crashingPart)
	})
})
