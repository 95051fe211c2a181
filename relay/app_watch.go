package main

import (
	"context"
	"sync"
	"time"

	"github.com/apex/log"
	"go.uber.org/fx"

	"github.com/chicoryrelay/chicoryrelay/relay/catalogue"
	"github.com/chicoryrelay/chicoryrelay/relay/control"
	"github.com/chicoryrelay/chicoryrelay/relay/dispatch"
	"github.com/chicoryrelay/chicoryrelay/relay/peer"
	"github.com/chicoryrelay/chicoryrelay/relay/routing"
	"github.com/chicoryrelay/chicoryrelay/relay/settings"
	"github.com/chicoryrelay/chicoryrelay/relay/upstream"
)

const (
	loadInterval   = 500 * time.Millisecond
	listInterval   = time.Second
	digestInterval = time.Second
)

// watches reads what others say of the upstreams and tells the routing core.
type watches struct {
	settings settings.Settings
	host     *control.Host
	d        *dispatch.Dispatcher
	client   *upstream.Client
	set      *effective
	orders   *orders
	log      log.Interface
}

// runWatches polls load reports and the platform's list, and sends this VM's digest to its neighbours.
func runWatches(lifecycle fx.Lifecycle, s settings.Settings, host *control.Host, d *dispatch.Dispatcher, client *upstream.Client, mesh *peer.Mesh, set *effective, o *orders, logger log.Interface) {
	w := &watches{settings: s, host: host, d: d, client: client, set: set, orders: o, log: logger}
	ctx, cancel := context.WithCancel(context.Background())
	var group sync.WaitGroup
	lifecycle.Append(fx.Hook{
		OnStart: func(context.Context) error {
			group.Go(func() { upstream.Poll(ctx, loadInterval, w.loads) })
			if s.Platform.IsValid() {
				group.Go(func() { upstream.Poll(ctx, listInterval, w.list) })
			}
			group.Go(func() { upstream.Poll(ctx, digestInterval, func(context.Context) { w.digest(mesh) }) })
			return nil
		},
		OnStop: func(context.Context) error {
			cancel()
			group.Wait()
			return nil
		},
	})
}

func (w *watches) upstreams() []catalogue.Upstream {
	if c := w.host.View().Catalogue; c != nil {
		return c.Upstreams
	}
	return nil
}

// loads asks all upstreams at once, so that a silent one does not make the others' reports late.
func (w *watches) loads(ctx context.Context) {
	var group sync.WaitGroup
	for _, u := range w.upstreams() {
		group.Go(func() {
			asked := w.host.Now()
			load, err := w.client.Load(ctx, u.Address)
			if err != nil {
				w.log.WithField("upstream", u.Name).WithField("cause", err.Error()).Debug("load report missing")
				return
			}
			// Services are not placed by the routing core; the client keeps that one is leaving.
			if u.Kind != catalogue.Engine {
				return
			}
			report := reportOf(u, load, asked)
			w.set.hear(report)
			w.orders.hear(report)
			w.d.Notify(routing.Load{
				Upstream: u.Name, Incarnation: load.Incarnation, Outstanding: load.Running + load.Waiting, Queued: load.Waiting,
				Leaving: load.Leaving, Age: time.Duration(load.Age) * time.Millisecond,
			})
		})
	}
	group.Wait()
}

// list tells the core which upstreams the platform is about to take away.
func (w *watches) list(ctx context.Context) {
	members, err := w.client.List(ctx, w.settings.Platform)
	if err != nil {
		w.log.WithField("cause", err.Error()).Warn("platform list missing")
		return
	}
	states := map[string]string{}
	for _, member := range members {
		states[member.Name] = member.State
	}
	for _, u := range w.upstreams() {
		if state, ok := states[u.Name]; ok {
			w.d.Notify(routing.Leaving{Upstream: u.Name, Leaving: state == upstream.LeavingState})
		}
	}
}

func (w *watches) digest(mesh *peer.Mesh) {
	if len(w.settings.Neighbours) == 0 {
		return
	}
	digest := w.d.Digest()
	for _, neighbour := range w.settings.Neighbours {
		mesh.Send(neighbour.Name, digest)
	}
}
