package booking

import (
	"fmt"

	"github.com/chicoryrelay/chicoryrelay/coord/ledger"
	"github.com/chicoryrelay/chicoryrelay/relay/outcome"
)

// EventKind is the kind of an Event.
type EventKind uint8

// The event kinds.
const (
	// Start begins the call.
	Start EventKind = iota
	// Granted and Refused carry the ledger's reply to the claim.
	Granted
	Refused
	// ResultRecorded carries the ledger's reply to the release or the completion.
	ResultRecorded
	// Dialled and DialFailed report the result of a dial.
	Dialled
	DialFailed
	// FirstByteSent is reported before or together with the first byte that is written to the connection.
	FirstByteSent
	// UpstreamAnswered carries the upstream's complete answer.
	UpstreamAnswered
	// ExchangeFailed means that the connection broke, stalled or exceeded its time limit before the complete answer arrived, or that the
	// answer does not tell whether the call ran.
	ExchangeFailed
	// ClaimTimedOut means that no grant arrived within the timeout of the claim.
	ClaimTimedOut
	// LeaseLost means that the VM lost its lease, Resumed that it resumed after a pause; both make the core check its lease and
	// claim.
	LeaseLost
	Resumed
	// Cancelled means that the caller closed its connection.
	Cancelled
	// Tick drives timeouts and retries; the host sends one at least every 100 ms.
	Tick
)

var eventKindNames = [...]string{
	"start", "granted", "refused", "recorded", "dialled", "dial failed", "first byte sent", "answered", "broke",
	"claim timed out", "lease lost", "thaw", "cancelled", "tick",
}

// String returns the kind for log lines.
func (k EventKind) String() string { return eventKindNames[min(int(k), len(eventKindNames)-1)] }

// Event is an input of Core.Step.
type Event struct {
	Kind EventKind
	// Reply is set for Granted, Refused and ResultRecorded.
	Reply ledger.Reply
	// Answer is set for UpstreamAnswered.
	Answer []byte
	// Err is the cause of DialFailed and ExchangeFailed, for the log; one that is an *outcome.Refusal is the caller's answer.
	Err error
}

// ClaimReplied returns the event for the ledger's reply to the claim.
func ClaimReplied(reply ledger.Reply) Event {
	if reply.Verdict == ledger.Granted {
		return Event{Kind: Granted, Reply: reply}
	}
	return Event{Kind: Refused, Reply: reply}
}

// EffectKind is the kind of an Effect.
type EffectKind uint8

// The effect kinds.
const (
	// SendClaim, SendComplete and SendRelease propose Command to the control leader; the core repeats them until a reply arrives.
	SendClaim EffectKind = iota
	SendComplete
	SendRelease
	// Dial opens a new connection to the upstream with index Replica.
	Dial
	// Dispatch sends the call over the connection dialled last.
	Dispatch
	// AnswerCaller sends Answer or Refusal to the caller.
	AnswerCaller
)

var effectKindNames = [...]string{"send claim", "send complete", "send release", "dial", "dispatch", "answer caller"}

// String returns the kind for log lines.
func (k EffectKind) String() string { return effectKindNames[min(int(k), len(effectKindNames)-1)] }

// Effect is an action that the host must carry out.
type Effect struct {
	Kind    EffectKind
	Command ledger.Command
	Replica int
	// Answer is the upstream's answer if Refusal is nil; Replayed is set if it comes from the ledger.
	Answer   []byte
	Replayed bool
	Refusal  *outcome.Refusal
}

// Outcome returns the outcome that an AnswerCaller effect reports to the caller.
func (e Effect) Outcome() outcome.Outcome {
	if e.Refusal != nil {
		return e.Refusal.Outcome
	}
	return outcome.Ran
}

// String returns the effect for log lines.
func (e Effect) String() string {
	if e.Kind == AnswerCaller {
		return fmt.Sprintf("%s (%s)", e.Kind, e.Outcome())
	}
	return e.Kind.String()
}
