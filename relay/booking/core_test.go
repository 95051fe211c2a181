package booking_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/chicoryrelay/chicoryrelay/coord/ledger"
	"github.com/chicoryrelay/chicoryrelay/relay/booking"
	"github.com/chicoryrelay/chicoryrelay/relay/outcome"
)

const second = time.Second

var attempt = ledger.Attempt{1}

func replyEvent(kind booking.EventKind, verdict ledger.Verdict) booking.Event {
	return booking.Event{Kind: kind, Reply: ledger.Reply{Verdict: verdict, Attempt: attempt, Answer: []byte("slot 9")}}
}

func event(kind booking.EventKind) booking.Event { return booking.Event{Kind: kind} }

var granted = replyEvent(booking.Granted, ledger.Granted)

var _ = Describe("booking core", func() {
	var (
		core   *booking.Core
		leased bool
		resent bool
	)

	BeforeEach(func() { leased, resent = true, false })

	// runEvents starts a call, applies the events one second apart and returns the effects of the last one.
	runEvents := func(events ...booking.Event) []booking.Effect {
		claim := ledger.Claim{Key: ledger.Key{Account: "baths", Key: "k"}, Attempt: attempt, Resent: resent}
		core = booking.New(booking.Call{Claim: claim, Replicas: 2}, booking.WithLeaseCheck(func(time.Duration) bool { return leased }))
		effects := core.Step(0, event(booking.Start))
		for i, e := range events {
			effects = core.Step(time.Duration(i+1)*second, e)
		}
		return effects
	}
	expectKinds := func(effects []booking.Effect, kinds ...booking.EffectKind) {
		GinkgoHelper()
		got := []booking.EffectKind{}
		for _, effect := range effects {
			got = append(got, effect.Kind)
		}
		Expect(got).To(Equal(append([]booking.EffectKind{}, kinds...)))
	}
	expectRefusal := func(effects []booking.Effect, kind outcome.Kind, want outcome.Outcome) {
		GinkgoHelper()
		Expect(effects).NotTo(BeEmpty())
		Expect(effects[0].Kind).To(Equal(booking.AnswerCaller))
		Expect(effects[0].Outcome()).To(Equal(want))
		Expect(effects[0].Refusal.Kind).To(Equal(kind))
	}

	It("dispatches once after the grant and completes with the answer", func() {
		expectKinds(runEvents(), booking.SendClaim)
		expectKinds(runEvents(granted), booking.Dial)
		expectKinds(runEvents(granted, event(booking.Dialled)), booking.Dispatch)
		Expect(core.Step(3*second, event(booking.Dialled))).To(BeEmpty())
		Expect(core.Step(3*second, granted)).To(BeEmpty())
		effects := core.Step(3*second, booking.Event{Kind: booking.UpstreamAnswered, Answer: []byte("slot 9")})
		expectKinds(effects, booking.AnswerCaller, booking.SendComplete)
		Expect(effects[0].Outcome()).To(Equal(outcome.Ran))
		Expect(core.Step(4*second, replyEvent(booking.ResultRecorded, ledger.Ran))).To(BeEmpty())
		Expect(core.Done()).To(BeTrue())
	})

	It("dials the next replica after a failed dial, and releases the call when every dial has failed", func() {
		failed := event(booking.DialFailed)
		Expect(runEvents(granted, failed)[0].Replica).To(Equal(1))
		expectKinds(runEvents(granted, failed, failed), booking.SendRelease)
		expectRefusal(core.Step(4*second, replyEvent(booking.ResultRecorded, ledger.Released)), outcome.NoUpstream, outcome.NotRun)
	})

	It("reports \"may have run\" if the connection breaks after the first byte, and releases the call if it breaks before", func() {
		expectKinds(runEvents(granted, event(booking.Dialled), event(booking.ExchangeFailed)), booking.SendRelease)
		effects := runEvents(granted, event(booking.Dialled), event(booking.FirstByteSent), event(booking.ExchangeFailed))
		expectRefusal(effects, outcome.UpstreamFailed, outcome.MayHaveRun)
		Expect(effects[1].Command.Complete.Uncertain).To(BeTrue())
	})

	It("ignores a reply to another attempt, which would cause a dispatch without a grant", func() {
		foreign := granted
		foreign.Reply.Attempt = ledger.Attempt{2}
		Expect(runEvents(foreign)).To(BeEmpty())
	})

	It("releases the call when its claim times out, and ignores the late grant", func() {
		expectKinds(runEvents(event(booking.ClaimTimedOut)), booking.SendRelease)
		Expect(core.Step(2*second, granted)).To(BeEmpty())
		expectRefusal(core.Step(2*second, event(booking.Tick)), outcome.NoQuorum, outcome.NotRun)
	})

	It("reports the state of the key if another attempt holds it at the release", func() {
		runEvents(event(booking.ClaimTimedOut))
		expectRefusal(core.Step(2*second, replyEvent(booking.ResultRecorded, ledger.Running)), outcome.Running, outcome.MayHaveRun)
	})

	DescribeTable("releases the call without a lease or with an expired claim, as after a pause of the VM,", func(eventKind booking.EventKind) {
		runEvents(granted)
		leased = false
		expectKinds(core.Step(2*second, event(eventKind)), booking.SendRelease)
		leased = true
		runEvents(granted)
		expectKinds(core.Step(5940*time.Millisecond, event(eventKind)), booking.SendRelease)
	}, Entry("when a dial succeeds", booking.Dialled), Entry("when the VM resumes", booking.Resumed), Entry("when the lease is lost", booking.LeaseLost))

	It("refuses a call without a lease as \"not run\", but as \"may have run\" if the key was sent before", func() {
		leased = false
		expectRefusal(runEvents(), outcome.NoLease, outcome.NotRun)
		resent = true
		expectRefusal(runEvents(), outcome.NoLease, outcome.MayHaveRun)
	})

	It("repeats a command until its reply arrives, since messages may be lost", func() {
		expectKinds(runEvents(event(booking.Tick)), booking.SendClaim)
		runEvents(granted, event(booking.Dialled), event(booking.UpstreamAnswered))
		expectKinds(core.Step(4*second, event(booking.Tick)), booking.SendComplete)
	})

	It("releases the call if the caller disconnects before the dispatch, and lets it complete if the caller disconnects later", func() {
		expectKinds(runEvents(event(booking.Cancelled)), booking.SendRelease)
		Expect(core.Step(9*second, replyEvent(booking.ResultRecorded, ledger.Released))).To(BeEmpty())
		Expect(runEvents(granted, event(booking.Dialled), event(booking.Cancelled))).To(BeEmpty())
	})

	It("sends a release to learn whether the attempt recorded as lost is its own", func() {
		lost := booking.ClaimReplied(ledger.Reply{Verdict: ledger.MayHaveRun, Attempt: attempt})
		expectKinds(runEvents(lost), booking.SendRelease)
		expectRefusal(core.Step(2*second, replyEvent(booking.ResultRecorded, ledger.Released)), outcome.NoQuorum, outcome.NotRun)
		runEvents(lost)
		expectRefusal(core.Step(2*second, event(booking.Tick)), outcome.UnknownOutcome, outcome.MayHaveRun)
	})

	DescribeTable("maps the ledger's verdict to a refusal", func(verdict ledger.Verdict, kind outcome.Kind, want outcome.Outcome) {
		reply := ledger.Reply{Verdict: verdict, Attempt: attempt, AnswerDropped: true, Detail: "no such account"}
		expectRefusal(runEvents(booking.ClaimReplied(reply)), kind, want)
		Expect(core.Done()).To(BeTrue())
	},
		Entry("for a key in progress", ledger.Running, outcome.Running, outcome.MayHaveRun),
		Entry("for a call that ran and whose answer was dropped", ledger.Ran, outcome.UnknownOutcome, outcome.Ran),
		Entry("for a key used with another body", ledger.KeyReused, outcome.KeyReused, outcome.MayHaveRun),
		Entry("for an expired key", ledger.KeyExpired, outcome.KeyExpired, outcome.MayHaveRun),
		Entry("for a claim that arrived too late", ledger.Released, outcome.NoQuorum, outcome.NotRun),
		Entry("for a full ledger", ledger.Full, outcome.LedgerFull, outcome.NotRun),
		Entry("for a denied claim", ledger.Denied, outcome.NoUpstream, outcome.NotRun),
		Entry("for an invalid claim", ledger.Invalid, outcome.BadRequest, outcome.NotRun),
	)

	It("replays the answer recorded in the ledger", func() {
		effects := runEvents(replyEvent(booking.Refused, ledger.Ran))
		Expect(effects[0].Replayed).To(BeTrue())
		Expect(string(effects[0].Answer)).To(Equal("slot 9"))
	})
})

func Example() {
	claim := ledger.Claim{Key: ledger.Key{Account: "baths", Path: "/slots", Key: "order-17"}, Attempt: attempt}
	core := booking.New(booking.Call{Claim: claim, Replicas: 1}, booking.WithLeaseCheck(func(time.Duration) bool { return true }))
	for _, e := range []booking.Event{event(booking.Start), granted, event(booking.Dialled), event(booking.UpstreamAnswered)} {
		fmt.Println(e.Kind, core.Step(second, e))
	}
	// Output:
	// start [send claim]
	// granted [dial]
	// dialled [dispatch]
	// answered [answer caller (ran) send complete]
}
