package vm

import (
	"context"
	"errors"
	"hash/fnv"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/apex/log"
	"go.uber.org/fx"

	"github.com/chicoryrelay/chicoryrelay/relay/connection"
	"github.com/chicoryrelay/chicoryrelay/relay/directory"
	"github.com/chicoryrelay/chicoryrelay/relay/dispatch"
	"github.com/chicoryrelay/chicoryrelay/relay/peer"
	"github.com/chicoryrelay/chicoryrelay/relay/routing"
	"github.com/chicoryrelay/chicoryrelay/relay/settings"
)

const (
	// eventsWait is how long an engine holds a question for cache events until there are some.
	eventsWait = 900 * time.Millisecond
	// eventsLimit is the time limit of such a question.
	eventsLimit = eventsWait + time.Second
	// eventsPause is the time between two questions to one engine: events are told together instead of one by one.
	eventsPause = 120 * time.Millisecond
	// eventsRetry is the pause after a question that failed.
	eventsRetry = time.Second
	// watchInterval is the interval at which a VM looks which engines it watches.
	watchInterval = 500 * time.Millisecond
)

// ErrBusy is the error of an engine or a platform that takes no more calls at the moment; try again later.
var ErrBusy = errors.New("too many calls at the moment; try again later")

// PartEvent says that an engine has taken a part into its cache, or dropped it.
type PartEvent struct {
	Salt, ID string
	Added    bool
}

// PartEvents are the cache events after a number.
type PartEvents struct {
	// Epoch identifies the life of the cache.
	Epoch uint64
	// Next is the number to ask from next.
	Next uint64
	// Lost says that events are missing before the first one.
	Lost   bool
	Events []PartEvent
}

// PartsCodec asks engines for cache events.
type PartsCodec struct {
	// Request returns the question for the events from a number on, which the engine holds for a while if there are none.
	Request func(upstream string, since uint64, wait time.Duration) *connection.Request
	// Answer reads the events; ErrBusy means that the engine has too many readers.
	Answer func(status int, body []byte) (PartEvents, error)
}

// partWatcher reads the cache events of the engines that fall to this VM and shares them with the others. Each engine is read by
// one VM of its data centre, found by rendezvous hashing, so that the readers of an engine stay few at any size.
type partWatcher struct {
	settings settings.Settings
	state    *state
	pool     *connection.Pool
	mesh     *meshes
	dispatch *dispatch.Dispatcher
	log      log.Interface

	mu      sync.Mutex
	reading map[string]context.CancelFunc
	// asks counts the requests for what the others know; they are few, and the first may find no session.
	asks int
}

func runParts(lifecycle fx.Lifecycle, s settings.Settings, st *state, pool *connection.Pool, m *meshes, d *dispatch.Dispatcher, logger log.Interface) {
	if !s.Listeners.Callers.IsValid() || routing.Policy(s.Routing.Policy) != routing.Reuse {
		return
	}
	w := &partWatcher{settings: s, state: st, pool: pool, mesh: m, dispatch: d, log: logger, reading: map[string]context.CancelFunc{}}
	m.asked = w.answer
	ctx, cancel := context.WithCancel(context.Background())
	lifecycle.Append(fx.Hook{
		OnStart: func(context.Context) error {
			go every(ctx, watchInterval, func() {
				w.ask()
				w.choose(ctx)
			})
			return nil
		},
		OnStop: func(context.Context) error {
			cancel()
			return nil
		},
	})
}

// choose begins to read the engines that fall to this VM and stops reading the others.
func (w *partWatcher) choose(ctx context.Context) {
	table, list := w.state.table.Load(), w.state.list.Load()
	if table == nil || list == nil {
		return
	}
	wanted := map[string]*directory.Upstream{}
	for i := range list.Upstreams {
		u := &list.Upstreams[i]
		if service := table.Service(u.Service); service != nil && service.Engine != nil && w.mine(u) {
			wanted[u.ID] = u
		}
	}
	for i := range table.State.Services {
		service := &table.State.Services[i]
		if service.Store == nil {
			continue
		}
		u := &directory.Upstream{ID: storeName(service), Service: service.Name, Address: service.Store.Address, Centre: service.Store.Centre}
		if w.mine(u) {
			wanted[u.ID] = u
		}
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	for id, u := range wanted {
		if w.reading[id] == nil {
			reading, cancel := context.WithCancel(ctx)
			w.reading[id] = cancel
			w.log.WithField("upstream", id).Info("cache events read here")
			go w.read(reading, u)
		}
	}
	for id, cancel := range w.reading {
		if wanted[id] == nil {
			cancel()
			delete(w.reading, id)
		}
	}
}

// mostAsks is the number of times that a VM which has just started asks the others what engines hold.
const mostAsks = 3

// ask asks the VMs of the cell for what they know, so that a restart is no cold start.
func (w *partWatcher) ask() {
	neighbours := cell(w.state.vms.Load(), w.settings.Name, w.settings.Centre, w.settings.Discovered.Centres)
	if len(neighbours) == 0 || w.state.list.Load() == nil || w.asks >= mostAsks {
		return
	}
	w.asks++
	for _, name := range neighbours {
		w.mesh.mesh.Send(name, &peer.Envelope{Body: &peer.Envelope_NewsRequest{NewsRequest: &peer.NewsRequest{}}})
	}
}

// answer tells a VM what the engines hold that are read here.
func (w *partWatcher) answer(from string) {
	w.mu.Lock()
	ids := slices.Sorted(maps.Keys(w.reading))
	w.mu.Unlock()
	go w.dispatch.Read(func(_ time.Duration, core *routing.Core) {
		for _, id := range ids {
			if epoch, keys := core.Held(id); len(keys) > 0 {
				w.mesh.mesh.Send(from, &peer.Envelope{Body: &peer.Envelope_News{News: &peer.News{Upstream: id, Epoch: epoch, Added: keys}}})
			}
		}
	})
}

// mine reports whether this VM has the highest score for an engine among the VMs with callers, those of its data centre first.
func (w *partWatcher) mine(u *directory.Upstream) bool {
	roster := w.state.vms.Load()
	best, bestScore, bestNear := w.settings.Name, score(w.settings.Name, u.ID), w.settings.Centre == u.Centre
	for _, vm := range roster.GetVms() {
		if !vm.GetCallers() || vm.GetName() == w.settings.Name {
			continue
		}
		near, s := vm.GetCentre() == u.Centre, score(vm.GetName(), u.ID)
		if near && !bestNear || near == bestNear && s > bestScore {
			best, bestScore, bestNear = vm.GetName(), s, near
		}
	}
	return best == w.settings.Name
}

func score(vm, upstream string) uint64 {
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(vm + " " + upstream))
	return hash.Sum64()
}

// read asks one engine for its events until the context ends.
func (w *partWatcher) read(ctx context.Context, u *directory.Upstream) {
	codec := w.state.adapter.Parts
	since, epoch, lost := uint64(0), uint64(0), false
	for ctx.Err() == nil {
		status, body, err := call(ctx, w.pool, u.Address, codec.Request(u.ID, since, eventsWait), eventsLimit)
		var events PartEvents
		if err == nil {
			events, err = codec.Answer(status, body)
		}
		if err != nil {
			if !lost && ctx.Err() == nil {
				w.log.WithFields(log.Fields{"upstream": u.ID, "cause": err.Error()}).Info("cache events not read")
			}
			if !lost {
				w.tellStore(u, true)
			}
			lost = true
			pause(ctx, eventsRetry)
			continue
		}
		if lost {
			w.log.WithField("upstream", u.ID).Info("cache events read again")
			w.tellStore(u, false)
			lost = false
		}
		reset := events.Lost || epoch != 0 && events.Epoch != epoch
		if events.Epoch != epoch && epoch != 0 {
			since = 0
		} else {
			since = events.Next
		}
		epoch = events.Epoch
		if len(events.Events) > 0 || reset {
			w.share(u.ID, events, reset)
		}
		pause(ctx, eventsPause)
	}
}

// tellStore tells this VM and the others that a store of KV cache does not answer, or does again.
func (w *partWatcher) tellStore(u *directory.Upstream, down bool) {
	if !strings.HasPrefix(u.ID, "store/") {
		return
	}
	news := &peer.News{Upstream: u.ID, Down: down, Reset_: true}
	hearNews(w.dispatch, news)
	w.broadcast(news)
}

func pause(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// share tells the own routing core and the other VMs with callers.
func (w *partWatcher) share(id string, events PartEvents, reset bool) {
	news := &peer.News{Upstream: id, Epoch: events.Epoch, Reset_: reset}
	last := map[uint64]bool{}
	var order []uint64
	for _, e := range events.Events {
		key := routing.PartKey(e.Salt, e.ID)
		if _, seen := last[key]; !seen {
			order = append(order, key)
		}
		last[key] = e.Added
	}
	for _, key := range order {
		if last[key] {
			news.Added = append(news.Added, key)
		} else {
			news.Removed = append(news.Removed, key)
		}
	}
	hearNews(w.dispatch, news)
	w.broadcast(news)
}

func (w *partWatcher) broadcast(news *peer.News) {
	envelope := &peer.Envelope{Body: &peer.Envelope_News{News: news}}
	w.mesh.broadcast(envelope)
}

// hearNews tells the routing core what an engine holds.
func hearNews(d *dispatch.Dispatcher, news *peer.News) {
	d.Tell(routing.StoreDown{Store: news.GetUpstream(), Down: news.GetDown()})
	d.Tell(routing.Parts{
		Upstream: news.GetUpstream(), Epoch: news.GetEpoch(), Reset: news.GetReset_(), Added: slices.Clone(news.GetAdded()), Removed: slices.Clone(news.GetRemoved()),
	})
}
