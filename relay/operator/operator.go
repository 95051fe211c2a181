package operator

import (
	"context"
	"errors"
	"expvar"
	"io"
	"net/http"
	"strings"
	"time"
	"unicode/utf8"

	"github.com/apex/log"
	"github.com/google/uuid"
	"github.com/gorilla/mux"

	"github.com/chicoryrelay/chicoryrelay/relay/catalogue"
	"github.com/chicoryrelay/chicoryrelay/relay/operator/audit"
	"github.com/chicoryrelay/chicoryrelay/relay/operator/statement"
	"github.com/chicoryrelay/chicoryrelay/relay/operator/view"
	"github.com/chicoryrelay/chicoryrelay/relay/outcome"
)

// CommandHeader is the HTTP header for the UUID of a command whose statement has none, so that the client knows the ID even if the
// response is lost.
const CommandHeader = "Chicoryrelay-Command"

type handler struct {
	authenticate    func(key string) (Actor, bool)
	configuration   func() (uint64, []catalogue.Object)
	submit          func(context.Context, Command) (Outcome, error)
	recordedOutcome func(context.Context, string) (Outcome, bool, error)
	tables          view.Tables
	trail           *audit.Trail
	vars            http.Handler
	ready           func() bool
	now             func() time.Time
	generateID      func() string
	log             log.Interface
	timeout         time.Duration
	inProgress      chan struct{}
}

// Option configures the handler.
type Option func(*handler)

// WithAuthenticate sets the lookup of an operator by key; by default every key is rejected.
func WithAuthenticate(f func(key string) (Actor, bool)) Option {
	return func(h *handler) { h.authenticate = f }
}

// WithConfiguration sets the function that returns a consistent snapshot of the installed configuration's version and objects.
func WithConfiguration(f func() (uint64, []catalogue.Object)) Option {
	return func(h *handler) { h.configuration = f }
}

// WithSubmit sets the function that submits a command to the control VMs. It returns an *outcome.Refusal with NotRun if nothing
// was proposed; any other error means that the outcome is unknown.
func WithSubmit(f func(context.Context, Command) (Outcome, error)) Option {
	return func(h *handler) { h.submit = f }
}

// WithRecordedOutcome sets the lookup of a command's recorded outcome by ID, which must be a read from the quorum; false means
// that the command was never committed.
func WithRecordedOutcome(f func(ctx context.Context, id string) (Outcome, bool, error)) Option {
	return func(h *handler) { h.recordedOutcome = f }
}

// WithTables sets the tables for queries; if Audit is nil, that table is read from the trail of WithTrail.
func WithTables(t view.Tables) Option { return func(h *handler) { h.tables = t } }

// WithTrail sets the audit trail; without it changes are not recorded.
func WithTrail(t *audit.Trail) Option { return func(h *handler) { h.trail = t } }

// WithMetrics sets the handler of /debug/vars.
func WithMetrics(v http.Handler) Option { return func(h *handler) { h.vars = v } }

// WithReady sets the readiness check of /healthz.
func WithReady(f func() bool) Option { return func(h *handler) { h.ready = f } }

// WithNow sets the wall clock for audit entries and their age.
func WithNow(now func() time.Time) Option { return func(h *handler) { h.now = now } }

// WithIDGenerator sets the function that generates UUIDs for commands without one.
func WithIDGenerator(f func() string) Option { return func(h *handler) { h.generateID = f } }

// WithLog sets the logger.
func WithLog(l log.Interface) Option { return func(h *handler) { h.log = l } }

// WithTimeout sets the time after which the outcome of a change is reported as unknown.
func WithTimeout(d time.Duration) Option { return func(h *handler) { h.timeout = d } }

// maxConcurrentStatements bounds the memory that a runaway script can use; few operators and scripts share the listener.
const maxConcurrentStatements = 32

// New returns the HTTP handler of the API for operators.
func New(opts ...Option) http.Handler {
	h := &handler{
		authenticate:  func(string) (Actor, bool) { return Actor{}, false },
		configuration: func() (uint64, []catalogue.Object) { return 0, nil },
		submit: func(context.Context, Command) (Outcome, error) {
			return Outcome{}, outcome.Refuse(outcome.NoConfiguration, "this VM takes no changes; send the command to another VM")
		},
		vars: expvar.Handler(), ready: func() bool { return true }, now: time.Now, generateID: newID, log: log.Log,
		// A change takes at most two leases of 6 s; a new leader waits for one lease before it declares a version in force.
		timeout: 30 * time.Second, inProgress: make(chan struct{}, maxConcurrentStatements),
	}
	for _, opt := range opts {
		opt(h)
	}
	if h.tables.Audit == nil && h.trail != nil {
		h.tables.Audit = h.auditRows
	}
	router := mux.NewRouter()
	router.HandleFunc("/statement", h.serveStatement).Methods(http.MethodPost)
	router.HandleFunc("/audit", h.exportAudit).Methods(http.MethodGet)
	router.Handle("/debug/vars", h.vars).Methods(http.MethodGet)
	outer := mux.NewRouter()
	outer.HandleFunc("/healthz", h.serveHealth).Methods(http.MethodGet, http.MethodHead)
	outer.PathPrefix("/").Handler(h.requireOperator(router))
	return outer
}

// NewServer returns an HTTP server for the handler with timeouts and a limit of maxHeaderBytes on the request header.
func NewServer(handler http.Handler, maxHeaderBytes int) *http.Server {
	return &http.Server{
		Handler: handler, MaxHeaderBytes: maxHeaderBytes,
		ReadHeaderTimeout: 5 * time.Second, ReadTimeout: 10 * time.Second, IdleTimeout: time.Minute,
		// Longer than the timeout of a change, so that its response is not cut off.
		WriteTimeout: time.Minute,
	}
}

func (h *handler) serveHealth(w http.ResponseWriter, _ *http.Request) {
	if !h.ready() {
		http.Error(w, "not ready", http.StatusServiceUnavailable)
		return
	}
	_, _ = io.WriteString(w, "ready\n") // The client may have disconnected.
}

type actorKey struct{}

func (h *handler) requireOperator(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		key, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
		actor, found := Actor{}, false
		if ok && key != "" {
			actor, found = h.authenticate(key)
		}
		if !found {
			h.log.WithField("source", r.RemoteAddr).WithField("path", r.URL.Path).Warn("operator not authenticated")
			status, response := errorResponse(outcome.Refuse(outcome.Unauthorised, "send an operator's key as Authorization: Bearer KEY").WithField("Authorization"))
			h.writeResponse(w, status, response)
			return
		}
		next.ServeHTTP(w, r.WithContext(context.WithValue(r.Context(), actorKey{}, actor)))
	})
}

func (h *handler) serveStatement(w http.ResponseWriter, r *http.Request) {
	select {
	case h.inProgress <- struct{}{}:
		defer func() { <-h.inProgress }()
	default:
		status, response := errorResponse(outcome.Refuse(outcome.Overloaded, "%d statements are in progress, which is the limit; send the statement again later", maxConcurrentStatements))
		h.writeResponse(w, status, response)
		return
	}
	actor, _ := r.Context().Value(actorKey{}).(Actor) // Set by requireOperator.
	req := request{actor: actor, source: r.RemoteAddr}
	text, err := h.readStatement(w, r)
	if err == nil {
		req.text = text
		req.id, err = commandID(r)
	}
	if err != nil {
		status, response := errorResponse(err)
		h.writeResponse(w, status, response)
		return
	}
	status, response := h.execute(r.Context(), req)
	h.writeResponse(w, status, response)
}

func (h *handler) readStatement(w http.ResponseWriter, r *http.Request) (string, error) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, statement.MaxStatementBytes))
	var tooLong *http.MaxBytesError
	switch {
	case errors.As(err, &tooLong):
		return "", outcome.Refuse(outcome.TooLarge, "send a statement of at most 64 KiB").WithField("body")
	case err != nil:
		return "", outcome.Refuse(outcome.BadRequest, "the request body was cut off; send the statement again").WithField("body").WithCause(err)
	case !utf8.Valid(body):
		return "", outcome.Refuse(outcome.BadRequest, "send the statement as UTF-8").WithField("body")
	}
	return string(body), nil
}

func commandID(r *http.Request) (string, error) {
	text := r.Header.Get(CommandHeader)
	if text == "" {
		return "", nil
	}
	id, err := uuid.Parse(text)
	if err != nil {
		return "", outcome.Refuse(outcome.BadRequest, "send a UUID in the header Chicoryrelay-Command, or omit the header").WithField(CommandHeader)
	}
	return id.String(), nil
}

func (h *handler) execute(ctx context.Context, req request) (int, Response) {
	s, err := statement.Parse(req.text)
	if err != nil {
		if strings.HasPrefix(strings.TrimSpace(req.text), "show") {
			return errorResponse(err)
		}
		version, _ := h.configuration()
		return h.refuse(req, version, err)
	}
	if s.Command != nil {
		return h.change(ctx, req, s.Command)
	}
	result, err := h.tables.Run(s.Query, req.actor.Organisation)
	if err != nil {
		return errorResponse(err)
	}
	return http.StatusOK, Response{Columns: result.Columns, Rows: result.Rows}
}

func (h *handler) exportAudit(w http.ResponseWriter, r *http.Request) {
	actor, _ := r.Context().Value(actorKey{}).(Actor) // Set by requireOperator.
	var from time.Time
	if text := r.URL.Query().Get("since"); text != "" {
		since, err := time.ParseDuration(text)
		if err != nil || since <= 0 {
			status, response := errorResponse(outcome.Refuse(outcome.BadRequest, "set since to a time with its unit, such as 24h").WithField("since"))
			h.writeResponse(w, status, response)
			return
		}
		from = h.now().Add(-since)
	}
	if h.trail == nil {
		status, response := errorResponse(outcome.Refuse(outcome.NotFound, "this VM keeps no audit trail; export it from another VM"))
		h.writeResponse(w, status, response)
		return
	}
	// Exporting a year's trail over a slow link takes longer than the server's write timeout.
	_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(10 * time.Minute)) // Not every ResponseWriter supports deadlines.
	w.Header().Set("Content-Type", "application/jsonl")
	if err := h.trail.Export(w, actor.Organisation, from); err != nil {
		h.log.WithError(err).Error("audit export broke off")
		panic(http.ErrAbortHandler) // Aborts the connection, so that the client does not take a partial export as complete.
	}
}

func (h *handler) auditRows(organisation string, since time.Duration) []view.Row {
	var from time.Time
	if since > 0 {
		from = h.now().Add(-since)
	}
	entries, err := h.trail.Entries(organisation, from)
	if err != nil {
		h.log.WithError(err).Error("audit trail cannot be read")
	}
	rows := make([]view.Row, 0, len(entries))
	for _, e := range entries {
		rows = append(rows, view.Row{
			"time": e.Time, "actor": e.Actor, "organisation": e.Organisation, "source": e.Source, "statement": e.Statement,
			"command": e.Command, "expected": e.Expected, "outcome": e.Outcome, "version": e.Version,
		})
	}
	return rows
}
