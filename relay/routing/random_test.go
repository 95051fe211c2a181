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

// seeds are those of CI, or what CHICORY_SEEDS (1 to N) or CHICORY_SEED (one) ask for.
func seeds(usual int) []uint64 {
	if one, err := strconv.ParseUint(os.Getenv("CHICORY_SEED"), 10, 64); err == nil {
		return []uint64{one}
	}
	if n, err := strconv.Atoi(os.Getenv("CHICORY_SEEDS")); err == nil {
		usual = n
	}
	list := make([]uint64, usual)
	for i := range list {
		list[i] = uint64(i + 1)
	}
	return list
}

// turmoil is a world in which everything goes wrong at random, with what each engine can have in its cache by what it was sent.
type turmoil struct {
	*world
	list    []catalogue.Upstream
	told    map[string]bool
	can     map[string]map[block]bool
	fed     map[string]int
	calls   []*call
	entries int
}

func newTurmoil(seed uint64) *turmoil {
	t := &turmoil{told: map[string]bool{}, can: map[string]map[block]bool{}, fed: map[string]int{}, entries: 600}
	t.list = fleet(8, func(i int, u *catalogue.Upstream) {
		u.Slots, u.Cache = 3, 30_000
		u.DataCentre, u.Region = []string{"dc", "dc", "dc2", "far"}[i%4], []string{"r", "r", "r", "r2"}[i%4]
	})
	t.world = newWorld(seed, 2, t.list, routing.WithCache(cache.WithEntries(t.entries)), routing.WithTimes(func(times *routing.Times) { times.Patience = 20 * time.Second }))
	t.world.events = true
	t.check = t.checkDecision
	t.all(routing.Accounts{List: []catalogue.Account{{Name: "account0", Weight: 3}, {Name: "account1", Limit: 30}, {Name: "account2", Regions: []string{"r"}}}})
	t.every(150*time.Millisecond, t.feed)
	t.every(time.Second, t.disturb)
	t.every(time.Second, t.checkSizes)
	return t
}

// trouble is the fault model of one second.
func (t *turmoil) disturb() {
	if t.now > 60*time.Second {
		// The troubles end: an engine that stays slowed twenty times would make an answer outlast the run, whatever the core does.
		for _, e := range t.order {
			e.slowdown = 1
		}
		return
	}
	u := &t.list[t.random.IntN(len(t.list))]
	e := t.engines[u.Name]
	switch t.random.IntN(7) {
	case 0:
		t.crash(e)
	case 1:
		u.State = catalogue.Draining
	case 2:
		u.State = catalogue.Active
		delete(t.told, u.Name)
		t.all(routing.Load{Upstream: u.Name, Incarnation: e.incarnation})
		t.all(routing.Leaving{Upstream: u.Name})
	case 3:
		e.slowdown = []float64{1, 5, 20}[t.random.IntN(3)]
	case 4:
		t.told[u.Name] = true
		t.all(routing.Leaving{Upstream: u.Name, Leaving: true})
	case 5:
		u.Weights = strconv.Itoa(1 + t.random.IntN(3))
		e.info.Weights = u.Weights
		t.all(routing.Upstreams{List: slices.Clone(t.list)})
		t.crash(e)
	case 6:
		return
	}
	t.all(routing.Upstreams{List: slices.Clone(t.list)})
}

// crash loses the engine's cache and its requests; it returns at once under a new incarnation.
func (t *turmoil) crash(e *fakeEngine) {
	var lost []*job
	for _, c := range t.calls {
		for _, j := range c.jobs {
			if j.engine == e && !j.over {
				lost = append(lost, j)
			}
		}
	}
	e.reset()
	for _, j := range lost {
		j.over = true
	}
	if t.random.IntN(2) == 0 {
		t.all(routing.Load{Upstream: e.info.Name, Incarnation: e.incarnation})
	}
	t.fed[e.info.Name] = 0
	for _, j := range lost {
		// A retry takes this back.
		j.call.refused = !slices.ContainsFunc(j.call.jobs, func(other *job) bool { return !other.over })
		t.step(j.call.vm, routing.Failed{ID: j.call.request.ID, Upstream: e.info.Name, Sent: true, Received: j.first})
	}
}

// feed passes the engines' events on; some are lost.
func (t *turmoil) feed() {
	for _, e := range t.order {
		from := t.fed[e.info.Name]
		if t.random.IntN(12) == 0 && from < len(e.log) {
			from++
		}
		part := slices.Clone(e.log[min(from, len(e.log)):])
		t.fed[e.info.Name] = len(e.log)
		m := routing.CacheEvents{Upstream: e.info.Name, Incarnation: e.incarnation, Events: part}
		t.after(t.random.Float64()*0.1, func() { t.all(m) })
	}
}

// checkDecision holds each decision that sends a request against what the engine can have, and against the rules.
func (t *turmoil) checkDecision(c *call, d routing.Decision) {
	u := t.list[slices.IndexFunc(t.list, func(u catalogue.Upstream) bool { return u.Name == d.Upstream })]
	Expect(u.State).To(Equal(catalogue.Active), "%s is draining", u.Name)
	Expect(t.told).NotTo(HaveKey(u.Name), "%s is leaving", u.Name)
	Expect(d.Weights).To(Equal(u.Weights))
	if c.request.Weights != "" {
		Expect(u.Weights).To(Equal(c.request.Weights), "a pinned version was left")
	}
	if len(c.request.Regions) > 0 {
		Expect(c.request.Regions).To(ContainElement(u.Region), "bound work left its regions")
	}
	if c.request.Account == "account2" {
		Expect(u.Region).To(Equal("r"), "the account's work left its regions")
	}
	scope := cache.Scope{Account: c.request.Account, Model: u.Model, Adapter: u.Adapter, Weights: u.Weights}
	key := fmt.Sprint(u.Name, " ", d.Incarnation)
	for _, level := range c.request.Levels {
		if d.Cached > 0 && level.Tokens == d.Cached {
			Expect(t.can[key][block{scope, level.Hash}]).To(BeTrue(), "no request ever brought this prefix to %s", key)
		}
	}
	now := fmt.Sprint(u.Name, " ", t.engines[u.Name].incarnation)
	for _, where := range []string{key, now} {
		if t.can[where] == nil {
			t.can[where] = map[block]bool{}
		}
		for _, level := range c.request.Levels {
			t.can[where][block{scope, level.Hash}] = true
		}
	}
}

func (t *turmoil) checkSizes() {
	for _, core := range t.cores {
		s := core.Sizes()
		Expect(s.Entries).To(BeNumerically("<=", t.entries))
		Expect(s.Hot).To(BeNumerically("<=", 64))
		Expect(min(s.Outstanding, s.Backlog, s.Wanted)).To(BeNumerically(">=", 0))
	}
}

// run sends 60 seconds of requests whose hot texts shift and waits until all ended.
func (t *turmoil) runAll(random *rand.Rand) {
	arrivals(random, 60*time.Second, func(at time.Duration) float64 { return 5 + 45*float64(at/(7*time.Second)%2) }, func(at time.Duration) {
		hot := uint64(at/(10*time.Second)) * 5
		c := newCall(random, len(t.calls), at, random.IntN(3), 1+random.IntN(60),
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
		t.calls = append(t.calls, c)
		t.at(at, func() { t.ask(c) })
	})
	t.run(2 * time.Minute)
	for _, c := range t.calls {
		Expect(c.served || c.refused).To(BeTrue(), "request %s never ended", c.request.ID)
	}
	for _, core := range t.cores {
		s := core.Sizes()
		Expect(s.Flights+s.Queued+s.Outstanding+s.Backlog+s.Wanted).To(BeZero(), "%+v left", s)
	}
}

var _ = Describe("core under crashes, gaps, drains, slowed upstreams and shifting prefixes", func() {
	for _, seed := range seeds(6) {
		It(fmt.Sprintf("keeps its invariants, seed %d", seed), func() {
			newTurmoil(seed).runAll(rand.New(rand.NewPCG(seed, 9)))
		})
	}
})
