package routing_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/chicoryrelay/chicoryrelay/relay/catalogue"
	"github.com/chicoryrelay/chicoryrelay/relay/routing"
)

// simulation runs several cores in front of fake engines on a virtual clock.
type simulation struct {
	now  time.Duration
	heap events
	// lastOrder numbers the events, so that events of the same time run in the order in which they were scheduled.
	lastOrder  int
	random     *rand.Rand
	cores      []*routing.Core
	engines    map[string]*fakeEngine
	engineList []*fakeEngine
	calls      map[string]*call
	// events turns on the engines' event logs.
	events          bool
	loadReportDelay time.Duration
	done            []*call
	// wasted is the number of prompt tokens that cancelled attempts had computed.
	wasted int
	// onSend is called with each decision that sends a request.
	onSend func(c *call, d routing.Decision)
}

// call is one request of the trace and its outcome.
type call struct {
	request        routing.Request
	segments       []segment
	answerTokens   int
	arrived        time.Duration
	vm             int
	attempts       []*attempt
	ttft           time.Duration
	firstTokenSeen bool
	served         bool
	refused        bool
	cachedTokens   int
	long           bool
	peak           bool
	endCount       int
}

type event struct {
	at    time.Duration
	order int
	run   func()
}

type events []event

func (h events) Len() int { return len(h) }
func (h events) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].order < h[j].order
}
func (h events) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *events) Push(x any)   { *h = append(*h, x.(event)) }
func (h *events) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}

func newSimulation(seed uint64, vms int, list []catalogue.Upstream, opts ...routing.Option) *simulation {
	sim := &simulation{
		random: rand.New(rand.NewPCG(seed, 2)), engines: map[string]*fakeEngine{}, calls: map[string]*call{}, loadReportDelay: 500 * time.Millisecond,
		onSend: func(*call, routing.Decision) {},
	}
	for _, upstream := range list {
		e := &fakeEngine{sim: sim, upstream: upstream, slowdown: 1}
		e.reset()
		sim.engines[upstream.Name] = e
		sim.engineList = append(sim.engineList, e)
	}
	for vm := range vms {
		core := routing.New(append([]routing.Option{
			routing.WithLocation(fmt.Sprintf("vm%d", vm), "dc", "r"), routing.WithRandom(rand.New(rand.NewPCG(seed, uint64(vm)))),
		}, opts...)...)
		core.Step(0, routing.Upstreams{List: list})
		sim.cores = append(sim.cores, core)
	}
	for _, e := range sim.engineList {
		sim.broadcast(routing.LoadReport{Upstream: e.upstream.Name, Incarnation: e.incarnation})
	}
	sim.every(20*time.Millisecond, func() { sim.broadcast(routing.Tick{}) })
	sim.every(500*time.Millisecond, sim.reportLoad)
	sim.every(time.Second, sim.exchangeDigests)
	return sim
}

func (sim *simulation) at(at time.Duration, run func()) {
	sim.lastOrder++
	heap.Push(&sim.heap, event{max(at, sim.now), sim.lastOrder, run})
}

func (sim *simulation) after(seconds float64, run func()) {
	sim.at(sim.now+time.Duration(seconds*float64(time.Second)), run)
}

func (sim *simulation) every(interval time.Duration, run func()) {
	sim.at(sim.now+interval, func() {
		run()
		sim.every(interval, run)
	})
}

func (sim *simulation) run(until time.Duration) {
	for len(sim.heap) > 0 && sim.heap[0].at <= until {
		e := heap.Pop(&sim.heap).(event)
		sim.now = e.at
		e.run()
	}
	sim.now = until
}

func (sim *simulation) broadcast(m routing.Message) {
	for vm := range sim.cores {
		sim.step(vm, m)
	}
}

func (sim *simulation) step(vm int, m routing.Message) {
	effects := sim.cores[vm].Step(sim.now, m)
	for _, d := range effects.Released {
		sim.handleDecision(sim.calls[d.ID], d.Decision)
	}
	for _, r := range effects.Retry {
		c := sim.calls[r.ID]
		c.refused = false
		sim.at(sim.now+r.Wait, func() {
			c.request.Attempt++
			c.request.Exclude = []string{r.Exclude}
			sim.route(c)
		})
	}
	for _, name := range effects.Resync {
		sim.sendSnapshot(vm, sim.engines[name])
	}
}

// reportLoad sends the engines' load reports to all VMs with a delay of loadReportDelay.
func (sim *simulation) reportLoad() {
	for _, e := range sim.engineList {
		m := routing.LoadReport{Upstream: e.upstream.Name, Incarnation: e.incarnation, Outstanding: len(e.running), Queued: len(e.waiting), Age: sim.loadReportDelay}
		sim.at(sim.now+sim.loadReportDelay, func() { sim.broadcast(m) })
	}
}

func (sim *simulation) exchangeDigests() {
	for vm, core := range sim.cores {
		digest := core.Digest(sim.now)
		sim.after(0.002, func() {
			for other := range sim.cores {
				if other != vm {
					sim.step(other, digest)
				}
			}
		})
	}
}

func (sim *simulation) sendSnapshot(vm int, e *fakeEngine) {
	m := routing.CacheSnapshot{Upstream: e.upstream.Name, Incarnation: e.incarnation, Sequence: e.sequence, Blocks: e.snapshot()}
	sim.after(0.1, func() { sim.step(vm, m) })
}

func (sim *simulation) route(c *call) {
	sim.calls[c.request.ID] = c
	sim.handleDecision(c, sim.cores[c.vm].Decide(sim.now, c.request))
}

func (sim *simulation) handleDecision(c *call, d routing.Decision) {
	switch {
	case d.Queued:
	case d.Refusal != nil:
		c.refused = true
		c.endCount++
		sim.done = append(sim.done, c)
	default:
		sim.send(c, d)
		if d.Hedge != nil {
			sim.at(sim.now+d.Hedge.Delay, func() {
				if second, ok := sim.cores[c.vm].StartHedge(sim.now, c.request.ID); ok {
					sim.send(c, second)
				}
			})
		}
	}
}

func (sim *simulation) send(c *call, d routing.Decision) {
	sim.onSend(c, d)
	if d.Notice != nil {
		sim.after(0.001, func() { sim.broadcast(*d.Notice) })
	}
	a := &attempt{engine: sim.engines[d.Upstream], call: c, priority: d.Priority}
	c.attempts = append(c.attempts, a)
	if source := sim.engines[d.FetchFrom]; source != nil {
		incarnation := a.engine.incarnation
		sim.after(fetchSetup.Seconds()+float64(d.CachedTokens)*fetchTimePerToken.Seconds(), func() {
			if !a.ended && a.engine.incarnation == incarnation {
				a.engine.fetch(a, source)
				a.engine.submit(a)
			}
		})
		return
	}
	a.engine.submit(a)
}

// reportParts sends the engines' added and removed parts to all VMs with a delay of partsReportDelay.
func (sim *simulation) reportParts() {
	for _, e := range sim.engineList {
		m := routing.PartUpdate{Upstream: e.upstream.Name, Epoch: e.incarnation, Added: e.addedParts, Removed: e.removedParts}
		e.addedParts, e.removedParts = nil, nil
		sim.after(partsReportDelay.Seconds(), func() { sim.broadcast(m) })
	}
}

func (sim *simulation) handleFirstToken(a *attempt) {
	c := a.call
	if !c.firstTokenSeen {
		c.firstTokenSeen, c.ttft, c.cachedTokens = true, sim.now-c.arrived, a.cachedTokens
	}
	for _, other := range c.attempts {
		if other != a && !other.ended {
			sim.cancel(other)
		}
	}
	sim.step(c.vm, routing.FirstToken{ID: c.request.ID, Upstream: a.engine.upstream.Name, Incarnation: a.engine.incarnation})
}

// cancel cancels the slower attempt of a hedged request and counts the tokens that it computed as wasted.
func (sim *simulation) cancel(a *attempt) {
	if a.started {
		sim.wasted += a.call.request.PromptTokens - a.cachedTokens - a.promptTokensLeft
	}
	a.engine.end(a)
	sim.step(a.call.vm, routing.Cancelled{ID: a.call.request.ID, Upstream: a.engine.upstream.Name})
	a.engine.startStep()
}

func (sim *simulation) handleFinished(a *attempt) {
	c := a.call
	c.served = true
	c.endCount++
	sim.done = append(sim.done, c)
	sim.step(c.vm, routing.Finished{
		ID: c.request.ID, Upstream: a.engine.upstream.Name, Incarnation: a.engine.incarnation,
		PromptTokens: c.request.PromptTokens, CachedTokens: a.cachedTokens, AnswerTokens: c.answerTokens,
	})
}
