package replica

import (
	"context"
	"encoding/json"
	"io"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"os"
	"strconv"
	"time"

	"github.com/apex/log"
	"github.com/gorilla/mux"
	"github.com/samber/oops"

	"github.com/chicoryrelay/chicoryrelay/standin/engine"
)

// maxBody limits a request body in bytes.
const maxBody = 16 << 20

// Server serves one engine over HTTP.
type Server struct {
	runner *runner
	faults faults
	delay  time.Duration
	reset  bool
	exit   func()
	stop   chan struct{}
	logger log.Interface
	// store is the address of the weight store; if it is the zero value, weights are not fetched.
	store netip.AddrPort
}

// Option changes a server.
type Option func(*Server)

// WithDelay adds a one-way network delay to requests and responses.
func WithDelay(delay time.Duration) Option { return func(s *Server) { s.delay = delay } }

// WithReset makes a crash restart the engine with an empty cache under a new incarnation instead of exiting the process.
func WithReset(reset bool) Option { return func(s *Server) { s.reset = reset } }

// WithExit replaces the function that exits the process on a crash.
func WithExit(exit func()) Option { return func(s *Server) { s.exit = exit } }

// WithStore makes loads fetch their weights from a weight store; Settings.Fetched must be set in the engine.
func WithStore(store netip.AddrPort) Option { return func(s *Server) { s.store = store } }

// WithLogger sets the logger.
func WithLogger(logger log.Interface) Option { return func(s *Server) { s.logger = logger } }

// New returns a server of the engine and starts a goroutine that steps the engine until Close.
func New(e *engine.Engine, opts ...Option) *Server {
	s := &Server{runner: newRunner(e), stop: make(chan struct{}), exit: func() { os.Exit(3) }, logger: log.Log}
	for _, opt := range opts {
		opt(s)
	}
	go s.runner.run(s.stop)
	return s
}

// Close stops stepping the engine and fetching weights; it must be called once only.
func (s *Server) Close() { close(s.stop) }

// HTTP returns the HTTP server. Its handler must not be used alone, since silent connections are tracked by ConnContext.
func (s *Server) HTTP() *http.Server {
	return &http.Server{Handler: s.handler(), ConnContext: s.faults.connContext, ReadHeaderTimeout: 30 * time.Second}
}

func (s *Server) handler() http.Handler {
	router := mux.NewRouter()
	router.HandleFunc("/fault", s.fault).Methods(http.MethodPost)
	served := router.NewRoute().Subrouter()
	served.Use(s.emulateNetwork)
	served.HandleFunc("/v1/chat/completions", func(w http.ResponseWriter, r *http.Request) { s.complete(w, r, true) }).Methods(http.MethodPost)
	served.HandleFunc("/v1/completions", func(w http.ResponseWriter, r *http.Request) { s.complete(w, r, false) }).Methods(http.MethodPost)
	served.HandleFunc("/v1/models", s.models).Methods(http.MethodGet)
	served.HandleFunc("/load", s.load).Methods(http.MethodGet)
	served.HandleFunc("/events", s.events).Methods(http.MethodGet)
	served.HandleFunc("/blocks", s.blocks).Methods(http.MethodGet)
	served.HandleFunc("/order", s.order).Methods(http.MethodPost)
	served.HandleFunc("/kv/export", s.exportKV).Methods(http.MethodPost)
	served.HandleFunc("/kv/import", s.importKV).Methods(http.MethodPost)
	served.HandleFunc("/healthz", s.health).Methods(http.MethodGet)
	return router
}

// emulateNetwork adds the network delay, blocks requests on silent connections, and sets the headers X-Incarnation and X-Software.
func (s *Server) emulateNetwork(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.blockIfSilent(r.Context())
		s.runner.clock.Sleep(s.delay, r.Context().Done())
		if s.faults.isLeaving() {
			w.Header().Set("Server-Leaving", "1")
		}
		if id := r.Header.Get("X-Request-Id"); id != "" {
			w.Header().Set("X-Request-Id", id)
		}
		s.runner.withEngine(func(_ time.Duration, e *engine.Engine) {
			w.Header().Set("X-Incarnation", strconv.FormatUint(e.Incarnation(), 10))
			if software := e.Software(); software != "" {
				w.Header().Set("X-Software", software)
			}
		})
		next.ServeHTTP(w, r)
	})
}

// blockIfSilent blocks until the connection closes if it is silent.
func (s *Server) blockIfSilent(ctx context.Context) {
	if s.faults.isSilent(ctx) {
		<-ctx.Done()
	}
}

func (s *Server) crash() {
	s.logger.WithField("reset", s.reset).Warn("engine crashes")
	if !s.reset {
		s.exit()
		return
	}
	s.runner.mutex.Lock()
	defer s.runner.mutex.Unlock()
	now := s.runner.clock.Now()
	s.runner.engine.Restart(now, rand.Uint64())
	s.runner.deliver(s.runner.engine.Step(now))
}

func (s *Server) writeJSON(w http.ResponseWriter, r *http.Request, status int, value any) {
	s.runner.clock.Sleep(s.delay, r.Context().Done())
	s.blockIfSilent(r.Context())
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	if err := json.NewEncoder(w).Encode(value); err != nil {
		s.logger.WithError(err).Debug("answer not written")
	}
}

// writeError responds with the error and the status for its code.
func (s *Server) writeError(w http.ResponseWriter, r *http.Request, err error) {
	status, code := http.StatusBadRequest, "bad_request"
	if typed, ok := oops.AsOops(err); ok {
		code, _ = typed.Code().(string)
	}
	switch code {
	case "leaving", "loading", "busy":
		status = http.StatusServiceUnavailable
	case "duplicate", "fenced", "version":
		status = http.StatusConflict
	}
	response := map[string]any{"error": map[string]any{"message": err.Error(), "type": code, "code": code}}
	if code == "leaving" {
		response["leaving"] = true
	}
	s.writeJSON(w, r, status, response)
}

func (s *Server) readBody(w http.ResponseWriter, r *http.Request) ([]byte, error) {
	raw, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBody))
	if err != nil {
		return nil, oops.Code("body").Errorf("body: send at most %d bytes: %v", maxBody, err)
	}
	return raw, nil
}

func (s *Server) decodeBody(w http.ResponseWriter, r *http.Request, target any) error {
	raw, err := s.readBody(w, r)
	if err != nil {
		return err
	}
	if err := json.Unmarshal(raw, target); err != nil {
		return oops.Code("body").Errorf("body: send a JSON object: %v", err)
	}
	return nil
}
