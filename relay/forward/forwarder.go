package forward

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/apex/log"

	"github.com/chicoryrelay/chicoryrelay/relay/connection"
	"github.com/chicoryrelay/chicoryrelay/relay/directory"
	"github.com/chicoryrelay/chicoryrelay/relay/outcome"
	"github.com/chicoryrelay/chicoryrelay/relay/prompt"
	"github.com/chicoryrelay/chicoryrelay/relay/route"

	"github.com/cespare/xxhash/v2"
)

const (
	// writeTimeout limits one write to a caller, which may not read.
	writeTimeout = 5 * time.Second
	// startRetryAfter is the Retry-After of a VM that has no desired state yet.
	startRetryAfter = 500 * time.Millisecond
	// maxTableWait limits how long a request waits for the first desired state; tablePollInterval is the interval between checks.
	maxTableWait      = 400 * time.Millisecond
	tablePollInterval = 20 * time.Millisecond
)

// Forwarder is the HTTP handler that forwards requests by the routes of the desired state.
type Forwarder struct {
	table   func() *route.Table
	dialect Dialect
	pool    *connection.Pool
	place   PlaceFunc
	reserve ReserveFunc
	find    func(id string) *directory.Upstream
	// recordOrigin and findOrigin are the functions of WithOrigins, or nil.
	recordOrigin RecordOriginFunc
	findOrigin   FindOriginFunc
	budget       *Budget
	log          log.Interface
	now          func() time.Time
	random       func() float64
	stopping     atomic.Bool
	// endsAt is when the process ends, zero while that isn't known; stop gives up the requests that wait for a placement.
	endsAt  atomic.Pointer[time.Time]
	stopped context.Context
	stop    context.CancelCauseFunc
	active  atomic.Int64
	// current reports whether the table has every change that is in force.
	current  func() bool
	recorder func(RequestRecord)
	// watch is the function of WithWatch, or nil.
	watch WatchFunc
	// buffers counts the memory of the answers in progress.
	buffers bufferPool
}

// RequestRecord is the record of one finished request for the metrics.
type RequestRecord struct {
	Route string
	// Status is the answer's status, or 0 if the connection ended without one.
	Status int
	// TimeToAnswer is the time until the answer's header was sent, Total the time until the answer ended.
	TimeToAnswer, Total time.Duration
	Sends               int
	RefusalKind         outcome.Kind
}

// Option configures a Forwarder.
type Option func(*Forwarder)

// WithTable sets the source of the routing table, which is nil until the VM has a desired state.
func WithTable(table func() *route.Table) Option { return func(f *Forwarder) { f.table = table } }

// WithDialect sets the dialect of the headers.
func WithDialect(d Dialect) Option { return func(f *Forwarder) { f.dialect = d } }

// WithPool sets the pool of connections to upstreams.
func WithPool(p *connection.Pool) Option { return func(f *Forwarder) { f.pool = p } }

// WithPlaceFunc sets the function that chooses the upstream of a request.
func WithPlaceFunc(place PlaceFunc) Option { return func(f *Forwarder) { f.place = place } }

// WithUpstreams sets the function that returns an upstream as it is listed now, or nil for one that is gone.
func WithUpstreams(find func(id string) *directory.Upstream) Option {
	return func(f *Forwarder) { f.find = find }
}

// hasEnded reports whether an upstream has ended since: it is gone, or has started again.
func (f *Forwarder) hasEnded(u *directory.Upstream) bool {
	if f.find == nil {
		return false
	}
	now := f.find(u.ID)
	return now == nil || !now.StartedAt.Equal(u.StartedAt)
}

// WithBudget sets the retry budget.
func WithBudget(b *Budget) Option { return func(f *Forwarder) { f.budget = b } }

// WithCurrent sets the function that reports whether the table has every change that is in force. While it does not, no account shares cached prompts with another, since one may have become isolated.
func WithCurrent(current func() bool) Option { return func(f *Forwarder) { f.current = current } }

// WithLog sets the log.
func WithLog(logger log.Interface) Option { return func(f *Forwarder) { f.log = logger } }

// WithRecorder sets the function that receives the record of each finished request.
func WithRecorder(recorder func(RequestRecord)) Option {
	return func(f *Forwarder) { f.recorder = recorder }
}

// New returns a forwarder; WithTable, WithDialect, WithPool and WithPlaceFunc must be given.
func New(options ...Option) *Forwarder {
	f := &Forwarder{log: log.Log, now: time.Now, random: rand.Float64, budget: NewBudget(), recorder: func(RequestRecord) {}, current: func() bool { return true }}
	f.stopped, f.stop = context.WithCancelCause(context.Background())
	for _, option := range options {
		option(f)
	}
	return f
}

// awaitTable waits for the routing table of a VM that has just started and returns nil at the timeout. The desired state comes
// from the control VMs within about a second, and callers accept that delay.
func (f *Forwarder) awaitTable(ctx context.Context) *route.Table {
	if table := f.table(); table != nil {
		return table
	}
	deadline := time.NewTimer(maxTableWait)
	defer deadline.Stop()
	ticker := time.NewTicker(tablePollInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-deadline.C:
			return nil
		case <-ticker.C:
			if table := f.table(); table != nil {
				return table
			}
		}
	}
}

// CloseConnections makes each further answer close its caller's connection, so that a VM that shuts down gets no more requests on
// it.
func (f *Forwarder) CloseConnections() { f.stopping.Store(true) }

// EndAt makes the forwarder refuse each further request that may last longer than the process, so that none is cut without an answer.
func (f *Forwarder) EndAt(end time.Time) { f.endsAt.Store(&end) }

// Stop refuses the requests that wait for an upstream, which have not run.
func (f *Forwarder) Stop() { f.stop(errStopping) }

// errStopping is the cause of a request that was given up because the process ends.
var errStopping = errors.New("this VM shuts down")

// Active returns the number of requests in progress.
func (f *Forwarder) Active() int64 { return f.active.Load() }

// ServeHTTP implements http.Handler.
func (f *Forwarder) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	f.active.Add(1)
	defer f.active.Add(-1)
	s := &session{f: f, w: w, r: r, arrived: f.now()}
	if f.stopping.Load() {
		w.Header().Set("Connection", "close")
	}
	s.run()
}

// endToEndHeader returns a copy of the header without hop-by-hop fields and without Content-Length.
func (d *Dialect) endToEndHeader(h http.Header) http.Header {
	out := make(http.Header, len(h)+8)
	for name, values := range h {
		out[name] = values
	}
	for _, list := range h["Connection"] {
		for _, text := range strings.Split(list, ",") {
			if name := http.CanonicalHeaderKey(strings.TrimSpace(text)); !slices.Contains(d.EndToEnd, name) {
				delete(out, name)
			}
		}
	}
	for _, name := range hopByHopHeaders {
		delete(out, name)
	}
	delete(out, "Content-Length")
	return out
}

// prefixLevels returns the prefix levels of a request's parts; their tokens count from the start of the prompt.
func prefixLevels(scope string, parts []Part) []prompt.Level {
	out := make([]prompt.Level, 0, len(parts))
	hash, tokens := xxhash.Sum64String(scope), 0
	for _, part := range parts {
		tokens += part.Tokens
		hash = hash*0x9e3779b97f4a7c15 ^ xxhash.Sum64String(part.ID)
		out = append(out, prompt.Level{Hash: hash, Tokens: tokens})
	}
	return out
}

// setRetryAfter sets Retry-After, in seconds with milliseconds; a wait of 0 sets none.
func setRetryAfter(h http.Header, wait time.Duration) {
	if wait > 0 {
		h.Set("Retry-After", strconv.FormatFloat(wait.Seconds(), 'f', 3, 64))
	}
}
