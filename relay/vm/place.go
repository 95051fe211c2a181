package vm

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
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
	"github.com/chicoryrelay/chicoryrelay/relay/pause"
	"github.com/chicoryrelay/chicoryrelay/relay/route"
	"github.com/chicoryrelay/chicoryrelay/relay/routing"
	"github.com/chicoryrelay/chicoryrelay/relay/settings"
	"github.com/chicoryrelay/chicoryrelay/relay/upstream"
)

const (
	// centreCost and regionCost are the costs of using a replica of a plain service in another data centre of the region, or in
	// another region: the round trip and a surcharge for the traffic.
	centreCost = 3 * time.Millisecond
	regionCost = 25 * time.Millisecond
	// minStartTimeout is the least time after which callers abandon a stream that has not begun. The multiples startTimeoutTargets of
	// the route's time-to-first-event objective and startTimeoutPauses of its pause objective apply if they are longer.
	minStartTimeout     = 2 * time.Second
	startTimeoutTargets = 4
	startTimeoutPauses  = 8
)

// weightsMargin is the time between the last request placed on older weights and the time by which none may begin on them: a
// request may wait in the engine's queue.
const weightsMargin = 900 * time.Millisecond

// Costs of links for the routing core: the round trip, and the gain in time required to move a prompt over the link.
var (
	centreLink = routing.Link{RoundTrip: 2 * time.Millisecond, Price: 200 * time.Microsecond}
	regionLink = routing.Link{RoundTrip: 16 * time.Millisecond, Price: time.Millisecond}
)

func newDispatcher(s settings.Settings, logger log.Interface) *dispatch.Dispatcher {
	core := routing.New(
		routing.WithLocation(s.Name, s.Centre, s.Region), routing.WithLinks(centreLink, regionLink), routing.WithSpan(routing.Everywhere),
		routing.WithMaxQueued(s.Limits.Queue), routing.WithPrefill(28*time.Microsecond), routing.WithPolicy(routing.Policy(s.Routing.Policy)),
		routing.WithImport(s.Routing.Import), routing.WithRoom(s.Routing.Room), routing.WithSalt(cacheSalt), routing.WithSpeeds(s.Routing.Speeds),
		routing.WithTimes(func(t *routing.Times) { t.OutdatedAfter = s.Times.Weights - weightsMargin }),
		routing.WithRandom(rand.New(rand.NewPCG(uint64(time.Now().UnixNano()), 1))),
	)
	return dispatch.New(core, dispatch.WithQuarantineOf(s.Name, s.Data, logger))
}

// placer chooses an upstream for each request: for engines by the routing core, for plain services by the balance core.
type placer struct {
	settings settings.Settings
	state    *state
	dispatch *dispatch.Dispatcher
	pauses   *pause.Registry
	log      log.Interface

	mu          sync.Mutex
	balance     *balance.Core
	configured  []catalogue.Upstream
	configureMu sync.Mutex
	namingsMu   sync.Mutex
	namings     namings
	// silence is set while the components are built; nil means that no upstream counts as silent.
	silence *silenceWatcher
}

func newPlacer(s settings.Settings, st *state, d *dispatch.Dispatcher, pauses *pause.Registry, logger log.Interface) *placer {
	p := &placer{
		settings: s, state: st, dispatch: d, pauses: pauses, log: logger, namings: namings{},
		balance: balance.New(rand.New(rand.NewPCG(uint64(time.Now().UnixNano()), 2)), balance.WithSpeeds(s.Routing.Speeds)),
	}
	st.onChange = p.configure
	pauses.OnChange(p.configure)
	return p
}

// modelKey identifies a model of one service in the routing core: services that use the same model name do not share engines.
func modelKey(service, model string) string { return service + "/" + model }

// configure passes the engines and KV cache stores to the routing core if they have changed.
func (p *placer) configure() {
	p.configureMu.Lock()
	defer p.configureMu.Unlock()
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
			if !u.Serves() || !p.pauses.Until(u.ID).IsZero() {
				state = catalogue.Draining
			}
			engines = append(engines, catalogue.Upstream{
				Name: u.ID, Address: u.Address, DataCentre: u.Centre, Region: p.settings.Discovered.Centres[u.Centre], Kind: catalogue.Engine,
				Service: u.Service, Model: modelKey(u.Service, model.Name), Weights: strconv.FormatUint(model.Weights, 10), Software: u.Software,
				Slots: service.Engine.Slots, Cache: service.Engine.Memory, State: state,
				Transfer: tokenTransferTime(service.Engine.TokenBytes, service.Engine.LinkMbps),
			})
			// An upstream of the catalogue has one model, so requests are placed by the engine's first one only.
			break
		}
	}
	engines = append(engines, p.stores(table)...)
	p.notifyWeights()
	if slices.Equal(engines, p.configured) {
		return
	}
	p.configured = engines
	p.dispatch.Configure(&catalogue.Catalogue{Upstreams: engines})
}

// tokenTransferTime returns the time to transfer one token's KV cache over a link; 0 means unknown.
func tokenTransferTime(tokenBytes int, linkMbps float64) time.Duration {
	if linkMbps <= 0 {
		return 0
	}
	const bitsPerByte = 8
	return time.Duration(float64(tokenBytes) * bitsPerByte / linkMbps * float64(time.Microsecond))
}

// stores returns the KV cache stores, with the transfer time of the largest tokens of all services.
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
			Transfer: tokenTransferTime(tokenBytes, service.Store.LinkMbps),
		})
	}
	return stores
}

// storeName returns the name of a store in the routing core, whose prefix separates it from the IDs of upstreams.
func storeName(service *route.Service) string { return "store/" + service.Name }

// place chooses the upstream for one attempt of a request.
func (p *placer) place(ctx context.Context, r *forward.PlacementRequest) (*forward.Placement, error) {
	if r.Service == nil {
		return nil, outcome.Refuse(outcome.NoUpstream, "the route's service is not known")
	}
	place := p.placeOnService
	if r.Service.Engine != nil && r.Metadata.Model != "" {
		place = p.placeOnEngine
	}
	placement, err := place(ctx, r)
	var refusal *outcome.Refusal
	if errors.As(err, &refusal) && refusal.Kind == outcome.NoUpstream {
		if r.Software != nil && !p.staysListed(r) {
			return nil, outcome.Refuse(outcome.SoftwareGone, "no upstream runs the software version that began the stream any more; send the request again without its last event")
		}
		err = refusal.WithRetryAfter(earliestEnd(p.state.list.Load().Service(r.Service.Name), p.pauses))
	}
	return placement, err
}

// startTimeout returns the time after arrival at which callers abandon a stream that has not begun.
func startTimeout(r *route.Route) time.Duration {
	return max(minStartTimeout, startTimeoutTargets*r.Target, startTimeoutPauses*r.Pause)
}

const (
	// onlyInterval is the interval at which a request that is limited to some engines tries them while none takes requests.
	onlyInterval = 50 * time.Millisecond
	// resumeTime is the time that an engine needs for the first event of a stream that it resumes.
	resumeTime = 300 * time.Millisecond
)

// acquire waits for a ticket. A stream that is limited to the engines at which it has run, or to those of a software version, waits for
// one of them while they load new weights, as long as its caller does.
func (p *placer) acquire(ctx context.Context, r *forward.PlacementRequest, request dispatch.Request) (*dispatch.Ticket, error) {
	waitsSince := r.Arrived
	if r.LastEventAt.After(waitsSince) {
		waitsSince = r.LastEventAt
	}
	until := waitsSince.Add(startTimeout(r.Route) - resumeTime)
	for {
		ticket, err := p.dispatch.Acquire(ctx, request)
		var refusal *outcome.Refusal
		if len(r.Only) == 0 && !p.loadsSoftware(r) || !errors.As(err, &refusal) || refusal.Kind != outcome.NoUpstream || !time.Now().Before(until) {
			return ticket, err
		}
		sleep(ctx, onlyInterval)
	}
}

// staysListed reports whether an upstream of the software version that a request is bound to is listed and does not leave.
func (p *placer) staysListed(r *forward.PlacementRequest) bool {
	return slices.ContainsFunc(p.state.list.Load().Service(r.Service.Name), func(u *directory.Upstream) bool {
		return u.Software == *r.Software && !u.Leaving
	})
}

// loadsSoftware reports whether an engine of the software version that a request is bound to takes none only while it loads weights.
func (p *placer) loadsSoftware(r *forward.PlacementRequest) bool {
	return r.Software != nil && slices.ContainsFunc(p.state.list.Load().Service(r.Service.Name), func(u *directory.Upstream) bool {
		return u.Software == *r.Software && u.Loading && !u.Leaving
	})
}

func (p *placer) placeOnEngine(ctx context.Context, r *forward.PlacementRequest) (*forward.Placement, error) {
	deadline := r.Deadline.Sub(r.Arrived)
	if r.Begun {
		deadline = 0
	} else {
		deadline = min(deadline, startTimeout(r.Route))
	}
	answerTokens := r.Metadata.MaxAnswerTokens
	if r.Metadata.EstimatedAnswerTokens > 0 {
		answerTokens = min(answerTokens, r.Metadata.EstimatedAnswerTokens)
	}
	ticket, err := p.acquire(ctx, r, dispatch.Request{
		ID: r.ID, Account: catalogue.Account{Name: accountName(r.Account)}, Scope: r.Scope, Urgency: r.Priority,
		Assistant: catalogue.Assistant{Name: r.Route.Name, Model: modelKey(r.Service.Name, r.Metadata.Model)},
		Levels:    r.Levels, Parts: r.PartHashes, SharedParts: sharedParts(r.PartHashes), Fingerprint: r.Fingerprint, Resumed: r.Begun, TargetTTFT: r.Route.Target, PromptTokens: r.Metadata.PromptTokens, AnswerTokens: answerTokens, Idempotent: r.Route.Repeatable(),
		Deadline: deadline, Arrived: r.Arrived, Only: r.Only, Software: r.Software, FailedUpstreams: r.FailedUpstreams,
	})
	if err != nil {
		return nil, err
	}
	u := p.state.list.Load().Find(ticket.Upstream.Name)
	if u == nil {
		ticket.Fail(dispatch.Failure{NotRun: true})
		return nil, outcome.Refuse(outcome.NoUpstream, "the upstream has just gone")
	}
	if r.Software != nil && u.Software != *r.Software {
		ticket.Fail(dispatch.Failure{NotRun: true})
		return nil, outcome.Refuse(outcome.NoUpstream, "the upstream has just started with another software version than the one that began the stream")
	}
	weights, err := strconv.ParseUint(ticket.Upstream.Weights, 10, 64)
	if err != nil {
		return nil, err
	}
	p.log.WithFields(log.Fields{
		"request": r.ID, "upstream": u.ID, "weights": weights, "software": u.Software, "resumes": r.Metadata.Resumes, "prompt": r.Metadata.PromptTokens, "cached": ticket.CachedTokens, "expected": ticket.ExpectedTTFT, "fetch": ticket.FetchFrom.Name, "save": ticket.SaveTo.Name, "route": r.Route.Name, "age": time.Since(r.Arrived), "failed": len(r.FailedUpstreams),
	}).Info("placed")
	var fetch netip.AddrPort
	if ticket.FetchFrom.Name != "" {
		fetch = ticket.FetchFrom.Address
	}
	var save netip.AddrPort
	if ticket.SaveTo.Name != "" {
		save = ticket.SaveTo.Address
	}
	incarnation, version := incarnationOf(u), routing.Version{Model: ticket.Upstream.Model, Weights: ticket.Upstream.Weights}
	return &forward.Placement{
		Upstream: u, Weights: weights, Priority: enginePriority(ticket.Priority, r), Expected: ticket.ExpectedTTFT, FetchFrom: fetch, SaveTo: save,
		Salt:  func(scope string) string { return cacheSalt(scope, version) },
		Begin: func() { ticket.FirstToken(incarnation) },
		Finish: func(h forward.AnswerMetadata) {
			p.correctWeights(u, r, h)
			counts := upstream.Counts{Prompt: r.Metadata.PromptTokens, Answer: answerTokens, Missing: true}
			if h.Status >= http.StatusInternalServerError {
				ticket.FinishError(incarnation, counts)
				return
			}
			ticket.Finish(incarnation, counts)
		},
		Fail: func(f forward.Failure) {
			p.handleFailure(u, r, f)
			// An order for new weights breaks off requests at a sound engine: that is neither a crash nor a reason to avoid it afterwards.
			evicted := f.Ended && p.loading(u.ID)
			ticket.Fail(dispatch.Failure{Sent: f.Sent, Received: f.Received || evicted, NotRun: f.NotRun, Ended: f.Ended && !evicted})
		},
		Cancel: ticket.Cancel,
	}, nil
}

// accountName returns the name of the client account that shares capacity with others, empty for requests without one.
func accountName(account *route.Account) string {
	if account == nil {
		return ""
	}
	return account.Name
}

// loading reports whether an engine is out of rotation for new weights, for which it breaks off the requests in progress.
func (p *placer) loading(id string) bool {
	u := p.state.list.Load().Find(id)
	return u != nil && u.Loading
}

// sharedParts returns the parts that other requests may have too: the last one belongs to the request or its session.
func sharedParts(hashes []uint64) []uint64 { return hashes[:max(0, len(hashes)-1)] }

// incarnationOf identifies an incarnation of an engine; it is 1 if its start time is unknown.
func incarnationOf(u *directory.Upstream) uint64 {
	if u.StartedAt.IsZero() {
		return 1
	}
	return uint64(u.StartedAt.UnixMilli())
}

// prioritiesPerClass is the number of engine priorities per priority class. notRepeatable is the offset of requests that must not
// be repeated, so that an engine's load report shows whether its requests in progress may be interrupted.
const (
	prioritiesPerClass = 2
	notRepeatable      = 1
)

// enginePriority returns the priority of a request at its engine; 0 is the highest.
func enginePriority(class int, r *forward.PlacementRequest) int {
	if r.Route.Repeatable() {
		return prioritiesPerClass * class
	}
	return prioritiesPerClass*class + notRepeatable
}

// cacheSalt returns the salt that separates cached prompts which must not be shared: those of isolated client accounts, and those
// of different weights versions.
func cacheSalt(scope string, v routing.Version) string {
	sum := sha256.Sum256([]byte(fmt.Sprintf("%d:%s%d:%s%s", len(scope), scope, len(v.Model), v.Model, v.Weights)))
	return hex.EncodeToString(sum[:8])
}

// correctWeights updates the directory if a response shows another weights version than the one on record when the request was placed. The
// response may have begun long ago, so that whatever has been learned of the upstream since the placement counts instead.
func (p *placer) correctWeights(u *directory.Upstream, r *forward.PlacementRequest, h forward.AnswerMetadata) {
	model := r.Metadata.Model
	if h.Weights == 0 || h.Weights == u.Weights(model) {
		return
	}
	if now := p.state.list.Load().Find(u.ID); now != nil && now.StartedAt.Equal(u.StartedAt) && now.Weights(model) == u.Weights(model) {
		p.state.applyReport(directory.Report{ID: u.ID, Models: u.WithWeights(r.Metadata.Model, h.Weights), Loading: u.Loading, StartedAt: u.StartedAt})
	}
}

// statusMisdirected is the response status of an upstream that is not the one addressed, or that serves other weights.
const statusMisdirected = 421

// misdirectedPause is how long an engine gets no requests after it answered that it serves other weights.
const misdirectedPause = 300 * time.Millisecond

// handleFailure updates the directory from a failed attempt.
func (p *placer) handleFailure(u *directory.Upstream, r *forward.PlacementRequest, f forward.Failure) {
	if f.NotRun && f.Status == statusMisdirected && f.Metadata.Upstream != "" && f.Metadata.Upstream != u.ID {
		p.state.applyReport(directory.Report{ID: u.ID, Gone: true, StartedAt: u.StartedAt})
		return
	}
	if f.NotRun && f.Status == statusMisdirected && f.Metadata.Weights == 0 {
		// The engine serves other weights than recorded; the leader publishes the version shortly.
		p.state.applyReport(directory.Report{ID: u.ID, Loading: true, StartedAt: u.StartedAt, Validity: misdirectedPause})
		return
	}
	p.correctWeights(u, r, f.Metadata)
}

// placeOnService places a request on a replica of a plain service.
func (p *placer) placeOnService(ctx context.Context, r *forward.PlacementRequest) (*forward.Placement, error) {
	if refusal := p.dispatch.AdmitRequest(ctx, r.Fingerprint); refusal != nil {
		return nil, refusal
	}
	list := p.state.list.Load()
	var candidates []balance.Candidate
	for _, u := range list.Service(r.Service.Name) {
		if u.Leaving || !p.pauses.Until(u.ID).IsZero() || r.Software != nil && u.Software != *r.Software {
			continue
		}
		candidates = append(candidates, balance.Candidate{ID: u.ID, Link: p.linkCost(u), Slots: u.Slots})
	}
	candidates = p.silence.withoutSilent(candidates, r)
	now := p.state.now()
	p.mu.Lock()
	id, ok := p.balance.Choose(now, r.Service.Name, candidates, r.FailedUpstreams)
	if !ok && len(candidates) > 0 && r.Route.Repeatable() {
		// A replica that can't be reached is down for seconds: the request is refused rather than sent there again and again.
		id, ok = p.balance.Choose(now, r.Service.Name, candidates, r.UnreachableUpstreams)
	}
	if ok {
		p.balance.Sent(now, id)
	}
	p.mu.Unlock()
	if !ok {
		p.dispatch.RequestUnsent(r.Fingerprint)
		return nil, outcome.Refuse(outcome.NoUpstream, "no replica of the service takes work now")
	}
	u := list.Find(id)
	p.log.WithFields(log.Fields{"request": r.ID, "upstream": id, "software": u.Software, "candidates": len(candidates), "age": time.Since(r.Arrived), "failed": len(r.FailedUpstreams)}).Info("placed")
	settle := func(apply func(now time.Duration)) {
		p.mu.Lock()
		defer p.mu.Unlock()
		apply(p.state.now())
	}
	return &forward.Placement{
		Upstream: u, Priority: -1,
		Begin: func() {},
		Finish: func(h forward.AnswerMetadata) {
			if h.Status < http.StatusInternalServerError {
				p.dispatch.RequestAnswered(r.Fingerprint)
			} else {
				p.dispatch.RequestUnsent(r.Fingerprint)
			}
			settle(func(at time.Duration) { p.balance.Completed(at, r.Service.Name, id, at-now, balanceLoad(h)) })
		},
		Fail: func(f forward.Failure) {
			p.handleFailure(u, r, f)
			switch {
			case f.Ended:
				p.dispatch.RequestCrashed(r.Fingerprint, u.ID, f.Running)
			case f.NotRun || !f.Sent || f.Status >= http.StatusInternalServerError:
				// An error doesn't show that the replica has run the request, nor that it hasn't.
				p.dispatch.RequestUnsent(r.Fingerprint)
			}
			settle(func(at time.Duration) {
				switch {
				case f.NotRun:
					p.balance.Refused(at, id, balanceLoad(f.Metadata))
				case f.Status > 0:
					// An error response comes from the application and is no sign of a broken replica.
					p.balance.Completed(at, r.Service.Name, id, at-now, balanceLoad(f.Metadata))
				default:
					p.balance.Failed(at, id)
				}
			})
		},
		// A request that its caller gave up may have run: the trial of a verdict is then made once its time is over.
		Cancel: func() { settle(func(at time.Duration) { p.balance.Cancelled(at, id) }) },
	}, nil
}

func balanceLoad(h forward.AnswerMetadata) *balance.LoadReport {
	if h.Load == nil {
		return nil
	}
	return &balance.LoadReport{Running: h.Load.Running, Waiting: h.Load.Waiting, Slots: h.Load.Slots, Slowdown: h.Load.Slowdown}
}

// linkCost returns the cost of using an upstream; 0 within the data centre.
func (p *placer) linkCost(u *directory.Upstream) time.Duration {
	switch {
	case u.Centre == p.settings.Centre:
		return 0
	case p.settings.Discovered.Centres[u.Centre] == p.settings.Region:
		return centreCost
	}
	return regionCost
}
