package vm

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"github.com/apex/log"
	"go.uber.org/fx"

	"github.com/chicoryrelay/chicoryrelay/coord/configuration"
	"github.com/chicoryrelay/chicoryrelay/relay/catalogue"
	"github.com/chicoryrelay/chicoryrelay/relay/connection"
	"github.com/chicoryrelay/chicoryrelay/relay/control"
	"github.com/chicoryrelay/chicoryrelay/relay/directory"
	"github.com/chicoryrelay/chicoryrelay/relay/rollout"
	"github.com/chicoryrelay/chicoryrelay/relay/settings"
)

const (
	// orderInterval is the interval at which the holder of the order lease looks for orders that are due while weights change, and
	// idleInterval that while none do.
	orderInterval = 30 * time.Millisecond
	idleInterval  = 200 * time.Millisecond
	// orderLimit is the time limit of a call to an engine: a round trip between regions and a busy engine.
	orderLimit = 600 * time.Millisecond
	// leaseSlack is how long the lease must last beyond its check, which covers the way to the first byte.
	leaseSlack = 100 * time.Millisecond
	// loadShare is the part of a service's engines that load weights at once: while they do, the others carry their work, and the
	// weight store slows down when many read from it.
	loadShare = 0.2
	// reportLag is the age of what an engine's report says, at most.
	reportLag = 250 * time.Millisecond
	// ordersInbox bounds the reports and answers that wait.
	ordersInbox = 1024
)

// orders makes engines serve the weights that operators named; only the holder of the order lease sends.
type orders struct {
	settings settings.Settings
	adapter  Adapter
	state    *state
	host     *control.Host
	pool     *connection.Pool
	log      log.Interface
	inbox    chan rollout.Message
	group    sync.WaitGroup

	// The fields below belong to the loop.
	core *rollout.Core
	// dirty says that lease holders are to be told of changes with the next tick.
	dirty  bool
	number uint64
	places map[string]netip.AddrPort
}

// newOrders returns nil on VMs without the replicated log.
func newOrders(s settings.Settings, st *state, voter *control.Voter, host *control.Host, pool *connection.Pool, logger log.Interface) *orders {
	if voter == nil {
		return nil
	}
	return &orders{
		settings: s, adapter: st.adapter, state: st, host: host, pool: pool, log: logger, inbox: make(chan rollout.Message, ordersInbox),
		core: rollout.New(rollout.WithShare(loadShare)), places: map[string]netip.AddrPort{},
	}
}

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
			o.group.Wait()
			return nil
		},
	})
}

func (o *orders) loop(ctx context.Context) {
	timer := time.NewTimer(idleInterval)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case m := <-o.inbox:
			o.step(ctx, m)
		case <-timer.C:
			interval := idleInterval
			if o.tick(ctx) {
				interval = orderInterval
			}
			timer.Reset(interval)
		}
	}
}

// standing is what the control state says about orders at one moment.
type standing struct {
	lease   rollout.Lease
	until   time.Duration
	weights map[string]uint64
}

// standing reads the order lease and the newest committed weights; a number of 0 means that this VM must not send.
func (o *orders) standing() (s standing) {
	o.host.Read(func(at control.Moment, node *control.Node) {
		voter, later := node.Voter(), at.Now+leaseSlack
		number, ok := voter.Order(later, true)
		if !ok || !voter.Leads() {
			return
		}
		_, open := voter.Order(at.Now, false)
		s.lease, s.until, s.weights = rollout.Lease{Number: number, Open: open}, later, map[string]uint64{}
		for _, object := range voter.Machine().Configuration().Objects().Kind(catalogue.KindWeights) {
			s.weights[object.Name], _ = configuration.Numbered(object.Value)
		}
	})
	return s
}

// tick sends the orders that are due and reports whether weights are changing.
func (o *orders) tick(ctx context.Context) bool {
	s := o.standing()
	if s.lease.Number != o.number {
		o.number = s.lease.Number
		o.log.WithField("fencing", s.lease.Number).WithField("held", s.lease.Number > 0).Info("order lease")
	}
	o.step(ctx, s.lease)
	list := o.state.list.Load()
	if s.lease.Number == 0 || list == nil {
		return false
	}
	o.step(ctx, o.engines(list, s.weights))
	changing := o.core.Changing()
	if changing {
		o.step(ctx, rollout.Tick{})
	}
	if o.dirty {
		o.dirty = false
		o.publish()
	}
	return changing
}

// engines returns the engines with the weights that they are to serve.
func (o *orders) engines(list *directory.List, weights map[string]uint64) rollout.Engines {
	var engines rollout.Engines
	clear(o.places)
	for i := range list.Upstreams {
		u := &list.Upstreams[i]
		for _, m := range u.Models {
			want, named := weights[m.Name]
			if !named {
				continue
			}
			o.places[u.ID] = u.Address
			engines.List = append(engines.List, rollout.Engine{ID: u.ID, Model: m.Name, Serves: m.Weights, Want: want, Leaving: u.Leaving})
		}
	}
	return engines
}

// step gives the core a message and makes its effects happen.
func (o *orders) step(ctx context.Context, m rollout.Message) {
	effects := o.core.Step(o.host.Now(), m)
	o.dirty = o.dirty || effects.Changed
	for _, command := range effects.Order {
		at := o.places[command.ID]
		o.group.Go(func() { o.send(ctx, at, command) })
	}
	for _, id := range effects.Poll {
		at := o.places[id]
		o.group.Go(func() { o.poll(ctx, id, at) })
	}
}

// publish tells the lease holders at once which engines rest and what they serve.
func (o *orders) publish() {
	list := o.state.list.Load()
	if list == nil {
		return
	}
	for i := range list.Upstreams {
		u := &list.Upstreams[i]
		report := directory.Report{ID: u.ID, Loading: o.core.Resting(u.ID), Born: u.Born}
		if serves := o.core.Serves(u.ID); serves > 0 && len(u.Models) > 0 {
			report.Models = []directory.Model{{Name: u.Models[0].Name, Weights: serves}}
		}
		if report.Loading || report.Models != nil || u.Loading {
			o.state.hear(report)
		}
	}
	o.state.mu.Lock()
	listed := o.state.listed
	o.state.mu.Unlock()
	o.host.Publish(directory.Board(o.state.list.Load().Upstreams), listed)
}

// poll asks an engine for its report.
func (o *orders) poll(ctx context.Context, id string, at netip.AddrPort) {
	asked := o.host.Now()
	status, body, err := call(ctx, o.pool, at, o.adapter.Engines.Report(id), orderLimit)
	var state EngineState
	if err == nil {
		state, err = o.adapter.Engines.State(status, body)
	}
	if err != nil {
		o.log.WithFields(log.Fields{"upstream": id, "cause": err.Error()}).Info("engine report missing")
		return
	}
	for _, m := range state.Models {
		o.tell(ctx, rollout.Report{
			ID: id, Made: asked - reportLag, Serves: m.Weights, Busy: state.Busy, Sequence: state.Sequence, Running: len(state.Runs), Blocking: blocking(state.Runs),
		})
	}
}

// blocking counts the runs that can't go on at another engine.
func blocking(runs []int) int {
	n := 0
	for _, priority := range runs {
		if priority%urgencies == onceOnly {
			n++
		}
	}
	return n
}

func (o *orders) tell(ctx context.Context, m rollout.Message) {
	select {
	case o.inbox <- m:
	case <-ctx.Done():
	}
}

// send sends one order, if this VM still holds the order lease.
func (o *orders) send(ctx context.Context, at netip.AddrPort, command rollout.Order) {
	entry := o.log.WithFields(log.Fields{
		"upstream": command.ID, "fencing": command.Number, "model": command.Model, "weights": command.Weights, "sequence": command.Sequence,
	})
	s := o.standing()
	if s.lease.Number != command.Number || o.host.Now() >= s.until {
		entry.Info("order not sent")
		o.tell(ctx, rollout.Answered{ID: command.ID, Result: rollout.Refused})
		return
	}
	status, _, err := call(ctx, o.pool, at, o.adapter.Engines.Order(EngineOrder{
		Upstream: command.ID, Model: command.Model, Weights: command.Weights, Holder: o.settings.Name, Number: command.Number, Sequence: command.Sequence,
	}), orderLimit)
	result := rollout.Unknown
	if err != nil {
		entry.WithField("cause", err.Error()).Warn("order not confirmed")
	} else {
		result = o.adapter.Engines.Result(status)
		entry.WithField("status", status).Info("order answered")
	}
	o.tell(ctx, rollout.Answered{ID: command.ID, Result: result})
}
