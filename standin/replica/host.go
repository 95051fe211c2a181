package replica

import (
	"sync"
	"time"

	"github.com/samber/oops"

	"github.com/chicoryrelay/chicoryrelay/standin/engine"
)

// clock is the time source of a runner; Now is the time since its start.
type clock struct {
	Now   func() time.Duration
	Sleep func(time.Duration, <-chan struct{})
}

// realClock returns a clock whose time 0 is the time of this call.
func realClock() clock {
	start := time.Now()
	return clock{
		Now: func() time.Duration { return time.Since(start) },
		Sleep: func(d time.Duration, stop <-chan struct{}) {
			if d <= 0 {
				return
			}
			timer := time.NewTimer(d)
			defer timer.Stop()
			select {
			case <-timer.C:
			case <-stop:
			}
		},
	}
}

// maxWait limits how long the runner waits when nothing is due; a call of withEngine, submit or cancel wakes it earlier.
const maxWait = time.Second

// inbox queues the events of one request until its handler receives them.
type inbox struct {
	events []engine.Event
	wake   chan struct{}
}

// runner steps the engine in real time and delivers its events to the handlers of their requests.
type runner struct {
	mutex  sync.Mutex
	engine *engine.Engine
	clock  clock
	inbox  map[string]*inbox
	wake   chan struct{}
}

func newRunner(e *engine.Engine) *runner {
	return &runner{engine: e, clock: realClock(), inbox: map[string]*inbox{}, wake: make(chan struct{}, 1)}
}

// run steps the engine until stop is closed.
func (r *runner) run(stop <-chan struct{}) {
	for {
		r.mutex.Lock()
		now := r.clock.Now()
		r.deliver(r.engine.Step(now))
		wait := maxWait
		if due, ok := r.engine.Next(); ok {
			wait = due - now
		}
		r.mutex.Unlock()
		timer := time.NewTimer(max(0, wait))
		select {
		case <-timer.C:
		case <-r.wake:
		case <-stop:
			timer.Stop()
			return
		}
		timer.Stop()
	}
}

func (r *runner) deliver(events []engine.Event) {
	for _, event := range events {
		box := r.inbox[event.Request]
		if box == nil {
			continue
		}
		box.events = append(box.events, event)
		notify(box.wake)
	}
}

func notify(wake chan struct{}) {
	select {
	case wake <- struct{}{}:
	default:
	}
}

// withEngine calls f with exclusive use of the engine and the current time.
func (r *runner) withEngine(f func(now time.Duration, e *engine.Engine)) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	f(r.clock.Now(), r.engine)
	notify(r.wake)
}

// submit queues a request and returns the version that serves it; weights and software, if not empty, must be the versions served.
func (r *runner) submit(request engine.Request, weights, software string) (*inbox, engine.Version, error) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if served := r.engine.Version().Weights; weights != "" && weights != served {
		return nil, engine.Version{}, oops.Code("version").
			Errorf("X-Weights: this engine serves weights %s, not %s; send the request to another replica", served, weights)
	}
	if served := r.engine.Software(); software != "" && software != served {
		return nil, engine.Version{}, oops.Code("version").
			Errorf("X-Software: this engine runs software %q, not %q, with which the stream began; send the request to another replica", served, software)
	}
	if err := r.engine.Submit(r.clock.Now(), request); err != nil {
		return nil, engine.Version{}, err
	}
	box := &inbox{wake: make(chan struct{}, 1)}
	r.inbox[request.ID] = box
	notify(r.wake)
	return box, r.engine.Version(), nil
}

// cancel removes the inbox of a request and cancels the request if it is not complete.
func (r *runner) cancel(id string) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	delete(r.inbox, id)
	r.engine.Cancel(r.clock.Now(), id)
	notify(r.wake)
}

// receive waits for events of a request and returns all that are queued; it returns nil if done was closed.
func (r *runner) receive(box *inbox, done <-chan struct{}) []engine.Event {
	for {
		r.mutex.Lock()
		events := box.events
		box.events = nil
		r.mutex.Unlock()
		if len(events) > 0 {
			return events
		}
		select {
		case <-box.wake:
		case <-done:
			return nil
		}
	}
}

// otherID returns the ID of another request in progress, or a made-up ID if there is none.
func (r *runner) otherID(id string) string {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	for candidate := range r.inbox {
		if candidate != id {
			return candidate
		}
	}
	return "crossed-" + id
}
