package main

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/apex/log"
	"go.uber.org/fx"

	"github.com/chicoryrelay/chicoryrelay/relay/catalogue"
	"github.com/chicoryrelay/chicoryrelay/relay/control"
	"github.com/chicoryrelay/chicoryrelay/relay/order"
	"github.com/chicoryrelay/chicoryrelay/relay/settings"
	"github.com/chicoryrelay/chicoryrelay/relay/upstream"
)

const (
	orderInterval = 250 * time.Millisecond
	// leaseSlack is how long the lease must last beyond its check, which covers the way from the control goroutine to the first byte.
	leaseSlack = 200 * time.Millisecond
	// ordersInbox bounds the reports and answers that wait for the goroutine of the orders.
	ordersInbox = 4096
)

// orders makes engines serve what the configuration says; only control VMs have one, and only the holder of the order lease sends.
type orders struct {
	core    *order.Core
	host    *control.Host
	client  *upstream.Client
	limit   time.Duration
	inbox   chan order.Message
	log     log.Interface
	version uint64
	sending sync.WaitGroup
}

// newOrders returns nil on VMs without the replicated log.
func newOrders(s settings.Settings, voter *control.Voter, host *control.Host, client *upstream.Client, logger log.Interface) *orders {
	if voter == nil {
		return nil
	}
	// Half of the transit is for the connection, the other half for a packet that is still on its way when the connection ends.
	limit := s.Times.Transit / 2
	return &orders{
		core: order.New(
			order.WithMaxLoads(s.Limits.Loads), order.WithMaxTransit(s.Times.Transit), order.WithSendWindow(limit), order.WithMaxLoadTime(s.Times.Load),
		),
		host: host, client: client, limit: limit, inbox: make(chan order.Message, ordersInbox), log: logger,
	}
}

// runOrders steps the core until the VM shuts down.
func runOrders(lifecycle fx.Lifecycle, o *orders) {
	if o == nil {
		return
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	lifecycle.Append(fx.Hook{
		OnStart: func(context.Context) error {
			go func() {
				defer close(done)
				o.loop(ctx)
			}()
			return nil
		},
		OnStop: func(context.Context) error {
			cancel()
			<-done
			o.sending.Wait()
			return nil
		},
	})
}

// hear takes a load report; a full inbox loses it, and the next poll brings another.
func (o *orders) hear(report order.Report) {
	if o == nil {
		return
	}
	select {
	case o.inbox <- report:
	default:
	}
}

func (o *orders) loop(ctx context.Context) {
	ticker := time.NewTicker(orderInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case m := <-o.inbox:
			o.core.Step(o.host.Now(), m)
		case <-ticker.C:
			o.tick(ctx)
		}
	}
}

func (o *orders) tick(ctx context.Context) {
	if c := o.host.View().Catalogue; c != nil && c.Version != o.version {
		o.version = c.Version
		o.core.Step(o.host.Now(), order.DesiredState{Version: c.Version, Upstreams: c.Upstreams})
	}
	lease, _ := o.lease(o.version)
	now := o.host.Now()
	o.core.Step(now, lease)
	for _, command := range o.core.Step(now, order.Tick{}).Orders {
		o.sending.Go(func() { o.send(ctx, command) })
	}
}

// lease returns what this VM may send with the given version of the configuration, and until when that holds. A VM without a valid
// lease on the configuration sends nothing, and neither does one whose installed version is not the one in force: a version that is
// only pending may be unknown to the next holder, which would order the engines back.
func (o *orders) lease(version uint64) (lease order.Lease, until time.Duration) {
	o.host.Inspect(func(at control.ClockReading, node *control.Node) {
		later := at.Now + leaseSlack
		voter := node.Voter()
		if !node.Leased(later) || node.Version() != version || voter.Machine().Configuration().InForce() != version {
			return
		}
		number, ok := voter.FencingNumber(later, true)
		if !ok {
			return
		}
		_, open := voter.FencingNumber(at.Now, false)
		lease, until = order.Lease{FencingNumber: number, PreviousEnded: open}, later
	})
	return lease, until
}

func (o *orders) send(ctx context.Context, command order.Order) {
	entry := o.log.WithFields(log.Fields{
		"upstream": command.Upstream, "kind": string(command.Kind), "fencing": command.FencingNumber,
		"model": command.Version.Model, "adapter": command.Version.Adapter, "weights": command.Version.Weights, "role": command.Role,
	})
	permitted := func() bool {
		lease, until := o.lease(o.installed())
		now := o.host.Now()
		return now < until && command.MaySend(now, lease)
	}
	err := o.client.Order(ctx, command.Address, upstream.Order{
		Fencing: command.FencingNumber, Kind: string(command.Kind), Model: command.Version.Model, Adapter: command.Version.Adapter,
		Weights: command.Version.Weights, Role: command.Role,
	}, o.limit, permitted)
	result := resultOf(err)
	if err != nil {
		entry.WithField("cause", err.Error()).Warn("order not confirmed")
	} else {
		entry.Info("order obeyed")
	}
	select {
	case o.inbox <- order.SendResult{Upstream: command.Upstream, ID: command.ID, Result: result}:
	case <-ctx.Done():
	}
}

func (o *orders) installed() uint64 {
	if c := o.host.View().Catalogue; c != nil {
		return c.Version
	}
	return 0
}

func resultOf(err error) order.Result {
	var refused *upstream.RefusedError
	switch {
	case err == nil:
		return order.Accepted
	case errors.Is(err, upstream.ErrNotSent):
		return order.NotSent
	case errors.As(err, &refused):
		return order.Refused
	}
	return order.Unknown
}

// reportOf turns a load report that was asked for at the given time into what the cores know of it.
func reportOf(u catalogue.Upstream, load upstream.Load, asked time.Duration) order.Report {
	return order.Report{
		// A millisecond more than the age makes up for its rounding.
		Upstream: u.Name, Address: u.Address, MadeAt: asked - time.Duration(load.Age+1)*time.Millisecond,
		Version: order.ModelVersion{Model: load.Model, Adapter: load.Adapter, Weights: load.Weights},
		Role:    load.Role, Loading: load.Loading, Leaving: load.Leaving,
	}
}
