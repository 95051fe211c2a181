package operator

import (
	"context"
	"errors"
	"net/http"

	"github.com/google/uuid"

	"github.com/chicoryrelay/chicoryrelay/relay/operator/audit"
	"github.com/chicoryrelay/chicoryrelay/relay/operator/statement"
	"github.com/chicoryrelay/chicoryrelay/relay/outcome"
)

// Actor is an authenticated operator.
type Actor struct {
	Name         string
	Organisation string
}

// Command is a change as it goes to the control VMs.
type Command struct {
	// ID is a UUID; a command sent again under it gets its one outcome.
	ID    string
	Actor Actor
	// Expected is the version in force that the edits were made from.
	Expected uint64
	// Edits to engines are carried out by orders once they are in force.
	Edits []statement.Edit
}

// State is what became of a command.
type State string

// The states; the zero value is treated as Unknown.
const (
	// Accepted means that the change is in force everywhere.
	Accepted State = "accepted"
	// Refused means that the change took no effect and never will.
	Refused State = "refused"
	// Pending means that the change is committed but not yet in force everywhere.
	Pending State = "pending"
	// Unknown means that the command may take effect or have taken effect; sending it again under its ID tells.
	Unknown State = "unknown"
)

// The state of an audit entry that is written before the command is sent.
const begun = "begun"

// Outcome answers a command.
type Outcome struct {
	State State
	// Version is the change's version if it is accepted or pending, else the version in force.
	Version uint64
	// Winner is the command that took the expected version first; nil if that is not the reason of a refusal.
	Winner *Winner
	// Reason says why a command is refused and what to do; empty for the other states.
	Reason string
}

// Winner is the command that another one lost against.
type Winner struct {
	Command string `json:"command"`
	Actor   string `json:"actor"`
	Version uint64 `json:"version"`
}

// attempt is one command on its way through the handler.
type attempt struct {
	actor  Actor
	source string
	text   string
	id     string
	// resent says that the operator gave the ID, so an earlier copy of the command may exist.
	resent   bool
	expected uint64
}

func (h *handler) change(ctx context.Context, a attempt, c *statement.Command) (int, Response) {
	// An operator who hangs up doesn't stop the change, and its outcome belongs into the audit trail.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), h.timeout)
	defer cancel()
	version, objects := h.configuration()
	if c.ID != "" {
		a.id = c.ID
	}
	a.resent = a.id != ""
	if a.id == "" {
		a.id = h.identify()
	}
	a.expected = version
	if c.Expected != nil {
		a.expected = *c.Expected
	}
	plan, err := c.Plan(objects)
	if a.expected > version {
		// The edits would be made from older objects than the operator saw and would undo the changes in between.
		err = outcome.Refuse(outcome.BadRequest, "this VM has version %d and the statement expects %d; send it again when show versions tells the expected one", version, a.expected).WithField("expect")
	}
	if err != nil {
		return h.unplanned(ctx, a, version, err)
	}
	if err := h.record(a, begun, 0, ""); err != nil {
		h.log.WithError(err).Error("audit trail failed")
		refusal := outcome.Refuse(outcome.Overloaded, "the audit trail cannot be written; free space in the data folder and send the command again")
		return h.refused(a, version, refusal)
	}
	result, err := h.send(ctx, Command{ID: a.id, Actor: a.actor, Expected: a.expected, Edits: plan.Edits})
	if err != nil {
		return h.failed(a, version, err)
	}
	return h.finish(a, result)
}

// unplanned answers a command that this VM's configuration has no place for. An earlier copy of it may be the very reason, such as
// a create that has taken effect, so the recorded outcome comes first.
func (h *handler) unplanned(ctx context.Context, a attempt, version uint64, fault error) (int, Response) {
	if a.resent && h.known != nil {
		result, found, err := h.known(ctx, a.id)
		if err != nil {
			return h.failed(a, version, outcome.RefuseUncertain(outcome.NoQuorum, "whether command %s took effect cannot be told now; send it again with the same command ID", a.id).WithCause(err))
		}
		if found {
			return h.finish(a, result)
		}
	}
	return h.refused(a, version, fault)
}

// failed answers a command whose sending gave an error: refused if nothing was proposed, unknown in every other case.
func (h *handler) failed(a attempt, version uint64, err error) (int, Response) {
	var refusal *outcome.Refusal
	if errors.As(err, &refusal) && refusal.Outcome == outcome.NotRun {
		return h.refused(a, version, refusal)
	}
	if refusal == nil {
		refusal = outcome.RefuseUncertain(outcome.NoQuorum, "the control VMs gave no answer; send the command again with the same command ID").WithCause(err)
	}
	h.log.WithError(refusal).WithField("command", a.id).Warn("change without outcome")
	response := Response{Outcome: Unknown, Version: version, Message: refusal.Remedy, Kind: refusal.Kind, Work: refusal.Outcome.String()}
	return http.StatusGatewayTimeout, h.close(a, response)
}

func (h *handler) refused(a attempt, version uint64, err error) (int, Response) {
	status, response := fault(err)
	response.Outcome, response.Version = Refused, version
	return status, h.close(a, response)
}

func (h *handler) finish(a attempt, result Outcome) (int, Response) {
	response := Response{Outcome: result.State, Version: result.Version, Winner: result.Winner, Message: result.Reason}
	switch result.State {
	case Accepted:
		return http.StatusOK, h.close(a, response)
	case Pending:
		return http.StatusAccepted, h.close(a, response)
	case Refused:
		response.Work = outcome.NotRun.String()
		return http.StatusConflict, h.close(a, response)
	default:
		response.Outcome, response.Work = Unknown, outcome.MayHaveRun.String()
		return http.StatusGatewayTimeout, h.close(a, response)
	}
}

// close records the outcome and completes the response with the command's identity.
func (h *handler) close(a attempt, r Response) Response {
	r.Command, r.Expected = a.id, a.expected
	entry := h.log.WithField("command", a.id).WithField("actor", a.actor.Name).WithField("outcome", string(r.Outcome)).WithField("version", r.Version)
	if err := h.record(a, string(r.Outcome), r.Version, r.Message); err != nil {
		entry.WithError(err).Error("outcome is missing from the audit trail")
	}
	entry.Info("change")
	return r
}

func (h *handler) record(a attempt, state string, version uint64, reason string) error {
	if h.trail == nil {
		return nil
	}
	return h.trail.Append(audit.Entry{
		Time: h.now().UTC(), Actor: a.actor.Name, Organisation: a.actor.Organisation, Source: a.source, Statement: a.text,
		Command: a.id, Expected: a.expected, Outcome: state, Version: version, Reason: reason,
	})
}

func newID() string {
	id, err := uuid.NewV7()
	if err != nil {
		return uuid.NewString()
	}
	return id.String()
}
