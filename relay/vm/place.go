package vm

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/apex/log"

	"github.com/chicoryrelay/chicoryrelay/relay/balance"
	"github.com/chicoryrelay/chicoryrelay/relay/catalogue"
	"github.com/chicoryrelay/chicoryrelay/relay/directory"
	"github.com/chicoryrelay/chicoryrelay/relay/dispatch"
	"github.com/chicoryrelay/chicoryrelay/relay/forward"
	"github.com/chicoryrelay/chicoryrelay/relay/outcome"
	"github.com/chicoryrelay/chicoryrelay/relay/route"
	"github.com/chicoryrelay/chicoryrelay/relay/routing"
	"github.com/chicoryrelay/chicoryrelay/relay/settings"
	"github.com/chicoryrelay/chicoryrelay/relay/upstream"
)

const (
	// centreTrip and regionTrip are what it costs to use a plain service's replica in another data centre or region: the round
	// trip, with a little more for the price of the traffic.
	centreTrip = 3 * time.Millisecond
	regionTrip = 25 * time.Millisecond
	// leastPatience is the time after which callers give up a stream that has not begun, whatever its objective; patienceTargets
	// and patiencePauses are the multiples of the objectives for the first event and the pauses that count if they are longer.
	leastPatience   = 2 * time.Second
	patienceTargets = 4
	patiencePauses  = 8
)

// weightsMargin is kept free between the last request that begins on older weights and the time by which none may: a request may
// wait at its engine.
const weightsMargin = 900 * time.Millisecond

// Links of the routing core: round trips between data centres and regions, and what moving a prompt there is worth.
var (
	centreLink = routing.Link{RoundTrip: 2 * time.Millisecond, Price: 200 * time.Microsecond}
	regionLink = routing.Link{RoundTrip: 16 * time.Millisecond, Price: time.Millisecond}
)

func newDispatcher(s settings.Settings) *dispatch.Dispatcher {
	return dispatch.New(routing.New(
		routing.WithPlace(s.Name, s.Centre, s.Region), routing.WithLinks(centreLink, regionLink), routing.WithSpan(routing.Everywhere),
		routing.WithQueue(s.Limits.Queue), routing.WithPrefill(28*time.Microsecond), routing.WithPolicy(routing.Policy(s.Routing.Policy)),
		routing.WithImport(s.Routing.Import), routing.WithSalt(saltOf),
		routing.WithTimes(func(t *routing.Times) { t.Weights = s.Times.Weights - weightsMargin }),
		routing.WithRandom(rand.New(rand.NewPCG(uint64(time.Now().UnixNano()), 1))),
	))
}

// placer decides where the requests of routes run: those of engines by the routing core, those of plain services by the balancer.
type placer struct {
	settings settings.Settings
	state    *state
	dispatch *dispatch.Dispatcher
	log      log.Interface

	mu       sync.Mutex
	balance  *balance.Core
	told     []catalogue.Upstream
	engaging sync.Mutex
}

func newPlacer(s settings.Settings, st *state, d *dispatch.Dispatcher, logger log.Interface) *placer {
	p := &placer{
		settings: s, state: st, dispatch: d, log: logger,
		balance: balance.New(rand.New(rand.NewPCG(uint64(time.Now().UnixNano()), 2))),
	}
	st.changed = p.configure
	return p
}

// family names the model of one service for the routing core: services that share a model's name don't share engines.
func family(service, model string) string { return service + "/" + model }

// configure tells the routing core of the engines.
func (p *placer) configure() {
	p.engaging.Lock()
	defer p.engaging.Unlock()
	table, list := p.state.table.Load(), p.state.list.Load()
	if table == nil || list == nil {
		return
	}
	var engines []catalogue.Upstream
	for i := range list.Upstreams {
		u := &list.Upstreams[i]
		service := table.Service(u.Service)
		if service == nil || service.Engine == nil {
			continue
		}
		for _, model := range u.Models {
			state := catalogue.Active
			if !u.Serves() {
				state = catalogue.Draining
			}
			engines = append(engines, catalogue.Upstream{
				Name: u.ID, Address: u.Address, DataCentre: u.Centre, Region: p.settings.Discovered.Centres[u.Centre], Kind: catalogue.Engine,
				Service: u.Service, Model: family(u.Service, model.Name), Weights: strconv.FormatUint(model.Weights, 10),
				Slots: service.Engine.Slots, Cache: service.Engine.Memory, State: state,
				Transfer: transferTime(service.Engine.TokenBytes, service.Engine.LinkMbps),
			})
			break
		}
	}
	engines = append(engines, p.stores(table)...)
	if weights := p.state.weights.Load(); weights != nil {
		p.nameWeights(table, *weights)
	}
	if slices.Equal(engines, p.told) {
		return
	}
	p.told = engines
	p.dispatch.Configure(&catalogue.Catalogue{Upstreams: engines})
}

// transferTime is the time to move one token's KV cache over a link.
func transferTime(tokenBytes int, linkMbps float64) time.Duration {
	if linkMbps <= 0 {
		return 0
	}
	const bitsPerByte = 8
	return time.Duration(float64(tokenBytes) * bitsPerByte / linkMbps * float64(time.Microsecond))
}

// stores returns the stores of KV cache.
func (p *placer) stores(table *route.Table) []catalogue.Upstream {
	tokenBytes := 0
	for i := range table.State.Services {
		if engine := table.State.Services[i].Engine; engine != nil {
			tokenBytes = max(tokenBytes, engine.TokenBytes)
		}
	}
	var stores []catalogue.Upstream
	for i := range table.State.Services {
		service := &table.State.Services[i]
		if service.Store == nil {
			continue
		}
		stores = append(stores, catalogue.Upstream{
			Name: storeName(service), Address: service.Store.Address, DataCentre: service.Store.Centre,
			Region: p.settings.Discovered.Centres[service.Store.Centre], Kind: catalogue.Store, Service: service.Name, Cache: service.Store.Memory,
			Transfer: transferTime(tokenBytes, service.Store.LinkMbps),
		})
	}
	return stores
}

// storeName names a store for the routing core, apart from upstreams' IDs.
func storeName(service *route.Service) string { return "store/" + service.Name }

// nameWeights tells the routing core which weights were named last.
func (p *placer) nameWeights(table *route.Table, weights map[string]uint64) {
	for i := range table.State.Services {
		service := &table.State.Services[i]
		if service.Engine == nil {
			continue
		}
		for _, model := range service.Engine.Models {
			if version := weights[model]; version > 0 {
				p.dispatch.Tell(routing.Newest{Model: family(service.Name, model), Weights: strconv.FormatUint(version, 10)})
			}
		}
	}
}

// place is the forwarder's placement.
func (p *placer) place(ctx context.Context, w *forward.Work) (*forward.Placement, error) {
	if w.Service == nil {
		return nil, outcome.Refuse(outcome.NoUpstream, "the route's service is not known")
	}
	if w.Service.Engine != nil && w.Ask.Model != "" {
		return p.engine(ctx, w)
	}
	return p.service(w)
}

// patience is the time from its arrival after which a stream that has not begun is of no use.
func patience(r *route.Route) time.Duration {
	return max(leastPatience, patienceTargets*r.Target, patiencePauses*r.Pause)
}

func (p *placer) engine(ctx context.Context, w *forward.Work) (*forward.Placement, error) {
	deadline := w.Until.Sub(w.Arrived)
	if w.Begun {
		deadline = 0
	} else {
		deadline = min(deadline, patience(w.Route))
	}
	answer := w.Ask.Answer
	if w.Ask.Hint > 0 {
		answer = min(answer, w.Ask.Hint)
	}
	ticket, err := p.dispatch.Acquire(ctx, dispatch.Request{
		ID: w.ID, Account: catalogue.Account{Name: w.Scope},
		Assistant: catalogue.Assistant{Name: w.Route.Name, Model: family(w.Service.Name, w.Ask.Model)},
		Levels:    w.Levels, Parts: w.Parts, Target: w.Route.Target, PromptTokens: w.Ask.Prompt, AnswerTokens: answer, Idempotent: w.Route.Repeatable(),
		Deadline: deadline, Arrived: w.Arrived, Failed: w.Failed,
	})
	if err != nil {
		return nil, err
	}
	u := p.state.list.Load().Find(ticket.Upstream.Name)
	if u == nil {
		ticket.Fail(dispatch.Failure{NotRun: true})
		return nil, outcome.Refuse(outcome.NoUpstream, "the upstream has just gone")
	}
	weights, err := strconv.ParseUint(ticket.Upstream.Weights, 10, 64)
	if err != nil {
		return nil, err
	}
	p.log.WithFields(log.Fields{
		"request": w.ID, "upstream": u.ID, "weights": weights, "prompt": w.Ask.Prompt, "cached": ticket.Cached, "expected": ticket.Expected, "fetch": ticket.Fetch.Name, "save": ticket.Save.Name, "route": w.Route.Name, "age": time.Since(w.Arrived), "failed": len(w.Failed),
	}).Info("placed")
	var fetch netip.AddrPort
	if ticket.Fetch.Name != "" {
		fetch = ticket.Fetch.Address
	}
	var save netip.AddrPort
	if ticket.Save.Name != "" {
		save = ticket.Save.Address
	}
	incarnation := incarnationOf(u)
	return &forward.Placement{
		Upstream: u, Weights: weights, Priority: urgency(ticket.Priority, w), Salt: saltOf(w.Scope, routing.Version{Model: ticket.Upstream.Model, Weights: ticket.Upstream.Weights}), Fetch: fetch, Save: save,
		Begin: func() { ticket.FirstToken(incarnation) },
		Finish: func(h forward.Heard) {
			p.heard(u, w, h)
			ticket.Finish(incarnation, upstream.Counts{Prompt: w.Ask.Prompt, Answer: answer, Unknown: true})
		},
		Fail: func(f forward.Failure) {
			p.failed(u, w, f)
			ticket.Fail(dispatch.Failure{Sent: f.Sent, Received: f.Began, NotRun: f.NotRun})
		},
		Cancel: ticket.Cancel,
	}, nil
}

// incarnationOf identifies one life of an engine; lives that can't be told apart share a number.
func incarnationOf(u *directory.Upstream) uint64 {
	if u.Born.IsZero() {
		return 1
	}
	return uint64(u.Born.UnixMilli())
}

// urgencies is the number of priorities at an engine for one class of requests: requests that can't be repeated are told apart, so that
// an engine's report shows whether it may break its runs off.
const (
	urgencies = 2
	onceOnly  = 1
)

// urgency returns the priority of a request at its engine; 0 is the most urgent.
func urgency(class int, w *forward.Work) int {
	if w.Route.Repeatable() {
		return urgencies * class
	}
	return urgencies*class + onceOnly
}

// saltOf keeps cached prompts apart that must not be shared: those of isolated accounts, and those made with other weights.
func saltOf(scope string, v routing.Version) string {
	sum := sha256.Sum256([]byte(fmt.Sprintf("%d:%s%d:%s%s", len(scope), scope, len(v.Model), v.Model, v.Weights)))
	return hex.EncodeToString(sum[:8])
}

// heard compares what an engine says with what is believed of it.
func (p *placer) heard(u *directory.Upstream, w *forward.Work, h forward.Heard) {
	if h.Weights > 0 && h.Weights != u.Weights(w.Ask.Model) {
		p.state.hear(directory.Report{ID: u.ID, Models: []directory.Model{{Name: w.Ask.Model, Weights: h.Weights}}, Loading: u.Loading, Born: u.Born})
	}
}

// misdirected is the status of an upstream that is another one than the request was meant for, or has other weights.
const misdirected = 421

// misdirectedTime is how long an engine gets no requests after it said that its weights are others.
const misdirectedTime = 300 * time.Millisecond

// failed takes what a failure says of the upstream itself.
func (p *placer) failed(u *directory.Upstream, w *forward.Work, f forward.Failure) {
	if f.NotRun && f.Status == misdirected && f.Heard.Upstream != "" && f.Heard.Upstream != u.ID {
		p.state.hear(directory.Report{ID: u.ID, Gone: true, Born: u.Born})
		return
	}
	if f.NotRun && f.Status == misdirected && f.Heard.Weights == 0 {
		// The engine has other weights than is believed; the leader is about to tell which.
		p.state.hear(directory.Report{ID: u.ID, Loading: true, Born: u.Born, For: misdirectedTime})
		return
	}
	p.heard(u, w, f.Heard)
}

// service places a request of a plain service.
func (p *placer) service(w *forward.Work) (*forward.Placement, error) {
	list := p.state.list.Load()
	var candidates []balance.Candidate
	for _, u := range list.Service(w.Service.Name) {
		if u.Leaving {
			continue
		}
		candidates = append(candidates, balance.Candidate{ID: u.ID, Link: p.link(u), Slots: u.Slots})
	}
	now := p.state.now()
	p.mu.Lock()
	id, ok := p.balance.Choose(now, w.Service.Name, candidates, w.Failed)
	if !ok && len(candidates) > 0 && w.Route.Repeatable() {
		id, ok = p.balance.Choose(now, w.Service.Name, candidates, nil)
	}
	if ok {
		p.balance.Sent(now, id)
	}
	p.mu.Unlock()
	if !ok {
		return nil, outcome.Refuse(outcome.NoUpstream, "no replica of the service takes work now")
	}
	u := list.Find(id)
	p.log.WithFields(log.Fields{"request": w.ID, "upstream": id, "candidates": len(candidates), "age": time.Since(w.Arrived), "failed": len(w.Failed)}).Info("placed")
	end := func(settle func(now time.Duration)) {
		p.mu.Lock()
		defer p.mu.Unlock()
		settle(p.state.now())
	}
	return &forward.Placement{
		Upstream: u, Priority: -1,
		Begin: func() {},
		Finish: func(h forward.Heard) {
			end(func(at time.Duration) { p.balance.Ended(at, w.Service.Name, id, at-now, loadOf(h)) })
		},
		Fail: func(f forward.Failure) {
			p.failed(u, w, f)
			end(func(at time.Duration) {
				switch {
				case f.NotRun:
					p.balance.Refused(at, id, loadOf(f.Heard))
				case f.Status > 0:
					// An answer that says failure is the service's own matter, not a broken replica.
					p.balance.Ended(at, w.Service.Name, id, at-now, loadOf(f.Heard))
				default:
					p.balance.Failed(at, id)
				}
			})
		},
		Cancel: func() { end(func(at time.Duration) { p.balance.Cancelled(at, id) }) },
	}, nil
}

func loadOf(h forward.Heard) *balance.Load {
	if h.Load == nil {
		return nil
	}
	return &balance.Load{Running: h.Load.Running, Waiting: h.Load.Waiting, Slots: h.Load.Slots, Pace: h.Load.Pace}
}

// link returns what it costs to use an upstream where it stands.
func (p *placer) link(u *directory.Upstream) time.Duration {
	switch {
	case u.Centre == p.settings.Centre:
		return 0
	case p.settings.Discovered.Centres[u.Centre] == p.settings.Region:
		return centreTrip
	}
	return regionTrip
}
