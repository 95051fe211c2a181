package booking

import (
	"errors"
	"fmt"
	"time"

	"github.com/chicoryrelay/chicoryrelay/coord/ledger"
	"github.com/chicoryrelay/chicoryrelay/relay/outcome"
)

// Call describes a call that the VM has received.
type Call struct {
	// Claim names the idempotency key, the body, the attempt and the VM; each Core needs its own attempt.
	// If Claim.Resent is set, an earlier attempt at another VM may have run, so the VM can't report "not run" without the
	// ledger's reply.
	Claim ledger.Claim
	// Replicas is the number of upstreams that may be dialled; the host orders them by preference.
	Replicas int
}

type phase uint8

const (
	idle phase = iota
	claiming
	dialling
	dispatched
	completing
	releasing
	done
)

// Core is the state machine of one non-idempotent call.
type Core struct {
	leaseValid     func(now time.Duration) bool
	maxClaimAge    time.Duration
	claimTimeout   time.Duration
	releaseTimeout time.Duration
	retryInterval  time.Duration

	call           Call
	phase          phase
	claimedAt      time.Duration
	granted        bool
	replica        int
	dispatchIssued bool
	firstByteSent  bool
	callerAnswered bool
	// outstanding is the command that waits for a reply; sentAt is the time at which it was last sent.
	outstanding Effect
	sentAt      time.Duration
	// refusal is the reason for a release; if the ledger has not replied by answerDeadline, the caller gets it then.
	refusal        *outcome.Refusal
	answerDeadline time.Duration
}

// Option configures a Core.
type Option func(*Core)

// WithLeaseCheck sets the function that reports whether the VM holds its lease; without it no call is dispatched.
func WithLeaseCheck(valid func(now time.Duration) bool) Option {
	return func(c *Core) { c.leaseValid = valid }
}

// WithMaxClaimAge sets the age at which a claim no longer permits a dispatch; the default, 5.94 s, is the lease less its margin.
func WithMaxClaimAge(d time.Duration) Option { return func(c *Core) { c.maxClaimAge = d } }

// WithClaimTimeout sets the timeout of the claim; the default is 3 s.
func WithClaimTimeout(d time.Duration) Option { return func(c *Core) { c.claimTimeout = d } }

// WithReleaseTimeout sets how long the caller waits at most for the ledger to record a release; the default is 1 s.
func WithReleaseTimeout(d time.Duration) Option { return func(c *Core) { c.releaseTimeout = d } }

// WithRetryInterval sets the interval after which a command without a reply is sent again; the default is 500 ms.
func WithRetryInterval(d time.Duration) Option { return func(c *Core) { c.retryInterval = d } }

// New returns the core of a call that has not started.
func New(call Call, opts ...Option) *Core {
	c := &Core{
		call: call, leaseValid: func(time.Duration) bool { return false }, maxClaimAge: 5940 * time.Millisecond,
		claimTimeout: 3 * time.Second, releaseTimeout: time.Second, retryInterval: 500 * time.Millisecond,
	}
	for _, opt := range opts {
		opt(c)
	}
	return c
}

// Done reports whether the caller has been answered and no ledger command is outstanding.
func (c *Core) Done() bool { return c.phase == done }

// Step handles an event and returns the effects that the host must carry out, in order. It ignores replies to other attempts and
// events that do not apply to the call's phase.
func (c *Core) Step(now time.Duration, event Event) []Effect {
	switch event.Kind {
	case Granted, Refused, ResultRecorded:
		if event.Reply.Attempt != c.call.Claim.Attempt {
			return nil
		}
	}
	switch c.phase {
	case idle:
		return c.start(now, event)
	case claiming:
		return c.stepClaiming(now, event)
	case dialling:
		return c.stepDialling(now, event)
	case dispatched:
		return c.stepDispatched(now, event)
	case completing, releasing:
		return c.stepEnding(now, event)
	}
	return nil
}

func (c *Core) start(now time.Duration, event Event) []Effect {
	if event.Kind != Start {
		return nil
	}
	if !c.leaseValid(now) {
		c.phase = done
		return []Effect{c.answerCaller(c.refusalWithoutLedger(noLeaseRefusal()))}
	}
	c.phase, c.claimedAt = claiming, now
	return c.send(now, Effect{Kind: SendClaim, Command: ledger.Command{Claim: &c.call.Claim}})
}

func (c *Core) stepClaiming(now time.Duration, event Event) []Effect {
	switch event.Kind {
	case Granted:
		c.granted = true
		return c.dial(now)
	case Refused:
		if event.Reply.Verdict == ledger.MayHaveRun {
			// The lost attempt may be this one, if its grant did not arrive: the reply to the release shows whether it is.
			return c.release(now, refusalFor(event.Reply))
		}
		c.phase = done
		return []Effect{c.answerFromLedger(event.Reply)}
	case ClaimTimedOut:
		return c.release(now, outcome.Refuse(outcome.NoQuorum, "the control quorum did not answer in time: send the call again with the same key"))
	case LeaseLost, Resumed:
		if !c.mayDispatch(now) {
			return c.release(now, noLeaseRefusal())
		}
	case Cancelled:
		return c.release(now, cancelledRefusal())
	case Tick:
		if now >= c.claimedAt+c.claimTimeout {
			return c.stepClaiming(now, Event{Kind: ClaimTimedOut})
		}
		return c.resendIfDue(now)
	}
	return nil
}

func (c *Core) stepDialling(now time.Duration, event Event) []Effect {
	switch event.Kind {
	case Dialled:
		if !c.mayDispatch(now) {
			return c.release(now, noLeaseRefusal())
		}
		return c.dispatchOnce()
	case DialFailed:
		var refusal *outcome.Refusal
		if errors.As(event.Err, &refusal) {
			// No replica may get the call.
			return c.release(now, refusal)
		}
		c.replica++
		return c.dial(now)
	case LeaseLost, Resumed, Tick:
		if !c.mayDispatch(now) {
			return c.release(now, noLeaseRefusal())
		}
	case Cancelled:
		return c.release(now, cancelledRefusal())
	}
	return nil
}

func (c *Core) stepDispatched(now time.Duration, event Event) []Effect {
	switch event.Kind {
	case FirstByteSent:
		c.firstByteSent = true
	case UpstreamAnswered:
		c.firstByteSent = true
		return append([]Effect{c.answerCaller(Effect{Answer: event.Answer})}, c.complete(now, false, event.Answer)...)
	case ExchangeFailed:
		if !c.firstByteSent {
			return c.release(now, outcome.Refuse(outcome.UpstreamFailed, "the connection broke before the first byte: send the call again with the same key").WithCause(event.Err))
		}
		var refusal *outcome.Refusal
		if !errors.As(event.Err, &refusal) {
			refusal = outcome.RefuseUncertain(outcome.UpstreamFailed, "the upstream broke off: ask it whether the call ran before you send it with a new key").WithCause(event.Err)
		}
		return append([]Effect{c.answerCaller(Effect{Refusal: refusal})}, c.complete(now, true, nil)...)
	}
	return nil
}

func (c *Core) stepEnding(now time.Duration, event Event) []Effect {
	switch event.Kind {
	case ResultRecorded:
		previous := c.phase
		c.phase = done
		if previous == releasing && !c.callerAnswered {
			return []Effect{c.answerAfterRelease(event.Reply)}
		}
	case Cancelled:
		c.callerAnswered = true
	case Tick:
		var effects []Effect
		if c.phase == releasing && !c.callerAnswered && now >= c.answerDeadline {
			effects = append(effects, c.answerCaller(c.refusalWithoutLedger(c.refusal)))
		}
		return append(effects, c.resendIfDue(now)...)
	}
	return nil
}

// mayDispatch reports whether the VM holds its lease and the claim is younger than maxClaimAge. The age counts from the first
// sending of the claim, which precedes the grant.
func (c *Core) mayDispatch(now time.Duration) bool {
	return c.leaseValid(now) && now < c.claimedAt+c.maxClaimAge
}

func (c *Core) dial(now time.Duration) []Effect {
	if !c.mayDispatch(now) {
		return c.release(now, noLeaseRefusal())
	}
	if c.replica >= c.call.Replicas {
		return c.release(now, outcome.Refuse(outcome.NoUpstream, "no replica of the service takes connections: send the call again with the same key"))
	}
	c.phase = dialling
	return []Effect{{Kind: Dial, Replica: c.replica}}
}

// dispatchOnce panics if the call would be dispatched twice or without a grant.
func (c *Core) dispatchOnce() []Effect {
	if c.dispatchIssued || !c.granted || c.phase != dialling {
		panic(fmt.Sprintf("booking: attempt %s would be dispatched twice or without a grant", c.call.Claim.Attempt))
	}
	c.dispatchIssued, c.phase = true, dispatched
	return []Effect{{Kind: Dispatch, Replica: c.replica}}
}

func (c *Core) complete(now time.Duration, uncertain bool, answer []byte) []Effect {
	c.phase = completing
	claim := c.call.Claim
	return c.send(now, Effect{Kind: SendComplete, Command: ledger.Command{
		Complete: &ledger.Complete{Key: claim.Key, Attempt: claim.Attempt, Uncertain: uncertain, Answer: answer},
	}})
}

// release records in the ledger that no byte of the call was or will be sent; the caller is answered once the ledger has replied,
// or at answerDeadline.
func (c *Core) release(now time.Duration, refusal *outcome.Refusal) []Effect {
	if c.firstByteSent {
		panic(fmt.Sprintf("booking: attempt %s would be released after its first byte was sent", c.call.Claim.Attempt))
	}
	c.phase, c.refusal, c.answerDeadline = releasing, refusal, now+c.releaseTimeout
	c.callerAnswered = c.callerAnswered || refusal.Kind == outcome.Cancelled
	claim := c.call.Claim
	return c.send(now, Effect{Kind: SendRelease, Command: ledger.Command{
		Release: &ledger.Release{Key: claim.Key, Attempt: claim.Attempt, Deadline: claim.Deadline, Resent: claim.Resent},
	}})
}

func (c *Core) send(now time.Duration, effect Effect) []Effect {
	c.outstanding, c.sentAt = effect, now
	return []Effect{effect}
}

func (c *Core) resendIfDue(now time.Duration) []Effect {
	if now < c.sentAt+c.retryInterval {
		return nil
	}
	return c.send(now, c.outstanding)
}

func (c *Core) answerCaller(effect Effect) Effect {
	effect.Kind = AnswerCaller
	if c.firstByteSent && effect.Outcome() == outcome.NotRun {
		panic(fmt.Sprintf("booking: attempt %s would be reported as not run after its first byte was sent", c.call.Claim.Attempt))
	}
	c.callerAnswered = true
	return effect
}

// answerAfterRelease answers with the reason for the release if the ledger recorded it and the outcome is "not run". Otherwise the
// ledger's verdict counts, since another attempt may hold the key.
func (c *Core) answerAfterRelease(reply ledger.Reply) Effect {
	if reply.Verdict == ledger.Released && c.refusal.Outcome == outcome.NotRun {
		return c.answerCaller(Effect{Refusal: c.refusal})
	}
	return c.answerFromLedger(reply)
}

// refusalWithoutLedger returns the effect for a refusal that the ledger has not confirmed. The outcome of a key that was sent
// before is then "may have run": another attempt may hold the key by now, even if this one was granted, because its release may
// have been applied and only the reply lost.
func (c *Core) refusalWithoutLedger(refusal *outcome.Refusal) Effect {
	if c.call.Claim.Resent {
		refusal = &outcome.Refusal{Kind: refusal.Kind, Outcome: outcome.MayHaveRun, Remedy: refusal.Remedy, Cause: refusal.Cause}
	}
	return Effect{Refusal: refusal}
}

func (c *Core) answerFromLedger(reply ledger.Reply) Effect {
	if reply.Verdict == ledger.Ran && !reply.AnswerDropped {
		return c.answerCaller(Effect{Answer: reply.Answer, Replayed: true})
	}
	return c.answerCaller(Effect{Refusal: refusalFor(reply)})
}

func noLeaseRefusal() *outcome.Refusal {
	return outcome.Refuse(outcome.NoLease, "this VM is cut off from the control quorum: send the call again with the same key")
}

func cancelledRefusal() *outcome.Refusal {
	return outcome.Refuse(outcome.Cancelled, "the caller closed the connection before the call left")
}

// refusalFor maps the ledger's verdict to the refusal that the caller gets.
func refusalFor(reply ledger.Reply) *outcome.Refusal {
	switch reply.Verdict {
	case ledger.Running:
		return outcome.RefuseUncertain(outcome.Running, "another request with this key is in progress: send the call again later with the same key")
	case ledger.Ran:
		refusal := outcome.RefuseUncertain(outcome.UnknownOutcome, "the call ran and its answer is no longer kept: ask the service for the result")
		refusal.Outcome = outcome.Ran
		return refusal
	case ledger.KeyReused:
		return outcome.RefuseUncertain(outcome.KeyReused, "the key belongs to a call with another body: use a new key for a new call").WithField("Idempotency-Key")
	case ledger.KeyExpired:
		return outcome.RefuseUncertain(outcome.KeyExpired, "the key is older than the kept records: ask the service whether the call ran before you use a new key").WithField("Idempotency-Key")
	case ledger.Released:
		return outcome.Refuse(outcome.NoQuorum, "the claim came too late: send the call again with the same key")
	case ledger.Full:
		return outcome.Refuse(outcome.LedgerFull, "the ledger has reached its limit: use UUIDv7 keys, or ask the operator for a higher limit")
	case ledger.Denied:
		return outcome.Refuse(outcome.NoUpstream, "%s", reply.Detail)
	case ledger.Invalid:
		return outcome.Refuse(outcome.BadRequest, "%s", reply.Detail)
	default:
		return outcome.RefuseUncertain(outcome.UnknownOutcome, "the call may have run: ask the service whether it did before you use a new key")
	}
}
