package vm

import (
	"bytes"
	"context"
	"expvar"
	"fmt"
	stdlog "log"
	"net/http"
	"runtime"
	"sort"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/apex/log"
	"go.uber.org/fx"

	"github.com/chicoryrelay/chicoryrelay/relay/callers"
	"github.com/chicoryrelay/chicoryrelay/relay/connection"
	"github.com/chicoryrelay/chicoryrelay/relay/control"
	"github.com/chicoryrelay/chicoryrelay/relay/forward"
	"github.com/chicoryrelay/chicoryrelay/relay/pause"
	"github.com/chicoryrelay/chicoryrelay/relay/settings"
)

// Latency histograms range from 0.1 ms to two minutes, in units of latencyUnit, with two significant digits.
const (
	minLatency        = 1
	maxLatency        = 1_200_000
	latencyUnit       = 100 * time.Microsecond
	significantDigits = 2
)

// counters collects the counts and latency histograms of a VM.
type counters struct {
	pool   *connection.Pool
	pauses *pause.Registry
	host   *control.Host
	mesh   *peerMesh
	rates  *accountRates
	guard  *callers.Guard

	mu           sync.Mutex
	counts       map[string]uint64
	timeToAnswer map[string]*hdrhistogram.Histogram
	totalTime    map[string]*hdrhistogram.Histogram
}

func newCounters(pool *connection.Pool, pauses *pause.Registry, host *control.Host, m *peerMesh, rates *accountRates, guard *callers.Guard) *counters {
	return &counters{
		pool: pool, pauses: pauses, host: host, mesh: m, rates: rates, guard: guard, counts: map[string]uint64{}, timeToAnswer: map[string]*hdrhistogram.Histogram{}, totalTime: map[string]*hdrhistogram.Histogram{},
	}
}

// observe records a finished request.
func (c *counters) observe(r forward.RequestRecord) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.counts[fmt.Sprintf("requests{route=%q,status=\"%d\"}", r.Route, r.Status)]++
	if r.RefusalKind != "" {
		c.counts[fmt.Sprintf("refusals{kind=%q}", r.RefusalKind)]++
	}
	if r.Sends > 1 {
		c.counts["repeated_sends"] += uint64(r.Sends - 1)
	}
	if r.TimeToAnswer > 0 {
		record(c.timeToAnswer, r.Route, r.TimeToAnswer)
		record(c.totalTime, r.Route, r.Total)
	}
}

func record(histograms map[string]*hdrhistogram.Histogram, route string, d time.Duration) {
	h, ok := histograms[route]
	if !ok {
		h = hdrhistogram.New(minLatency, maxLatency, significantDigits)
		histograms[route] = h
	}
	// Values outside the histogram's range are clamped, so that RecordValue returns no error.
	_ = h.RecordValue(min(maxLatency, max(minLatency, int64(d/latencyUnit))))
}

// text returns all metrics, one per line.
func (c *counters) text() []byte {
	var lines []string
	c.mu.Lock()
	for name, n := range c.counts {
		lines = append(lines, fmt.Sprintf("%s %d", name, n))
	}
	for name, list := range map[string]map[string]*hdrhistogram.Histogram{"first": c.timeToAnswer, "total": c.totalTime} {
		for route, h := range list {
			for _, q := range []float64{50, 95, 99} {
				lines = append(lines, fmt.Sprintf("%s_ms{route=%q,quantile=\"%g\"} %.1f", name, route, q/100, float64(h.ValueAtQuantile(q))/10))
			}
		}
	}
	c.mu.Unlock()
	pool, pauses := c.pool.Counters(), c.pauses.Counts()
	view := c.host.View()
	peers := c.mesh.mesh.Counters()
	for name, n := range map[string]uint64{
		"upstreams_paused": uint64(c.pauses.Paused()), "upstream_pauses": pauses.Pauses, "requests_held": pauses.Held, "connections_dialled": pool.Dialled, "connections_reused": pool.Reused, "connections_stale": pool.Stale,
		"answers_foreign": pool.Foreign, "answers_trailing": pool.Trailing, "goroutines": uint64(runtime.NumGoroutine()),
		"peer_messages_sent": uint64(peers.Sent.Load()), "peer_messages_received": uint64(peers.Received.Load()), "peer_bytes": uint64(peers.Bytes.Load()),
		"peer_messages_dropped": uint64(peers.Dropped.Load()), "parts_quarantined": uint64(c.mesh.dispatch.Quarantined()),
	} {
		lines = append(lines, fmt.Sprintf("%s %d", name, n))
	}
	waiting, waited := c.mesh.dispatch.Room()
	lines = append(lines, fmt.Sprintf("room_waiting %d", waiting), fmt.Sprintf("room_waits %d", waited))
	lines = append(lines, c.mesh.silence.text()...)
	lines = append(lines, guardLines(c.guard.Counters())...)
	if view.Catalogue != nil {
		lines = append(lines, fmt.Sprintf("configuration_version %d", view.Catalogue.Version), fmt.Sprintf("desired_number %d", view.Catalogue.Desired.Number))
	}
	lines = append(lines, fmt.Sprintf("lease_left_ms %d", max(0, view.LeasedUntil-c.host.Now()).Milliseconds()))
	lines = append(lines, c.rates.lines()...)
	lines = append(lines, c.mesh.origins.lines()...)
	lines = append(lines, c.mesh.speeds.lines()...)
	sort.Strings(lines)
	var b bytes.Buffer
	for _, line := range lines {
		b.WriteString(line + "\n")
	}
	return b.Bytes()
}

// guardLines returns the metrics of the bounds on callers, none without limits.
func guardLines(c callers.Counters) (lines []string) {
	for holder, bytes := range c.Memory {
		lines = append(lines, fmt.Sprintf("callers_memory_bytes{holder=%q} %d", holder, bytes))
	}
	for cause, n := range c.Events {
		lines = append(lines, fmt.Sprintf("callers_bounded{cause=%q} %d", cause, n))
	}
	if c.Budget > 0 || c.MaxConnections > 0 {
		lines = append(lines, fmt.Sprintf("callers_budget_bytes %d", c.Budget), fmt.Sprintf("callers_connections %d", c.Connections), fmt.Sprintf("callers_connections_limit %d", c.MaxConnections))
	}
	return lines
}

// runMetrics serves the metrics as text, and expvar at its usual path.
func runMetrics(lifecycle fx.Lifecycle, s settings.Settings, c *counters, guard *callers.Guard, logger log.Interface) {
	if !s.Listeners.Metrics.IsValid() {
		return
	}
	mux := http.NewServeMux()
	mux.Handle("/debug/vars", expvar.Handler())
	mux.HandleFunc("/metrics", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/plain; charset=utf-8")
		// An error means that the client has disconnected.
		_, _ = w.Write(c.text())
	})
	server := newServer(mux, s.Limits.Headers, logger)
	lifecycle.Append(fx.Hook{
		OnStart: func(context.Context) error {
			_, err := listen(server, guard, s.Listeners.Metrics, "listeners.metrics", logger)
			return err
		},
		OnStop: func(context.Context) error { return server.Close() },
	})
}

// lineWriter writes the HTTP server's log lines to the log at debug level.
type lineWriter struct{ log log.Interface }

// Write implements io.Writer.
func (w lineWriter) Write(line []byte) (int, error) {
	w.log.WithField("cause", string(bytes.TrimSpace(line))).Debug("http server")
	return len(line), nil
}

func newErrorLog(logger log.Interface) *stdlog.Logger { return stdlog.New(lineWriter{logger}, "", 0) }
