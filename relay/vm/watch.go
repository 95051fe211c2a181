package vm

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/apex/log"
	"go.uber.org/fx"

	"github.com/chicoryrelay/chicoryrelay/relay/connection"
	"github.com/chicoryrelay/chicoryrelay/relay/control"
	"github.com/chicoryrelay/chicoryrelay/relay/directory"
	"github.com/chicoryrelay/chicoryrelay/relay/dispatch"
	"github.com/chicoryrelay/chicoryrelay/relay/settings"
)

const (
	// listInterval is the interval at which the leader reads the platform's list: a leaving upstream must be known within a few
	// seconds, and each reading is paid for.
	listInterval = 700 * time.Millisecond
	// listSilence is the age of the leader's reading from which a VM reads the list itself.
	listSilence = 2500 * time.Millisecond
	// listLimit is the time limit of one page.
	listLimit = time.Second
	// answerLimit bounds the bytes of an answer to a call of the product's own.
	answerLimit = 4 << 20
	// digestInterval is the interval at which VMs with callers share their view.
	digestInterval = 150 * time.Millisecond
	// neighboursPerTurn is the number of neighbours for each of which digestInterval is kept.
	neighboursPerTurn = 8
)

// watcher reads the platform's list and shares this VM's view with others.
type watcher struct {
	settings settings.Settings
	state    *state
	host     *control.Host
	pool     *connection.Pool
	mesh     *meshes
	dispatch *dispatch.Dispatcher
	log      log.Interface
	lost     bool
	turn     int
	reading  reading
	partial  partial
}

func runWatch(lifecycle fx.Lifecycle, s settings.Settings, st *state, host *control.Host, pool *connection.Pool, m *meshes, d *dispatch.Dispatcher, logger log.Interface) {
	w := &watcher{settings: s, state: st, host: host, pool: pool, mesh: m, dispatch: d, log: logger}
	ctx, cancel := context.WithCancel(context.Background())
	lifecycle.Append(fx.Hook{
		OnStart: func(context.Context) error {
			go func() {
				w.list(ctx)
				every(ctx, listInterval, func() { w.list(ctx) })
			}()
			if s.Listeners.Callers.IsValid() {
				go every(ctx, digestInterval, w.digest)
			}
			return nil
		},
		OnStop: func(context.Context) error {
			cancel()
			return nil
		},
	})
}

// leads reports whether this VM is the leader that lease holders listen to.
func leads(host *control.Host) (leads bool) {
	host.Read(func(_ control.Moment, node *control.Node) {
		leads = node.Voter() != nil && node.Voter().Leads()
	})
	return leads
}

// list reads the platform's list on the leader, and on a VM that has not heard of the leader's reading lately.
func (w *watcher) list(ctx context.Context) {
	leader := w.settings.Data != "" && leads(w.host)
	now := w.host.Now()
	if !leader {
		if w.settings.Data != "" {
			return
		}
		if w.state.list.Load() != nil && now-w.host.View().Listed < listSilence {
			w.reading = reading{}
			return
		}
		if !w.reading.due(now) {
			return
		}
	}
	limit := partialLimit
	if leader {
		limit = leaderPartialLimit
	}
	asked := w.partial.begin(now, limit)
	if err := w.pages(ctx); err != nil {
		if !errors.Is(err, ErrBusy) {
			// The mark of the next page may mean nothing any more.
			w.partial = partial{}
		}
		w.reading.failed(w.host.Now(), rand.Float64())
		w.log.WithField("cause", err.Error()).WithField("age", now-w.state.listed).WithField("upstreams", len(w.partial.upstreams)).Warn("platform list not read")
		w.lost = true
		return
	}
	w.reading.succeeded(w.host.Now(), rand.Float64())
	upstreams := w.partial.upstreams
	w.partial = partial{}
	if w.lost {
		w.log.WithField("upstreams", len(upstreams)).Info("platform list read again")
		w.lost = false
	}
	w.state.listedNow(upstreams, asked, "list")
	if leader {
		w.host.Publish(directory.Board(w.state.list.Load().Upstreams), asked)
	}
}

// pages reads the pages that are still missing.
func (w *watcher) pages(ctx context.Context) error {
	codec := w.state.adapter.List
	for {
		status, body, err := call(ctx, w.pool, w.settings.Platform, codec.Request(w.partial.page), listLimit)
		if err != nil {
			return err
		}
		upstreams, next, err := codec.Answer(status, body)
		if err != nil {
			return err
		}
		if w.partial.add(upstreams, next) {
			return nil
		}
	}
}

// call makes one call of the product's own and reads its whole answer.
func call(ctx context.Context, pool *connection.Pool, address netip.AddrPort, r *connection.Request, limit time.Duration) (int, []byte, error) {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	answer, err := pool.Do(ctx, address, r)
	if err != nil {
		return 0, nil, err
	}
	defer answer.Close()
	body, err := io.ReadAll(io.LimitReader(answer, answerLimit))
	if err != nil {
		return 0, nil, err
	}
	if len(body) == answerLimit {
		return 0, nil, fmt.Errorf("the answer of %s is larger than %d bytes", address, answerLimit)
	}
	return answer.Status, body, nil
}

// digest tells the neighbours what this VM has in progress and which prompts it sees often.
func (w *watcher) digest() {
	neighbours := cell(w.state.vms.Load(), w.settings.Name, w.settings.Centre, w.settings.Discovered.Centres)
	if len(neighbours) == 0 {
		return
	}
	// The interval grows with the neighbours, so that the messages that a VM sends and gets stay few.
	w.turn++
	if w.turn%(1+len(neighbours)/neighboursPerTurn) != 0 {
		return
	}
	digest := w.dispatch.Digest()
	for _, name := range neighbours {
		w.mesh.mesh.Send(name, digest)
	}
}
