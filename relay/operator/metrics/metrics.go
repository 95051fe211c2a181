package metrics

import (
	"bufio"
	"expvar"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/chicoryrelay/chicoryrelay/relay/outcome"
)

// Set is the metrics of one VM; its methods are safe for concurrent use.
type Set struct {
	now    func() time.Time
	window time.Duration
	vars   map[string]expvar.Var

	prompt, cached, wasted, deadlineMet, deadlineMissed *expvar.Int
	ttft, shortWait, slowed                             *Histogram
	refusals                                            map[outcome.Kind]*expvar.Int
	refusedOther                                        *expvar.Int
	foreign, duplicates, resumes                        *expvar.Int
	streams, connections, silent                        *expvar.Int
	leaseValid, leases                                  *expvar.Int
	installed, inForce                                  *expvar.Int
	peerBytes, peerMessages                             *expvar.Int
}

// Option configures a Set.
type Option func(*Set)

// WithNow sets the clock of the quantile windows; the default is time.Now.
func WithNow(now func() time.Time) Option { return func(s *Set) { s.now = now } }

// WithWindow sets the length of a quantile window; the default is one minute.
func WithWindow(d time.Duration) Option { return func(s *Set) { s.window = d } }

// New returns metrics that are all 0. They are not published globally, so that one process can run several VMs.
func New(opts ...Option) *Set {
	s := &Set{now: time.Now, window: time.Minute, vars: map[string]expvar.Var{}, refusals: map[outcome.Kind]*expvar.Int{}}
	for _, opt := range opts {
		opt(s)
	}
	s.prompt, s.cached, s.wasted = s.counter("prefix_tokens"), s.counter("prefix_cached_tokens"), s.counter("wasted_tokens")
	s.vars["prefix_hit_rate"] = expvar.Func(func() any { return ratio(s.cached.Value(), s.prompt.Value()) })
	s.ttft, s.shortWait, s.slowed = s.histogram("ttft_seconds"), s.histogram("short_wait_seconds"), s.histogram("slowed_ttft_seconds")
	s.deadlineMet, s.deadlineMissed = s.counter("deadline_met"), s.counter("deadline_missed")
	s.vars["deadline_met_rate"] = expvar.Func(func() any { return ratio(s.deadlineMet.Value(), s.deadlineMet.Value()+s.deadlineMissed.Value()) })
	for _, kind := range outcome.Kinds() {
		s.refusals[kind] = s.counter("refused_" + string(kind))
	}
	s.refusedOther = s.counter("refused_other")
	s.foreign, s.duplicates, s.resumes = s.counter("stream_crossed"), s.counter("stream_duplicates"), s.counter("stream_resumes")
	s.streams, s.connections, s.silent = s.counter("streams_open"), s.counter("connections_open"), s.counter("connections_silent")
	s.leaseValid, s.leases = s.counter("lease_valid"), s.counter("leases_granted")
	s.peerBytes, s.peerMessages = s.counter("peer_bytes"), s.counter("peer_messages")
	s.installed, s.inForce = s.counter("version_installed"), s.counter("version_in_force")
	return s
}

func (s *Set) counter(name string) *expvar.Int {
	v := new(expvar.Int)
	s.vars[name] = v
	return v
}

func (s *Set) histogram(name string) *Histogram {
	h := newHistogram(s.now, s.window)
	s.vars[name] = h
	return h
}

func ratio(part, whole int64) float64 {
	if whole == 0 {
		return 0
	}
	return float64(part) / float64(whole)
}

// Prompt adds the tokens of a prompt and the cached tokens among them, which the engine took from its prefix cache.
func (s *Set) Prompt(tokens, cached int) {
	s.prompt.Add(int64(tokens))
	s.cached.Add(int64(cached))
}

// Wasted adds tokens that were prefilled although a cached copy elsewhere would have cost less, or for output that was never used.
func (s *Set) Wasted(tokens int) { s.wasted.Add(int64(tokens)) }

// FirstToken records the time to the first token of a request; slowed is true if an upstream was known to be slow at that time.
func (s *Set) FirstToken(ttft time.Duration, slowed bool) {
	s.ttft.Observe(ttft)
	if slowed {
		s.slowed.Observe(ttft)
	}
}

// Deadline counts a served request that has a deadline as met or missed; refused requests are not counted.
func (s *Set) Deadline(met bool) {
	if met {
		s.deadlineMet.Add(1)
	} else {
		s.deadlineMissed.Add(1)
	}
}

// ShortWait records the queueing time of a short request.
func (s *Set) ShortWait(d time.Duration) { s.shortWait.Observe(d) }

// Refused counts a refusal by kind; a kind that is not in outcome.Kinds counts as refused_other.
func (s *Set) Refused(kind outcome.Kind) {
	if counter, ok := s.refusals[kind]; ok {
		counter.Add(1)
		return
	}
	s.refusedOther.Add(1)
}

// ForeignEvent counts a stream event that arrived for the wrong request.
func (s *Set) ForeignEvent() { s.foreign.Add(1) }

// DuplicateEvent counts a stream event that had already been delivered.
func (s *Set) DuplicateEvent() { s.duplicates.Add(1) }

// StreamResumed counts a stream that was resumed at another upstream.
func (s *Set) StreamResumed() { s.resumes.Add(1) }

// AddStreams adds change to the number of streams in progress.
func (s *Set) AddStreams(change int) { s.streams.Add(int64(change)) }

// AddConnections adds change to the number of open connections to peers.
func (s *Set) AddConnections(change int) { s.connections.Add(int64(change)) }

// SilentConnection counts a peer connection that was replaced by a newer one, such as after its heartbeat timed out.
func (s *Set) SilentConnection() { s.silent.Add(1) }

// SetLeaseValid sets lease_valid to 1 if this VM holds a valid lease, else to 0.
func (s *Set) SetLeaseValid(valid bool) {
	if valid {
		s.leaseValid.Set(1)
	} else {
		s.leaseValid.Set(0)
	}
}

// SetLeasesGranted sets the number of unexpired leases that this VM has granted.
func (s *Set) SetLeasesGranted(n int) { s.leases.Set(int64(n)) }

// SetPeerTraffic sets the total bytes and messages exchanged with peers since the start, sent and received together.
func (s *Set) SetPeerTraffic(bytes, messages int64) {
	s.peerBytes.Set(bytes)
	s.peerMessages.Set(messages)
}

// SetVersions sets the configuration version that this VM has installed and the latest version that it knows to be in force.
func (s *Set) SetVersions(installed, inForce uint64) {
	s.installed.Set(int64(installed))
	s.inForce.Set(int64(inForce))
}

// Add adds a metric whose value is read when it is asked for; it must be called before the set is served.
func (s *Set) Add(name string, value func() any) { s.vars[name] = expvar.Func(value) }

// Names returns the names of all metrics in alphabetical order.
func (s *Set) Names() []string {
	names := make([]string, 0, len(s.vars))
	for name := range s.vars {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// Do calls f for each metric in alphabetical order of the names.
func (s *Set) Do(f func(expvar.KeyValue)) {
	for _, name := range s.Names() {
		f(expvar.KeyValue{Key: name, Value: s.vars[name]})
	}
}

// ServeHTTP writes the metrics and the process's published expvar variables, such as memstats, as one JSON object. A metric hides a
// published variable of the same name.
func (s *Set) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json; charset=utf-8")
	out := bufio.NewWriter(w)
	separator := "{\n"
	write := func(v expvar.KeyValue) {
		_, _ = fmt.Fprintf(out, "%s%s: %s", separator, strconv.Quote(v.Key), v.Value) // The client may have disconnected.
		separator = ",\n"
	}
	s.Do(write)
	expvar.Do(func(v expvar.KeyValue) {
		if s.vars[v.Key] == nil {
			write(v)
		}
	})
	_, _ = out.WriteString("\n}\n")
	_ = out.Flush()
}
