package routing_test

import (
	"fmt"
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/chicoryrelay/chicoryrelay/relay/catalogue"
	"github.com/chicoryrelay/chicoryrelay/relay/outcome"
	"github.com/chicoryrelay/chicoryrelay/relay/routing"
)

// roomDay is a load of prompts of 1,000 to 15,000 tokens with long answers, above what the engines' memory holds, on ten VMs.
type roomDay struct {
	room    float64
	seed    uint64
	engines int
	// cutAt is when the VMs begin to receive nothing from one another, for two seconds.
	cutAt time.Duration
}

// play returns the most tokens that one engine held, and the simulation.
func (d roomDay) play() (int, *loadSim) {
	const vms = 10
	var cores []*routing.Core
	for vm := range vms {
		cores = append(cores, newRoomCore(vm, d.engines, routing.WithRoom(d.room), routing.WithRandom(rand.New(rand.NewPCG(d.seed, uint64(vm))))))
	}
	s := newLoadSim(cores, d.engines)
	for vm := range vms {
		var peers []string
		for other := range vms {
			if other != vm {
				peers = append(peers, fmt.Sprint("vm", other))
			}
		}
		s.step(vm, routing.CellSpan{Span: routing.Everywhere, Peers: peers})
	}
	random := rand.New(rand.NewPCG(d.seed, 99))
	s.run(d.cutAt+4*time.Second, func() {
		s.cut = s.now >= d.cutAt && s.now < d.cutAt+2*time.Second
		for vm := range vms {
			for range s.every(0.6*float64(d.engines), float64(vm)/vms) {
				s.arrive(vm, fmt.Sprint("account", random.IntN(4)), 1000+random.IntN(14_000), 200+random.IntN(400))
			}
		}
	})
	peak := 0
	for _, e := range s.order {
		peak = max(peak, e.peak)
	}
	return peak, s
}

// capacity is the memory of an engine in tokens, as newRoomCore sets it.
const capacity = 81_000

var _ = Describe("ten VMs that send more than the engines' memory holds", func() {
	// Guards against engines that end because each VM fills the memory that it believes to be free.
	It("keep within it, also while they receive nothing from one another for two seconds", func() {
		most := 0
		for _, seed := range seeds(2) {
			for _, cutAt := range []time.Duration{0, time.Second, 3 * time.Second} {
				for _, engines := range []int{4, 12, 30} {
					peak, _ := roomDay{room: []float64{0.6, 0.8}[seed%2], seed: seed, engines: engines, cutAt: cutAt}.play()
					Expect(peak).To(BeNumerically("<=", capacity), "seed %d, cut at %v, %d engines", seed, cutAt, engines)
					most = max(most, peak)
				}
			}
		}
		AddReportEntry("most tokens at one engine", most)
	})

	It("exceed it without a limit on room", func() {
		peak, _ := roomDay{seed: 1, engines: 12, cutAt: 3 * time.Second}.play()
		Expect(peak).To(BeNumerically(">", capacity))
	})

	It("refuse what finds no room as not run, with the time in which the queue drains", func() {
		_, s := roomDay{room: 0.6, seed: 1, engines: 4, cutAt: 8 * time.Second}.play()
		served, refused := 0, 0
		for _, a := range s.accounts {
			served, refused = served+a.served, refused+a.refused
		}
		Expect(served).To(BeNumerically(">", 50))
		Expect(refused).To(BeNumerically(">", 50))
		Expect(s.retryAfter).To(BeNumerically(">", 0))
	})
})

var _ = Describe("room at an engine", func() {
	It("is given to one request of any size if the engine holds nothing", func() {
		core := newRoomCore(0, 1, routing.WithRoom(0.5))
		d := core.Decide(0, requestWithParts("1", 10_000, 60_000))
		Expect(d.Upstream).To(Equal("u0"))
		Expect(core.Decide(0, requestWithParts("2", 100, 100)).Queued).To(BeTrue())
		released := core.Step(500*time.Millisecond, routing.Finished{ID: "1", Upstream: "u0", Incarnation: 1, PromptTokens: 70_000, CountsMissing: true}).Released
		Expect(released).To(HaveLen(1))
	})

	It("counts parts once that requests in progress share", func() {
		core := newRoomCore(0, 1, routing.WithRoom(0.5))
		for i := range 8 {
			Expect(core.Decide(time.Duration(i)*time.Millisecond, requestWithParts(fmt.Sprint(i), 30_000, 100)).Upstream).To(Equal("u0"))
			core.Step(time.Duration(i)*time.Millisecond, routing.FirstToken{ID: fmt.Sprint(i), Upstream: "u0", Incarnation: 1})
		}
	})

	It("counts the answers that are expected", func() {
		core := newRoomCore(0, 1, routing.WithRoom(0.5))
		for i := range 2 {
			r := requestWithParts(fmt.Sprint(i), 100, 100)
			r.AnswerTokens = 30_000
			Expect(core.Decide(0, r).Queued).To(Equal(i == 1))
		}
	})

	It("is kept for a large request, so that small ones do not starve it", func() {
		core := newRoomCore(0, 1, routing.WithRoom(0.5))
		place := func(now time.Duration, id string, tokens int) routing.Decision {
			r := requestWithParts(id, 100, tokens-100)
			r.TargetTTFT = 20 * time.Second
			d := core.Decide(now, r)
			core.Step(now, routing.FirstToken{ID: id, Upstream: "u0", Incarnation: 1})
			return d
		}
		place(0, "a", 15_000)
		place(time.Second, "b", 15_000)
		Expect(place(2*time.Second, "large", 30_000).Queued).To(BeTrue())
		core.Step(2*time.Second, routing.Tick{})
		Expect(place(2100*time.Millisecond, "small", 2000).Queued).To(BeTrue())
		finished := func(now time.Duration, id string) []routing.Release {
			return core.Step(now, routing.Finished{ID: id, Upstream: "u0", Incarnation: 1, PromptTokens: 15_000, CountsMissing: true}).Released
		}
		Expect(finished(3*time.Second, "a")).To(BeEmpty())
		Expect(finished(4*time.Second, "b")).To(ContainElement(HaveField("ID", "large")))
	})

	It("has a stream wait that is limited to a full engine", func() {
		core := newRoomCore(0, 2, routing.WithRoom(0.5))
		r := requestWithParts("1", 100, 35_000)
		r.Only = []string{"u0"}
		Expect(core.Decide(0, r).Upstream).To(Equal("u0"))
		r = requestWithParts("2", 100, 35_000)
		r.Only = []string{"u0"}
		expectRefused(core.Decide(0, r), outcome.NoUpstream)
	})

	It("changes nothing if it is not limited", func() {
		core := newReuseCore(1, func(_ int, u *catalogue.Upstream) { u.Cache = 1000 })
		for i := range 20 {
			mustDecide(core, 0, requestWithParts(fmt.Sprint(i), 100, 400))
		}
	})
})
