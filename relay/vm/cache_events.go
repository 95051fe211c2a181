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
	// longPollWait is how long an engine may hold a request for cache events until it has some. It bounds the time after which a silent
	// engine is noticed without any request.
	longPollWait = 250 * time.Millisecond
	// longPollGrace is the time beyond longPollWait from which a request is overlong: the round trip between regions and the response.
	longPollGrace = 150 * time.Millisecond
	// longPollTimeout limits such a request; the next one goes over another connection.
	longPollTimeout = longPollWait + 500*time.Millisecond
	// storePollWait and storePollTimeout are those of stores of KV cache, which may be busy for longer.
	storePollWait    = 900 * time.Millisecond
	storePollTimeout = storePollWait + time.Second
	// silentPollPause is the pause after a request that an engine did not answer in time, so that its return is noticed soon.
	silentPollPause = 200 * time.Millisecond
	// longPollPause is the least pause between two successful requests to one engine, so that events arrive in batches.
	longPollPause = 120 * time.Millisecond
	// longPollRetryPause is the pause after a failed request.
	longPollRetryPause = time.Second
	// assignInterval is the interval at which a VM updates the set of engines that it watches.
	assignInterval = 500 * time.Millisecond
)

// ErrRateLimited is returned for a call that an engine or the platform rejected because of its rate or reader limit.
var ErrRateLimited = errors.New("too many calls at the moment; try again later")

// CacheEvent reports that an engine has added a prompt part to its cache, or removed it.
type CacheEvent struct {
	Salt, ID string
	Added    bool
}

// CacheEvents is a batch of cache events from a sequence number on.
type CacheEvents struct {
	// Epoch identifies the incarnation of the cache; sequence numbers start again with a new one.
	Epoch uint64
	// Next is the sequence number to request next.
	Next uint64
	// Lost is set if events before the first one are missing.
	Lost   bool
	Events []CacheEvent
}

// CacheEventCodec encodes requests for the cache events of engines and decodes the responses.
type CacheEventCodec struct {
	// Request returns a long-poll request for the events from sequence number since on, which the engine holds up to wait.
	Request func(upstream string, since uint64, wait time.Duration) *connection.Request
	// Decode decodes the events; ErrRateLimited means that the engine has too many readers.
	Decode func(status int, body []byte) (CacheEvents, error)
}

// cacheWatcher reads the cache events of the engines and stores assigned to this VM and shares them with its cell. Rendezvous
// hashing assigns each engine to one VM, of its own data centre if possible, so that an engine has few readers at any system size.
type cacheWatcher struct {
	settings settings.Settings
	state    *state
	pool     *connection.Pool
	mesh     *peerMesh
	dispatch *dispatch.Dispatcher
	log      log.Interface
	silence  *silenceWatcher

	mu sync.Mutex
	// cancelReader has the cancel functions of the running readers, by upstream.
	cancelReader map[string]context.CancelFunc
	// cacheRequests counts the requests for cache contents sent to peers; the first may find no session.
	cacheRequests int
}

func runCacheWatcher(lifecycle fx.Lifecycle, s settings.Settings, st *state, pool *connection.Pool, m *peerMesh, d *dispatch.Dispatcher, silent *silenceWatcher, logger log.Interface) {
	if !s.Listeners.Callers.IsValid() || routing.Policy(s.Routing.Policy) != routing.Reuse {
		return
	}
	w := &cacheWatcher{settings: s, state: st, pool: pool, mesh: m, dispatch: d, log: logger, silence: silent, cancelReader: map[string]context.CancelFunc{}}
	m.onCacheRequest = w.sendCacheContents
	ctx, cancel := context.WithCancel(context.Background())
	lifecycle.Append(fx.Hook{
		OnStart: func(context.Context) error {
			go runEvery(ctx, assignInterval, func() {
				w.requestCacheContents()
				w.assignReaders(ctx)
			})
			return nil
		},
		OnStop: func(context.Context) error {
			cancel()
			return nil
		},
	})
}

// assignReaders starts readers for the engines and stores assigned to this VM and stops all others.
func (w *cacheWatcher) assignReaders(ctx context.Context) {
	table, list := w.state.table.Load(), w.state.list.Load()
	if table == nil || list == nil {
		return
	}
	assigned := map[string]*directory.Upstream{}
	for i := range list.Upstreams {
		u := &list.Upstreams[i]
		if service := table.Service(u.Service); service != nil && service.Engine != nil && w.isAssigned(u) {
			assigned[u.ID] = u
		}
	}
	for i := range table.State.Services {
		service := &table.State.Services[i]
		if service.Store == nil {
			continue
		}
		u := &directory.Upstream{ID: storeName(service), Service: service.Name, Address: service.Store.Address, Centre: service.Store.Centre}
		if w.isAssigned(u) {
			assigned[u.ID] = u
		}
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	for id, u := range assigned {
		if w.cancelReader[id] == nil {
			readerContext, cancel := context.WithCancel(ctx)
			w.cancelReader[id] = cancel
			w.log.WithField("upstream", id).Info("cache events read here")
			go w.readEvents(readerContext, u)
		}
	}
	for id, cancel := range w.cancelReader {
		if assigned[id] == nil {
			cancel()
			delete(w.cancelReader, id)
		}
	}
}

// maxCacheRequests is the number of times that a VM requests the cache contents of engines after its start.
const maxCacheRequests = 3

// requestCacheContents requests cache contents from the VMs of the cell, so that a restarted VM can place requests by cached prefixes.
func (w *cacheWatcher) requestCacheContents() {
	peers := cellPeers(w.state.vms.Load(), w.settings.Name, w.settings.Centre, w.settings.Discovered.Centres)
	if len(peers) == 0 || w.state.list.Load() == nil || w.cacheRequests >= maxCacheRequests {
		return
	}
	w.cacheRequests++
	for _, name := range peers {
		w.mesh.mesh.Send(name, &peer.Envelope{Body: &peer.Envelope_NewsRequest{NewsRequest: &peer.NewsRequest{}}})
	}
}

// sendCacheContents sends a VM the cache contents of the engines read here.
func (w *cacheWatcher) sendCacheContents(from string) {
	w.mu.Lock()
	ids := slices.Sorted(maps.Keys(w.cancelReader))
	w.mu.Unlock()
	go w.dispatch.Inspect(func(_ time.Duration, core *routing.Core) {
		for _, id := range ids {
			if epoch, keys := core.CachedParts(id); len(keys) > 0 {
				w.mesh.mesh.Send(from, &peer.Envelope{Body: &peer.Envelope_News{News: &peer.News{Upstream: id, Epoch: epoch, Added: keys}}})
			}
		}
	})
}

// isAssigned reports whether this VM has the highest rendezvous score for an upstream among the VMs with callers; VMs in the
// upstream's data centre come first.
func (w *cacheWatcher) isAssigned(u *directory.Upstream) bool {
	roster := w.state.vms.Load()
	best, bestScore, bestLocal := w.settings.Name, rendezvousScore(w.settings.Name, u.ID), w.settings.Centre == u.Centre
	for _, vm := range roster.GetVms() {
		if !vm.GetCallers() || vm.GetName() == w.settings.Name {
			continue
		}
		local, s := vm.GetCentre() == u.Centre, rendezvousScore(vm.GetName(), u.ID)
		if local && !bestLocal || local == bestLocal && s > bestScore {
			best, bestScore, bestLocal = vm.GetName(), s, local
		}
	}
	return best == w.settings.Name
}

func rendezvousScore(vm, upstream string) uint64 {
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(vm + " " + upstream))
	return hash.Sum64()
}

// readEvents long-polls the cache events of an upstream until the context ends.
func (w *cacheWatcher) readEvents(ctx context.Context, u *directory.Upstream) {
	codec := w.state.adapter.CacheEvents
	since, epoch, failing := uint64(0), uint64(0), false
	for ctx.Err() == nil {
		status, body, err := w.poll(ctx, u, since)
		var events CacheEvents
		if err == nil {
			events, err = codec.Decode(status, body)
		}
		if err != nil {
			if !failing && ctx.Err() == nil {
				w.log.WithFields(log.Fields{"upstream": u.ID, "cause": err.Error()}).Info("cache events not read")
			}
			if !failing {
				w.publishStoreState(u, true)
			}
			failing = true
			sleep(ctx, retryPause(u, err))
			continue
		}
		if failing {
			w.log.WithField("upstream", u.ID).Info("cache events read again")
			w.publishStoreState(u, false)
			failing = false
		}
		reset := events.Lost || epoch != 0 && events.Epoch != epoch
		if events.Epoch != epoch && epoch != 0 {
			since = 0
		} else {
			since = events.Next
		}
		epoch = events.Epoch
		if len(events.Events) > 0 || reset {
			w.publishEvents(u.ID, events, reset)
		}
		sleep(ctx, w.pollPause())
	}
}

// retryPause returns the pause after a failed request.
func retryPause(u *directory.Upstream, err error) time.Duration {
	if isTimeout(err) && !isStore(u) {
		return silentPollPause
	}
	return longPollRetryPause
}

// isStore reports whether an upstream of the watcher is a store of KV cache.
func isStore(u *directory.Upstream) bool { return strings.HasPrefix(u.ID, "store/") }

// poll requests the cache events of an upstream from a sequence number on. A poll that an engine has not answered shortly after the wait
// makes it suspect of being silent.
func (w *cacheWatcher) poll(ctx context.Context, u *directory.Upstream, since uint64) (int, []byte, error) {
	codec := w.state.adapter.CacheEvents
	if isStore(u) {
		return call(ctx, w.pool, u.Address, codec.Request(u.ID, since, storePollWait), storePollTimeout)
	}
	sent := time.Now()
	timer := time.AfterFunc(longPollWait+longPollGrace, func() { w.silence.overlong(u.ID, sent) })
	defer timer.Stop()
	status, body, err := call(ctx, w.pool, u.Address, codec.Request(u.ID, since, longPollWait), longPollTimeout)
	if err == nil {
		w.silence.received(u.ID)
	}
	return status, body, err
}

// maxPollPauseFactor bounds the pause between two requests for cache events, so that they stay newer than what they report of.
const maxPollPauseFactor = 3

// pollPause returns the pause between two successful requests to one engine; it grows with the cell, as each batch of events is sent
// to all of it.
func (w *cacheWatcher) pollPause() time.Duration {
	peers := w.mesh.broadcastPeers.Load()
	if peers == nil {
		return longPollPause
	}
	return longPollPause * time.Duration(min(maxPollPauseFactor, intervalFactor(len(*peers))))
}

// publishStoreState notifies this VM and its cell that a KV cache store is down or up again.
func (w *cacheWatcher) publishStoreState(u *directory.Upstream, down bool) {
	if !isStore(u) {
		return
	}
	update := &peer.News{Upstream: u.ID, Down: down, Reset_: true}
	applyCacheUpdate(w.dispatch, update)
	w.broadcast(update)
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// publishEvents sends the net effect of cache events to the routing core and the other VMs of the cell.
func (w *cacheWatcher) publishEvents(id string, events CacheEvents, reset bool) {
	update := &peer.News{Upstream: id, Epoch: events.Epoch, Reset_: reset}
	last := map[uint64]bool{}
	var keys []uint64
	for _, e := range events.Events {
		key := routing.PartKey(e.Salt, e.ID)
		if _, seen := last[key]; !seen {
			keys = append(keys, key)
		}
		last[key] = e.Added
	}
	for _, key := range keys {
		if last[key] {
			update.Added = append(update.Added, key)
		} else {
			update.Removed = append(update.Removed, key)
		}
	}
	applyCacheUpdate(w.dispatch, update)
	w.broadcast(update)
}

func (w *cacheWatcher) broadcast(update *peer.News) {
	envelope := &peer.Envelope{Body: &peer.Envelope_News{News: update}}
	w.mesh.broadcast(envelope)
}

// applyCacheUpdate passes a cache update to the routing core.
func applyCacheUpdate(d *dispatch.Dispatcher, update *peer.News) {
	d.Notify(routing.StoreDown{Store: update.GetUpstream(), Down: update.GetDown()})
	d.Notify(routing.PartUpdate{
		Upstream: update.GetUpstream(), Epoch: update.GetEpoch(), Reset: update.GetReset_(), Added: slices.Clone(update.GetAdded()), Removed: slices.Clone(update.GetRemoved()),
	})
}
