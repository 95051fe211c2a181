package policy

import (
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/chicoryrelay/chicoryrelay/bench/experiment"
	"github.com/chicoryrelay/chicoryrelay/relay/catalogue"
	"github.com/chicoryrelay/chicoryrelay/relay/prompt"
	"github.com/chicoryrelay/chicoryrelay/relay/routing"
	"github.com/chicoryrelay/chicoryrelay/standin/engine"
)

// Intervals at which VMs send digests to each other, as in the daemon; partsInterval applies if engines publish which prompt
// parts they cache.
const (
	digestInterval = time.Second
	partsInterval  = 150 * time.Millisecond
)

// Links between data centres and regions, as in the daemon.
var (
	centreLink = routing.Link{RoundTrip: 2 * time.Millisecond, Price: time.Millisecond}
	regionLink = routing.Link{RoundTrip: 10 * time.Millisecond, Price: 20 * time.Millisecond}
)

// Fleet contains the routing cores of all VMs of an experiment.
type Fleet struct {
	vms []*vm
	// parts maps the hash of the last cache block of a prompt part to the key of the part; nil if no parts are declared.
	parts map[uint64]uint64
	// block is the size of the engines' cache blocks in tokens.
	block int
	// interval is the interval at which VMs send digests to each other.
	interval time.Duration
}

// vm is one VM's routing core with the state of its requests.
type vm struct {
	fleet        *Fleet
	core         *routing.Core
	incarnations map[string]uint64
	requests     map[string]request
	hedges       map[string]time.Duration
	retries      map[string]pendingRetry
	lastDigest   time.Duration
	// copies maps a request id to the upstreams that the request was sent to.
	copies map[string][]string
	// pendingDecisions are decisions caused by digests and notices of other VMs; the next tick returns them.
	pendingDecisions []experiment.Decision
}

type request struct {
	routing.Request
	answer int
}

// pendingRetry is a failed request that is routed again at a time.
type pendingRetry struct {
	at      time.Duration
	exclude string
}

// New returns one router for each VM of the settings, all with the same options.
func New(s experiment.Settings, seed uint64, options ...routing.Option) []experiment.Router {
	return build(s, &Fleet{interval: digestInterval}, seed, options)
}

// placeholderAddress is the address of every engine, since no decision depends on addresses.
var placeholderAddress = netip.MustParseAddrPort("127.0.0.1:1")

func build(s experiment.Settings, f *Fleet, seed uint64, options []routing.Option) []experiment.Router {
	upstreams := upstreamsOf(s)
	accounts := accountsOf(s)
	var routers []experiment.Router
	for i, place := range s.VMs {
		v := &vm{
			fleet: f, incarnations: map[string]uint64{}, requests: map[string]request{}, hedges: map[string]time.Duration{}, retries: map[string]pendingRetry{}, copies: map[string][]string{},
			core: routing.New(append([]routing.Option{
				routing.WithLocation(vmName(i), place.Centre, place.Region), routing.WithLinks(centreLink, regionLink),
				routing.WithRandom(rand.New(rand.NewPCG(seed, uint64(i)))),
			}, options...)...),
		}
		v.core.Step(0, routing.Accounts{List: accounts})
		v.core.Step(0, routing.Upstreams{List: upstreams})
		f.vms = append(f.vms, v)
		routers = append(routers, v.router())
	}
	return routers
}

func vmName(i int) string { return "vm" + string(rune('a'+i)) }

func accountsOf(s experiment.Settings) []catalogue.Account {
	seen := map[string]bool{}
	var list []catalogue.Account
	for _, entry := range s.Entries {
		if !seen[entry.Account] {
			seen[entry.Account] = true
			list = append(list, catalogue.Account{Name: entry.Account, Weight: 1})
		}
	}
	return list
}

func (v *vm) router() experiment.Router {
	return experiment.Router{
		Decide: v.decide,
		FirstToken: func(now time.Duration, id, upstream string, _ int) []experiment.Decision {
			delete(v.hedges, id)
			decisions := v.step(now, routing.FirstToken{ID: id, Upstream: upstream, Incarnation: v.incarnations[upstream]})
			for _, other := range v.copies[id] {
				if other != upstream {
					decisions = append(decisions, v.step(now, routing.Cancelled{ID: id, Upstream: other})...)
				}
			}
			return decisions
		},
		Finished: func(now time.Duration, id, upstream string, cached int) []experiment.Decision {
			r := v.requests[id]
			delete(v.requests, id)
			delete(v.copies, id)
			return v.step(now, routing.Finished{
				ID: id, Upstream: upstream, Incarnation: v.incarnations[upstream], PromptTokens: r.PromptTokens, CachedTokens: cached, AnswerTokens: r.answer,
			})
		},
		Failed: func(now time.Duration, id, upstream string) []experiment.Decision {
			return v.step(now, routing.Failed{ID: id, Upstream: upstream, Sent: true})
		},
		Report: func(now time.Duration, upstream string, r engine.Report) []experiment.Decision {
			v.incarnations[upstream] = r.Incarnation
			return v.step(now, routing.LoadReport{
				Upstream: upstream, Incarnation: r.Incarnation, Outstanding: r.Running + r.Waiting, Queued: r.Waiting, Leaving: r.Leaving,
				Age: time.Duration(r.Age) * time.Millisecond,
			})
		},
		Changes: v.cacheChanged,
		Tick:    v.tick,
	}
}

func (v *vm) decide(now time.Duration, r experiment.Request) experiment.Decision {
	e := r.Entry
	tracked := request{answer: e.Answer, Request: routing.Request{
		ID: r.ID, Account: e.Account, Assistant: e.Assistant, Model: "base", PromptTokens: e.Prompt, AnswerTokens: e.Answer, Idempotent: true,
	}}
	if v.fleet.parts != nil {
		v.fleet.declareParts(&tracked.Request, e)
	} else {
		for _, level := range e.Levels {
			tracked.Levels = append(tracked.Levels, prompt.Level{Hash: level.Hash, Tokens: level.Tokens})
		}
	}
	if e.Deadline > 0 {
		tracked.Deadline = now + e.Deadline
	}
	v.requests[r.ID] = tracked
	return v.translate(now, r.ID, v.core.Decide(now, tracked.Request))
}

func (v *vm) translate(now time.Duration, id string, d routing.Decision) experiment.Decision {
	switch {
	case d.Queued:
		return experiment.Decision{Request: id, Verdict: experiment.Queue}
	case d.Refusal != nil:
		return experiment.Decision{Request: id, Verdict: experiment.Refuse}
	}
	if d.Hedge != nil {
		v.hedges[id] = now + d.Hedge.Delay
	}
	exporter := ""
	if d.Import != nil {
		exporter = d.Import.From
	}
	if d.FetchFrom != "" {
		exporter = d.FetchFrom
	}
	v.copies[id] = append(v.copies[id], d.Upstream)
	if d.Notice != nil {
		for _, other := range v.fleet.vms {
			if other != v {
				other.pendingDecisions = append(other.pendingDecisions, other.step(now, *d.Notice)...)
			}
		}
	}
	return experiment.Decision{Request: id, Verdict: experiment.Dispatch, Upstream: d.Upstream, Priority: d.Priority, Import: exporter}
}

// receiveDigest passes another VM's digest to the core.
func (v *vm) receiveDigest(now time.Duration, digest routing.Digest) {
	v.pendingDecisions = append(v.pendingDecisions, v.step(now, digest)...)
}

func (v *vm) step(now time.Duration, message routing.Message) []experiment.Decision {
	effects := v.core.Step(now, message)
	var decisions []experiment.Decision
	for _, d := range effects.Released {
		decisions = append(decisions, v.translate(now, d.ID, d.Decision))
	}
	for _, retry := range effects.Retry {
		v.retries[retry.ID] = pendingRetry{at: now + retry.Wait, exclude: retry.Exclude}
	}
	return decisions
}
