package operator

import (
	"encoding/json"
	"errors"
	"net/http"

	"github.com/chicoryrelay/chicoryrelay/relay/operator/statement"
	"github.com/chicoryrelay/chicoryrelay/relay/outcome"
)

// Response is the JSON response to a statement: columns and rows for a query, or the outcome of a change. Message explains a refusal
// or an unknown outcome and names the remedy.
type Response struct {
	Columns []string `json:"columns,omitzero"`
	Rows    [][]any  `json:"rows,omitzero"`

	Outcome  State   `json:"outcome,omitempty"`
	Version  uint64  `json:"version,omitempty"`
	Expected uint64  `json:"expected,omitempty"`
	Command  string  `json:"command,omitempty"`
	Winner   *Winner `json:"winner,omitempty"`

	// Kind, Field, Line and Column identify the error; Line and Column count from 1. Work is "not run" or "may have run".
	Kind    outcome.Kind `json:"kind,omitempty"`
	Message string       `json:"message,omitempty"`
	Field   string       `json:"field,omitempty"`
	Line    int          `json:"line,omitempty"`
	Column  int          `json:"column,omitempty"`
	Work    string       `json:"work,omitempty"`
}

// errorResponse returns the HTTP status and response for a statement that failed.
func errorResponse(err error) (int, Response) {
	var statementErr *statement.Error
	if errors.As(err, &statementErr) {
		return http.StatusBadRequest, Response{
			Kind: outcome.BadRequest, Message: statementErr.Error(), Field: statementErr.Field, Line: statementErr.Line, Column: statementErr.Column, Work: outcome.NotRun.String(),
		}
	}
	var refusal *outcome.Refusal
	if errors.As(err, &refusal) {
		return refusal.Status(), Response{Kind: refusal.Kind, Message: refusal.Remedy, Field: refusal.Field, Work: refusal.Outcome.String()}
	}
	return http.StatusInternalServerError, Response{Message: err.Error(), Work: outcome.MayHaveRun.String()}
}

func (h *handler) writeResponse(w http.ResponseWriter, status int, r Response) {
	w.Header().Set("Content-Type", "application/json")
	if status == http.StatusUnauthorized {
		w.Header().Set("WWW-Authenticate", "Bearer")
	}
	w.WriteHeader(status)
	if err := json.NewEncoder(w).Encode(r); err != nil {
		h.log.WithError(err).Debug("operator's answer could not be written")
	}
}
