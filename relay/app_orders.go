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
	// leaseMargin is how long the lease must remain valid after its check, which covers the time until the first byte is sent.
	leaseMargin = 200 * time.Millisecond
	// ordersInboxSize limits the load reports and send results that are queued for orderSender.loop.
	ordersInboxSize = 4096
)

// orderSender sends orders to engines until they serve the configured weights versions. It runs on control VMs only, and only the holder
// of the order lease sends.
type orderSender struct {
	core       *order.Core
	host       *control.Host
	client     *upstream.Client
	sendWindow time.Duration
	inbox      chan order.Message
	log        log.Interface
	version    uint64
	sending    sync.WaitGroup
}

// newOrderSender returns nil on VMs without the replicated log.
func newOrderSender(s settings.Settings, voter *control.Voter, host *control.Host, client *upstream.Client, logger log.Interface) *orderSender {
	if voter == nil {
		return nil
	}
	// Half of the transit time limits the connection; the other half covers packets still in the network when the connection closes.
	sendWindow := s.Times.Transit / 2
	return &orderSender{
		core: order.New(
			order.WithMaxLoads(s.Limits.Loads), order.WithMaxTransit(s.Times.Transit), order.WithSendWindow(sendWindow), order.WithMaxLoadTime(s.Times.Load),
		),
		host: host, client: client, sendWindow: sendWindow, inbox: make(chan order.Message, ordersInboxSize), log: logger,
	}
}

// runOrders runs the order sender until the VM shuts down.
func runOrders(lifecycle fx.Lifecycle, o *orderSender) {
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

// receiveReport queues a load report. It drops the report if the inbox is full; the next poll brings a newer one.
func (o *orderSender) receiveReport(report order.Report) {
	if o == nil {
		return
	}
	select {
	case o.inbox <- report:
	default:
	}
}

func (o *orderSender) loop(ctx context.Context) {
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

func (o *orderSender) tick(ctx context.Context) {
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

// lease returns the order lease of this VM for the given configuration version and the time until which it may be used. It returns the
// zero lease, with which nothing is sent, if the VM has no valid lease or if its installed version is not in force: the next lease holder
// may not know a pending version, and would order the engines back to the older one.
func (o *orderSender) lease(version uint64) (lease order.Lease, until time.Duration) {
	o.host.Inspect(func(at control.ClockReading, node *control.Node) {
		later := at.Now + leaseMargin
		voter := node.Voter()
		if !node.Leased(later) || node.Version() != version || voter.Machine().Configuration().InForce() != version {
			return
		}
		number, ok := voter.FencingNumber(later, true)
		if !ok {
			return
		}
		_, previousEnded := voter.FencingNumber(at.Now, false)
		lease, until = order.Lease{FencingNumber: number, PreviousEnded: previousEnded}, later
	})
	return lease, until
}

func (o *orderSender) send(ctx context.Context, command order.Order) {
	entry := o.log.WithFields(log.Fields{
		"upstream": command.Upstream, "kind": string(command.Kind), "fencing": command.FencingNumber,
		"model": command.Version.Model, "adapter": command.Version.Adapter, "weights": command.Version.Weights, "role": command.Role,
	})
	permitted := func() bool {
		lease, until := o.lease(o.installedVersion())
		now := o.host.Now()
		return now < until && command.MaySend(now, lease)
	}
	err := o.client.Order(ctx, command.Address, upstream.Order{
		Fencing: command.FencingNumber, Kind: string(command.Kind), Model: command.Version.Model, Adapter: command.Version.Adapter,
		Weights: command.Version.Weights, Role: command.Role,
	}, o.sendWindow, permitted)
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

func (o *orderSender) installedVersion() uint64 {
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

// reportOf converts a load report that was requested at the given time.
func reportOf(u catalogue.Upstream, load upstream.LoadReport, requestedAt time.Duration) order.Report {
	return order.Report{
		// The age is rounded down to whole milliseconds; 1 ms is added so that the report is not dated too late.
		Upstream: u.Name, Address: u.Address, MadeAt: requestedAt - time.Duration(load.Age+1)*time.Millisecond,
		Version:  order.ModelVersion{Model: load.Model, Adapter: load.Adapter, Weights: load.Weights},
		Software: load.Software,
		Role:     load.Role, Loading: load.Loading, Leaving: load.Leaving,
	}
}
