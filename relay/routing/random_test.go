package routing_test

import (
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"strconv"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/chicoryrelay/chicoryrelay/relay/cache"
	"github.com/chicoryrelay/chicoryrelay/relay/catalogue"
	"github.com/chicoryrelay/chicoryrelay/relay/routing"
)

// seeds returns the seeds 1 to count, as CI runs them. CHICORY_SEEDS sets another count, CHICORY_SEED a single seed.
func seeds(count int) []uint64 {
	if one, err := strconv.ParseUint(os.Getenv("CHICORY_SEED"), 10, 64); err == nil {
		return []uint64{one}
	}
	if n, err := strconv.Atoi(os.Getenv("CHICORY_SEEDS")); err == nil {
		count = n
	}
	list := make([]uint64, count)
	for i := range list {
		list[i] = uint64(i + 1)
	}
	return list
}

// faultSimulation is a simulation with random faults.
type faultSimulation struct {
	*simulation
	upstreams []catalogue.Upstream
	// leaving are the upstreams that the platform reported as leaving.
	leaving map[string]bool
	// possiblyCached are the prefixes of all requests sent to an engine, by its name and incarnation.
	possiblyCached map[string]map[blockKey]bool
	// forwardedEvents is the number of logged cache events that were forwarded, by engine.
	forwardedEvents map[string]int
	calls           []*call
	maxCacheEntries int
}

func newFaultSimulation(seed uint64) *faultSimulation {
	f := &faultSimulation{leaving: map[string]bool{}, possiblyCached: map[string]map[blockKey]bool{}, forwardedEvents: map[string]int{}, maxCacheEntries: 600}
	f.upstreams = newUpstreams(8, func(i int, u *catalogue.Upstream) {
		u.Slots, u.Cache = 3, 30_000
		u.DataCentre, u.Region = []string{"dc", "dc", "dc2", "far"}[i%4], []string{"r", "r", "r", "r2"}[i%4]
	})
	f.simulation = newSimulation(seed, 2, f.upstreams, routing.WithCache(cache.WithMaxEntries(f.maxCacheEntries)), routing.WithTimes(func(times *routing.Times) { times.QueueTimeout = 20 * time.Second }))
	f.simulation.events = true
	f.onSend = f.checkDecision
	f.broadcast(routing.Accounts{List: []catalogue.Account{{Name: "account0", Weight: 3}, {Name: "account1", Limit: 30}, {Name: "account2", Regions: []string{"r"}}}})
	f.every(150*time.Millisecond, f.forwardEvents)
	f.every(time.Second, f.injectFault)
	f.every(time.Second, f.checkSizes)
	return f
}

// injectFault injects one random fault, or ends one.
func (f *faultSimulation) injectFault() {
	if f.now > 60*time.Second {
		// Faults end before the run does: an answer of an engine that stays 20 times slower would outlast it, whatever the core does.
		for _, e := range f.engineList {
			e.slowdown = 1
		}
		return
	}
	u := &f.upstreams[f.random.IntN(len(f.upstreams))]
	e := f.engines[u.Name]
	switch f.random.IntN(7) {
	case 0:
		f.crash(e)
	case 1:
		u.State = catalogue.Draining
	case 2:
		u.State = catalogue.Active
		delete(f.leaving, u.Name)
		f.broadcast(routing.LoadReport{Upstream: u.Name, Incarnation: e.incarnation})
		f.broadcast(routing.Leaving{Upstream: u.Name})
	case 3:
		e.slowdown = []float64{1, 5, 20}[f.random.IntN(3)]
	case 4:
		f.leaving[u.Name] = true
		f.broadcast(routing.Leaving{Upstream: u.Name, Leaving: true})
	case 5:
		u.Weights = strconv.Itoa(1 + f.random.IntN(3))
		e.upstream.Weights = u.Weights
		f.broadcast(routing.Upstreams{List: slices.Clone(f.upstreams)})
		f.crash(e)
	case 6:
		return
	}
	f.broadcast(routing.Upstreams{List: slices.Clone(f.upstreams)})
}

// crash drops the engine's cache and requests; the engine restarts at once with a new incarnation.
func (f *faultSimulation) crash(e *fakeEngine) {
	var lost []*attempt
	for _, c := range f.calls {
		for _, a := range c.attempts {
			if a.engine == e && !a.ended {
				lost = append(lost, a)
			}
		}
	}
	e.reset()
	for _, a := range lost {
		a.ended = true
	}
	if f.random.IntN(2) == 0 {
		f.broadcast(routing.LoadReport{Upstream: e.upstream.Name, Incarnation: e.incarnation})
	}
	f.forwardedEvents[e.upstream.Name] = 0
	for _, a := range lost {
		// A retry resets it.
		a.call.refused = !slices.ContainsFunc(a.call.attempts, func(other *attempt) bool { return !other.ended })
		f.step(a.call.vm, routing.Failed{ID: a.call.request.ID, Upstream: e.upstream.Name, Sent: true, Received: a.firstTokenSent})
	}
}

// forwardEvents forwards the engines' new cache events to all VMs; some are lost.
func (f *faultSimulation) forwardEvents() {
	for _, e := range f.engineList {
		from := f.forwardedEvents[e.upstream.Name]
		if f.random.IntN(12) == 0 && from < len(e.eventLog) {
			from++
		}
		batch := slices.Clone(e.eventLog[min(from, len(e.eventLog)):])
		f.forwardedEvents[e.upstream.Name] = len(e.eventLog)
		m := routing.CacheEvents{Upstream: e.upstream.Name, Incarnation: e.incarnation, Events: batch}
		f.after(f.random.Float64()*0.1, func() { f.broadcast(m) })
	}
}

// checkDecision checks a decision that sends a request: the upstream takes work, pinned weights and regions are kept, and cached
// tokens are only counted on for a prefix that was sent to this incarnation of the engine before.
func (f *faultSimulation) checkDecision(c *call, d routing.Decision) {
	u := f.upstreams[slices.IndexFunc(f.upstreams, func(u catalogue.Upstream) bool { return u.Name == d.Upstream })]
	Expect(u.State).To(Equal(catalogue.Active), "%s is draining", u.Name)
	Expect(f.leaving).NotTo(HaveKey(u.Name), "%s is leaving", u.Name)
	Expect(d.Weights).To(Equal(u.Weights))
	if c.request.Weights != "" {
		Expect(u.Weights).To(Equal(c.request.Weights), "a request with pinned weights was sent to other weights")
	}
	if len(c.request.Regions) > 0 {
		Expect(c.request.Regions).To(ContainElement(u.Region), "a request was sent out of its regions")
	}
	if c.request.Account == "account2" {
		Expect(u.Region).To(Equal("r"), "a request was sent out of its account's regions")
	}
	scope := cache.Scope{Account: c.request.Account, Model: u.Model, Adapter: u.Adapter, Weights: u.Weights}
	key := fmt.Sprint(u.Name, " ", d.Incarnation)
	for _, level := range c.request.Levels {
		if d.CachedTokens > 0 && level.Tokens == d.CachedTokens {
			Expect(f.possiblyCached[key][blockKey{scope, level.Hash}]).To(BeTrue(), "no request with this prefix was sent to %s before", key)
		}
	}
	current := fmt.Sprint(u.Name, " ", f.engines[u.Name].incarnation)
	for _, target := range []string{key, current} {
		if f.possiblyCached[target] == nil {
			f.possiblyCached[target] = map[blockKey]bool{}
		}
		for _, level := range c.request.Levels {
			f.possiblyCached[target][blockKey{scope, level.Hash}] = true
		}
	}
}

func (f *faultSimulation) checkSizes() {
	for _, core := range f.cores {
		s := core.Sizes()
		Expect(s.Entries).To(BeNumerically("<=", f.maxCacheEntries))
		Expect(s.Hot).To(BeNumerically("<=", 64))
		Expect(min(s.Outstanding, s.Backlog, s.Wanted)).To(BeNumerically(">=", 0))
	}
}

// runTraffic sends 60 seconds of requests whose hot prefixes change, and checks that all end and leave nothing in the cores.
func (f *faultSimulation) runTraffic(random *rand.Rand) {
	arrivals(random, 60*time.Second, func(at time.Duration) float64 { return 5 + 45*float64(at/(7*time.Second)%2) }, func(at time.Duration) {
		hot := uint64(at/(10*time.Second)) * 5
		c := newCall(random, len(f.calls), at, random.IntN(3), 1+random.IntN(60),
			segment{1, 300}, segment{hot + uint64(random.IntN(8)), 3000}, segment{uint64(random.IntN(20)), 300})
		c.vm = random.IntN(2)
		c.request.Idempotent = random.IntN(4) > 0
		if random.IntN(3) == 0 {
			c.request.Regions = []string{[]string{"r", "r2"}[random.IntN(2)]}
		}
		if random.IntN(5) == 0 {
			c.request.Weights = strconv.Itoa(1 + random.IntN(2))
		}
		if random.IntN(2) == 0 {
			c.request.Deadline = at + time.Duration(random.IntN(5000))*time.Millisecond
		}
		f.calls = append(f.calls, c)
		f.at(at, func() { f.route(c) })
	})
	f.run(2 * time.Minute)
	for _, c := range f.calls {
		Expect(c.served || c.refused).To(BeTrue(), "request %s never ended", c.request.ID)
	}
	for _, core := range f.cores {
		s := core.Sizes()
		Expect(s.Flights+s.Queued+s.Outstanding+s.Backlog+s.Wanted).To(BeZero(), "%+v left", s)
	}
}

var _ = Describe("core under crashes, gaps, drains, slowed upstreams and shifting prefixes", func() {
	for _, seed := range seeds(6) {
		It(fmt.Sprintf("keeps its invariants, seed %d", seed), func() {
			newFaultSimulation(seed).runTraffic(rand.New(rand.NewPCG(seed, 9)))
		})
	}
})
