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

// Command is a change that is submitted to the control VMs.
type Command struct {
	// ID is a UUID and the idempotency key: a command that is sent again with the same ID has the same outcome.
	ID    string
	Actor Actor
	// Expected is the configuration version that the edits are based on; the command is refused if another change came first.
	Expected uint64
	// Edits are the changed objects; edits of engines lead to orders to them once the change is in force.
	Edits []statement.Edit
}

// State is the outcome of a command.
type State string

// The states of a command; other values, the zero value included, are treated as Unknown.
const (
	// Accepted means that the change is in force: every lease holder has installed it.
	Accepted State = "accepted"
	// Refused means that the change has not taken effect and never will.
	Refused State = "refused"
	// Pending means that the change is committed but not yet in force.
	Pending State = "pending"
	// Unknown means that the command may or may not take effect; sending it again with the same ID returns its outcome.
	Unknown State = "unknown"
)

// begun is the outcome in the audit entry that is written before the command is submitted.
const begun = "begun"

// Outcome is the result of a command.
type Outcome struct {
	State State
	// Version is the configuration version of the change if it is accepted or pending, else the version in force.
	Version uint64
	// Winner is the conflicting command that changed the expected version first; nil if there was no such conflict.
	Winner *Winner
	// Reason explains a refusal and names the remedy; empty for the other states.
	Reason string
}

// Winner is the command that won the conflict with a refused command.
type Winner struct {
	Command string `json:"command"`
	Actor   string `json:"actor"`
	Version uint64 `json:"version"`
}

// request is a statement that is being handled; id and expected are used for commands only.
type request struct {
	actor  Actor
	source string
	text   string
	id     string
	// idSupplied is true if the operator supplied the ID, so the command may be a retry.
	idSupplied bool
	expected   uint64
}

func (h *handler) change(ctx context.Context, req request, c *statement.Command) (int, Response) {
	// The change goes on if the operator disconnects, and its outcome must be recorded in the audit trail.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), h.timeout)
	defer cancel()
	version, objects := h.configuration()
	if c.ID != "" {
		req.id = c.ID
	}
	req.idSupplied = req.id != ""
	if req.id == "" {
		req.id = h.generateID()
	}
	req.expected = version
	if c.Expected != nil {
		req.expected = *c.Expected
	}
	plan, err := c.Plan(objects)
	if req.expected > version {
		// The edits would be based on older objects than the operator saw, and would revert the changes in between.
		err = outcome.Refuse(outcome.BadRequest, "this VM's configuration has version %d, but the statement expects %d; send it again once show versions lists the expected version", version, req.expected).WithField("expect")
	}
	if err != nil {
		return h.handlePlanError(ctx, req, version, err)
	}
	if err := h.record(req, begun, 0, ""); err != nil {
		h.log.WithError(err).Error("audit trail failed")
		refusal := outcome.Refuse(outcome.Overloaded, "the audit trail cannot be written; free space in the data folder and send the command again")
		return h.refuse(req, version, refusal)
	}
	result, err := h.submit(ctx, Command{ID: req.id, Actor: req.actor, Expected: req.expected, Edits: plan.Edits})
	if err != nil {
		return h.handleSubmitError(req, version, err)
	}
	return h.handleOutcome(req, result)
}

// handlePlanError handles a command that cannot be applied to this VM's configuration. The command may be a retry that fails because
// its first attempt took effect, such as a create, so a recorded outcome takes precedence.
func (h *handler) handlePlanError(ctx context.Context, req request, version uint64, planErr error) (int, Response) {
	if req.idSupplied && h.recordedOutcome != nil {
		result, found, err := h.recordedOutcome(ctx, req.id)
		if err != nil {
			return h.handleSubmitError(req, version, outcome.RefuseUncertain(outcome.NoQuorum, "the outcome of command %s cannot be looked up now; send it again with the same command ID", req.id).WithCause(err))
		}
		if found {
			return h.handleOutcome(req, result)
		}
	}
	return h.refuse(req, version, planErr)
}

// handleSubmitError handles an error from submitting a command: the outcome is refused if nothing was proposed, else unknown.
func (h *handler) handleSubmitError(req request, version uint64, err error) (int, Response) {
	var refusal *outcome.Refusal
	if errors.As(err, &refusal) && refusal.Outcome == outcome.NotRun {
		return h.refuse(req, version, refusal)
	}
	if refusal == nil {
		refusal = outcome.RefuseUncertain(outcome.NoQuorum, "the control VMs did not answer; send the command again with the same command ID").WithCause(err)
	}
	h.log.WithError(refusal).WithField("command", req.id).Warn("change without outcome")
	response := Response{Outcome: Unknown, Version: version, Message: refusal.Remedy, Kind: refusal.Kind, Work: refusal.Outcome.String()}
	return http.StatusGatewayTimeout, h.finish(req, response)
}

func (h *handler) refuse(req request, version uint64, err error) (int, Response) {
	status, response := errorResponse(err)
	response.Outcome, response.Version = Refused, version
	return status, h.finish(req, response)
}

func (h *handler) handleOutcome(req request, result Outcome) (int, Response) {
	response := Response{Outcome: result.State, Version: result.Version, Winner: result.Winner, Message: result.Reason}
	switch result.State {
	case Accepted:
		return http.StatusOK, h.finish(req, response)
	case Pending:
		return http.StatusAccepted, h.finish(req, response)
	case Refused:
		response.Work = outcome.NotRun.String()
		return http.StatusConflict, h.finish(req, response)
	default:
		response.Outcome, response.Work = Unknown, outcome.MayHaveRun.String()
		return http.StatusGatewayTimeout, h.finish(req, response)
	}
}

// finish logs the outcome, records it in the audit trail and adds the command's ID and expected version to the response.
func (h *handler) finish(req request, r Response) Response {
	r.Command, r.Expected = req.id, req.expected
	logger := h.log.WithField("command", req.id).WithField("actor", req.actor.Name).WithField("outcome", string(r.Outcome)).WithField("version", r.Version)
	if err := h.record(req, string(r.Outcome), r.Version, r.Message); err != nil {
		logger.WithError(err).Error("outcome is missing from the audit trail")
	}
	logger.Info("change")
	return r
}

func (h *handler) record(req request, state string, version uint64, reason string) error {
	if h.trail == nil {
		return nil
	}
	return h.trail.Append(audit.Entry{
		Time: h.now().UTC(), Actor: req.actor.Name, Organisation: req.actor.Organisation, Source: req.source, Statement: req.text,
		Command: req.id, Expected: req.expected, Outcome: state, Version: version, Reason: reason,
	})
}

func newID() string {
	id, err := uuid.NewV7()
	if err != nil {
		return uuid.NewString()
	}
	return id.String()
}
