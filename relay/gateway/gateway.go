package gateway

import (
	"context"
	"net/http"
	"time"

	"github.com/apex/log"
	"github.com/gorilla/mux"

	"github.com/chicoryrelay/chicoryrelay/relay/catalogue"
	"github.com/chicoryrelay/chicoryrelay/relay/dispatch"
	"github.com/chicoryrelay/chicoryrelay/relay/outcome"
	"github.com/chicoryrelay/chicoryrelay/relay/stream"
	"github.com/chicoryrelay/chicoryrelay/relay/upstream"
)

// staleHeader is set to "stale" on answers while the VM's configuration lease has expired.
const staleHeader = "Chicoryrelay-Config"

// RequestRecord is the record of one finished request for the metrics.
type RequestRecord struct {
	Account string
	Refusal *outcome.Refusal
	// TimeToFirstToken is the time to first token; 0 if no token was sent.
	TimeToFirstToken time.Duration
	// Deadline is the caller's or the assistant's limit of the time to first token.
	Deadline time.Duration
	// Queued is the time that all attempts waited for an upstream; ExpectedTokens is the expected length of the answer.
	Queued         time.Duration
	ExpectedTokens int
	Counts         upstream.Counts
	Stream         stream.Counts
	Service        bool
}

// Configuration is a snapshot of the VM's installed configuration.
type Configuration struct {
	// Catalogue is nil until a configuration is installed.
	Catalogue *catalogue.Catalogue
	// Leased reports whether the VM's lease is valid.
	Leased bool
}

// Gateway serves the HTTP API of callers.
type Gateway struct {
	configuration func() Configuration
	acquire       func(context.Context, dispatch.Request) (*dispatch.Ticket, error)
	book          func(context.Context, Booking) (Answer, error)
	client        *upstream.Client
	crashes       CrashGuard
	progress      *progressList
	newID         func() string
	now           func() time.Time
	recorder      func(RequestRecord)
	ready         func() bool
	log           log.Interface
	maxBodyBytes  int64
	writeTimeout  time.Duration
	installed     <-chan struct{}
	startTimeout  time.Duration
}

// Option configures a Gateway.
type Option func(*Gateway)

// WithConfiguration sets the source of the configuration.
func WithConfiguration(read func() Configuration) Option {
	return func(g *Gateway) { g.configuration = read }
}

// WithAcquire sets the function that chooses the upstream of an attempt, after a wait in the queue if none is free.
func WithAcquire(acquire func(context.Context, dispatch.Request) (*dispatch.Ticket, error)) Option {
	return func(g *Gateway) { g.acquire = acquire }
}

// WithBook sets the function that runs non-idempotent calls at most once.
func WithBook(book func(context.Context, Booking) (Answer, error)) Option {
	return func(g *Gateway) { g.book = book }
}

// WithClient sets the client of engines and plain services.
func WithClient(client *upstream.Client) Option { return func(g *Gateway) { g.client = client } }

// WithCrashGuard sets the guard of idempotent calls; by default every call is admitted.
func WithCrashGuard(guard CrashGuard) Option { return func(g *Gateway) { g.crashes = guard } }

// WithIDs sets the source of request IDs.
func WithIDs(newID func() string) Option { return func(g *Gateway) { g.newID = newID } }

// WithRecorder sets the function that receives the record of each finished request.
func WithRecorder(recorder func(RequestRecord)) Option {
	return func(g *Gateway) { g.recorder = recorder }
}

// WithReady sets the readiness that /healthz reports to the load balancer.
func WithReady(ready func() bool) Option { return func(g *Gateway) { g.ready = ready } }

// WithLog sets the log.
func WithLog(logger log.Interface) Option { return func(g *Gateway) { g.log = logger } }

// WithMaxBodyBytes sets the maximum size of a request body in bytes.
func WithMaxBodyBytes(limit int64) Option { return func(g *Gateway) { g.maxBodyBytes = limit } }

// WithWriteTimeout sets the timeout of one write to a caller.
func WithWriteTimeout(limit time.Duration) Option { return func(g *Gateway) { g.writeTimeout = limit } }

// WithStartTimeout sets the channel that is closed once a configuration is installed, and how long a request waits for it; by
// default requests do not wait.
func WithStartTimeout(installed <-chan struct{}, limit time.Duration) Option {
	return func(g *Gateway) { g.installed, g.startTimeout = installed, limit }
}

// New returns a gateway; the configuration, acquire, book, client and IDs must be given.
func New(options ...Option) *Gateway {
	g := &Gateway{
		progress:     newProgress(),
		crashes:      newCrashGuard(),
		now:          time.Now,
		recorder:     func(RequestRecord) {},
		ready:        func() bool { return true },
		log:          log.Log,
		maxBodyBytes: 8 << 20,
		writeTimeout: 20 * time.Second,
	}
	for _, option := range options {
		option(g)
	}
	return g
}

// Handler returns the HTTP handler of the callers' listener.
func (g *Gateway) Handler() http.Handler {
	router := mux.NewRouter()
	router.HandleFunc("/healthz", g.health).Methods(http.MethodGet)
	router.HandleFunc("/v1/models", g.models).Methods(http.MethodGet)
	router.HandleFunc("/v1/chat/completions", g.chat).Methods(http.MethodPost)
	router.HandleFunc("/v1/completions", g.completion).Methods(http.MethodPost)
	router.PathPrefix("/services/{service}").HandlerFunc(g.service)
	router.NotFoundHandler = http.HandlerFunc(g.notFound)
	router.MethodNotAllowedHandler = http.HandlerFunc(g.notFound)
	return router
}

func (g *Gateway) health(w http.ResponseWriter, _ *http.Request) {
	if !g.ready() {
		http.Error(w, "unready", http.StatusServiceUnavailable)
		return
	}
	_, _ = w.Write([]byte("ready\n"))
}

func (g *Gateway) notFound(w http.ResponseWriter, r *http.Request) {
	g.refuse(w, requestInfo{}, outcome.Refuse(outcome.NotFound, "no endpoint for %s %s; use /v1/models, /v1/chat/completions, /v1/completions or /services/", r.Method, r.URL.Path).WithField("path"))
}
