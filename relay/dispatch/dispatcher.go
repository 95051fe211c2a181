package dispatch

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/chicoryrelay/chicoryrelay/relay/capacity"
	"github.com/chicoryrelay/chicoryrelay/relay/catalogue"
	"github.com/chicoryrelay/chicoryrelay/relay/outcome"
	"github.com/chicoryrelay/chicoryrelay/relay/peer"
	"github.com/chicoryrelay/chicoryrelay/relay/quarantine"
	"github.com/chicoryrelay/chicoryrelay/relay/routing"
)

// tickInterval is the resolution of the core's timers. It is not shorter because each wake-up costs an idle VM processor time.
const tickInterval = 50 * time.Millisecond

// inboxSize limits the inputs that wait for the routing goroutine; callers block while the inbox is full.
const inboxSize = 8192

// Dispatcher runs one routing core.
type Dispatcher struct {
	core    *routing.Core
	started time.Time
	inbox   chan func(now time.Duration)
	// queued has the requests that wait in the core's queue, and retries the retries that the core allowed, both by request ID.
	queued    map[string]queuedRequest
	retries   map[string]routing.Retry
	upstreams map[string]catalogue.Upstream
	// configured is closed when the core has its first configuration.
	configured chan struct{}
	// onPlacement is the callback set with OnPlacement, or nil.
	onPlacement func(*peer.Envelope)
	onSpeeds    func([]capacity.Change)
	quarantine  *quarantine.Core
	quarantined atomic.Int64
	// roomWaiting and roomWaited are the numbers of routing.Core.Room at the last tick.
	roomWaiting  atomic.Int64
	roomWaited   atomic.Uint64
	onQuarantine func(quarantine.Effects)
	// verdictFile is nil on a VM without a data folder.
	verdictFile *verdictFile
	done        chan struct{}
	stop        context.CancelFunc
}

// queuedRequest is a request that waits in the core's queue.
type queuedRequest struct {
	placements  chan placement
	sharedParts []uint64
	fingerprint uint64
}

// Option configures a Dispatcher.
type Option func(*Dispatcher)

// New returns a dispatcher; Run starts it.
func New(core *routing.Core, options ...Option) *Dispatcher {
	d := &Dispatcher{
		core: core, started: time.Now(), inbox: make(chan func(time.Duration), inboxSize),
		queued: map[string]queuedRequest{}, retries: map[string]routing.Retry{}, upstreams: map[string]catalogue.Upstream{},
		configured: make(chan struct{}), done: make(chan struct{}),
		quarantine: quarantine.New(""), onQuarantine: func(quarantine.Effects) {},
	}
	for _, option := range options {
		option(d)
	}
	return d
}

// OnPlacement sets a callback that receives a message for each placement that peers must learn of before the next digest. The
// callback must not block; set it before Run.
func (d *Dispatcher) OnPlacement(callback func(*peer.Envelope)) { d.onPlacement = callback }

// Configured returns a channel that is closed when the core has its first configuration.
func (d *Dispatcher) Configured() <-chan struct{} { return d.configured }

// Run starts the routing goroutine.
func (d *Dispatcher) Run() {
	ctx, cancel := context.WithCancel(context.Background())
	d.stop = cancel
	if d.verdictFile != nil {
		// The last verdicts are those of the loop.
		go d.verdictFile.run(d.done)
	}
	go d.loop(ctx)
}

// Stop ends the routing goroutine, which must have been started, and writes the last verdicts; queued requests are refused.
func (d *Dispatcher) Stop() {
	d.stop()
	<-d.done
	if d.verdictFile != nil {
		<-d.verdictFile.ended
	}
}

func (d *Dispatcher) loop(ctx context.Context) {
	defer close(d.done)
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case input := <-d.inbox:
			input(time.Since(d.started))
		case <-ticker.C:
			now := time.Since(d.started)
			d.step(now, routing.Tick{})
			d.tickQuarantine(now)
			waiting, waited := d.core.Room()
			d.roomWaiting.Store(int64(waiting))
			d.roomWaited.Store(waited)
		}
	}
}

func (d *Dispatcher) post(input func(time.Duration)) {
	select {
	case d.inbox <- input:
	case <-d.done:
	}
}

// notify passes a message to the core without waiting for its effects.
func (d *Dispatcher) notify(message routing.Message) {
	d.post(func(now time.Duration) { d.step(now, message) })
}

func (d *Dispatcher) step(now time.Duration, message routing.Message) {
	effects := d.core.Step(now, message)
	for _, release := range effects.Released {
		if queued, ok := d.queued[release.ID]; ok {
			queued.placements <- d.placement(release.Decision)
			delete(d.queued, release.ID)
		}
	}
	for _, retry := range effects.Retry {
		d.retries[retry.ID] = retry
	}
	if len(effects.Speeds) > 0 && d.onSpeeds != nil {
		d.onSpeeds(effects.Speeds)
	}
}

// Configure applies a configuration to the core and returns when decisions follow it.
func (d *Dispatcher) Configure(c *catalogue.Catalogue) {
	accounts := make([]catalogue.Account, 0, len(c.Accounts))
	for _, name := range c.AccountNames() {
		accounts = append(accounts, c.Accounts[name])
	}
	applied := make(chan struct{})
	d.post(func(now time.Duration) {
		defer close(applied)
		clear(d.upstreams)
		for _, u := range c.Upstreams {
			d.upstreams[u.Name] = u
		}
		d.step(now, routing.Accounts{List: accounts})
		d.step(now, routing.Upstreams{List: c.Upstreams})
		select {
		case <-d.configured:
		default:
			close(d.configured)
		}
	})
	select {
	case <-applied:
	case <-d.done:
	}
}

// Room returns the number of requests that wait for room at an engine now, and of those that have waited so far.
func (d *Dispatcher) Room() (waiting int64, waited uint64) {
	return d.roomWaiting.Load(), d.roomWaited.Load()
}

// Notify passes a message from outside, such as a load report, to the core without waiting for its effects.
func (d *Dispatcher) Notify(message routing.Message) { d.notify(message) }

// Inspect calls inspect in the routing goroutine and waits for its end; a stopped dispatcher doesn't call it.
func (d *Dispatcher) Inspect(inspect func(now time.Duration, core *routing.Core)) {
	finished := make(chan struct{})
	d.post(func(now time.Duration) {
		defer close(finished)
		inspect(now, d.core)
	})
	select {
	case <-finished:
	case <-d.done:
	}
}

// placement is a decision with the details of its upstreams, which only the routing goroutine may look up.
type placement struct {
	decision routing.Decision
	upstream catalogue.Upstream
	kvImport *Import
	fetch    catalogue.Upstream
	save     catalogue.Upstream
}

func (d *Dispatcher) placement(decision routing.Decision) placement {
	d.publishPlacement(decision.Notice)
	p := placement{decision: decision, upstream: d.upstreams[decision.Upstream], fetch: d.upstreams[decision.FetchFrom], save: d.upstreams[decision.SaveTo]}
	if decision.Import != nil {
		p.kvImport = &Import{From: d.upstreams[decision.Import.From], Incarnation: decision.Import.Incarnation}
	}
	return p
}

// Acquire waits until the core assigns the request to an upstream. The error is an *outcome.Refusal with outcome NotRun.
func (d *Dispatcher) Acquire(ctx context.Context, request Request) (*Ticket, error) {
	if refusal := d.AdmitRequest(ctx, request.Fingerprint); refusal != nil {
		return nil, refusal
	}
	placements := make(chan placement, 1)
	d.post(func(now time.Duration) {
		if remaining, admitted := d.quarantine.Admit(now, request.SharedParts); !admitted {
			placements <- placement{decision: routing.Decision{Refusal: quarantineRefusal(remaining)}}
			return
		}
		decision := d.core.Decide(now, d.routingRequest(now, request))
		if decision.Queued {
			d.queued[request.ID] = queuedRequest{placements, request.SharedParts, request.Fingerprint}
			if decision.Yielded {
				d.step(now, routing.Queued{})
			}
			return
		}
		placements <- d.placement(decision)
	})
	select {
	case p := <-placements:
		return d.newTicket(request, p)
	case <-ctx.Done():
		return d.abandon(ctx, request.ID, request.Fingerprint, placements)
	case <-d.done:
		return nil, outcome.Refuse(outcome.ShuttingDown, "this VM shuts down; send the request again")
	}
}

// abandon cancels a request whose caller went away, whether it is still queued or was assigned to an upstream in the meantime.
func (d *Dispatcher) abandon(ctx context.Context, id string, fingerprint uint64, placements chan placement) (*Ticket, error) {
	d.post(func(now time.Duration) {
		d.quarantine.UnsentRequest(now, fingerprint)
		select {
		case p := <-placements:
			// A refused request may have the ID of another one in progress, which must not be cancelled.
			if p.decision.Refusal != nil {
				return
			}
		default:
		}
		delete(d.queued, id)
		d.step(now, routing.Cancelled{ID: id})
	})
	return nil, outcome.Refuse(outcome.Cancelled, "the caller went away while the request was queued").WithCause(context.Cause(ctx))
}

func (d *Dispatcher) newTicket(request Request, p placement) (*Ticket, error) {
	if p.decision.Refusal != nil {
		d.RequestUnsent(request.Fingerprint)
		return nil, p.decision.Refusal
	}
	t := &Ticket{Upstream: p.upstream, Priority: p.decision.Priority, Import: p.kvImport, FetchFrom: p.fetch, SaveTo: p.save, CachedTokens: p.decision.CachedTokens, ExpectedTTFT: p.decision.ExpectedTTFT, dispatcher: d, id: request.ID, sharedParts: request.SharedParts, fingerprint: request.Fingerprint, resumed: request.Resumed, placedAt: time.Since(d.started), repeated: len(request.FailedUpstreams) > 0}
	if p.decision.Hedge != nil {
		t.HedgeDelay = p.decision.Hedge.Delay
	}
	return t, nil
}

func (d *Dispatcher) routingRequest(now time.Duration, request Request) routing.Request {
	r := routing.Request{
		ID: request.ID, Account: request.Account.Name, Scope: request.Scope, Urgency: request.Urgency, Assistant: request.Assistant.Name,
		Model: request.Assistant.Model, Adapter: request.Assistant.Adapter, Weights: request.Assistant.Weights,
		Levels: request.Levels, Parts: request.Parts, TargetTTFT: request.TargetTTFT, PromptTokens: request.PromptTokens, AnswerTokens: request.AnswerTokens,
		Idempotent: request.Idempotent, Regions: request.Account.Regions, Only: request.Only, Software: request.Software, Exclude: request.FailedUpstreams, Attempt: len(request.FailedUpstreams),
	}
	if request.Pinned != nil {
		r.Weights, r.Software = request.Pinned.Weights, &request.Pinned.Software
	}
	if request.Deadline > 0 {
		r.Deadline = now + request.Deadline - time.Since(request.Arrived)
	}
	return r
}

func (d *Dispatcher) fail(t *Ticket, failure Failure) (time.Duration, bool) {
	type result struct {
		wait time.Duration
		ok   bool
	}
	results := make(chan result, 1)
	d.post(func(now time.Duration) {
		switch {
		case failure.Ended:
			t.recordCrash(now)
		case failure.NotRun || !failure.Sent:
			d.quarantine.UnsentRequest(now, t.fingerprint)
		}
		if failure.Pause > 0 {
			d.step(now, routing.Pause{Upstream: t.Upstream.Name, For: failure.Pause})
		}
		if failure.Leaving {
			d.step(now, routing.Leaving{Upstream: t.Upstream.Name, Leaving: true})
		}
		if failure.NotRun && !failure.Received {
			// The request may be placed elsewhere at once, outside the retry budget. It doesn't count as a failure of the engine, which may
			// just serve another version.
			d.step(now, routing.Cancelled{ID: t.id, Upstream: t.Upstream.Name})
			results <- result{0, true}
			return
		}
		d.step(now, routing.Failed{ID: t.id, Upstream: t.Upstream.Name, Sent: failure.Sent, Received: failure.Received})
		retry, ok := d.retries[t.id]
		delete(d.retries, t.id)
		results <- result{retry.Wait, ok}
	})
	select {
	case r := <-results:
		return r.wait, r.ok
	case <-d.done:
		return 0, false
	}
}

func (d *Dispatcher) hedge(t *Ticket) (*Ticket, bool) {
	tickets := make(chan *Ticket, 1)
	d.post(func(now time.Duration) {
		_, part := d.quarantine.Quarantined(now, t.sharedParts)
		if _, request := d.quarantine.Quarantined(now, []uint64{t.fingerprint}); part || request {
			// The first attempt may be the trial, of which there is one at a time.
			tickets <- nil
			return
		}
		decision, ok := d.core.StartHedge(now, t.id)
		if !ok {
			tickets <- nil
			return
		}
		tickets <- &Ticket{Upstream: d.upstreams[decision.Upstream], Priority: decision.Priority, dispatcher: d, id: t.id, sharedParts: t.sharedParts, fingerprint: t.fingerprint, resumed: t.resumed, placedAt: now}
	})
	select {
	case second := <-tickets:
		return second, second != nil
	case <-d.done:
		return nil, false
	}
}
