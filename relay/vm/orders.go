package vm

import (
	"context"
	"math"
	"net/netip"
	"strconv"
	"sync"
	"time"

	"github.com/apex/log"
	"go.uber.org/fx"

	"github.com/chicoryrelay/chicoryrelay/coord/configuration"
	"github.com/chicoryrelay/chicoryrelay/relay/catalogue"
	"github.com/chicoryrelay/chicoryrelay/relay/connection"
	"github.com/chicoryrelay/chicoryrelay/relay/control"
	"github.com/chicoryrelay/chicoryrelay/relay/directory"
	"github.com/chicoryrelay/chicoryrelay/relay/order"
	"github.com/chicoryrelay/chicoryrelay/relay/settings"
)

const (
	// orderInterval is the interval at which the holder of the order lease looks for orders that are due while weights change, and
	// idleInterval that while none do.
	orderInterval = 60 * time.Millisecond
	idleInterval  = 300 * time.Millisecond
	// orderLimit is the time limit of a call to an engine: a round trip between regions and a busy engine.
	orderLimit = 600 * time.Millisecond
	// leaseSlack is how long the lease must last beyond its check, which covers the way to the first byte.
	leaseSlack = 100 * time.Millisecond
	// listLag is the age of what the platform's list says of an engine's weights, at most.
	listLag = 1500 * time.Millisecond
	// loadShare is the part of a service's engines that load weights at once: while they do, the others carry their work, and the
	// weight store slows down when many read from it.
	loadShare = 0.2
	// longestLoad is how long an engine that does not report counts as loading.
	longestLoad = 4 * time.Second
	// staleReport is the age from which a report no longer shows what an engine does.
	staleReport = 2500 * time.Millisecond
	// orderRetry is the pause after an order without effect.
	orderRetry = 400 * time.Millisecond
	// ordersInbox bounds the reports and answers that wait.
	ordersInbox = 1024
)

// orders makes engines serve the weights that operators named; only the holder of the order lease sends.
type orders struct {
	settings settings.Settings
	adapter  Adapter
	core     *order.Core
	state    *state
	host     *control.Host
	pool     *connection.Pool
	log      log.Interface
	inbox    chan order.Message
	group    sync.WaitGroup

	mu      sync.Mutex
	polling map[string]bool
	// told is the list read that the core was last told of.
	told   time.Duration
	number uint64
}

// newOrders returns nil on VMs without the replicated log.
func newOrders(s settings.Settings, st *state, voter *control.Voter, host *control.Host, pool *connection.Pool, logger log.Interface) *orders {
	if voter == nil {
		return nil
	}
	return &orders{
		settings: s, adapter: st.adapter, state: st, host: host, pool: pool, log: logger, inbox: make(chan order.Message, ordersInbox),
		core: order.New(
			order.WithLoads(1), order.WithTransit(orderLimit), order.WithWindow(orderLimit), order.WithLongest(longestLoad),
			order.WithStale(staleReport), order.WithRetry(orderRetry),
		),
		polling: map[string]bool{},
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
			o.core.Step(o.host.Now(), m)
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
	lease   order.Lease
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
		s.lease, s.until, s.weights = order.Lease{Number: number, Open: open}, later, map[string]uint64{}
		for _, object := range voter.Machine().Configuration().Objects().Kind(catalogue.KindWeights) {
			s.weights[object.Name], _ = configuration.Numbered(object.Value)
		}
	})
	return s
}

// tick sends the orders that are due and reports whether weights are changing.
func (o *orders) tick(ctx context.Context) bool {
	s := o.standing()
	now := o.host.Now()
	if s.lease.Number != o.number {
		o.number = s.lease.Number
		o.log.WithField("fencing", s.lease.Number).WithField("held", s.lease.Number > 0).Info("order lease")
	}
	o.core.Step(now, s.lease)
	list := o.state.list.Load()
	if s.lease.Number == 0 || list == nil || len(s.weights) == 0 {
		return false
	}
	desired, changing := o.desired(now, list, s.weights)
	o.core.Step(now, desired)
	o.report(ctx, list, changing)
	for _, command := range o.core.Step(now, order.Tick{}).Send {
		o.group.Go(func() { o.send(ctx, command) })
	}
	return len(changing) > 0
}

// desired returns the engines with the weights that they are to serve, and those that serve others.
func (o *orders) desired(now time.Duration, list *directory.List, weights map[string]uint64) (order.Desired, []*directory.Upstream) {
	desired := order.Desired{Version: uint64(now)}
	var changing []*directory.Upstream
	engines := 0
	for i := range list.Upstreams {
		u := &list.Upstreams[i]
		for _, m := range u.Models {
			want, named := weights[m.Name]
			if !named || u.Leaving {
				continue
			}
			engines++
			if m.Weights < want || u.Loading {
				changing = append(changing, u)
			}
			desired.Upstreams = append(desired.Upstreams, catalogue.Upstream{
				Name: u.ID, Address: u.Address, Kind: catalogue.Engine, Model: m.Name, Weights: strconv.FormatUint(max(want, m.Weights), 10), Fenced: true,
			})
		}
	}
	desired.Loads = max(1, int(math.Round(loadShare*float64(engines))))
	return desired, changing
}

// report tells the core what the list says of all engines, and asks those whose weights change.
func (o *orders) report(ctx context.Context, list *directory.List, changing []*directory.Upstream) {
	o.state.mu.Lock()
	listed := o.state.listed
	o.state.mu.Unlock()
	if listed > o.told {
		o.told = listed
		for i := range list.Upstreams {
			u := &list.Upstreams[i]
			for _, m := range u.Models {
				o.core.Step(o.host.Now(), order.Report{
					Upstream: u.ID, Address: u.Address, Made: listed - listLag, Version: order.Version{Model: m.Name, Weights: strconv.FormatUint(m.Weights, 10)},
					Loading: u.Loading, Leaving: u.Leaving,
				})
			}
		}
	}
	for _, u := range changing {
		o.mu.Lock()
		busy := o.polling[u.ID]
		o.polling[u.ID] = true
		o.mu.Unlock()
		if !busy {
			o.group.Go(func() { o.poll(ctx, u) })
		}
	}
}

// poll asks an engine for its report.
func (o *orders) poll(ctx context.Context, u *directory.Upstream) {
	defer func() {
		o.mu.Lock()
		delete(o.polling, u.ID)
		o.mu.Unlock()
	}()
	asked := o.host.Now()
	state, err := o.engineState(ctx, u.ID, u.Address)
	if err != nil {
		o.log.WithFields(log.Fields{"upstream": u.ID, "cause": err.Error()}).Info("engine report missing")
		return
	}
	o.state.hear(directory.Report{ID: u.ID, Models: state.Models, Loading: state.Busy, Born: bornOf(state)})
	o.publish()
	for _, m := range state.Models {
		o.tell(ctx, order.Report{
			// A report shows the engine as it was some hundred milliseconds before.
			Upstream: u.ID, Address: u.Address, Made: asked - reportLag, Version: order.Version{Model: m.Name, Weights: strconv.FormatUint(m.Weights, 10)},
			Loading: state.Busy, Leaving: u.Leaving, Sequence: state.Sequence,
		})
	}
}

// reportLag is the age of what an engine's report says, at most.
const reportLag = 300 * time.Millisecond

func bornOf(s EngineState) time.Time {
	if s.Born == 0 {
		return time.Time{}
	}
	return time.UnixMilli(s.Born)
}

func (o *orders) engineState(ctx context.Context, id string, address netip.AddrPort) (EngineState, error) {
	status, body, err := call(ctx, o.pool, address, o.adapter.Engines.Report(id), orderLimit)
	if err != nil {
		return EngineState{}, err
	}
	return o.adapter.Engines.State(status, body)
}

// publish tells the lease holders at once what this VM has learned of the engines.
func (o *orders) publish() {
	o.state.mu.Lock()
	listed := o.state.listed
	o.state.mu.Unlock()
	o.host.Publish(directory.Board(o.state.list.Load().Upstreams), listed)
}

func (o *orders) tell(ctx context.Context, m order.Message) {
	select {
	case o.inbox <- m:
	case <-ctx.Done():
	}
}

// send sends one order, after the other VMs were told that the engine is about to take no requests.
func (o *orders) send(ctx context.Context, command order.Order) {
	entry := o.log.WithFields(log.Fields{
		"upstream": command.Upstream, "fencing": command.Number, "model": command.Version.Model, "weights": command.Version.Weights, "sequence": command.Sequence,
	})
	weights, err := strconv.ParseUint(command.Version.Weights, 10, 64)
	if err != nil {
		entry.WithField("cause", err.Error()).Error("order not sent")
		return
	}
	s := o.standing()
	result := order.NotSent
	if now := o.host.Now(); now < s.until && command.Permitted(now, s.lease) {
		o.state.hear(directory.Report{ID: command.Upstream, Loading: true})
		o.publish()
		result = o.post(ctx, entry, command, weights)
	}
	if result == order.Refused || result == order.NotSent {
		o.state.hear(directory.Report{ID: command.Upstream})
		o.publish()
	}
	o.tell(ctx, order.Answered{Upstream: command.Upstream, ID: command.ID, Result: result})
}

func (o *orders) post(ctx context.Context, entry log.Interface, command order.Order, weights uint64) order.Result {
	status, _, err := call(ctx, o.pool, command.Address, o.adapter.Engines.Order(EngineOrder{
		Upstream: command.Upstream, Model: command.Version.Model, Weights: weights, Holder: o.settings.Name, Number: command.Number, Sequence: command.Sequence,
	}), orderLimit)
	if err != nil {
		entry.WithField("cause", err.Error()).Warn("order not confirmed")
		return order.Unknown
	}
	switch result := o.adapter.Engines.Result(status); result {
	case OrderTaken, OrderHolds:
		entry.WithField("status", status).Info("order taken")
		return order.Obeyed
	default:
		entry.WithField("status", status).Warn("order refused")
		return order.Refused
	}
}
