package routing_test

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"sort"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/chicoryrelay/chicoryrelay/relay/catalogue"
	"github.com/chicoryrelay/chicoryrelay/relay/outcome"
	"github.com/chicoryrelay/chicoryrelay/relay/prompt"
	"github.com/chicoryrelay/chicoryrelay/relay/routing"
)

func saltFor(account string, v routing.Version) string {
	return account + "/" + v.Model + "/" + v.Weights
}

// newReuseCore returns a core with the reuse policy in front of n engines, each with memory for eight long prompts.
func newReuseCore(n int, change ...func(i int, u *catalogue.Upstream)) *routing.Core {
	change = append([]func(int, *catalogue.Upstream){func(_ int, u *catalogue.Upstream) { u.Slots, u.Cache = 96, 81_000 }}, change...)
	return newCore(newUpstreams(n, change...), routing.WithPolicy(routing.Reuse), routing.WithSalt(saltFor), routing.WithPrefill(28*time.Microsecond),
		routing.WithImport(4*time.Microsecond), routing.WithTimes(func(t *routing.Times) { t.OutdatedAfter = 7 * time.Second }))
}

// requestWithParts returns a request with parts of the given numbers of tokens; the last part is unique to the request.
func requestWithParts(id string, parts ...int) routing.Request {
	r := routing.Request{ID: id, Model: "m", AnswerTokens: 10, TargetTTFT: 600 * time.Millisecond}
	hash := uint64(1)
	for i, tokens := range parts {
		part := fmt.Sprintf("part-%d-%d", i, tokens)
		if i == len(parts)-1 {
			part = id
		}
		key := routing.PartHash(part)
		hash = hash*31 + key
		r.PromptTokens += tokens
		r.Parts = append(r.Parts, key)
		r.Levels = append(r.Levels, prompt.Level{Hash: hash, Tokens: r.PromptTokens})
	}
	return r
}

// mustDecide returns the decision and fails the test if the request was refused or queued.
func mustDecide(core *routing.Core, now time.Duration, r routing.Request) routing.Decision {
	GinkgoHelper()
	d := core.Decide(now, r)
	Expect(d.Refusal).To(BeNil())
	Expect(d.Queued).To(BeFalse())
	return d
}

func finish(core *routing.Core, now time.Duration, r routing.Request, upstream string) {
	core.Step(now, routing.FirstToken{ID: r.ID, Upstream: upstream, Incarnation: 1})
	core.Step(now, routing.Finished{ID: r.ID, Upstream: upstream, Incarnation: 1, PromptTokens: r.PromptTokens, CountsMissing: true})
}

var _ = Describe("reuse policy", func() {
	It("uses parts that another data centre of the cell has cached, so that not every data centre prefills them", func() {
		twoCentres := func(i int, u *catalogue.Upstream) {
			u.DataCentre, u.Region = []string{"dc", "dc2"}[i%2], "r"
		}
		used := map[routing.Span]int{}
		for _, span := range []routing.Span{routing.Centre, routing.Region} {
			core := newReuseCore(4, twoCentres)
			core.Step(0, routing.CellSpan{Span: span})
			for i := range 40 {
				r := requestWithParts(fmt.Sprint(i), 2000+i, 1500+i, 800)
				d := mustDecide(core, time.Duration(i)*time.Second, r)
				finish(core, time.Duration(i)*time.Second+300*time.Millisecond, r, d.Upstream)
				if d.Upstream == "u1" || d.Upstream == "u3" {
					used[span]++
				}
			}
		}
		Expect(used[routing.Centre]).To(BeZero())
		Expect(used[routing.Region]).To(BeNumerically(">=", 10))
	})

	It("sends a request to the engine that has its shared parts cached, so that they aren't prefilled again", func() {
		core := newReuseCore(4)
		r := requestWithParts("1", 2500, 3800, 2900)
		first := mustDecide(core, 0, r)
		finish(core, 300*time.Millisecond, r, first.Upstream)
		for i := range 6 {
			id := fmt.Sprint(10 + i)
			now := time.Duration(i+1) * time.Second
			r := requestWithParts(id, 2500, 3800, 2900)
			d := mustDecide(core, now, r)
			Expect(d.Upstream).To(Equal(first.Upstream))
			Expect(d.CachedTokens).To(Equal(6300))
			finish(core, now+100*time.Millisecond, r, d.Upstream)
		}
	})

	It("chooses the same engine on every VM for parts that no engine has cached yet", func() {
		a, b := newReuseCore(6), newReuseCore(6)
		for i := range 5 {
			r := requestWithParts(fmt.Sprint(i), 2500, 3800+i, 2900)
			chosen := mustDecide(a, 0, r).Upstream
			Expect(mustDecide(b, 0, r).Upstream).To(Equal(chosen))
			finish(a, 250*time.Millisecond, r, chosen)
			finish(b, 250*time.Millisecond, r, chosen)
		}
	})

	It("spreads a burst of requests with one hot prompt over engines, which fetch the parts instead of prefilling them again", func() {
		core := newReuseCore(4)
		r := requestWithParts("0", 2500, 3800, 2900)
		finish(core, 300*time.Millisecond, r, mustDecide(core, 0, r).Upstream)
		counts, fetched := map[string]int{}, 0
		for i := range 12 {
			d := mustDecide(core, time.Second, requestWithParts(fmt.Sprint(i+1), 2500, 3800, 2900))
			counts[d.Upstream]++
			if d.FetchFrom != "" {
				fetched++
				Expect(d.CachedTokens).To(Equal(6300))
			}
		}
		Expect(len(counts)).To(BeNumerically(">=", 3))
		Expect(fetched).To(BeNumerically(">=", 2))
	})

	It("counts on no cached part of another account, of other weights or of an earlier incarnation", func() {
		core := newReuseCore(1)
		r := requestWithParts("1", 2500, 3800, 2900)
		first := mustDecide(core, 0, r)
		finish(core, 300*time.Millisecond, r, first.Upstream)
		expectUncached := func(now time.Duration, r routing.Request) {
			GinkgoHelper()
			Expect(mustDecide(core, now, r).CachedTokens).To(BeZero())
			finish(core, now+300*time.Millisecond, r, "u0")
		}
		other := requestWithParts("2", 2500, 3800, 2900)
		other.Account = "isolated"
		expectUncached(time.Second, other)
		core.Step(2*time.Second, routing.PartUpdate{Upstream: "u0", Epoch: 5})
		expectUncached(2*time.Second, requestWithParts("3", 2500, 3800, 2900))
		core.Step(3*time.Second, routing.Upstreams{List: newUpstreams(1, func(_ int, u *catalogue.Upstream) { u.Weights, u.Slots, u.Cache = "2", 96, 81_000 })})
		expectUncached(3*time.Second, requestWithParts("4", 2500, 3800, 2900))
	})

	It("follows the engines' reports of parts, so that an evicted part is no longer counted on", func() {
		core := newReuseCore(1)
		var keys []uint64
		for _, part := range []string{"part-0-2500", "part-1-3800"} {
			keys = append(keys, routing.PartKey(saltFor("", routing.Version{Model: "m", Weights: "1"}), part))
		}
		core.Step(0, routing.PartUpdate{Upstream: "u0", Epoch: 1, Added: keys})
		r := requestWithNamedParts("1", []string{"part-0-2500", "part-1-3800", "own"}, 2500, 3800, 2900)
		found := core.Decide(0, r)
		Expect(found.CachedTokens).To(Equal(6300))
		finish(core, 90*time.Millisecond, r, "u0")
		core.Step(0, routing.PartUpdate{Upstream: "u0", Epoch: 1, Removed: keys[1:]})
		found = core.Decide(time.Second, requestWithNamedParts("2", []string{"part-0-2500", "part-1-3800", "own2"}, 2500, 3800, 2900))
		Expect(found.CachedTokens).To(Equal(2500))
	})

	It("reports an engine's cached parts to a restarted VM, so that they aren't prefilled again", func() {
		core := newReuseCore(2)
		r := requestWithParts("1", 2500, 3800, 2900)
		d := mustDecide(core, 0, r)
		epoch, keys := core.CachedParts(d.Upstream)
		Expect(keys).To(HaveLen(3))
		restarted := newReuseCore(2)
		restarted.Step(0, routing.PartUpdate{Upstream: d.Upstream, Epoch: epoch, Added: keys})
		same := mustDecide(restarted, 0, requestWithParts("2", 2500, 3800, 2900))
		Expect(same.Upstream).To(Equal(d.Upstream))
		Expect(same.CachedTokens).To(Equal(6300))
		_, none := core.CachedParts("unknown")
		Expect(none).To(BeEmpty())
	})

	It("prefers new weights once answers from older ones lose value, and sends no request to outdated ones", func() {
		weights := func(i int, u *catalogue.Upstream) {
			u.Slots, u.Cache, u.Weights = 96, 81_000, "1"
			if i < 2 {
				u.Weights = "2"
			}
		}
		core := newReuseCore(4, weights)
		core.Step(0, routing.NamedWeights{Model: "m", Weights: "2"})
		for i := range 6 {
			now := 2*time.Second + time.Duration(i)*50*time.Millisecond
			r := requestWithParts(fmt.Sprint(i), 500, 300)
			d := mustDecide(core, now, r)
			Expect(d.Weights).To(Equal("2"))
			finish(core, now+30*time.Millisecond, r, d.Upstream)
		}
		core.Step(3*time.Second, routing.Upstreams{List: newUpstreams(4, weights, func(i int, u *catalogue.Upstream) {
			if i < 2 {
				u.State = catalogue.Draining
			}
		})})
		r := requestWithParts("old", 500, 300)
		old := mustDecide(core, 3*time.Second, r)
		Expect(old.Weights).To(Equal("1"))
		finish(core, 3030*time.Millisecond, r, old.Upstream)
		Expect(core.Decide(8*time.Second, requestWithParts("late", 500, 300)).Refusal).NotTo(BeNil())
	})
})

var _ = Describe("a request that is limited to some engines", func() {
	decide := func(core *routing.Core, now time.Duration, only ...string) routing.Decision {
		r := requestWithParts(fmt.Sprint(now, only), 2500, 3800, 2900)
		r.Only, r.Exclude, r.Attempt = only, only, len(only)
		return core.Decide(now, r)
	}
	name := func(i int) string { return newUpstreams(4)[i].Name }

	It("goes to the first of them, however much cheaper others are", func() {
		core := newReuseCore(4)
		first := requestWithParts("first", 2500, 3800, 2900)
		holder := mustDecide(core, 0, first).Upstream
		for i := range 4 {
			Expect(decide(core, time.Second, name(i), holder).Upstream).To(Equal(name(i)))
		}
	})

	It("goes to the one with the newest weights, by number, and to none with outdated ones", func() {
		weights := func(i int, u *catalogue.Upstream) { u.Weights = []string{"9", "10", "2", "9"}[i] }
		core := newReuseCore(4, weights)
		Expect(decide(core, 0, name(0), name(1)).Upstream).To(Equal(name(1)))
		core.Step(0, routing.NamedWeights{Model: "m", Weights: "3", Age: time.Hour})
		Expect(decide(core, time.Second, name(2)).Refusal).NotTo(BeNil())
		Expect(decide(core, time.Second, name(2), name(3)).Upstream).To(Equal(name(3)))
	})

	It("is refused at once instead of queued if none of them takes requests", func() {
		core := newReuseCore(4, func(i int, u *catalogue.Upstream) {
			if i == 0 {
				u.State = catalogue.Draining
			}
		})
		for _, d := range []routing.Decision{decide(core, 0, name(0)), decide(core, 0, "unknown")} {
			Expect(d.Queued).To(BeFalse())
			Expect(d.Refusal.Kind).To(Equal(outcome.NoUpstream))
		}
		Expect(decide(core, time.Second, name(0), name(1)).Upstream).To(Equal(name(1)))
	})
})

var _ = Describe("weights versions", func() {
	// usable returns whether a new core, which learns of the namings at the given time, sends requests to engines on a version.
	usable := func(now time.Duration, version string, namings ...routing.NamedWeights) bool {
		core := newReuseCore(2, func(_ int, u *catalogue.Upstream) { u.Weights = version })
		for _, naming := range namings {
			core.Step(now, naming)
		}
		return core.Decide(now, requestWithParts("r", 500, 300)).Refusal == nil
	}
	named := func(version string, age time.Duration) routing.NamedWeights {
		return routing.NamedWeights{Model: "m", Weights: version, Age: age}
	}

	// Guards against a VM that counts the age of a version from its own start.
	It("make older ones outdated by the time since their naming, not since this VM has learned of it", func() {
		Expect(usable(time.Second, "1", named("2", 6900*time.Millisecond))).To(BeTrue())
		Expect(usable(time.Second, "1", named("2", 7*time.Second))).To(BeFalse())
		Expect(usable(time.Second, "2", named("2", time.Hour))).To(BeTrue())
	})

	It("make all older ones outdated that the next version after them does, whatever was named since, in any order of learning", func() {
		namings := []routing.NamedWeights{named("5", 2*time.Second), named("3", 8*time.Second), named("4", 5*time.Second)}
		for version, want := range map[string]bool{"1": false, "2": false, "3": true, "4": true, "5": true} {
			Expect(usable(time.Second, version, namings...)).To(Equal(want), "version %s", version)
			Expect(usable(time.Second, version, namings[2], namings[0], namings[1])).To(Equal(want), "version %s", version)
		}
	})

	It("count from their earliest naming when another time is learned", func() {
		Expect(usable(time.Second, "1", named("2", time.Second), named("2", 8*time.Second))).To(BeFalse())
		Expect(usable(time.Second, "1", named("2", 8*time.Second), named("2", time.Second))).To(BeFalse())
	})

	It("remain outdated when more versions are named than are kept", func() {
		namings := []routing.NamedWeights{named("2", 8*time.Second)}
		for i := range 20 {
			namings = append(namings, named(fmt.Sprint(3+i), time.Second))
		}
		Expect(usable(time.Second, "1", namings...)).To(BeFalse())
	})
})

// sendChecks sends n checks, which are long requests that share the parts of a book, to an engine that has the book cached. Their
// answers don't end.
func sendChecks(core *routing.Core, n int) (engine string) {
	GinkgoHelper()
	first := requestWithParts("first", 2520, 3780, 2890)
	engine = mustDecide(core, 0, first).Upstream
	finish(core, 250*time.Millisecond, first, engine)
	for i := range n {
		now := time.Duration(i+1) * time.Second
		r := requestWithParts(fmt.Sprint("check", i), 2520, 3780, 2890)
		Expect(mustDecide(core, now, r).Upstream).To(Equal(engine), "check %d", i)
		core.Step(now+80*time.Millisecond, routing.FirstToken{ID: r.ID, Upstream: engine, Incarnation: 1})
	}
	return engine
}

var _ = Describe("engine memory under many checks of one book", func() {
	It("is estimated with the book counted once, so that the engine isn't taken for full and the book isn't copied", func() {
		sendChecks(newReuseCore(4), 18)
	})

	It("is estimated with the book counted once for the checks of all VMs", func() {
		a, b := newReuseCore(4), newReuseCore(4)
		engine := sendChecks(a, 12)
		publishDigest := func(now time.Duration) {
			digest := a.Digest(now)
			digest.VM = "other"
			b.Step(now, digest)
		}
		epoch, keys := a.CachedParts(engine)
		b.Step(20*time.Second, routing.PartUpdate{Upstream: engine, Epoch: epoch, Added: keys})
		for i := range 6 {
			now := 20*time.Second + time.Duration(i)*100*time.Millisecond
			publishDigest(now)
			r := requestWithParts(fmt.Sprint("here", i), 2520, 3780, 2890)
			Expect(mustDecide(b, now, r).Upstream).To(Equal(engine), "check %d", i)
			b.Step(now+80*time.Millisecond, routing.FirstToken{ID: r.ID, Upstream: engine, Incarnation: 1})
		}
	})

	It("is freed when the checks end", func() {
		core := newReuseCore(1)
		for i := range 200 {
			r := requestWithParts(fmt.Sprint(i), 2520, 3780, 2890)
			finish(core, time.Duration(i)*time.Second, r, mustDecide(core, time.Duration(i)*time.Second, r).Upstream)
		}
		Expect(core.Digest(200 * time.Second).MemoryTokens).To(BeEmpty())
	})

	DescribeTable("is used for copies of the book only if that evicts no other parts", func(full bool, copied bool) {
		core := newReuseCore(2)
		for _, u := range []string{"u0", "u1"} {
			core.Step(0, routing.PartUpdate{Upstream: u, Epoch: 1, Added: []uint64{1, 2, 3}})
			if full {
				core.Step(0, routing.PartUpdate{Upstream: u, Epoch: 1, Removed: []uint64{1}})
			}
		}
		r := requestWithParts("0", 2520, 3780, 2890)
		finish(core, 250*time.Millisecond, r, mustDecide(core, 0, r).Upstream)
		// All arrive at once, so that the home still has two prompts to prefill when the last ones are placed.
		counts := map[string]int{}
		for i := range 4 {
			counts[mustDecide(core, 2*time.Second, requestWithParts(fmt.Sprint(i+1), 2520, 3780, 2890)).Upstream]++
		}
		Expect(len(counts) > 1).To(Equal(copied))
	}, Entry("when memory is free", false, true), Entry("when memory is full", true, false))
})

// placeBurst places checks of different books from several VMs within the time between two digests, and returns their number by
// engine. withNotices delivers the notices of placements to the other VMs.
func placeBurst(vms, engines, checks int, withNotices bool) map[string]int {
	GinkgoHelper()
	cores := make([]*routing.Core, vms)
	for i := range cores {
		cores[i] = newReuseCore(engines)
	}
	for _, from := range cores {
		for i, to := range cores {
			if to != from {
				digest := from.Digest(0)
				digest.VM = fmt.Sprint("vm", slices.Index(cores, from))
				cores[i].Step(0, digest)
			}
		}
	}
	counts := map[string]int{}
	for n := range checks {
		now := time.Duration(n) * 5 * time.Millisecond
		at := n % vms
		d := mustDecide(cores[at], now, requestWithParts(fmt.Sprint("check", n), 2520, 3000+n, 2890))
		counts[d.Upstream]++
		Expect(d.Notice).NotTo(BeNil())
		for i, core := range cores {
			if notice := *d.Notice; withNotices && i != at {
				notice.VM = fmt.Sprint("vm", at)
				core.Step(now, notice)
			}
		}
	}
	return counts
}

var _ = Describe("checks of many VMs between two digests", func() {
	It("are spread over the engines by notices of placements, without which some engines are overloaded", func() {
		highest := func(withNotices bool) int {
			return slices.Max(slices.Collect(maps.Values(placeBurst(20, 12, 60, withNotices))))
		}
		// The bound is 1.5 times the mean of 5, rounded down.
		Expect(highest(true)).To(BeNumerically("<=", 7))
		Expect(highest(false)).To(BeNumerically(">", 7))
	})

	It("use parts that another VM's request has just prefilled, even if the list of upstreams names the engine's new weights later", func() {
		newer := func(_ int, u *catalogue.Upstream) { u.Slots, u.Cache, u.Weights = 96, 81_000, "2" }
		current, late := newReuseCore(4, newer), newReuseCore(4)
		first := mustDecide(current, 0, requestWithParts("first", 2520, 3780, 2890))
		notice := *first.Notice
		notice.VM = "vm1"
		late.Step(0, notice)
		late.Step(time.Second, routing.Upstreams{List: newUpstreams(4, newer)})
		second := mustDecide(late, time.Second, requestWithParts("second", 2520, 3780, 2890))
		Expect(second.Upstream).To(Equal(first.Upstream))
		Expect(second.CachedTokens).To(Equal(6300))
	})

	It("cause no notice when they have little to prefill", func() {
		core := newReuseCore(2)
		Expect(mustDecide(core, 0, requestWithParts("note", 119, 79, 200)).Notice).To(BeNil())
	})
})

// requestWithNamedParts returns a request with parts of the given names.
func requestWithNamedParts(id string, names []string, tokens ...int) routing.Request {
	r := routing.Request{ID: id, Model: "m", AnswerTokens: 10, TargetTTFT: 600 * time.Millisecond}
	for i, name := range names {
		r.PromptTokens += tokens[i]
		r.Parts = append(r.Parts, routing.PartHash(name))
		r.Levels = append(r.Levels, prompt.Level{Hash: uint64(i + 1), Tokens: r.PromptTokens})
	}
	return r
}

// mixedLoad is the number of long checks and short notes per second, as on the users' heaviest days: checks have 9,190 tokens
// about one of eighty books in four families, notes 826 tokens.
type mixedLoad struct {
	checks, notes float64
}

// runningRequest is one request at an engine; due is the time of its first token or end, decodeTime the time from the first token
// to the end, 0 once the first token was reported.
type runningRequest struct {
	due        time.Duration
	request    routing.Request
	upstream   string
	decodeTime time.Duration
}

// loadRun is the state of a load that is played on a core; queued has the functions that start queued requests, by ID.
type loadRun struct {
	core    *routing.Core
	now     time.Duration
	running []runningRequest
	queued  map[string]func(upstream string)
}

func (lr *loadRun) stepCore(m routing.Message) {
	for _, d := range lr.core.Step(lr.now, m).Released {
		if start := lr.queued[d.ID]; start != nil && d.Decision.Upstream != "" {
			start(d.Decision.Upstream)
		}
		delete(lr.queued, d.ID)
	}
}

// deliverDue reports the first tokens and ends that are due to the core.
func (lr *loadRun) deliverDue() {
	sort.Slice(lr.running, func(i, j int) bool { return lr.running[i].due < lr.running[j].due })
	for len(lr.running) > 0 && lr.running[0].due <= lr.now {
		run := lr.running[0]
		lr.running = lr.running[1:]
		if run.decodeTime > 0 {
			lr.running = append(lr.running, runningRequest{lr.now + run.decodeTime, run.request, run.upstream, 0})
			lr.stepCore(routing.FirstToken{ID: run.request.ID, Upstream: run.upstream, Incarnation: 1})
			continue
		}
		lr.stepCore(routing.Finished{ID: run.request.ID, Upstream: run.upstream, Incarnation: 1, PromptTokens: run.request.PromptTokens, CountsMissing: true})
	}
}

func (lr *loadRun) send(r routing.Request, first, decodeTime time.Duration, counts map[string]int) {
	start := func(upstream string) {
		if lr.now > 3*time.Second {
			counts[upstream]++
		}
		lr.running = append(lr.running, runningRequest{lr.now + first, r, upstream, decodeTime})
	}
	if d := lr.core.Decide(lr.now, r); d.Queued {
		lr.queued[r.ID] = start
	} else if d.Upstream != "" {
		start(d.Upstream)
	}
}

// play plays the load from the start and returns the checks and notes by engine, and the smaller of the two numbers by engine.
func (l mixedLoad) play(core *routing.Core, seconds int) (checks, notes, both map[string]int) {
	checks, notes = l.resume(&loadRun{core: core, queued: map[string]func(string){}}, seconds)
	both = map[string]int{}
	for engine := range notes {
		both[engine] = min(checks[engine], notes[engine])
	}
	return checks, notes, both
}

// resume plays the load for some more seconds and returns the checks and notes by engine after the first 3 s.
func (l mixedLoad) resume(lr *loadRun, seconds int) (checks, notes map[string]int) {
	random := rand.New(rand.NewPCG(4, 4))
	checks, notes = map[string]int{}, map[string]int{}
	for step := int(lr.now / (10 * time.Millisecond)); seconds > 0; step++ {
		if step%100 == 99 {
			seconds--
		}
		lr.now = time.Duration(step+1) * 10 * time.Millisecond
		lr.stepCore(routing.Tick{})
		lr.deliverDue()
		if random.Float64() < l.checks/100 {
			book := random.IntN(80)
			names := []string{fmt.Sprint("family", book%4), fmt.Sprint("book", book), fmt.Sprint("own", step)}
			lr.send(requestWithNamedParts(fmt.Sprint("c", step), names, 2520, 3780, 2890), 150*time.Millisecond, 150*time.Millisecond, checks)
		}
		if random.Float64() < l.notes/100 {
			note := requestWithNamedParts(fmt.Sprint("n", step), []string{fmt.Sprint("style", step%40), fmt.Sprint("own", step)}, 198, 628)
			note.Idempotent, note.TargetTTFT = true, 400*time.Millisecond
			lr.send(note, 30*time.Millisecond, 500*time.Millisecond, notes)
		}
	}
	return checks, notes
}

var _ = Describe("lanes under a mixed load of long checks and short notes", func() {
	It("keep notes apart from checks, whose prefill would lengthen the pauses between the stream events of the notes", func() {
		core := newReuseCore(9)
		checks, notes, both := mixedLoad{checks: 25, notes: 40}.play(core, 12)
		mixed, all := 0, 0
		for _, n := range both {
			mixed += n
		}
		for _, n := range notes {
			all += n
		}
		Expect(len(notes)).To(BeNumerically("<=", 6))
		Expect(len(checks)).To(BeNumerically(">=", 5))
		Expect(mixed).To(BeNumerically("<", all/5))
	})

	It("stay unchanged while the load of notes is low for some seconds, since an engine that changes lanes would have both kinds of work", func() {
		lr := &loadRun{core: newReuseCore(9), queued: map[string]func(string){}}
		_, peakNotes := mixedLoad{notes: 80}.resume(lr, 8)
		checks, _ := mixedLoad{checks: 20, notes: 8}.resume(lr, 9)
		misplaced, all := 0, 0
		for engine, n := range checks {
			all += n
			// An engine with fewer notes only took overflow and isn't in the lane of the notes.
			if peakNotes[engine] > 40 {
				misplaced += n
			}
		}
		Expect(all).To(BeNumerically(">", 100))
		Expect(misplaced).To(BeNumerically("<", all/20))
	})

	It("add engines for the notes when their load grows, so that none stays idle", func() {
		_, few, _ := mixedLoad{notes: 10}.play(newReuseCore(9), 8)
		_, many, _ := mixedLoad{notes: 80}.play(newReuseCore(9), 8)
		Expect(len(many)).To(BeNumerically(">", len(few)))
	})
})
