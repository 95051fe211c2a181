package service

import (
	"bytes"
	"cmp"
	"fmt"
	"io"
	"maps"
	"net/http"
	"os"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/gorilla/mux"

	"github.com/chicoryrelay/chicoryrelay/standin/answer"
)

// maxBody limits a request body in bytes.
const maxBody = 1 << 20

// Fault is the body of POST /fault. Each counter is the number of next calls to which that fault applies; the counters replace
// those set before.
type Fault struct {
	// Close closes the connection after the work has run, without a response.
	Close int `json:"close"`
	// Silent runs the work and never responds.
	Silent int `json:"silent"`
	// Late delays the response by the duration For, such as 20s.
	Late int    `json:"late"`
	For  string `json:"for"`
	// Refuse responds 503 without running the work, with a Retry-After of RetryAfter, such as 2, if that is not empty.
	Refuse     int    `json:"refuse"`
	RetryAfter string `json:"retry_after"`
	// Fail responds with Status, 503 if it is 0, after the work has run.
	Fail   int `json:"fail"`
	Status int `json:"status"`
	// CrashOn is a text: the process exits as soon as it begins to run a call whose body contains it; an empty text ends this.
	CrashOn *string `json:"crash_on,omitempty"`
	// Leave makes the service respond 503 with leaving set, and announce in each answer that it leaves, if true, and accept calls
	// again if false.
	Leave *bool `json:"leave,omitempty"`
}

// Service counts the runs of each idempotency key; it is safe for concurrent use.
type Service struct {
	name    string
	delay   time.Duration
	mutex   sync.Mutex
	runs    map[string]int
	total   int
	fault   Fault
	late    time.Duration
	leaving bool
	crashOn string
	exit    func()
	logger  log.Interface
}

// Option changes a service.
type Option func(*Service)

// WithName sets the service name in responses.
func WithName(name string) Option { return func(s *Service) { s.name = name } }

// WithDelay sets the duration of each call.
func WithDelay(delay time.Duration) Option { return func(s *Service) { s.delay = delay } }

// WithFault arms faults at the start.
func WithFault(fault Fault) Option { return func(s *Service) { s.arm(fault) } }

// WithExit replaces the function that exits the process on a crash.
func WithExit(exit func()) Option { return func(s *Service) { s.exit = exit } }

// New returns a service.
func New(opts ...Option) *Service {
	s := &Service{name: "service", runs: map[string]int{}, exit: func() { os.Exit(3) }, logger: log.Log}
	for _, opt := range opts {
		opt(s)
	}
	return s
}

// Handler returns the HTTP handler: every path runs work except /runs, /load, /fault and /healthz.
func (s *Service) Handler() http.Handler {
	router := mux.NewRouter()
	router.HandleFunc("/runs", s.serveRuns).Methods(http.MethodGet)
	router.HandleFunc("/load", s.load).Methods(http.MethodGet)
	router.HandleFunc("/healthz", s.load).Methods(http.MethodGet)
	router.HandleFunc("/fault", s.setFault).Methods(http.MethodPost)
	router.PathPrefix("/").HandlerFunc(s.runWork)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.mutex.Lock()
		if s.leaving {
			w.Header().Set("Server-Leaving", "1")
		}
		s.mutex.Unlock()
		router.ServeHTTP(w, r)
	})
}

func (s *Service) arm(fault Fault) {
	s.fault = fault
	if fault.Leave != nil {
		s.leaving = *fault.Leave
	}
	if fault.CrashOn != nil {
		s.crashOn = *fault.CrashOn
	}
	if d, err := time.ParseDuration(fault.For); err == nil {
		s.late = d
	}
}

// consume decrements a fault counter and reports whether it was above zero.
func consume(counter *int) bool {
	if *counter <= 0 {
		return false
	}
	*counter--
	return true
}

func (s *Service) runWork(w http.ResponseWriter, r *http.Request) {
	raw, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBody))
	if err != nil {
		answer.Write(w, http.StatusBadRequest, map[string]any{"error": "body: " + err.Error()})
		return
	}
	s.mutex.Lock()
	if s.leaving || consume(&s.fault.Refuse) {
		leaving, retryAfter := s.leaving, s.fault.RetryAfter
		s.mutex.Unlock()
		if retryAfter != "" {
			w.Header().Set("Retry-After", retryAfter)
		}
		answer.Write(w, http.StatusServiceUnavailable, map[string]any{"error": "the service accepts no calls now; send the call to another replica", "leaving": leaving})
		return
	}
	key := r.Header.Get("Idempotency-Key")
	s.total++
	run := s.total
	if key != "" {
		s.runs[key]++
	}
	closeConn, silent, late, fails := consume(&s.fault.Close), consume(&s.fault.Silent), consume(&s.fault.Late), consume(&s.fault.Fail)
	status := cmp.Or(s.fault.Status, http.StatusServiceUnavailable)
	wait, crashes := s.late, s.crashOn != "" && bytes.Contains(raw, []byte(s.crashOn))
	s.mutex.Unlock()
	logger := s.logger.WithFields(log.Fields{"service": s.name, "method": r.Method, "path": r.URL.Path, "key": key, "run": run})
	logger.Info("work ran")
	if crashes {
		logger.WithField("at", time.Now().UnixMilli()).Warn("service crashes")
		s.exit()
		panic(http.ErrAbortHandler)
	}
	sleep(r, s.delay)
	switch {
	case closeConn:
		panic(http.ErrAbortHandler)
	case silent:
		<-r.Context().Done()
		return
	case late:
		sleep(r, wait)
	}
	if fails {
		answer.Write(w, status, map[string]any{"error": "the service failed after the work had run", "key": key, "run": run})
		return
	}
	answer.Write(w, http.StatusOK, map[string]any{"service": s.name, "method": r.Method, "path": r.URL.Path, "key": key, "run": run, "confirmation": fmt.Sprintf("%s-%06d", s.name, run), "bytes": len(raw)})
}

func sleep(r *http.Request, d time.Duration) {
	if d <= 0 {
		return
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-r.Context().Done():
	}
}

// serveRuns responds with the number of runs of each key and of all calls.
func (s *Service) serveRuns(w http.ResponseWriter, _ *http.Request) {
	s.mutex.Lock()
	runs, total := maps.Clone(s.runs), s.total
	s.mutex.Unlock()
	answer.Write(w, http.StatusOK, map[string]any{"total": total, "runs": runs})
}

func (s *Service) load(w http.ResponseWriter, _ *http.Request) {
	s.mutex.Lock()
	leaving := s.leaving
	s.mutex.Unlock()
	answer.Write(w, http.StatusOK, map[string]any{"leaving": leaving})
}

func (s *Service) setFault(w http.ResponseWriter, r *http.Request) {
	var fault Fault
	if err := answer.Read(w, r, maxBody, &fault); err != nil {
		answer.Refuse(w, http.StatusBadRequest, "body", err.Error())
		return
	}
	s.mutex.Lock()
	s.arm(fault)
	s.mutex.Unlock()
	s.logger.WithField("service", s.name).WithFields(log.Fields{"close": fault.Close, "silent": fault.Silent, "late": fault.Late, "refuse": fault.Refuse, "fail": fault.Fail}).Info("fault armed")
	w.WriteHeader(http.StatusNoContent)
}
