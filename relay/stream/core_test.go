package stream_test

import (
	"fmt"
	"math/rand/v2"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/chicoryrelay/chicoryrelay/relay/stream"
)

var version = stream.Version{Model: "m", Weights: "1"}

func event(sequence uint64) stream.Event {
	return stream.Event{Request: "r", Sequence: sequence}
}

func expectVerdict(core *stream.Core, e stream.Event, verdict stream.Verdict) {
	GinkgoHelper()
	Expect(core.Accept(e)).To(Equal(verdict))
}

var _ = Describe("stream core", func() {
	var core *stream.Core

	BeforeEach(func() { core = stream.New("r", version, 0) })

	It("drops an event of another request, so that two responses are not mixed", func() {
		expectVerdict(core, stream.Event{Request: "other"}, stream.Foreign)
		Expect(core.Next()).To(BeZero())
	})

	It("drops a duplicate event, so that no token is delivered twice", func() {
		expectVerdict(core, event(0), stream.Deliver)
		expectVerdict(core, event(0), stream.Duplicate)
	})

	It("reports a gap if events are missing, so that no text is lost", func() {
		expectVerdict(core, event(1), stream.Gap)
	})

	It("refuses to resume with other weights once a token was delivered", func() {
		core.Accept(event(0))
		Expect(core.Resume(stream.Version{Model: "m", Weights: "2"})).To(BeFalse())
		Expect(core.Resume(version)).To(BeTrue())
	})

	It("refuses to resume at another software version once a token was delivered", func() {
		began := stream.Version{Model: "m", Weights: "1", Software: "1.0"}
		Expect(core.Resume(stream.Version{Model: "m", Weights: "1", Software: "1.1"})).To(BeTrue())
		Expect(core.Resume(began)).To(BeTrue())
		core.Accept(event(0))
		Expect(core.Resume(stream.Version{Model: "m", Weights: "1", Software: "1.1"})).To(BeFalse())
		Expect(core.Resume(version)).To(BeFalse())
		Expect(core.Resume(began)).To(BeTrue())
	})

	It("drops events after the finish reason", func() {
		core.Accept(stream.Event{Request: "r", Finish: true})
		expectVerdict(core, event(1), stream.AfterEnd)
	})

	for seed := uint64(1); seed <= 50; seed++ {
		It(fmt.Sprintf("delivers every event once and in order despite lost, repeated and foreign events, seed %d", seed), func() {
			expectOrderedDelivery(core, rand.New(rand.NewPCG(seed, 0)))
		})
	}
})

func expectOrderedDelivery(core *stream.Core, random *rand.Rand) {
	GinkgoHelper()
	const length = 40
	var delivered []uint64
	position := uint64(0)
	for !core.Ended() {
		e := event(position)
		switch random.IntN(6) {
		case 0:
			e.Request = "other"
		case 1:
			e.Sequence = uint64(random.IntN(length))
		default:
			position++
		}
		e.Finish = e.Sequence == length-1
		switch core.Accept(e) {
		case stream.Deliver:
			delivered = append(delivered, e.Sequence)
		case stream.Gap:
			position = core.Next()
		}
		if position == length {
			position = core.Next()
		}
	}
	Expect(delivered).To(HaveLen(length))
	for i, sequence := range delivered {
		Expect(sequence).To(Equal(uint64(i)))
	}
}
