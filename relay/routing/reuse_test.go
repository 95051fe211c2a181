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
	"github.com/chicoryrelay/chicoryrelay/relay/prompt"
	"github.com/chicoryrelay/chicoryrelay/relay/routing"
)

func saltFor(account string, v routing.Version) string {
	return account + "/" + v.Model + "/" + v.Weights
}

// reuseCore returns a core with the reuse policy before engines with memory for eight long prompts.
func reuseCore(n int, change ...func(i int, u *catalogue.Upstream)) *routing.Core {
	change = append([]func(int, *catalogue.Upstream){func(_ int, u *catalogue.Upstream) { u.Slots, u.Cache = 96, 81_000 }}, change...)
	return newCore(fleet(n, change...), routing.WithPolicy(routing.Reuse), routing.WithSalt(saltFor), routing.WithPrefill(28*time.Microsecond),
		routing.WithImport(4*time.Microsecond), routing.WithTimes(func(t *routing.Times) { t.Weights = 7 * time.Second }))
}

// partly returns a request whose prompt has the given parts, of which the last belongs to the request.
func partly(id string, parts ...int) routing.Request {
	r := routing.Request{ID: id, Model: "m", AnswerTokens: 10, Target: 600 * time.Millisecond}
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

// decideAt decides and fails the test on a refusal or a place in the queue.
func decideAt(core *routing.Core, now time.Duration, r routing.Request) routing.Decision {
	GinkgoHelper()
	d := core.Decide(now, r)
	Expect(d.Refusal).To(BeNil())
	Expect(d.Queued).To(BeFalse())
	return d
}

func finish(core *routing.Core, now time.Duration, r routing.Request, upstream string) {
	core.Step(now, routing.FirstToken{ID: r.ID, Upstream: upstream, Incarnation: 1})
	core.Step(now, routing.Finished{ID: r.ID, Upstream: upstream, Incarnation: 1, PromptTokens: r.PromptTokens, Uncounted: true})
}

var _ = Describe("reuse policy", func() {
	It("uses what another data centre of its cell holds, which spares each data centre a reading of its own", func() {
		elsewhere := func(i int, u *catalogue.Upstream) {
			u.DataCentre, u.Region = []string{"dc", "dc2"}[i%2], "r"
		}
		used := map[routing.Span]int{}
		for _, span := range []routing.Span{routing.Centre, routing.Region} {
			core := reuseCore(4, elsewhere)
			core.Step(0, routing.Cell{Span: span})
			for i := range 40 {
				r := partly(fmt.Sprint(i), 2000+i, 1500+i, 800)
				d := decideAt(core, time.Duration(i)*time.Second, r)
				finish(core, time.Duration(i)*time.Second+300*time.Millisecond, r, d.Upstream)
				if d.Upstream == "u1" || d.Upstream == "u3" {
					used[span]++
				}
			}
		}
		Expect(used[routing.Centre]).To(BeZero())
		Expect(used[routing.Region]).To(BeNumerically(">=", 10))
	})

	It("sends a request where its shared parts are, which spares their prefill", func() {
		core := reuseCore(4)
		r := partly("1", 2500, 3800, 2900)
		first := decideAt(core, 0, r)
		finish(core, 300*time.Millisecond, r, first.Upstream)
		for i := range 6 {
			id := fmt.Sprint(10 + i)
			now := time.Duration(i+1) * time.Second
			r := partly(id, 2500, 3800, 2900)
			d := decideAt(core, now, r)
			Expect(d.Upstream).To(Equal(first.Upstream))
			Expect(d.Cached).To(Equal(6300))
			finish(core, now+100*time.Millisecond, r, d.Upstream)
		}
	})

	It("chooses the same engine on every VM for parts that nobody holds yet", func() {
		a, b := reuseCore(6), reuseCore(6)
		for i := range 5 {
			r := partly(fmt.Sprint(i), 2500, 3800+i, 2900)
			chosen := decideAt(a, 0, r).Upstream
			Expect(decideAt(b, 0, r).Upstream).To(Equal(chosen))
			finish(a, 250*time.Millisecond, r, chosen)
			finish(b, 250*time.Millisecond, r, chosen)
		}
	})

	It("spreads a burst about one hot prompt over engines, which fetch the parts instead of reading them again", func() {
		core := reuseCore(4)
		r := partly("0", 2500, 3800, 2900)
		finish(core, 300*time.Millisecond, r, decideAt(core, 0, r).Upstream)
		went, fetched := map[string]int{}, 0
		for i := range 12 {
			d := decideAt(core, time.Second, partly(fmt.Sprint(i+1), 2500, 3800, 2900))
			went[d.Upstream]++
			if d.Fetch != "" {
				fetched++
				Expect(d.Cached).To(Equal(6300))
			}
		}
		Expect(len(went)).To(BeNumerically(">=", 3))
		Expect(fetched).To(BeNumerically(">=", 2))
	})

	It("relies on no part of another account, of other weights, or of a life that has ended", func() {
		core := reuseCore(1)
		r := partly("1", 2500, 3800, 2900)
		first := decideAt(core, 0, r)
		finish(core, 300*time.Millisecond, r, first.Upstream)
		expectUncached := func(now time.Duration, r routing.Request) {
			GinkgoHelper()
			Expect(decideAt(core, now, r).Cached).To(BeZero())
			finish(core, now+300*time.Millisecond, r, "u0")
		}
		other := partly("2", 2500, 3800, 2900)
		other.Account = "isolated"
		expectUncached(time.Second, other)
		core.Step(2*time.Second, routing.Parts{Upstream: "u0", Epoch: 5})
		expectUncached(2*time.Second, partly("3", 2500, 3800, 2900))
		core.Step(3*time.Second, routing.Upstreams{List: fleet(1, func(_ int, u *catalogue.Upstream) { u.Weights, u.Slots, u.Cache = "2", 96, 81_000 })})
		expectUncached(3*time.Second, partly("4", 2500, 3800, 2900))
	})

	It("believes the engines' own news: a part that was dropped is no longer counted on", func() {
		core := reuseCore(1)
		var keys []uint64
		for _, part := range []string{"part-0-2500", "part-1-3800"} {
			keys = append(keys, routing.PartKey(saltFor("", routing.Version{Model: "m", Weights: "1"}), part))
		}
		core.Step(0, routing.Parts{Upstream: "u0", Epoch: 1, Added: keys})
		r := partlyNamed("1", []string{"part-0-2500", "part-1-3800", "own"}, 2500, 3800, 2900)
		found := core.Decide(0, r)
		Expect(found.Cached).To(Equal(6300))
		finish(core, 90*time.Millisecond, r, "u0")
		core.Step(0, routing.Parts{Upstream: "u0", Epoch: 1, Removed: keys[1:]})
		found = core.Decide(time.Second, partlyNamed("2", []string{"part-0-2500", "part-1-3800", "own2"}, 2500, 3800, 2900))
		Expect(found.Cached).To(Equal(2500))
	})

	It("tells another VM all that an engine holds, so that a VM that restarts reads nothing again", func() {
		core := reuseCore(2)
		r := partly("1", 2500, 3800, 2900)
		d := decideAt(core, 0, r)
		epoch, keys := core.Held(d.Upstream)
		Expect(keys).To(HaveLen(3))
		restarted := reuseCore(2)
		restarted.Step(0, routing.Parts{Upstream: d.Upstream, Epoch: epoch, Added: keys})
		same := decideAt(restarted, 0, partly("2", 2500, 3800, 2900))
		Expect(same.Upstream).To(Equal(d.Upstream))
		Expect(same.Cached).To(Equal(6300))
		_, none := core.Held("unknown")
		Expect(none).To(BeEmpty())
	})

	It("prefers new weights once answers on older ones lose worth, and never begins on outdated ones", func() {
		weights := func(i int, u *catalogue.Upstream) {
			u.Slots, u.Cache, u.Weights = 96, 81_000, "1"
			if i < 2 {
				u.Weights = "2"
			}
		}
		core := reuseCore(4, weights)
		core.Step(0, routing.Newest{Model: "m", Weights: "2"})
		for i := range 6 {
			now := 2*time.Second + time.Duration(i)*50*time.Millisecond
			r := partly(fmt.Sprint(i), 500, 300)
			d := decideAt(core, now, r)
			Expect(d.Weights).To(Equal("2"))
			finish(core, now+30*time.Millisecond, r, d.Upstream)
		}
		core.Step(3*time.Second, routing.Upstreams{List: fleet(4, weights, func(i int, u *catalogue.Upstream) {
			if i < 2 {
				u.State = catalogue.Draining
			}
		})})
		r := partly("old", 500, 300)
		old := decideAt(core, 3*time.Second, r)
		Expect(old.Weights).To(Equal("1"))
		finish(core, 3030*time.Millisecond, r, old.Upstream)
		Expect(core.Decide(8*time.Second, partly("late", 500, 300)).Refusal).NotTo(BeNil())
	})
})

// runChecks sends n checks about one book to an engine that holds the book, and lets their answers run.
func runChecks(core *routing.Core, n int) (engine string) {
	GinkgoHelper()
	first := partly("first", 2520, 3780, 2890)
	engine = decideAt(core, 0, first).Upstream
	finish(core, 250*time.Millisecond, first, engine)
	for i := range n {
		now := time.Duration(i+1) * time.Second
		r := partly(fmt.Sprint("check", i), 2520, 3780, 2890)
		Expect(decideAt(core, now, r).Upstream).To(Equal(engine), "check %d", i)
		core.Step(now+80*time.Millisecond, routing.FirstToken{ID: r.ID, Upstream: engine, Incarnation: 1})
	}
	return engine
}

var _ = Describe("memory of engines under checks of one book", func() {
	It("holds the book once however many checks read it, so that its engine isn't taken for full and the book copied", func() {
		runChecks(reuseCore(4), 18)
	})

	It("is shared with what other VMs have there", func() {
		a, b := reuseCore(4), reuseCore(4)
		engine := runChecks(a, 12)
		tell := func(now time.Duration) {
			digest := a.Digest(now)
			digest.VM = "other"
			b.Step(now, digest)
		}
		epoch, keys := a.Held(engine)
		b.Step(20*time.Second, routing.Parts{Upstream: engine, Epoch: epoch, Added: keys})
		for i := range 6 {
			now := 20*time.Second + time.Duration(i)*100*time.Millisecond
			tell(now)
			r := partly(fmt.Sprint("here", i), 2520, 3780, 2890)
			Expect(decideAt(b, now, r).Upstream).To(Equal(engine), "check %d", i)
			b.Step(now+80*time.Millisecond, routing.FirstToken{ID: r.ID, Upstream: engine, Incarnation: 1})
		}
	})

	It("is given back when checks end", func() {
		core := reuseCore(1)
		for i := range 200 {
			r := partly(fmt.Sprint(i), 2520, 3780, 2890)
			finish(core, time.Duration(i)*time.Second, r, decideAt(core, time.Duration(i)*time.Second, r).Upstream)
		}
		Expect(core.Digest(200 * time.Second).Memory).To(BeEmpty())
	})

	DescribeTable("is not spent on copies where they evict parts that are wanted", func(full bool, copied bool) {
		core := reuseCore(2)
		for _, u := range []string{"u0", "u1"} {
			core.Step(0, routing.Parts{Upstream: u, Epoch: 1, Added: []uint64{1, 2, 3}})
			if full {
				core.Step(0, routing.Parts{Upstream: u, Epoch: 1, Removed: []uint64{1}})
			}
		}
		r := partly("0", 2520, 3780, 2890)
		finish(core, 250*time.Millisecond, r, decideAt(core, 0, r).Upstream)
		// The home still reads two prompts of its own.
		went := map[string]int{}
		for i := range 4 {
			went[decideAt(core, 2*time.Second, partly(fmt.Sprint(i+1), 2520, 3780, 2890)).Upstream]++
		}
		Expect(len(went) > 1).To(Equal(copied))
	}, Entry("memory is free", false, true), Entry("memory is full", true, false))
})

// burst lets VMs place checks of books of their own within the time between two digests, and returns the checks of each engine.
func burst(vms, engines, checks int, told bool) map[string]int {
	GinkgoHelper()
	cores := make([]*routing.Core, vms)
	for i := range cores {
		cores[i] = reuseCore(engines)
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
	went := map[string]int{}
	for n := range checks {
		now := time.Duration(n) * 5 * time.Millisecond
		at := n % vms
		d := decideAt(cores[at], now, partly(fmt.Sprint("check", n), 2520, 3000+n, 2890))
		went[d.Upstream]++
		Expect(d.Notice).NotTo(BeNil())
		for i, core := range cores {
			if notice := *d.Notice; told && i != at {
				notice.VM = fmt.Sprint("vm", at)
				core.Step(now, notice)
			}
		}
	}
	return went
}

var _ = Describe("checks of many VMs between two digests", func() {
	It("are spread over the engines, which VMs that wait for digests overload", func() {
		most := func(told bool) int {
			return slices.Max(slices.Collect(maps.Values(burst(20, 12, 60, told))))
		}
		// One and a half times the mean of 5.
		Expect(most(true)).To(BeNumerically("<=", 7))
		Expect(most(false)).To(BeNumerically(">", 7))
	})

	It("find parts that another VM just had read, also where the list tells of the engine's weights later", func() {
		newer := func(_ int, u *catalogue.Upstream) { u.Slots, u.Cache, u.Weights = 96, 81_000, "2" }
		knows, late := reuseCore(4, newer), reuseCore(4)
		first := decideAt(knows, 0, partly("first", 2520, 3780, 2890))
		notice := *first.Notice
		notice.VM = "vm1"
		late.Step(0, notice)
		late.Step(time.Second, routing.Upstreams{List: fleet(4, newer)})
		second := decideAt(late, time.Second, partly("second", 2520, 3780, 2890))
		Expect(second.Upstream).To(Equal(first.Upstream))
		Expect(second.Cached).To(Equal(6300))
	})

	It("are not told of when they have little to read", func() {
		core := reuseCore(2)
		Expect(decideAt(core, 0, partly("note", 119, 79, 200)).Notice).To(BeNil())
	})
})

// partlyNamed returns a request with parts of the given names.
func partlyNamed(id string, names []string, tokens ...int) routing.Request {
	r := routing.Request{ID: id, Model: "m", AnswerTokens: 10, Target: 600 * time.Millisecond}
	for i, name := range names {
		r.PromptTokens += tokens[i]
		r.Parts = append(r.Parts, routing.PartHash(name))
		r.Levels = append(r.Levels, prompt.Level{Hash: uint64(i + 1), Tokens: r.PromptTokens})
	}
	return r
}

// load is a wave of long checks and short notes over some seconds, as on the users' heaviest days: checks of 9,190 tokens about
// eighty books in four families, notes of 826 tokens.
type load struct {
	checks, notes float64
}

// running is one request at an engine; rest is what the answer takes after its first token, 0 once that is told.
type running struct {
	at       time.Duration
	request  routing.Request
	upstream string
	rest     time.Duration
}

// wave plays a load on a core and counts which engines got how many checks and notes.
type wave struct {
	core    *routing.Core
	now     time.Duration
	runs    []running
	waiting map[string]func(upstream string)
}

func (w *wave) tell(m routing.Message) {
	for _, d := range w.core.Step(w.now, m).Dispatch {
		if begin := w.waiting[d.ID]; begin != nil && d.Decision.Upstream != "" {
			begin(d.Decision.Upstream)
		}
		delete(w.waiting, d.ID)
	}
}

// end reports the first tokens and ends that are due.
func (w *wave) end() {
	sort.Slice(w.runs, func(i, j int) bool { return w.runs[i].at < w.runs[j].at })
	for len(w.runs) > 0 && w.runs[0].at <= w.now {
		run := w.runs[0]
		w.runs = w.runs[1:]
		if run.rest > 0 {
			w.runs = append(w.runs, running{w.now + run.rest, run.request, run.upstream, 0})
			w.tell(routing.FirstToken{ID: run.request.ID, Upstream: run.upstream, Incarnation: 1})
			continue
		}
		w.tell(routing.Finished{ID: run.request.ID, Upstream: run.upstream, Incarnation: 1, PromptTokens: run.request.PromptTokens, Uncounted: true})
	}
}

func (w *wave) send(r routing.Request, first, rest time.Duration, into map[string]int) {
	begin := func(upstream string) {
		if w.now > 3*time.Second {
			into[upstream]++
		}
		w.runs = append(w.runs, running{w.now + first, r, upstream, rest})
	}
	if d := w.core.Decide(w.now, r); d.Queued {
		w.waiting[r.ID] = begin
	} else if d.Upstream != "" {
		begin(d.Upstream)
	}
}

// play returns how many checks and notes each engine got, and the lesser of both.
func (l load) play(core *routing.Core, seconds int) (checks, notes, both map[string]int) {
	checks, notes = l.extend(&wave{core: core, waiting: map[string]func(string){}}, seconds)
	both = map[string]int{}
	for engine := range notes {
		both[engine] = min(checks[engine], notes[engine])
	}
	return checks, notes, both
}

// extend plays the load for some more seconds.
func (l load) extend(w *wave, seconds int) (checks, notes map[string]int) {
	random := rand.New(rand.NewPCG(4, 4))
	checks, notes = map[string]int{}, map[string]int{}
	for step := int(w.now / (10 * time.Millisecond)); seconds > 0; step++ {
		if step%100 == 99 {
			seconds--
		}
		w.now = time.Duration(step+1) * 10 * time.Millisecond
		w.tell(routing.Tick{})
		w.end()
		if random.Float64() < l.checks/100 {
			book := random.IntN(80)
			names := []string{fmt.Sprint("family", book%4), fmt.Sprint("book", book), fmt.Sprint("own", step)}
			w.send(partlyNamed(fmt.Sprint("c", step), names, 2520, 3780, 2890), 150*time.Millisecond, 150*time.Millisecond, checks)
		}
		if random.Float64() < l.notes/100 {
			note := partlyNamed(fmt.Sprint("n", step), []string{fmt.Sprint("style", step%40), fmt.Sprint("own", step)}, 198, 628)
			note.Idempotent, note.Target = true, 400*time.Millisecond
			w.send(note, 30*time.Millisecond, 500*time.Millisecond, notes)
		}
	}
	return checks, notes
}

var _ = Describe("lanes under the load of long checks beside short notes", func() {
	It("keep notes apart from checks, whose prefill would lengthen the pauses between the notes' events", func() {
		core := reuseCore(9)
		checks, notes, both := load{checks: 25, notes: 40}.play(core, 12)
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

	It("stay as they are through the trough of a wave, in which an engine that changes lanes would have both kinds of work", func() {
		w := &wave{core: reuseCore(9), waiting: map[string]func(string){}}
		_, crest := load{notes: 80}.extend(w, 8)
		checks, _ := load{checks: 20, notes: 8}.extend(w, 9)
		stray, all := 0, 0
		for engine, n := range checks {
			all += n
			// Notes that a busy moment sent elsewhere make no lane.
			if crest[engine] > 40 {
				stray += n
			}
		}
		Expect(all).To(BeNumerically(">", 100))
		Expect(stray).To(BeNumerically("<", all/20))
	})

	It("leave no engine idle beside too few for the notes when these grow", func() {
		_, few, _ := load{notes: 10}.play(reuseCore(9), 8)
		_, many, _ := load{notes: 80}.play(reuseCore(9), 8)
		Expect(len(many)).To(BeNumerically(">", len(few)))
	})
})
