package outcome

// Outcome states whether a refused request was run; the zero value is MayHaveRun.
type Outcome uint8

// The outcomes. MayHaveRun is the zero value, because a missing outcome must not be taken for a guarantee.
const (
	// MayHaveRun means that the request may have been sent to an upstream and its result is unknown.
	MayHaveRun Outcome = iota
	// NotRun means that no upstream ran any part of the request: it was not sent, or each upstream that received it refused it.
	NotRun
	// Ran means that the request ran to completion.
	Ran
)

// String returns the outcome as it is sent to callers in refusals.
func (o Outcome) String() string {
	switch o {
	case NotRun:
		return "not run"
	case Ran:
		return "ran"
	default:
		return "may have run"
	}
}
