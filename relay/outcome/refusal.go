package outcome

import (
	"encoding/json"
	"fmt"
	"net/http"
	"time"
)

// Kind is the reason of a refusal; each kind has a counter in the metrics.
type Kind string

// The refusal kinds.
const (
	BadRequest         Kind = "bad_request"
	Unauthorised       Kind = "unauthorised"
	NotFound           Kind = "not_found"
	TooLarge           Kind = "too_large"
	AccountLimit       Kind = "account_limit"
	Overloaded         Kind = "overloaded"
	DeadlineTooNear    Kind = "deadline_too_near"
	NoUpstream         Kind = "no_upstream"
	NoLease            Kind = "no_lease"
	NoQuorum           Kind = "no_quorum"
	NoConfiguration    Kind = "no_configuration"
	KeyReused          Kind = "key_reused"
	KeyExpired         Kind = "key_expired"
	Running            Kind = "running"
	UnknownOutcome     Kind = "unknown_outcome"
	LedgerFull         Kind = "ledger_full"
	UpstreamFailed     Kind = "upstream_broke"
	VersionUnavailable Kind = "version_gone"
	Cancelled          Kind = "cancelled"
	ShuttingDown       Kind = "shutting_down"
	Quarantined        Kind = "quarantined"
	AccountRate        Kind = "account_rate"
	OriginUnknown      Kind = "origin_unknown"
	SoftwareGone       Kind = "software_gone"
)

var statusByKind = map[Kind]int{
	BadRequest:         http.StatusBadRequest,
	Unauthorised:       http.StatusUnauthorized,
	NotFound:           http.StatusNotFound,
	TooLarge:           http.StatusRequestEntityTooLarge,
	AccountLimit:       http.StatusTooManyRequests,
	Overloaded:         http.StatusServiceUnavailable,
	DeadlineTooNear:    http.StatusServiceUnavailable,
	NoUpstream:         http.StatusServiceUnavailable,
	NoLease:            http.StatusServiceUnavailable,
	NoQuorum:           http.StatusServiceUnavailable,
	NoConfiguration:    http.StatusServiceUnavailable,
	KeyReused:          http.StatusUnprocessableEntity,
	KeyExpired:         http.StatusUnprocessableEntity,
	Running:            http.StatusConflict,
	UnknownOutcome:     http.StatusConflict,
	LedgerFull:         http.StatusServiceUnavailable,
	UpstreamFailed:     http.StatusBadGateway,
	VersionUnavailable: http.StatusConflict,
	// 499 is the customary status for a caller that disconnected; net/http does not define it.
	Cancelled:    499,
	ShuttingDown: http.StatusServiceUnavailable,
	Quarantined:  http.StatusServiceUnavailable,
	AccountRate:  http.StatusTooManyRequests,
	// The request has not run; an upstream of another version must not go on with the stream.
	OriginUnknown: http.StatusServiceUnavailable,
	SoftwareGone:  http.StatusServiceUnavailable,
}

// Kinds returns every refusal kind in no particular order.
func Kinds() []Kind {
	kinds := make([]Kind, 0, len(statusByKind))
	for kind := range statusByKind {
		kinds = append(kinds, kind)
	}
	return kinds
}

// Refusal is the error of a request that is not served; it states whether the request ran and what the caller can do.
type Refusal struct {
	Kind    Kind
	Outcome Outcome
	// Field is the request field at fault; empty if there is none.
	Field string
	// Remedy is sent to the caller as the message.
	Remedy string
	// Cause is for the log; Body leaves it out. nil means that there is none.
	Cause error
	// RetryAfter is the time before which no retry can succeed; 0 if it is not known.
	RetryAfter time.Duration
}

// Refuse returns the refusal of a request that was not run; the format and its arguments give the remedy.
func Refuse(kind Kind, format string, args ...any) *Refusal {
	return &Refusal{Kind: kind, Outcome: NotRun, Remedy: fmt.Sprintf(format, args...)}
}

// RefuseUncertain returns the refusal of a request that may have run; the format and its arguments give the remedy.
func RefuseUncertain(kind Kind, format string, args ...any) *Refusal {
	return &Refusal{Kind: kind, Outcome: MayHaveRun, Remedy: fmt.Sprintf(format, args...)}
}

// WithField sets the request field at fault and returns the refusal.
func (r *Refusal) WithField(field string) *Refusal {
	r.Field = field
	return r
}

// WithRetryAfter sets the time before which no retry can succeed and returns the refusal.
func (r *Refusal) WithRetryAfter(wait time.Duration) *Refusal {
	r.RetryAfter = wait
	return r
}

// WithCause sets the cause, which is for the log, and returns the refusal.
func (r *Refusal) WithCause(err error) *Refusal {
	r.Cause = err
	return r
}

// Error implements error.
func (r *Refusal) Error() string {
	text := fmt.Sprintf("%s (%s): %s", r.Kind, r.Outcome, r.Remedy)
	if r.Field != "" {
		text = r.Field + ": " + text
	}
	if r.Cause != nil {
		text += ": " + r.Cause.Error()
	}
	return text
}

// Unwrap returns the cause.
func (r *Refusal) Unwrap() error { return r.Cause }

// Status returns the HTTP status code of the refusal; it promises that the request has not run only if the outcome says so.
func (r *Refusal) Status() int {
	status, ok := statusByKind[r.Kind]
	if !ok {
		return http.StatusInternalServerError
	}
	if r.Outcome != NotRun && PromisesNotRun(status) {
		return http.StatusBadGateway
	}
	return status
}

type refusalBody struct {
	Error refusalError `json:"error"`
}

type refusalError struct {
	Message string `json:"message"`
	Type    Kind   `json:"type"`
	Param   string `json:"param,omitempty"`
	Code    string `json:"code"`
	Outcome string `json:"outcome"`
}

// Body returns the JSON of the refusal in the error format of the OpenAI API, extended by the outcome.
func (r *Refusal) Body() []byte {
	body, err := json.Marshal(refusalBody{Error: refusalError{
		Message: r.Remedy, Type: r.Kind, Param: r.Field, Code: string(r.Kind), Outcome: r.Outcome.String(),
	}})
	if err != nil {
		return []byte(`{"error":{"message":"internal error","outcome":"may have run"}}`)
	}
	return body
}
