package experiment

import (
	"fmt"
	"time"

	"github.com/samber/oops"

	"github.com/chicoryrelay/chicoryrelay/bench/report"
	"github.com/chicoryrelay/chicoryrelay/bench/trace"
	"github.com/chicoryrelay/chicoryrelay/standin/engine"
)

// request is the state of one request.
type request struct {
	entry   trace.Entry
	id      string
	vm      int
	outcome report.Outcome
	// attempts are those in progress; winner is the one whose tokens are delivered, delivered the number of these tokens.
	attempts  []*attempt
	winner    *attempt
	delivered int
	done      bool
}

// attempt is one copy of a request at one upstream.
type attempt struct {
	id        string
	request   *request
	upstream  int
	cancelled bool
}

// run is the state of one experiment.
type run struct {
	Settings
	routers []Router
	engines []*engine.Engine
	// nextCacheEvent is the sequence number of the next unread cache event of each engine.
	nextCacheEvent []uint64
	nextStep       []time.Duration
	byName         map[string]int
	clock          clock
	requests       map[string]*request
	attempts       map[string]*attempt
	attemptCount   int
	remaining      int
	endTime        time.Duration
	firstErr       error
	collector      *report.Collector
}

// never is later than any time of a run.
const never = time.Duration(1<<63 - 1)

// Run simulates the entries with the engines and returns the measurements. It fails if a decision can't be executed.
func Run(s Settings, routers []Router) (report.Report, error) {
	if err := s.check(routers); err != nil {
		return report.Report{}, err
	}
	r := &run{
		Settings: s, routers: routers, byName: map[string]int{}, requests: map[string]*request{}, attempts: map[string]*attempt{},
		nextStep: make([]time.Duration, len(s.Upstreams)), nextCacheEvent: make([]uint64, len(s.Upstreams)), collector: report.NewCollector(s.Name),
	}
	for i, upstream := range s.Upstreams {
		settings := upstream.Engine
		for _, slow := range s.Slow {
			if slow.Upstream == i {
				settings.Slow = append(append([]engine.Slow{}, settings.Slow...), slow.Slow)
			}
		}
		r.engines = append(r.engines, engine.New(engine.WithSettings(settings)))
		r.byName[upstream.Name] = i
		r.nextStep[i] = never
	}
	r.schedule()
	r.loop()
	for _, entry := range s.Entries {
		if w := r.requests[requestID(entry)]; w != nil && !w.done {
			w.outcome.Truncated = w.delivered > 0
			r.collector.Add(w.outcome)
		}
	}
	return r.collector.Report(r.endTime), r.firstErr
}

func requestID(entry trace.Entry) string { return fmt.Sprintf("r%d", entry.Number) }

// schedule schedules the arrivals, crashes, ticks and polls on the clock.
func (r *run) schedule() {
	block := r.Upstreams[0].Engine.Block
	unlimited := trace.Unlimited(r.Entries, block, func(e trace.Entry) []uint64 { return e.Chain(block) })
	vm, last := 0, time.Duration(0)
	for i, entry := range r.Entries {
		if !entry.Kind.Text() {
			continue
		}
		w := &request{entry: entry, id: requestID(entry), vm: vm % len(r.VMs)}
		w.outcome = report.Outcome{Entry: entry, Unlimited: unlimited[i], Slowed: r.slowed(entry.Arrival)}
		vm++
		r.remaining++
		last = entry.Arrival
		r.requests[w.id] = w
		r.clock.scheduleAt(entry.Arrival, func(now time.Duration) {
			r.apply(now, w.vm, []Decision{r.routers[w.vm].Decide(now, Request{ID: w.id, Entry: entry})})
		})
	}
	r.endTime = last + r.Limit
	for _, crash := range r.Crashes {
		r.clock.scheduleAt(crash.At, func(now time.Duration) {
			r.engines[crash.Upstream].Restart(now, r.engines[crash.Upstream].Incarnation()+1000)
			r.stepEngine(now, crash.Upstream)
		})
	}
	r.repeat(r.Tick, r.tick)
	r.repeat(r.Poll, r.pollLoadReports)
	if r.Events > 0 {
		r.repeat(r.Events, r.readEvents)
	}
}

func (r *run) repeat(interval time.Duration, do func(now time.Duration)) {
	var repeated func(now time.Duration)
	repeated = func(now time.Duration) {
		do(now)
		r.clock.scheduleAt(now+interval, repeated)
	}
	r.clock.scheduleAt(interval, repeated)
}

// loop runs until all requests have ended or the limit is reached.
func (r *run) loop() {
	for r.remaining > 0 && r.firstErr == nil {
		at, _ := r.clock.next()
		first := -1
		for i, nextStep := range r.nextStep {
			if nextStep <= at {
				at, first = nextStep, i
			}
		}
		if at > r.endTime {
			return
		}
		if first >= 0 {
			r.stepEngine(at, first)
			continue
		}
		r.clock.run()
		if r.remaining == 0 {
			r.endTime = at
		}
	}
}

func (r *run) tick(now time.Duration) {
	for vm, router := range r.routers {
		if router.Tick != nil {
			r.apply(now, vm, router.Tick(now))
		}
	}
}

// pollLoadReports sends each engine's load report to every VM, where it arrives after the network delay.
func (r *run) pollLoadReports(now time.Duration) {
	for i, upstream := range r.Upstreams {
		loadReport := r.engines[i].Load(now)
		r.stepEngine(now, i)
		for vm, router := range r.routers {
			if router.Report == nil {
				continue
			}
			r.clock.scheduleAt(now+r.delay(r.VMs[vm], upstream.Place), func(now time.Duration) {
				r.apply(now, vm, router.Report(now, upstream.Name, loadReport))
			})
		}
	}
}

const maxEventsPerRead = 4000

// readEvents sends each engine's cache events to every VM, where they arrive after the network delay.
func (r *run) readEvents(now time.Duration) {
	for i, upstream := range r.Upstreams {
		e := r.engines[i]
		changes := e.Changes(now, r.nextCacheEvent[i], maxEventsPerRead)
		r.stepEngine(now, i)
		if len(changes) == 0 {
			continue
		}
		r.nextCacheEvent[i] = changes[len(changes)-1].Seq + 1
		for vm, router := range r.routers {
			if router.Changes == nil {
				continue
			}
			r.clock.scheduleAt(now+r.delay(r.VMs[vm], upstream.Place), func(now time.Duration) {
				r.apply(now, vm, router.Changes(now, upstream.Name, e.Incarnation(), changes))
			})
		}
	}
}

// stepEngine steps one engine and schedules the receipt of its events at the VMs.
func (r *run) stepEngine(now time.Duration, i int) {
	for _, event := range r.engines[i].Step(now) {
		a := r.attempts[event.Request]
		if a == nil {
			continue
		}
		latency := r.delay(r.VMs[a.request.vm], r.Upstreams[i].Place)
		r.clock.scheduleAt(max(now, event.At+latency), func(now time.Duration) { r.handleEvent(now, a, event) })
	}
	r.nextStep[i] = never
	if nextStep, ok := r.engines[i].Next(); ok {
		r.nextStep[i] = nextStep
	}
}

func (r *run) fail(err error) {
	if r.firstErr == nil {
		r.firstErr = oops.Code("experiment").Wrap(err)
	}
}
