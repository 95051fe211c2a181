package order_test

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"strconv"
	"time"

	"github.com/chicoryrelay/chicoryrelay/coord/lease"
	"github.com/chicoryrelay/chicoryrelay/relay/catalogue"
	"github.com/chicoryrelay/chicoryrelay/relay/order"
)

const (
	step        = 50 * time.Millisecond
	maxTransit  = 3 * time.Second
	maxLoadTime = 15 * time.Second
)

// appliedOrder is a load order that an engine has accepted.
type appliedOrder struct {
	number  uint64
	weights int
}

// fakeEngine is a simulated engine.
type fakeEngine struct {
	upstream       catalogue.Upstream
	downUntil      time.Duration
	weights        int
	role           string
	highestFencing uint64
	loadingWeights int
	loadedAt       time.Duration
	reports        []order.Report
	history        []appliedOrder
}

// controlVM is a simulated control VM, which may hold the order lease; its clock runs at its own rate.
type controlVM struct {
	incarnation lease.Incarnation
	core        *order.Core
	orders      *lease.OrderLease
	rate        float64
	frozenUntil time.Duration
	// partitionedUntil is the end of a partition from the other VMs, enginesCutUntil that of one from the engines.
	partitionedUntil time.Duration
	enginesCutUntil  time.Duration
	installed        int
	// leaseUntil is when its lease on the configuration expires.
	leaseUntil time.Duration
	connecting []pendingOrder
	inbox      []order.Message
}

// pendingOrder is an order whose connection is being established.
type pendingOrder struct {
	order order.Order
	at    time.Duration
}

type event struct {
	at  time.Duration
	seq int
	run func()
}

// simulation runs several control VMs and engines on one virtual clock.
type simulation struct {
	seed          uint64
	random        *rand.Rand
	now           time.Duration
	events        []event
	seq           int
	fence         lease.Fence
	vms           []*controlVM
	leader        *controlVM
	engines       []*fakeEngine
	versions      []version
	inForce       int
	faultsEnabled bool
	loadCount     int
	maxLoads      int
	lastCrashEnd  time.Duration
}

// version is one configuration version: the weights and the role of each engine.
type version struct {
	weights []int
	roles   []string
}

func newSimulation(seed uint64) *simulation {
	s := &simulation{seed: seed, random: rand.New(rand.NewPCG(seed, 7)), faultsEnabled: true, maxLoads: 1 + int(seed%5)}
	first := version{}
	for i := range 5 {
		s.engines = append(s.engines, &fakeEngine{upstream: catalogue.Upstream{
			Name: fmt.Sprintf("e%d", i), Address: netip.AddrPortFrom(netip.MustParseAddr("10.0.0.1"), uint16(8000+i)), Kind: catalogue.Engine,
			Model: "m", State: catalogue.Active, Fenced: s.random.IntN(2) == 0,
		}})
		first.weights, first.roles = append(first.weights, 0), append(first.roles, "")
	}
	s.versions = []version{first}
	for i := range 3 {
		s.vms = append(s.vms, &controlVM{incarnation: lease.Incarnation{VM: fmt.Sprintf("vm%d", i)}, rate: 0.991 + 0.018*s.random.Float64()})
		s.restart(s.vms[i])
	}
	s.elect()
	return s
}

// restart starts a VM's process again, which loses its record of sent orders.
func (s *simulation) restart(vm *controlVM) {
	vm.incarnation.Boot++
	vm.orders = lease.NewOrderLease(lease.WithMaxTransit(maxTransit))
	vm.core = order.New(order.WithMaxLoads(s.maxLoads), order.WithMaxTransit(maxTransit), order.WithSendWindow(sendWindow), order.WithMaxLoadTime(maxLoadTime+maxTransit))
	vm.connecting, vm.inbox = nil, nil
	vm.core.Step(vm.localTime(s.now), s.desired(vm))
}

// sendWindow bounds the time to connect; an order that takes longer is not sent.
const sendWindow = 8 * time.Second

func (vm *controlVM) localTime(now time.Duration) time.Duration {
	return time.Duration(vm.rate * float64(now))
}

func (s *simulation) desired(vm *controlVM) order.DesiredState {
	d := order.DesiredState{Version: uint64(vm.installed)}
	for i, e := range s.engines {
		u := e.upstream
		u.Weights, u.Role = strconv.Itoa(s.versions[vm.installed].weights[i]), s.versions[vm.installed].roles[i]
		d.Upstreams = append(d.Upstreams, u)
	}
	return d
}

func (s *simulation) fail(format string, args ...any) {
	panic(fmt.Sprintf("seed %d at %s: %s", s.seed, s.now, fmt.Sprintf(format, args...)))
}

func (s *simulation) schedule(d time.Duration, run func()) {
	s.seq++
	e := event{s.now + d, s.seq, run}
	i, _ := slices.BinarySearchFunc(s.events, e, func(a, b event) int { return cmp.Or(cmp.Compare(a.at, b.at), cmp.Compare(a.seq, b.seq)) })
	s.events = slices.Insert(s.events, i, e)
}

func (s *simulation) randomDuration(least, most time.Duration) time.Duration {
	return least + time.Duration(s.random.Int64N(int64(most-least)))
}

// elect makes another reachable control VM the leader; the previous one notices when it is no longer frozen or partitioned.
func (s *simulation) elect() {
	var candidates []*controlVM
	for _, vm := range s.vms {
		if vm != s.leader && s.now >= vm.partitionedUntil && s.now >= vm.frozenUntil {
			candidates = append(candidates, vm)
		}
	}
	if len(candidates) == 0 {
		return
	}
	vm := candidates[s.random.IntN(len(candidates))]
	s.leader = vm
	vm.orders.Acquired(vm.localTime(s.now), s.fence.Acquire(vm.incarnation).Number)
}

func (s *simulation) run(until time.Duration) {
	for s.now < until {
		s.now += step
		for len(s.events) > 0 && s.events[0].at <= s.now {
			e := s.events[0]
			s.events = s.events[1:]
			e.run()
		}
		for _, e := range s.engines {
			s.advanceEngine(e)
		}
		s.declareInForce()
		for _, vm := range s.vms {
			s.stepVM(vm)
		}
		s.checkInvariants()
	}
}

// declareInForce puts the newest version in force once each VM that has not installed it has lost its lease.
func (s *simulation) declareInForce() {
	newest := len(s.versions) - 1
	for _, vm := range s.vms {
		if vm.installed < newest && s.now < vm.leaseUntil {
			return
		}
	}
	s.inForce = newest
}

func (s *simulation) stepVM(vm *controlVM) {
	if s.now < vm.frozenUntil {
		return
	}
	now := vm.localTime(s.now)
	if s.now >= vm.partitionedUntil {
		if vm.installed < len(s.versions)-1 {
			vm.installed = len(s.versions) - 1
			vm.core.Step(now, s.desired(vm))
		}
		vm.leaseUntil = s.now + 6*time.Second
		if vm == s.leader {
			vm.orders.Confirm(now)
		} else {
			vm.orders.Release()
		}
	}
	for _, m := range vm.inbox {
		vm.core.Step(now, m)
	}
	vm.inbox = nil
	if s.seq++; s.now%(10*step) == 0 {
		s.pollReports(vm)
	}
	vm.core.Step(now, s.orderLease(vm, now))
	for _, o := range vm.core.Step(now, order.Tick{}).Orders {
		vm.connecting = append(vm.connecting, pendingOrder{o, s.now + s.randomDuration(0, 300*time.Millisecond)})
		if s.faultsEnabled && s.random.IntN(4) == 0 {
			// The process freezes between the decision and the first byte while another VM takes over.
			vm.frozenUntil = s.now + s.randomDuration(500*time.Millisecond, 12*time.Second)
			s.elect()
			return
		}
	}
	s.transmitOrders(vm)
}

// orderLease returns the state of the VM's order lease: zero without a lease on the configuration, or while the version that the
// leader has installed is not in force.
func (s *simulation) orderLease(vm *controlVM, now time.Duration) order.Lease {
	number, _ := vm.orders.FencingNumber(now, true)
	_, previousEnded := vm.orders.FencingNumber(now, false)
	if s.now >= vm.leaseUntil || vm == s.leader && vm.installed != s.inForce {
		return order.Lease{}
	}
	return order.Lease{FencingNumber: number, PreviousEnded: previousEnded}
}

// transmitOrders sends the orders whose connection is established, after checking the lease, the version and the send deadline.
func (s *simulation) transmitOrders(vm *controlVM) {
	remaining := vm.connecting[:0]
	for _, p := range vm.connecting {
		if p.at > s.now {
			remaining = append(remaining, p)
			continue
		}
		now := vm.localTime(s.now)
		o := p.order
		if !o.MaySend(now, s.orderLease(vm, now)) {
			vm.inbox = append(vm.inbox, order.SendResult{Upstream: o.Upstream, ID: o.ID, Result: order.NotSent})
			continue
		}
		s.send(vm, o)
	}
	vm.connecting = remaining
}

func (s *simulation) send(vm *controlVM, o order.Order) {
	if s.now < vm.enginesCutUntil || s.faultsEnabled && s.random.IntN(8) == 0 {
		return
	}
	core := vm.core
	s.schedule(s.randomDuration(0, s.maxLatency()), func() {
		e := s.engines[slices.IndexFunc(s.engines, func(e *fakeEngine) bool { return e.upstream.Name == o.Upstream })]
		if s.now < e.downUntil {
			return
		}
		answer := order.SendResult{Upstream: o.Upstream, ID: o.ID, Result: s.execute(e, o)}
		if s.faultsEnabled && s.random.IntN(8) == 0 {
			return
		}
		s.schedule(s.randomDuration(0, s.maxLatency()), func() {
			if vm.core == core {
				vm.inbox = append(vm.inbox, answer)
			}
		})
	})
}

func (s *simulation) maxLatency() time.Duration {
	if s.faultsEnabled && s.random.IntN(2) == 0 {
		return maxTransit
	}
	return 10 * time.Millisecond
}

// pollReports requests the engines' load reports.
func (s *simulation) pollReports(vm *controlVM) {
	if s.now < vm.enginesCutUntil {
		return
	}
	start, core := vm.localTime(s.now), vm.core
	for _, e := range s.engines {
		if s.faultsEnabled && s.random.IntN(5) == 0 {
			continue
		}
		s.schedule(s.randomDuration(0, 200*time.Millisecond), func() {
			if s.now < e.downUntil || len(e.reports) == 0 {
				return
			}
			readAt := s.now
			report := e.reports[0]
			report.MadeAt = start - (readAt - report.MadeAt) - time.Millisecond
			s.schedule(s.randomDuration(0, s.maxLatency()), func() {
				if vm.core == core {
					vm.inbox = append(vm.inbox, report)
				}
			})
		})
	}
}
