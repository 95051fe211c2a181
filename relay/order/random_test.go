package order_test

import (
	"fmt"
	"os"
	"slices"
	"strconv"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/chicoryrelay/chicoryrelay/relay/order"
)

const (
	faultPeriod = 600 * time.Second
	// recoveryPeriod covers the wait of a new lease holder, an engine that is assumed to be loading, and five loads.
	recoveryPeriod = 240 * time.Second
	// reportLag is how old an engine's report is when it is read.
	reportLag = 500 * time.Millisecond
)

// seeds returns CHICORY_SEED alone if it is set, else 1 to CHICORY_SEEDS, which defaults to 25.
func seeds() []uint64 {
	if one, err := strconv.ParseUint(os.Getenv("CHICORY_SEED"), 10, 64); err == nil {
		return []uint64{one}
	}
	count, err := strconv.ParseUint(os.Getenv("CHICORY_SEEDS"), 10, 64)
	if err != nil {
		count = 25
	}
	var list []uint64
	for seed := uint64(1); seed <= count; seed++ {
		list = append(list, seed)
	}
	return list
}

// Guards against orders of an earlier lease holder or configuration version that undo later ones, against loads beyond the weight
// store's limit, and against engines that never get their version. The invariants are checked in execute and checkInvariants.
var _ = Describe("group of order lease holders under random faults", func() {
	for _, seed := range seeds() {
		It(fmt.Sprintf("brings every engine to the newest version and rolls none back, seed %d", seed), func() {
			s := newSimulation(seed)
			for s.now < faultPeriod {
				s.injectFault()
				s.run(s.now + s.randomDuration(step, 12*time.Second))
			}
			s.endFaults()
			Expect(s.loadCount).To(BeNumerically(">", 3), "the run ordered too few loads to test the invariants")
		})
	}
})

// injectFault injects one random fault or changes the configuration.
func (s *simulation) injectFault() {
	vm, e := s.vms[s.random.IntN(len(s.vms))], s.engines[s.random.IntN(len(s.engines))]
	switch s.random.IntN(10) {
	case 0, 1:
		vm.partitionedUntil = s.now + s.randomDuration(0, 20*time.Second)
		if vm == s.leader {
			s.elect()
		}
	case 2:
		vm.frozenUntil = s.now + s.randomDuration(0, 20*time.Second)
		if vm == s.leader {
			s.elect()
		}
	case 3:
		s.elect()
	case 4:
		s.restart(vm)
		if vm == s.leader {
			s.leader = nil
			s.elect()
		}
	case 5:
		s.crash(e)
	case 6:
		vm.enginesCutUntil = s.now + s.randomDuration(0, 20*time.Second)
	case 7, 8:
		s.changeConfiguration()
	}
}

// changeConfiguration adds a version that raises the weights of some engines and sets the role of one.
func (s *simulation) changeConfiguration() {
	newest := s.versions[len(s.versions)-1]
	if s.inForce < len(s.versions)-1 {
		return
	}
	next := version{slices.Clone(newest.weights), slices.Clone(newest.roles)}
	all := s.random.IntN(2) == 0
	for i := range s.engines {
		if all || s.random.IntN(3) == 0 {
			next.weights[i] = len(s.versions)
		}
	}
	next.roles[s.random.IntN(len(s.engines))] = []string{"prefill", "decode", "both"}[s.random.IntN(3)]
	s.versions = append(s.versions, next)
}

// crash takes an engine down for a while and ends its load; at random, it comes back with the weights and role of its first start.
func (s *simulation) crash(e *fakeEngine) {
	e.downUntil = s.now + s.randomDuration(0, 8*time.Second)
	s.lastCrashEnd = max(s.lastCrashEnd, e.downUntil)
	e.loadingWeights, e.loadedAt, e.reports = 0, 0, nil
	if s.random.IntN(2) == 0 {
		e.weights, e.role = 0, ""
	}
}

// execute makes an engine execute or refuse an order, and checks the invariants of every order that takes effect.
func (s *simulation) execute(e *fakeEngine, o order.Order) order.Result {
	if e.upstream.Fenced && o.FencingNumber < e.highestFencing {
		return order.Refused
	}
	e.highestFencing = max(e.highestFencing, o.FencingNumber)
	if o.Kind == order.Role {
		e.role = o.Role
		return order.Accepted
	}
	weights, err := strconv.Atoi(o.Version.Weights)
	if err != nil {
		s.fail("order to load weights %q", o.Version.Weights)
	}
	for _, earlier := range e.history {
		if weights < earlier.weights {
			s.fail("%s is rolled back from weights %d (fencing number %d) to weights %d (fencing number %d)", e.upstream.Name, earlier.weights, earlier.number, weights, o.FencingNumber)
		}
		if o.FencingNumber < earlier.number {
			s.fail("%s executes an order with fencing number %d after one with %d", e.upstream.Name, o.FencingNumber, earlier.number)
		}
	}
	if e.loadedAt > 0 {
		s.fail("%s is ordered to load weights %d while it is loading %d", e.upstream.Name, weights, e.loadingWeights)
	}
	e.history = append(e.history, appliedOrder{o.FencingNumber, weights})
	e.loadingWeights, e.loadedAt = weights, s.now+s.randomDuration(500*time.Millisecond, maxLoadTime)
	s.loadCount++
	return order.Accepted
}

// checkInvariants checks the weight store's limit and that enough replicas keep serving. The second bound has a delay after a crash,
// since VMs notice a crash only when reports become stale.
func (s *simulation) checkInvariants() {
	loading := 0
	for _, e := range s.engines {
		if e.loadedAt > 0 {
			loading++
		}
	}
	if loading > s.maxLoads {
		s.fail("%d engines load at once, over the limit of %d", loading, s.maxLoads)
	}
	if loading == len(s.engines) || s.now > s.lastCrashEnd+maxLoadTime+maxTransit && loading > len(s.engines)-len(s.engines)/2 {
		s.fail("%d of %d replicas load at once", loading, len(s.engines))
	}
}

func (s *simulation) advanceEngine(e *fakeEngine) {
	if s.now < e.downUntil {
		return
	}
	if e.loadedAt > 0 && e.loadedAt <= s.now {
		e.weights, e.loadingWeights, e.loadedAt = e.loadingWeights, 0, 0
	}
	e.reports = append(e.reports, order.Report{
		Upstream: e.upstream.Name, Address: e.upstream.Address, MadeAt: s.now, Role: e.role, Loading: e.loadedAt > 0,
		Version: order.ModelVersion{Model: "m", Weights: strconv.Itoa(e.weights)},
	})
	for len(e.reports) > 1 && e.reports[1].MadeAt <= s.now-reportLag {
		e.reports = e.reports[1:]
	}
}

// endFaults stops all faults and checks that every engine ends as configured.
func (s *simulation) endFaults() {
	s.faultsEnabled = false
	for _, vm := range s.vms {
		vm.partitionedUntil, vm.enginesCutUntil, vm.frozenUntil = 0, 0, 0
	}
	if s.leader == nil {
		s.elect()
	}
	s.run(s.now + recoveryPeriod)
	newest := s.versions[len(s.versions)-1]
	for i, e := range s.engines {
		if e.weights != newest.weights[i] || e.loadedAt > 0 {
			s.fail("%s ends at weights %d, not %d", e.upstream.Name, e.weights, newest.weights[i])
		}
		role := e.role
		if role == "" {
			role = "both"
		}
		if newest.roles[i] != "" && role != newest.roles[i] {
			s.fail("%s ends with role %q, not %q", e.upstream.Name, e.role, newest.roles[i])
		}
	}
}
