package main

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/fx"

	"github.com/chicoryrelay/chicoryrelay/relay/callers"
	"github.com/chicoryrelay/chicoryrelay/relay/control"
	"github.com/chicoryrelay/chicoryrelay/relay/dispatch"
	"github.com/chicoryrelay/chicoryrelay/relay/gateway"
	"github.com/chicoryrelay/chicoryrelay/relay/operator/metrics"
	"github.com/chicoryrelay/chicoryrelay/relay/peer"
	"github.com/chicoryrelay/chicoryrelay/relay/routing"
	"github.com/chicoryrelay/chicoryrelay/relay/upstream"
)

// sampleInterval is the interval at which gauges and the counters of other components are read.
const sampleInterval = time.Second

// shortAnswerTokens is the greatest expected answer length of a short request; answers for kiosks are a word or a sentence.
const shortAnswerTokens = 64

// metricsRecorder records finished requests and samples of other components as metrics.
type metricsRecorder struct {
	set     *metrics.Set
	anySlow atomic.Bool

	// The values of the last sample; the metrics are increased by the difference.
	wasted    uint64
	connected int
	streams   int
	replaced  int64
}

func newMetricsRecorder(guard *callers.Guard) *metricsRecorder {
	m := &metricsRecorder{set: metrics.New()}
	m.set.Add("callers", func() any { return guard.Counters() })
	return m
}

// observe records one finished request.
func (m *metricsRecorder) observe(r gateway.RequestRecord) {
	if r.Refusal != nil {
		m.set.Refused(r.Refusal.Kind)
	}
	if r.Service {
		return
	}
	if r.Counts.Prompt > 0 {
		m.set.Prompt(r.Counts.Prompt, r.Counts.Cached)
	}
	if r.TimeToFirstToken > 0 {
		m.set.FirstToken(r.TimeToFirstToken, m.anySlow.Load())
	}
	if r.Deadline > 0 {
		m.set.Deadline(r.TimeToFirstToken > 0 && r.TimeToFirstToken <= r.Deadline)
	}
	if r.ExpectedTokens > 0 && r.ExpectedTokens <= shortAnswerTokens {
		m.set.ShortWait(r.Queued)
	}
	repeat(r.Stream.Foreign, m.set.ForeignEvent)
	repeat(r.Stream.Duplicates, m.set.DuplicateEvent)
	if r.Stream.Resumes > 1 {
		repeat(r.Stream.Resumes-1, m.set.StreamResumed)
	}
}

func repeat(n uint64, increment func()) {
	for range n {
		increment()
	}
}

// runMetrics samples the counters and gauges of other components until the VM shuts down.
func runMetrics(lifecycle fx.Lifecycle, m *metricsRecorder, host *control.Host, d *dispatch.Dispatcher, mesh *peer.Mesh, g *gateway.Gateway) {
	ctx, cancel := context.WithCancel(context.Background())
	var group sync.WaitGroup
	lifecycle.Append(fx.Hook{
		OnStart: func(context.Context) error {
			group.Go(func() { upstream.Poll(ctx, sampleInterval, func(context.Context) { m.sample(host, d, mesh, g) }) })
			return nil
		},
		OnStop: func(context.Context) error {
			cancel()
			group.Wait()
			return nil
		},
	})
}

func (m *metricsRecorder) sample(host *control.Host, d *dispatch.Dispatcher, mesh *peer.Mesh, g *gateway.Gateway) {
	streams := len(g.InProgress())
	m.set.AddStreams(streams - m.streams)
	m.streams = streams
	d.Inspect(func(_ time.Duration, core *routing.Core) {
		total := core.Waste().Total()
		m.set.Wasted(int(total - m.wasted))
		m.wasted = total
		m.anySlow.Store(core.AnySlow())
	})
	connected := len(mesh.Connected())
	m.set.AddConnections(connected - m.connected)
	m.connected = connected
	counters := mesh.Counters()
	m.set.SetPeerTraffic(counters.Bytes.Load(), counters.Sent.Load()+counters.Received.Load())
	replaced := mesh.Counters().Replaced.Load()
	repeat(uint64(replaced-m.replaced), m.set.SilentConnection)
	m.replaced = replaced
	m.set.SetLeaseValid(host.Leased())
	host.Inspect(func(at control.ClockReading, node *control.Node) {
		inForce := node.Version()
		if voter := node.Voter(); voter != nil {
			inForce = voter.Machine().Configuration().InForce()
			m.set.SetLeasesGranted(len(voter.Leases(at.Now)))
		}
		m.set.SetVersions(node.Version(), inForce)
	})
}
