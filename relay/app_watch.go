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

// upstreamPollers polls load reports and the platform's list, and notifies the routing core.
type upstreamPollers struct {
	settings    settings.Settings
	host        *control.Host
	d           *dispatch.Dispatcher
	client      *upstream.Client
	effective   *effectiveUpstreams
	orderSender *orderSender
	log         log.Interface
}

// runPollers polls load reports and the platform's list, and sends this VM's digest to the peers in the setting neighbours.
func runPollers(lifecycle fx.Lifecycle, s settings.Settings, host *control.Host, d *dispatch.Dispatcher, client *upstream.Client, mesh *peer.Mesh, effective *effectiveUpstreams, sender *orderSender, logger log.Interface) {
	p := &upstreamPollers{settings: s, host: host, d: d, client: client, effective: effective, orderSender: sender, log: logger}
	ctx, cancel := context.WithCancel(context.Background())
	var group sync.WaitGroup
	lifecycle.Append(fx.Hook{
		OnStart: func(context.Context) error {
			group.Go(func() { upstream.Poll(ctx, loadInterval, p.pollLoads) })
			if s.Platform.IsValid() {
				group.Go(func() { upstream.Poll(ctx, listInterval, p.pollList) })
			}
			group.Go(func() { upstream.Poll(ctx, digestInterval, func(context.Context) { p.sendDigest(mesh) }) })
			return nil
		},
		OnStop: func(context.Context) error {
			cancel()
			group.Wait()
			return nil
		},
	})
}

func (p *upstreamPollers) upstreams() []catalogue.Upstream {
	if c := p.host.View().Catalogue; c != nil {
		return c.Upstreams
	}
	return nil
}

// pollLoads requests the load reports of all upstreams concurrently, so that one slow upstream does not delay the others.
func (p *upstreamPollers) pollLoads(ctx context.Context) {
	var group sync.WaitGroup
	for _, u := range p.upstreams() {
		group.Go(func() {
			requestedAt := p.host.Now()
			load, err := p.client.Load(ctx, u.Address)
			if err != nil {
				p.log.WithField("upstream", u.Name).WithField("cause", err.Error()).Debug("load report missing")
				return
			}
			// The routing core does not place requests to plain services; the client itself records that one is leaving.
			if u.Kind != catalogue.Engine {
				return
			}
			report := reportOf(u, load, requestedAt)
			p.effective.receiveReport(report)
			p.orderSender.receiveReport(report)
			p.d.Notify(routing.LoadReport{
				Upstream: u.Name, Incarnation: load.Incarnation, Outstanding: load.Running + load.Waiting, Queued: load.Waiting,
				Leaving: load.Leaving, Age: time.Duration(load.Age) * time.Millisecond,
			})
		})
	}
	group.Wait()
}

// pollList notifies the routing core of upstreams that the platform is about to remove.
func (p *upstreamPollers) pollList(ctx context.Context) {
	members, err := p.client.List(ctx, p.settings.Platform)
	if err != nil {
		p.log.WithField("cause", err.Error()).Warn("platform list missing")
		return
	}
	states := map[string]string{}
	for _, member := range members {
		states[member.Name] = member.State
	}
	for _, u := range p.upstreams() {
		if state, ok := states[u.Name]; ok {
			p.d.Notify(routing.Leaving{Upstream: u.Name, Leaving: state == upstream.LeavingState})
		}
	}
}

func (p *upstreamPollers) sendDigest(mesh *peer.Mesh) {
	if len(p.settings.Neighbours) == 0 {
		return
	}
	digest := p.d.Digest()
	for _, neighbour := range p.settings.Neighbours {
		mesh.Send(neighbour.Name, digest)
	}
}
