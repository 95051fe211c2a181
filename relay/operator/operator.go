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

// CommandHeader carries the UUID of a command whose statement names none, so that the sender knows it even if the answer is lost.
const CommandHeader = "Chicoryrelay-Command"

type handler struct {
	authenticate  func(key string) (Actor, bool)
	configuration func() (uint64, []catalogue.Object)
	send          func(context.Context, Command) (Outcome, error)
	known         func(context.Context, string) (Outcome, bool, error)
	tables        view.Tables
	trail         *audit.Trail
	vars          http.Handler
	ready         func() bool
	now           func() time.Time
	identify      func() string
	log           log.Interface
	timeout       time.Duration
	places        chan struct{}
}

// Option sets up the handler.
type Option func(*handler)

// WithAuthenticate sets the look-up of an operator by key; without it nobody is let in.
func WithAuthenticate(f func(key string) (Actor, bool)) Option {
	return func(h *handler) { h.authenticate = f }
}

// WithConfiguration sets the source of the version in force and its objects, taken together.
func WithConfiguration(f func() (uint64, []catalogue.Object)) Option {
	return func(h *handler) { h.configuration = f }
}

// WithChange sets the function that has a command agreed on. Its error is an *outcome.Refusal if nothing was proposed (NotRun);
// any other error means that the outcome is unknown.
func WithChange(f func(context.Context, Command) (Outcome, error)) Option {
	return func(h *handler) { h.send = f }
}

// WithKnown sets the look-up of a command's recorded outcome by ID, which must be asked of the quorum; false means never agreed on.
func WithKnown(f func(ctx context.Context, id string) (Outcome, bool, error)) Option {
	return func(h *handler) { h.known = f }
}

// WithTables sets the tables of the queries; without its Audit function the trail supplies that table.
func WithTables(t view.Tables) Option { return func(h *handler) { h.tables = t } }

// WithTrail sets the audit trail; without it changes leave no record.
func WithTrail(t *audit.Trail) Option { return func(h *handler) { h.trail = t } }

// WithVars sets the handler of /debug/vars.
func WithVars(v http.Handler) Option { return func(h *handler) { h.vars = v } }

// WithReady sets whether /healthz reports the VM ready.
func WithReady(f func() bool) Option { return func(h *handler) { h.ready = f } }

// WithNow sets the wall clock.
func WithNow(now func() time.Time) Option { return func(h *handler) { h.now = now } }

// WithIdentify sets the source of UUIDs for commands without one.
func WithIdentify(f func() string) Option { return func(h *handler) { h.identify = f } }

// WithLog sets the logger.
func WithLog(l log.Interface) Option { return func(h *handler) { h.log = l } }

// WithTimeout sets how long a change may take before its outcome is reported as unknown.
func WithTimeout(d time.Duration) Option { return func(h *handler) { h.timeout = d } }

// A handful of operators and their scripts share the listener; the limit keeps a runaway script from holding memory.
const mostStatements = 32

// New returns the operators' handler.
func New(opts ...Option) http.Handler {
	h := &handler{
		authenticate:  func(string) (Actor, bool) { return Actor{}, false },
		configuration: func() (uint64, []catalogue.Object) { return 0, nil },
		send: func(context.Context, Command) (Outcome, error) {
			return Outcome{}, outcome.Refuse(outcome.NoConfiguration, "this VM takes no changes; send the command to another VM")
		},
		vars: expvar.Handler(), ready: func() bool { return true }, now: time.Now, identify: newID, log: log.Log,
		// A change takes at most two leases of 6 s; a new leader waits one before it declares anything in force.
		timeout: 30 * time.Second, places: make(chan struct{}, mostStatements),
	}
	for _, opt := range opts {
		opt(h)
	}
	if h.tables.Audit == nil && h.trail != nil {
		h.tables.Audit = h.auditRows
	}
	router := mux.NewRouter()
	router.HandleFunc("/statement", h.statement).Methods(http.MethodPost)
	router.HandleFunc("/audit", h.export).Methods(http.MethodGet)
	router.Handle("/debug/vars", h.vars).Methods(http.MethodGet)
	outer := mux.NewRouter()
	outer.HandleFunc("/healthz", h.health).Methods(http.MethodGet, http.MethodHead)
	outer.PathPrefix("/").Handler(h.guard(router))
	return outer
}

// Server returns an HTTP server for the handler with limits on headers and times; headers is the largest header block in bytes.
func Server(handler http.Handler, headers int) *http.Server {
	return &http.Server{
		Handler: handler, MaxHeaderBytes: headers,
		ReadHeaderTimeout: 5 * time.Second, ReadTimeout: 10 * time.Second, IdleTimeout: time.Minute,
		// Longer than a change may take, so that its outcome is never cut off.
		WriteTimeout: time.Minute,
	}
}

func (h *handler) health(w http.ResponseWriter, _ *http.Request) {
	if !h.ready() {
		http.Error(w, "not ready", http.StatusServiceUnavailable)
		return
	}
	_, _ = io.WriteString(w, "ready\n") // A prober that hangs up needs no answer.
}

type actorKey struct{}

func (h *handler) guard(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		key, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
		actor, found := Actor{}, false
		if ok && key != "" {
			actor, found = h.authenticate(key)
		}
		if !found {
			h.log.WithField("source", r.RemoteAddr).WithField("path", r.URL.Path).Warn("operator not authenticated")
			status, response := fault(outcome.Refuse(outcome.Unauthorised, "send an operator's key as Authorization: Bearer KEY").WithField("Authorization"))
			h.answer(w, status, response)
			return
		}
		next.ServeHTTP(w, r.WithContext(context.WithValue(r.Context(), actorKey{}, actor)))
	})
}

func (h *handler) statement(w http.ResponseWriter, r *http.Request) {
	select {
	case h.places <- struct{}{}:
		defer func() { <-h.places }()
	default:
		status, response := fault(outcome.Refuse(outcome.Overloaded, "%d statements are in progress; send it again later", mostStatements))
		h.answer(w, status, response)
		return
	}
	actor, _ := r.Context().Value(actorKey{}).(Actor) // guard has set it.
	a := attempt{actor: actor, source: r.RemoteAddr}
	text, err := h.body(w, r)
	if err == nil {
		a.text = text
		a.id, err = commandID(r)
	}
	if err != nil {
		status, response := fault(err)
		h.answer(w, status, response)
		return
	}
	status, response := h.run(r.Context(), a)
	h.answer(w, status, response)
}

func (h *handler) body(w http.ResponseWriter, r *http.Request) (string, error) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, statement.Longest))
	var tooLong *http.MaxBytesError
	switch {
	case errors.As(err, &tooLong):
		return "", outcome.Refuse(outcome.TooLarge, "send a statement of at most 64 KiB").WithField("body")
	case err != nil:
		return "", outcome.Refuse(outcome.BadRequest, "the statement did not arrive whole; send it again").WithField("body").WithCause(err)
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
		return "", outcome.Refuse(outcome.BadRequest, "give a UUID").WithField(CommandHeader)
	}
	return id.String(), nil
}

func (h *handler) run(ctx context.Context, a attempt) (int, Response) {
	s, err := statement.Parse(a.text)
	if err != nil {
		if strings.HasPrefix(strings.TrimSpace(a.text), "show") {
			return fault(err)
		}
		version, _ := h.configuration()
		return h.refused(a, version, err)
	}
	if s.Command != nil {
		return h.change(ctx, a, s.Command)
	}
	result, err := h.tables.Run(s.Query, a.actor.Organisation)
	if err != nil {
		return fault(err)
	}
	return http.StatusOK, Response{Columns: result.Columns, Rows: result.Rows}
}

func (h *handler) export(w http.ResponseWriter, r *http.Request) {
	actor, _ := r.Context().Value(actorKey{}).(Actor) // guard has set it.
	var from time.Time
	if text := r.URL.Query().Get("since"); text != "" {
		since, err := time.ParseDuration(text)
		if err != nil || since <= 0 {
			status, response := fault(outcome.Refuse(outcome.BadRequest, "give a time with its unit, such as 24h").WithField("since"))
			h.answer(w, status, response)
			return
		}
		from = h.now().Add(-since)
	}
	if h.trail == nil {
		status, response := fault(outcome.Refuse(outcome.NotFound, "this VM keeps no audit trail; ask another one"))
		h.answer(w, status, response)
		return
	}
	// A year's trail over a slow link takes longer than an answer to a statement may.
	_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(10 * time.Minute)) // Writers without deadlines need none.
	w.Header().Set("Content-Type", "application/jsonl")
	if err := h.trail.Export(w, actor.Organisation, from); err != nil {
		h.log.WithError(err).Error("audit export broke off")
		panic(http.ErrAbortHandler) // Ends the connection, so that a part is not taken for the whole.
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
