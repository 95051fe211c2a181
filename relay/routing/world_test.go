package routing_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/chicoryrelay/chicoryrelay/relay/catalogue"
	"github.com/chicoryrelay/chicoryrelay/relay/routing"
)

// world runs several cores in front of fake engines on a virtual clock.
type world struct {
	now     time.Duration
	heap    events
	count   int
	random  *rand.Rand
	cores   []*routing.Core
	engines map[string]*fakeEngine
	order   []*fakeEngine
	calls   map[string]*call
	events  bool
	lag     time.Duration
	done    []*call
	wasted  int
	// check is called with each decision that sends a request.
	check func(c *call, d routing.Decision)
}

// call is one request of the trace and what became of it.
type call struct {
	request routing.Request
	// segments are what the prompt consists of.
	segments []segment
	answer   int
	arrived  time.Duration
	vm       int
	jobs     []*job
	ttft     time.Duration
	first    bool
	served   bool
	refused  bool
	cached   int
	long     bool
	peak     bool
	ends     int
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

func newWorld(seed uint64, vms int, list []catalogue.Upstream, opts ...routing.Option) *world {
	w := &world{
		random: rand.New(rand.NewPCG(seed, 2)), engines: map[string]*fakeEngine{}, calls: map[string]*call{}, lag: 500 * time.Millisecond,
		check: func(*call, routing.Decision) {},
	}
	for _, info := range list {
		e := &fakeEngine{w: w, info: info, slowdown: 1}
		e.reset()
		w.engines[info.Name] = e
		w.order = append(w.order, e)
	}
	for vm := range vms {
		core := routing.New(append([]routing.Option{
			routing.WithPlace(fmt.Sprintf("vm%d", vm), "dc", "r"), routing.WithRandom(rand.New(rand.NewPCG(seed, uint64(vm)))),
		}, opts...)...)
		core.Step(0, routing.Upstreams{List: list})
		w.cores = append(w.cores, core)
	}
	for _, e := range w.order {
		w.all(routing.Load{Upstream: e.info.Name, Incarnation: e.incarnation})
	}
	w.every(20*time.Millisecond, func() { w.all(routing.Tick{}) })
	w.every(500*time.Millisecond, w.report)
	w.every(time.Second, w.gossip)
	return w
}

func (w *world) at(at time.Duration, run func()) {
	w.count++
	heap.Push(&w.heap, event{max(at, w.now), w.count, run})
}

func (w *world) after(seconds float64, run func()) {
	w.at(w.now+time.Duration(seconds*float64(time.Second)), run)
}

func (w *world) every(interval time.Duration, run func()) {
	w.at(w.now+interval, func() {
		run()
		w.every(interval, run)
	})
}

func (w *world) run(until time.Duration) {
	for len(w.heap) > 0 && w.heap[0].at <= until {
		e := heap.Pop(&w.heap).(event)
		w.now = e.at
		e.run()
	}
	w.now = until
}

func (w *world) all(m routing.Message) {
	for vm := range w.cores {
		w.step(vm, m)
	}
}

func (w *world) step(vm int, m routing.Message) {
	effects := w.cores[vm].Step(w.now, m)
	for _, d := range effects.Dispatch {
		w.decided(w.calls[d.ID], d.Decision)
	}
	for _, r := range effects.Retry {
		c := w.calls[r.ID]
		c.refused = false
		w.at(w.now+r.Wait, func() {
			c.request.Attempt++
			c.request.Exclude = []string{r.Exclude}
			w.ask(c)
		})
	}
	for _, name := range effects.Resync {
		w.resync(vm, w.engines[name])
	}
}

// report sends the engines' load, late, to all VMs.
func (w *world) report() {
	for _, e := range w.order {
		m := routing.Load{Upstream: e.info.Name, Incarnation: e.incarnation, Outstanding: len(e.running), Queued: len(e.waiting), Age: w.lag}
		w.at(w.now+w.lag, func() { w.all(m) })
	}
}

func (w *world) gossip() {
	for vm, core := range w.cores {
		digest := core.Digest(w.now)
		w.after(0.002, func() {
			for other := range w.cores {
				if other != vm {
					w.step(other, digest)
				}
			}
		})
	}
}

func (w *world) resync(vm int, e *fakeEngine) {
	m := routing.CacheSnapshot{Upstream: e.info.Name, Incarnation: e.incarnation, Sequence: e.sequence, Blocks: e.snapshot()}
	w.after(0.1, func() { w.step(vm, m) })
}

func (w *world) ask(c *call) {
	w.calls[c.request.ID] = c
	w.decided(c, w.cores[c.vm].Decide(w.now, c.request))
}

func (w *world) decided(c *call, d routing.Decision) {
	switch {
	case d.Queued:
	case d.Refusal != nil:
		c.refused = true
		c.ends++
		w.done = append(w.done, c)
	default:
		w.send(c, d)
		if d.Hedge != nil {
			w.at(w.now+d.Hedge.Delay, func() {
				if second, ok := w.cores[c.vm].Hedge(w.now, c.request.ID); ok {
					w.send(c, second)
				}
			})
		}
	}
}

func (w *world) send(c *call, d routing.Decision) {
	w.check(c, d)
	if d.Notice != nil {
		w.after(0.001, func() { w.all(*d.Notice) })
	}
	j := &job{engine: w.engines[d.Upstream], call: c, priority: d.Priority}
	c.jobs = append(c.jobs, j)
	if source := w.engines[d.Fetch]; source != nil {
		incarnation := j.engine.incarnation
		w.after(fetchSetup.Seconds()+float64(d.Cached)*fetchPerToken.Seconds(), func() {
			if !j.over && j.engine.incarnation == incarnation {
				j.engine.fetch(j, source)
				j.engine.submit(j)
			}
		})
		return
	}
	j.engine.submit(j)
}

// tellParts passes the engines' news of parts on, late.
func (w *world) tellParts() {
	for _, e := range w.order {
		m := routing.Parts{Upstream: e.info.Name, Epoch: e.incarnation, Added: e.added, Removed: e.removed}
		e.added, e.removed = nil, nil
		w.after(partsLag.Seconds(), func() { w.all(m) })
	}
}

func (w *world) firstToken(j *job) {
	c := j.call
	if !c.first {
		c.first, c.ttft, c.cached = true, w.now-c.arrived, j.cached
	}
	for _, other := range c.jobs {
		if other != j && !other.over {
			w.cancel(other)
		}
	}
	w.step(c.vm, routing.FirstToken{ID: c.request.ID, Upstream: j.engine.info.Name, Incarnation: j.engine.incarnation})
}

// cancel gives up the slower attempt of a hedged request; what it prefilled is wasted.
func (w *world) cancel(j *job) {
	if j.begun {
		w.wasted += j.call.request.PromptTokens - j.cached - j.left
	}
	j.engine.end(j)
	w.step(j.call.vm, routing.Cancelled{ID: j.call.request.ID, Upstream: j.engine.info.Name})
	j.engine.advance()
}

func (w *world) finished(j *job) {
	c := j.call
	c.served = true
	c.ends++
	w.done = append(w.done, c)
	w.step(c.vm, routing.Finished{
		ID: c.request.ID, Upstream: j.engine.info.Name, Incarnation: j.engine.incarnation,
		PromptTokens: c.request.PromptTokens, CachedTokens: j.cached, AnswerTokens: c.answer,
	})
}
