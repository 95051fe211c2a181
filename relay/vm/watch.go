package vm

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/apex/log"
	"go.uber.org/fx"

	"github.com/chicoryrelay/chicoryrelay/relay/buffer"
	"github.com/chicoryrelay/chicoryrelay/relay/connection"
	"github.com/chicoryrelay/chicoryrelay/relay/control"
	"github.com/chicoryrelay/chicoryrelay/relay/directory"
	"github.com/chicoryrelay/chicoryrelay/relay/dispatch"
	"github.com/chicoryrelay/chicoryrelay/relay/settings"
)

const (
	// listInterval is the interval at which the leader reads the platform's list: a leaving upstream must be known within a few
	// seconds, and each call has a cost.
	listInterval = 700 * time.Millisecond
	// maxListAge is the age of the leader's list from which a VM reads the list itself.
	maxListAge = 2500 * time.Millisecond
	// maxWantedListAge is that age while requests wait for a newer list: the leader's interval and the renewal of a lease are over.
	maxWantedListAge = 1200 * time.Millisecond
	// listPageTimeout limits the request of one page.
	listPageTimeout = time.Second
	// maxListed and maxListPages limit the upstreams and pages of one reading of the list, whose pages could name a next one without end.
	maxListed    = 20_000
	maxListPages = 1_000
	// maxResponseBytes limits the response to a call that the VM makes for itself, rather than for a caller.
	maxResponseBytes = 4 << 20
	// maxOwnBytes limits the responses to all such calls together, beyond buffer.FreeBytes each.
	maxOwnBytes = 8 << 20
	// digestInterval is the interval at which VMs with callers exchange digests of their load.
	digestInterval = 150 * time.Millisecond
	// peersPerDigestInterval is the number of peers in the cell per which the time between two digests grows by one digestInterval.
	peersPerDigestInterval = 8
)

// watcher reads the platform's list and sends digests of this VM's load to its cell.
type watcher struct {
	settings    settings.Settings
	state       *state
	host        *control.Host
	pool        *connection.Pool
	mesh        *peerMesh
	dispatch    *dispatch.Dispatcher
	log         log.Interface
	failing     bool
	digestTicks int
	room        roomLog
	listBackoff listBackoff
	partialList partialList
}

func runWatch(lifecycle fx.Lifecycle, s settings.Settings, st *state, host *control.Host, pool *connection.Pool, m *peerMesh, d *dispatch.Dispatcher, logger log.Interface) {
	w := &watcher{settings: s, state: st, host: host, pool: pool, mesh: m, dispatch: d, log: logger}
	ctx, cancel := context.WithCancel(context.Background())
	lifecycle.Append(fx.Hook{
		OnStart: func(context.Context) error {
			go func() {
				w.list(ctx)
				runEvery(ctx, listInterval, func() { w.list(ctx) })
			}()
			if s.Listeners.Callers.IsValid() {
				go runEvery(ctx, digestInterval, w.digest)
			}
			return nil
		},
		OnStop: func(context.Context) error {
			cancel()
			return nil
		},
	})
}

// isLeader reports whether this VM is the leader that grants leases.
func isLeader(host *control.Host) (isLeader bool) {
	host.Inspect(func(_ control.ClockReading, node *control.Node) {
		isLeader = node.Voter() != nil && node.Voter().Leads()
	})
	return isLeader
}

// list reads the platform's list on the leader, and on a VM without a data folder whose board from the leader is older than
// maxListAge. Other control VMs do not read it.
func (w *watcher) list(ctx context.Context) {
	leader := w.settings.Data != "" && isLeader(w.host)
	now := w.host.Now()
	if !leader {
		if w.settings.Data != "" {
			return
		}
		if w.state.list.Load() != nil && !w.isOverdue(now) {
			w.listBackoff = listBackoff{}
			return
		}
		if !w.listBackoff.due(now) {
			return
		}
	}
	maxAge := maxPartialAge
	if leader {
		maxAge = maxLeaderPartialAge
	}
	startedAt := w.partialList.begin(now, maxAge)
	if err := w.readPages(ctx); err != nil {
		if !errors.Is(err, ErrRateLimited) {
			// The token of the next page may be invalid after another error.
			w.partialList = partialList{}
		}
		w.listBackoff.failed(w.host.Now(), rand.Float64())
		w.log.WithField("cause", err.Error()).WithField("age", now-w.state.listedAt).WithField("upstreams", len(w.partialList.upstreams)).Warn("platform list not read")
		w.failing = true
		return
	}
	w.listBackoff.succeeded(w.host.Now(), rand.Float64())
	upstreams := w.partialList.upstreams
	w.partialList = partialList{}
	if w.failing {
		w.log.WithField("upstreams", len(upstreams)).Info("platform list read again")
		w.failing = false
	}
	// Who sees the reading must see its list.
	w.state.setList(upstreams, startedAt, "list")
	w.state.reading.Store(newReading(upstreams, startedAt))
	if leader {
		w.host.PublishBoard(directory.Encode(w.state.list.Load().Upstreams), startedAt)
	}
}

// isOverdue reports whether the leader's list is so old that this VM reads the list itself.
func (w *watcher) isOverdue(now time.Duration) bool {
	limit := maxListAge
	if wantedAt := time.Duration(w.state.listWantedAt.Load()); wantedAt > 0 && now-wantedAt < listInterval {
		limit = maxWantedListAge
	}
	return now-w.host.View().ListedAt >= limit
}

// readPages reads the pages that are still missing.
func (w *watcher) readPages(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, maxPartialAge)
	defer cancel()
	codec := w.state.adapter.List
	for range maxListPages {
		status, body, err := call(ctx, w.pool, w.settings.Platform, codec.Request(w.partialList.nextPage), listPageTimeout)
		if err != nil {
			return err
		}
		upstreams, next, err := codec.Decode(status, body)
		if err != nil {
			return err
		}
		if w.partialList.add(upstreams, next) {
			return nil
		}
		if len(w.partialList.upstreams) > maxListed {
			break
		}
	}
	return fmt.Errorf("the platform's list does not end within %d upstreams and %d pages; check what answers at the setting platform", maxListed, maxListPages)
}

// ownResponses has the memory of the responses to the calls that the process makes for itself.
var ownResponses = buffer.NewPool(maxOwnBytes)

// call makes a call for the VM itself and reads the whole response, which is charged to ownResponses while it is read: one without end is
// never returned.
func call(ctx context.Context, pool *connection.Pool, address netip.AddrPort, r *connection.Request, limit time.Duration) (int, []byte, error) {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	response, err := pool.Do(ctx, address, r)
	if err != nil {
		return 0, nil, err
	}
	defer response.Close()
	memory := ownResponses.Reserve()
	defer memory.Release()
	body, err := memory.ReadAll(response, maxResponseBytes)
	if err != nil {
		return 0, nil, fmt.Errorf("response of %s: %w", address, err)
	}
	return response.Status, body, nil
}

// intervalFactor returns the factor by which a cell with the given number of peers spaces its periodic messages, which bounds their
// rate at each VM.
func intervalFactor(peers int) int { return 1 + peers/peersPerDigestInterval }

// digest sends the cell the requests in progress of this VM and its hot prefixes.
func (w *watcher) digest() {
	w.room.update(w.state.now(), w.dispatch, w.log)
	peers := cellPeers(w.state.vms.Load(), w.settings.Name, w.settings.Centre, w.settings.Discovered.Centres)
	if len(peers) == 0 {
		return
	}
	w.digestTicks++
	if w.digestTicks%intervalFactor(len(peers)) != 0 {
		return
	}
	envelope := w.dispatch.Digest()
	envelope.GetDigest().Replicas = w.mesh.speeds.report()
	w.mesh.mesh.Broadcast(peers, envelope)
}
