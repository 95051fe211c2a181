package experiment

import (
	"fmt"
	"time"

	"github.com/samber/oops"

	"github.com/chicoryrelay/chicoryrelay/bench/report"
	"github.com/chicoryrelay/chicoryrelay/bench/trace"
	"github.com/chicoryrelay/chicoryrelay/standin/engine"
)

// work is one request in progress.
type work struct {
	entry   trace.Entry
	id      string
	vm      int
	outcome report.Outcome
	// copies run at engines; winner is the one whose tokens are delivered, delivered their number.
	copies    []*attempt
	winner    *attempt
	delivered int
	done      bool
}

// attempt is one copy of a request at one upstream.
type attempt struct {
	id       string
	work     *work
	upstream int
	dropped  bool
}

// run is one experiment in progress.
type run struct {
	Settings
	routers []Router
	engines []*engine.Engine
	// read is the number of the next cache event of each engine.
	read     []uint64
	due      []time.Duration
	byName   map[string]int
	clock    clock
	works    map[string]*work
	attempts map[string]*attempt
	count    int
	left     int
	finish   time.Duration
	fault    error
	collect  *report.Collector
}

// never is later than all events of a run.
const never = time.Duration(1<<63 - 1)

// Run plays the entries against the engines and returns the measures; the error names a decision that can't be carried out.
func Run(s Settings, routers []Router) (report.Report, error) {
	if err := s.check(routers); err != nil {
		return report.Report{}, err
	}
	r := &run{
		Settings: s, routers: routers, byName: map[string]int{}, works: map[string]*work{}, attempts: map[string]*attempt{},
		due: make([]time.Duration, len(s.Upstreams)), read: make([]uint64, len(s.Upstreams)), collect: report.NewCollector(s.Name),
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
		r.due[i] = never
	}
	r.schedule()
	r.loop()
	for _, entry := range s.Entries {
		if w := r.works[name(entry)]; w != nil && !w.done {
			w.outcome.Truncated = w.delivered > 0
			r.collect.Add(w.outcome)
		}
	}
	return r.collect.Report(r.finish), r.fault
}

func name(entry trace.Entry) string { return fmt.Sprintf("r%d", entry.Number) }

// schedule puts arrivals, ticks, polls and crashes on the agenda.
func (r *run) schedule() {
	block := r.Upstreams[0].Engine.Block
	unlimited := trace.Unlimited(r.Entries, block, func(e trace.Entry) []uint64 { return e.Chain(block) })
	vm, last := 0, time.Duration(0)
	for i, entry := range r.Entries {
		if !entry.Kind.Text() {
			continue
		}
		w := &work{entry: entry, id: name(entry), vm: vm % len(r.VMs)}
		w.outcome = report.Outcome{Entry: entry, Unlimited: unlimited[i], Slowed: r.slowed(entry.Arrival)}
		vm++
		r.left++
		last = entry.Arrival
		r.works[w.id] = w
		r.clock.add(entry.Arrival, func(now time.Duration) {
			r.apply(now, w.vm, []Decision{r.routers[w.vm].Decide(now, Request{ID: w.id, Entry: entry})})
		})
	}
	r.finish = last + r.Limit
	for _, crash := range r.Crashes {
		r.clock.add(crash.At, func(now time.Duration) {
			r.engines[crash.Upstream].Restart(now, r.engines[crash.Upstream].Incarnation()+1000)
			r.drain(now, crash.Upstream)
		})
	}
	r.every(r.Tick, r.tick)
	r.every(r.Poll, r.poll)
	if r.Events > 0 {
		r.every(r.Events, r.readEvents)
	}
}

func (r *run) every(interval time.Duration, do func(now time.Duration)) {
	var again func(now time.Duration)
	again = func(now time.Duration) {
		do(now)
		r.clock.add(now+interval, again)
	}
	r.clock.add(interval, again)
}

// loop runs until all requests have ended or the limit is reached.
func (r *run) loop() {
	for r.left > 0 && r.fault == nil {
		at, _ := r.clock.next()
		first := -1
		for i, due := range r.due {
			if due <= at {
				at, first = due, i
			}
		}
		if at > r.finish {
			return
		}
		if first >= 0 {
			r.drain(at, first)
			continue
		}
		r.clock.run()
		if r.left == 0 {
			r.finish = at
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

// poll hands each engine's load report to every VM after the way there.
func (r *run) poll(now time.Duration) {
	for i, upstream := range r.Upstreams {
		seen := r.engines[i].Load(now)
		r.drain(now, i)
		for vm, router := range r.routers {
			if router.Report == nil {
				continue
			}
			r.clock.add(now+r.delay(r.VMs[vm], upstream.Place), func(now time.Duration) {
				r.apply(now, vm, router.Report(now, upstream.Name, seen))
			})
		}
	}
}

// mostEvents bounds the cache events of one reading.
const mostEvents = 4000

// readEvents hands each engine's cache events to every VM after the way there.
func (r *run) readEvents(now time.Duration) {
	for i, upstream := range r.Upstreams {
		e := r.engines[i]
		changes := e.Changes(now, r.read[i], mostEvents)
		r.drain(now, i)
		if len(changes) == 0 {
			continue
		}
		r.read[i] = changes[len(changes)-1].Seq + 1
		for vm, router := range r.routers {
			if router.Changes == nil {
				continue
			}
			r.clock.add(now+r.delay(r.VMs[vm], upstream.Place), func(now time.Duration) {
				r.apply(now, vm, router.Changes(now, upstream.Name, e.Incarnation(), changes))
			})
		}
	}
}

// drain steps one engine and sends its events on their way to the VMs.
func (r *run) drain(now time.Duration, i int) {
	for _, event := range r.engines[i].Step(now) {
		a := r.attempts[event.Request]
		if a == nil {
			continue
		}
		way := r.delay(r.VMs[a.work.vm], r.Upstreams[i].Place)
		r.clock.add(max(now, event.At+way), func(now time.Duration) { r.received(now, a, event) })
	}
	r.due[i] = never
	if due, ok := r.engines[i].Next(); ok {
		r.due[i] = due
	}
}

func (r *run) fail(err error) {
	if r.fault == nil {
		r.fault = oops.Code("experiment").Wrap(err)
	}
}
