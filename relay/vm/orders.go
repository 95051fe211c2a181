package vm

import (
	"cmp"
	"context"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/apex/log"
	"go.uber.org/fx"

	"github.com/chicoryrelay/chicoryrelay/relay/catalogue"
	"github.com/chicoryrelay/chicoryrelay/relay/connection"
	"github.com/chicoryrelay/chicoryrelay/relay/control"
	"github.com/chicoryrelay/chicoryrelay/relay/directory"
	"github.com/chicoryrelay/chicoryrelay/relay/rollout"
	"github.com/chicoryrelay/chicoryrelay/relay/settings"
)

const (
	// orderInterval is the interval at which the holder of the order lease checks for due orders during a rollout, and
	// idleOrderInterval that at other times.
	orderInterval     = 30 * time.Millisecond
	idleOrderInterval = 200 * time.Millisecond
	// engineCallTimeout covers a round trip between regions and a busy engine.
	engineCallTimeout = 600 * time.Millisecond
	// leaseMargin is how long the lease must remain valid after its check, which covers the time until the first byte is sent.
	leaseMargin = 100 * time.Millisecond
	// maxLoadingShare is the share of a service's engines that load weights at the same time: the other engines take over their
	// requests meanwhile, and the weight store slows down with the number of readers.
	maxLoadingShare = 0.2
	// overdueShare is the share of times.weights after which engines load whatever requests they interrupt: the rest is for the loads,
	// of which only some can go on at the same time.
	overdueShare = 0.8
	// maxReportAge is the maximum age of the data in an engine's load report.
	maxReportAge = 250 * time.Millisecond
	// orderInboxSize limits the queue of load reports and order results.
	orderInboxSize = 1024
)

// orderSender rolls out the weights versions that operators set; only the holder of the order lease sends orders.
type orderSender struct {
	settings settings.Settings
	adapter  Adapter
	state    *state
	host     *control.Host
	pool     *connection.Pool
	log      log.Interface
	inbox    chan rollout.Message
	group    sync.WaitGroup

	// The fields below are used by the loop's goroutine only.
	core *rollout.Core
	// boards decides when changes are published to lease holders.
	boards boardPacer
	// fencingNumber is that of the order lease at the last tick; 0 means not held.
	fencingNumber uint64
	addresses     map[string]netip.AddrPort
}

// newOrderSender returns nil on a VM without the replicated log.
func newOrderSender(s settings.Settings, st *state, voter *control.Voter, host *control.Host, pool *connection.Pool, logger log.Interface) *orderSender {
	if voter == nil {
		return nil
	}
	return &orderSender{
		settings: s, adapter: st.adapter, state: st, host: host, pool: pool, log: logger, inbox: make(chan rollout.Message, orderInboxSize),
		core: rollout.New(rollout.WithLoadShare(maxLoadingShare)), addresses: map[string]netip.AddrPort{},
	}
}

func runOrderSender(lifecycle fx.Lifecycle, o *orderSender) {
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
			o.group.Wait()
			return nil
		},
	})
}

func (o *orderSender) loop(ctx context.Context) {
	timer := time.NewTimer(idleOrderInterval)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case m := <-o.inbox:
			o.step(ctx, m)
		case <-timer.C:
			interval := idleOrderInterval
			if o.tick(ctx) {
				interval = orderInterval
			}
			timer.Reset(interval)
		}
	}
}

// orderState is a snapshot of the order lease and the committed weights versions.
type orderState struct {
	lease rollout.Lease
	// validUntil is the time on the clock of the control state until which the lease is known to last.
	validUntil time.Duration
	weights    map[string]catalogue.Weights
	// registryTime is the time of the replicated log.
	registryTime time.Time
	retries      rollout.Retries
}

// readOrderState reads the order lease and the newest committed weights versions; fencing number 0 means that this VM must not send.
func (o *orderSender) readOrderState() (s orderState) {
	o.host.Inspect(func(at control.ClockReading, node *control.Node) {
		voter, deadline := node.Voter(), at.Now+leaseMargin
		number, ok := voter.FencingNumber(deadline, true)
		if !ok || !voter.Leads() {
			return
		}
		_, previousEnded := voter.FencingNumber(at.Now, false)
		s.lease, s.validUntil, s.weights = rollout.Lease{FencingNumber: number, PreviousEnded: previousEnded}, deadline, map[string]catalogue.Weights{}
		for _, object := range voter.Machine().Configuration().Objects().Kind(catalogue.KindWeights) {
			s.weights[object.Name] = catalogue.DecodeWeights(object.Value)
		}
		s.registryTime = node.RegistryTime(at.Now)
		s.retries.Left, s.retries.Known = voter.Retries(at.Now)
	})
	return s
}

// tick sends the orders that are due and reports whether a rollout is in progress.
func (o *orderSender) tick(ctx context.Context) bool {
	s := o.readOrderState()
	if s.lease.FencingNumber != o.fencingNumber {
		o.fencingNumber = s.lease.FencingNumber
		o.log.WithField("fencing", s.lease.FencingNumber).WithField("held", s.lease.FencingNumber > 0).Info("order lease")
	}
	o.step(ctx, s.lease)
	list := o.state.list.Load()
	if s.lease.FencingNumber == 0 || list == nil {
		return false
	}
	o.step(ctx, o.engines(list, s))
	o.step(ctx, s.retries)
	inProgress := o.core.InProgress()
	if inProgress {
		o.step(ctx, rollout.Tick{})
	}
	if o.boards.due(o.host.Now(), len(list.Upstreams)) {
		o.publish()
	}
	return inProgress || o.boards.changed
}

// engines returns the engines with their target weights versions, for models that have one. Their weights are those of the platform's list
// if this VM has just read it: in the merged one, earlier reports may hide what the list shows.
func (o *orderSender) engines(list *directory.List, s orderState) rollout.Engines {
	engines, read := rollout.Engines{ListedAt: o.host.View().ListedAt}, o.state.reading.Load()
	if read != nil && o.host.Now()-read.at >= maxListAge {
		read = nil
	}
	if read != nil {
		engines.ListedAt = read.at
	}
	clear(o.addresses)
	for i := range list.Upstreams {
		u := &list.Upstreams[i]
		listed := u
		if read != nil {
			listed = cmp.Or(read.list.Find(u.ID), u)
		}
		engine := rollout.Engine{ID: u.ID, StartedAt: listed.StartedAt, Leaving: u.Leaving}
		for _, m := range listed.Models {
			if wanted, ok := s.weights[m.Name]; ok {
				engine.Models = append(engine.Models, rollout.Model{Name: m.Name, Weights: m.Weights, WantedWeights: wanted.Version, Overdue: o.overdue(m.Weights, wanted, s.registryTime)})
			}
		}
		if len(engine.Models) > 0 {
			o.addresses[u.ID] = u.Address
			engines.List = append(engines.List, engine)
		}
	}
	return engines
}

// overdue reports whether an engine on a weights version must load at once: newer ones were named so long ago that no request may
// begin on its weights soon. Versions without a time are always overdue.
func (o *orderSender) overdue(version uint64, wanted catalogue.Weights, registryTime time.Time) bool {
	for _, naming := range wanted.Namings {
		if naming.Version > version {
			return registryTime.Sub(naming.At) >= time.Duration(overdueShare*float64(o.settings.Times.Weights))
		}
	}
	return true
}

// step passes a message to the core and carries out the effects.
func (o *orderSender) step(ctx context.Context, m rollout.Message) {
	effects := o.core.Step(o.host.Now(), m)
	o.boards.change(effects.Changed)
	for _, order := range effects.Orders {
		address := o.addresses[order.ID]
		o.group.Go(func() { o.send(ctx, address, order) })
	}
	for _, id := range effects.Poll {
		address := o.addresses[id]
		o.group.Go(func() { o.poll(ctx, id, address) })
	}
}

// publish sends lease holders the engines that take no new requests and the weights versions that engines serve.
func (o *orderSender) publish() {
	list := o.state.list.Load()
	if list == nil {
		return
	}
	for i := range list.Upstreams {
		u := &list.Upstreams[i]
		startedAt := o.core.StartedAt(u.ID)
		if u.StartedAt.After(startedAt) {
			// The core knows only an earlier incarnation until its next step.
			continue
		}
		report := directory.Report{ID: u.ID, Loading: o.core.OutOfRotation(u.ID), StartedAt: startedAt}
		report.Models = o.reportedModels(u)
		if report.Loading || report.Models != nil || u.Loading {
			o.state.applyReport(report)
		}
	}
	o.state.mu.Lock()
	listedAt := o.state.listedAt
	o.state.mu.Unlock()
	o.host.PublishBoard(directory.Encode(o.state.list.Load().Upstreams), listedAt)
}

// reportedModels returns an engine's models with the weights from its reports, or nil if it has reported none.
func (o *orderSender) reportedModels(u *directory.Upstream) []directory.Model {
	models, reported := slices.Clone(u.Models), false
	for i := range models {
		if weights := o.core.ReportedWeights(u.ID, models[i].Name); weights > 0 {
			models[i].Weights, reported = weights, true
		}
	}
	if !reported {
		return nil
	}
	return models
}

// poll requests an engine's load report.
func (o *orderSender) poll(ctx context.Context, id string, address netip.AddrPort) {
	polledAt := o.host.Now()
	status, body, err := call(ctx, o.pool, address, o.adapter.Engines.ReportRequest(id), engineCallTimeout)
	var report EngineReport
	if err == nil {
		report, err = o.adapter.Engines.DecodeReport(status, body)
	}
	if err != nil {
		o.log.WithFields(log.Fields{"upstream": id, "cause": err.Error()}).Info("engine report missing")
		return
	}
	weights := make(map[string]uint64, len(report.Models))
	for _, m := range report.Models {
		weights[m.Name] = m.Weights
	}
	o.deliver(ctx, rollout.Report{
		ID: id, StartedAt: report.StartedAt, MadeAt: polledAt - maxReportAge, Weights: weights, Executing: report.Executing, Sequence: report.Sequence, ActiveRequests: len(report.Priorities), NonRepeatableRequests: nonRepeatableRequests(report.Priorities),
	})
}

// nonRepeatableRequests counts the requests in progress that cannot continue at another engine, by their priorities.
func nonRepeatableRequests(priorities []int) int {
	n := 0
	for _, priority := range priorities {
		if priority%prioritiesPerClass == notRepeatable {
			n++
		}
	}
	return n
}

func (o *orderSender) deliver(ctx context.Context, m rollout.Message) {
	select {
	case o.inbox <- m:
	case <-ctx.Done():
	}
}

// send sends an order if this VM still holds the order lease.
func (o *orderSender) send(ctx context.Context, address netip.AddrPort, order rollout.Order) {
	entry := o.log.WithFields(log.Fields{
		"upstream": order.ID, "fencing": order.FencingNumber, "model": order.Model, "weights": order.Weights, "sequence": order.Sequence, "retain": order.Retain,
	})
	s := o.readOrderState()
	if s.lease.FencingNumber != order.FencingNumber || o.host.Now() >= s.validUntil {
		entry.Info("order not sent")
		o.deliver(ctx, rollout.OrderResult{ID: order.ID, Number: order.Number, Result: rollout.Refused})
		return
	}
	status, _, err := call(ctx, o.pool, address, o.adapter.Engines.OrderRequest(EngineOrder{
		Upstream: order.ID, Model: order.Model, Weights: order.Weights, Holder: o.settings.Name, FencingNumber: order.FencingNumber, Sequence: order.Sequence, Retain: order.Retain,
	}), engineCallTimeout)
	result := rollout.Unknown
	if err != nil {
		entry.WithField("cause", err.Error()).Warn("order not confirmed")
	} else {
		result = o.adapter.Engines.DecodeResult(status)
		entry.WithField("status", status).Info("order answered")
	}
	o.deliver(ctx, rollout.OrderResult{ID: order.ID, Number: order.Number, Result: result})
}
