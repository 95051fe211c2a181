package engine_test

import (
	"fmt"
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/chicoryrelay/chicoryrelay/standin/engine"
)

const forever = time.Hour

// chain returns the block hashes of a made-up prompt of n blocks.
func chain(prompt, n int) []uint64 {
	hashes := make([]uint64, n)
	for i := range hashes {
		hashes[i] = uint64(prompt)<<32 | uint64(i) + 1
	}
	return hashes
}

// request returns a request for a prompt of the given number of 16-token blocks.
func request(id string, prompt, blocks, answer int) engine.Request {
	return engine.Request{ID: id, Salt: "s", Chain: chain(prompt, blocks), Prompt: blocks * 16, Answer: answer}
}

// finishes returns the finish event of each finished request by request ID.
func finishes(events []engine.Event) map[string]engine.Event {
	byRequest := map[string]engine.Event{}
	for _, e := range events {
		if e.Kind == engine.Finish {
			byRequest[e.Request] = e
		}
	}
	return byRequest
}

func runRequest(e *engine.Engine, at time.Duration, r engine.Request) engine.Event {
	GinkgoHelper()
	Expect(e.Submit(at, r)).To(Succeed())
	found := finishes(e.Step(at + time.Minute))
	Expect(found).To(HaveKey(r.ID))
	return found[r.ID]
}

func expectSequences(events []engine.Event, from, to int) {
	GinkgoHelper()
	Expect(events).To(HaveLen(to - from + 1))
	for i, e := range events {
		Expect(e.Seq).To(Equal(from + i))
	}
	Expect(events[len(events)-1].Kind).To(Equal(engine.Finish))
}

var _ = Describe("engine", func() {
	var e *engine.Engine

	BeforeEach(func() {
		e = engine.New(engine.WithBatch(2, 1600, 10), engine.WithCache(160, 16), engine.WithEvents(time.Second, 0, 100))
	})

	It("sends every token once and then Finish with the next number", func() {
		Expect(e.Submit(0, request("a", 1, 2, 5))).To(Succeed())
		expectSequences(e.Step(forever), 0, 5)
	})

	It("resumes at the requested token, without repeated tokens that would duplicate text", func() {
		r := request("a", 1, 2, 5)
		r.From = 3
		Expect(e.Submit(0, r)).To(Succeed())
		expectSequences(e.Step(forever), 3, 5)
	})

	It("generates output that depends on body and version, so that only engines of the same version can continue it", func() {
		text := func(body uint64, v engine.Version) (output string) {
			for i := range 40 {
				output += engine.Token(body, v, i)
			}
			return output
		}
		one, two := engine.Version{Model: "m", Weights: "1"}, engine.Version{Model: "m", Weights: "2"}
		Expect(text(1, one)).To(Equal(text(1, one)))
		Expect(text(1, one)).NotTo(Equal(text(1, two)))
		Expect(text(1, one)).NotTo(Equal(text(2, one)))
	})

	It("finds a cached prefix under the same salt only, which separates client accounts", func() {
		Expect(runRequest(e, 0, request("a", 1, 4, 1)).Cached).To(BeZero())
		Expect(runRequest(e, time.Hour, request("b", 1, 4, 1)).Cached).To(Equal(63))
		other := request("c", 1, 4, 1)
		other.Salt = "t"
		Expect(runRequest(e, 2*time.Hour, other).Cached).To(BeZero())
	})

	It("evicts the least recently used prefix when memory is full", func() {
		runRequest(e, 0, request("a", 1, 5, 1))
		runRequest(e, time.Hour, request("b", 2, 5, 1))
		runRequest(e, 2*time.Hour, request("c", 1, 5, 1))
		runRequest(e, 3*time.Hour, request("d", 3, 5, 1))
		Expect(runRequest(e, 4*time.Hour, request("e", 1, 5, 1)).Cached).To(Equal(79))
		Expect(runRequest(e, 5*time.Hour, request("f", 2, 5, 1)).Cached).To(BeZero())
	})

	It("starts waiting requests of a lower priority number first", func() {
		Expect(e.Submit(0, request("a", 1, 2, 50))).To(Succeed())
		Expect(e.Submit(0, request("b", 2, 2, 50))).To(Succeed())
		late, soon := request("late", 3, 2, 1), request("soon", 4, 2, 1)
		late.Priority = 5
		Expect(e.Submit(0, late)).To(Succeed())
		Expect(e.Submit(0, soon)).To(Succeed())
		found := finishes(e.Step(forever))
		Expect(found["soon"].At).To(BeNumerically("<", found["late"].At))
	})

	It("prefills prompts of a lower priority number first, so that a long prompt does not delay the short ones", func() {
		long, short := request("long", 1, 100, 1), request("short", 2, 2, 1)
		long.Priority = 5
		Expect(e.Submit(0, long)).To(Succeed())
		Expect(e.Submit(time.Millisecond, short)).To(Succeed())
		found := finishes(e.Step(forever))
		Expect(found["short"].At).To(BeNumerically("<", found["long"].At))
	})

	It("frees the slot of a cancelled request", func() {
		for i := range 2 {
			Expect(e.Submit(0, request(fmt.Sprint(i), i, 2, 1000))).To(Succeed())
		}
		Expect(e.Submit(0, request("next", 3, 2, 1))).To(Succeed())
		e.Cancel(time.Second, "0")
		found := finishes(e.Step(5 * time.Second))
		Expect(found).To(HaveKey("next"))
		Expect(found).NotTo(HaveKey("0"))
	})

	It("slows down by the factor of a slow window", func() {
		normal := runRequest(e, 0, request("a", 1, 2, 11)).At
		e.Slow(time.Hour, engine.Slow{From: time.Hour, Until: 2 * time.Hour, Factor: 5})
		Expect(runRequest(e, time.Hour, request("b", 2, 2, 11)).At - time.Hour).To(Equal(5 * normal))
	})

	It("restarts with an empty cache under a new incarnation and ends running requests with Broken", func() {
		runRequest(e, 0, request("a", 1, 4, 1))
		Expect(e.Submit(time.Hour, request("b", 1, 4, 100))).To(Succeed())
		e.Restart(time.Hour, 7)
		Expect(e.Step(time.Hour)).To(ConsistOf(HaveField("Kind", engine.Broken)))
		Expect(e.Incarnation()).To(Equal(uint64(7)))
		Expect(runRequest(e, 2*time.Hour, request("c", 1, 4, 1)).Cached).To(BeZero())
	})

	It("shows cache events only after their lag", func() {
		runRequest(e, 0, request("a", 1, 2, 1))
		e = engine.New(engine.WithEvents(time.Second, 0, 100))
		Expect(e.Submit(0, request("a", 1, 2, 1))).To(Succeed())
		Expect(e.Changes(500*time.Millisecond, 0, 10)).To(BeEmpty())
		Expect(e.Changes(2*time.Second, 0, 10)).To(HaveLen(2))
		Expect(e.Changes(2*time.Second, 1, 10)).To(HaveLen(1))
	})

	It("shows lost cache events as gaps in the sequence numbers", func() {
		e = engine.New(engine.WithEvents(0, 0.5, 1000))
		runRequest(e, 0, request("a", 1, 100, 1))
		seen := e.Changes(forever, 0, 1000)
		Expect(len(seen)).To(BeNumerically("<", 100))
		Expect(e.Snapshot(forever).Seq).To(Equal(uint64(100)))
		Expect(e.Snapshot(forever).Blocks).To(HaveLen(100))
	})

	It("reports load with the report lag, but leaving at once", func() {
		Expect(e.Submit(time.Second, request("a", 1, 2, 1000))).To(Succeed())
		e.Leave(time.Second, true)
		report := e.Load(1100 * time.Millisecond)
		Expect(report.Running).To(BeZero())
		Expect(report.Leaving).To(BeTrue())
		Expect(e.Load(2 * time.Second).Running).To(Equal(1))
		Expect(e.Submit(2*time.Second, request("b", 1, 2, 1))).NotTo(Succeed())
	})

	It("reports the last of several changes within one report interval once the lag has passed", func() {
		Expect(e.Submit(time.Second, request("a", 1, 1, 1))).To(Succeed())
		Expect(e.Load(time.Second + 5*time.Millisecond).Running).To(BeZero())
		Expect(e.Load(1505 * time.Millisecond).Running).To(Equal(1))
		Expect(e.Load(2 * time.Second).Running).To(BeZero())
		Expect(e.Load(3 * time.Second).Cached).To(Equal(16))
	})

	DescribeTable("executes an order with an old fencing number only if it is not fenced", func(fenced, executed bool) {
		e = engine.New(engine.WithFenced(fenced))
		newer := engine.Order{Fencing: 5, Kind: engine.Load, Version: engine.Version{Model: "m", Weights: "5"}}
		older := engine.Order{Fencing: 4, Kind: engine.Load, Version: engine.Version{Model: "m", Weights: "4"}}
		Expect(e.Order(0, newer)).To(Succeed())
		e.Step(time.Minute)
		Expect(e.Order(time.Minute, older) == nil).To(Equal(executed))
		e.Step(2 * time.Minute)
		Expect(e.Version().Weights == "4").To(Equal(executed))
	}, Entry("fenced", true, false), Entry("not fenced", false, true))

	It("drains before it loads weights and drops the cache of the old weights", func() {
		Expect(e.Submit(0, request("a", 1, 4, 5))).To(Succeed())
		Expect(e.Order(0, engine.Order{Fencing: 1, Kind: engine.Load, Version: engine.Version{Model: "m", Weights: "2"}})).To(Succeed())
		Expect(e.Submit(0, request("b", 1, 4, 5))).NotTo(Succeed())
		Expect(finishes(e.Step(time.Minute))).To(HaveKey("a"))
		Expect(runRequest(e, time.Minute, request("c", 1, 4, 1)).Cached).To(BeZero())
	})

	It("waits for weights from a store and ignores those fetched for an older order", func() {
		settings := engine.Default()
		settings.Fetched = true
		e = engine.New(engine.WithSettings(settings))
		one, two := engine.Version{Model: "m", Weights: "1"}, engine.Version{Model: "m", Weights: "2"}
		Expect(e.Order(0, engine.Order{Fencing: 1, Kind: engine.Load, Version: one})).To(Succeed())
		Expect(e.Order(0, engine.Order{Fencing: 2, Kind: engine.Load, Version: two})).To(Succeed())
		e.Fetch(time.Second, one)
		e.Step(time.Minute)
		Expect(e.Version()).To(Equal(settings.Version))
		e.Fetch(time.Minute, two)
		e.Step(2 * time.Minute)
		Expect(e.Version()).To(Equal(two))
	})

	It("imports KV cache that was exported by the same version and rejects that of another version", func() {
		runRequest(e, 0, request("a", 1, 4, 1))
		bundle := e.Export(time.Hour, "s", chain(1, 6))
		Expect(bundle.Chain).To(HaveLen(4))
		other := engine.New(engine.WithCache(160, 16))
		_, err := other.Import(0, bundle)
		Expect(err).NotTo(HaveOccurred())
		Expect(runRequest(other, time.Second, request("b", 1, 4, 1)).Cached).To(Equal(63))
		newer := engine.New(engine.WithVersion(engine.Version{Model: "base", Weights: "2"}))
		_, err = newer.Import(0, bundle)
		Expect(err).To(HaveOccurred())
	})

	for seed := uint64(1); seed <= 20; seed++ {
		It(fmt.Sprintf("computes the same times with and without token events, seed %d", seed), func() {
			Expect(runRandomRequests(seed, engine.WithQuiet())).To(Equal(runRandomRequests(seed)))
		})
	}
})

// runRandomRequests runs random requests, cancellations and slow windows, and returns when the output of each request began and
// ended.
func runRandomRequests(seed uint64, opts ...engine.Option) map[string][2]time.Duration {
	random := rand.New(rand.NewPCG(seed, 0))
	// With few slots requests wait; with many some slots are free, so that arrivals split merged steps.
	slots := 4 + 28*int(seed%2)
	e := engine.New(append(opts, engine.WithBatch(slots, 2000, 20), engine.WithCache(1000, 16))...)
	e.Slow(0, engine.Slow{From: 3 * time.Second, Until: 5 * time.Second, Factor: 3})
	times := map[string][2]time.Duration{}
	record := func(events []engine.Event) {
		for _, event := range events {
			pair, ok := times[event.Request]
			if !ok {
				pair[0] = event.At
			}
			if event.Kind == engine.Finish {
				pair[1] = event.At
			}
			times[event.Request] = pair
		}
	}
	at := time.Duration(0)
	for i := range 60 {
		// Multiples of the batch step of 50 ms also test arrivals at the exact end of a step.
		at += time.Duration(random.IntN(6)) * 50 * time.Millisecond
		if random.IntN(2) == 0 {
			at += time.Duration(random.IntN(50)) * time.Millisecond
		}
		r := request(fmt.Sprint(i), random.IntN(6), 1+random.IntN(20), 1+random.IntN(80))
		r.Priority = random.IntN(3)
		if e.Submit(at, r) != nil {
			Fail("request refused")
		}
		if random.IntN(5) == 0 {
			e.Cancel(at, fmt.Sprint(random.IntN(i+1)))
		}
		record(e.Step(at))
	}
	record(e.Step(forever))
	return times
}

var _ = Describe("engine whose running requests share the memory of the prefix cache", func() {
	newSharedMemoryEngine := func(memory, slots int) *engine.Engine {
		settings := engine.Users(memory)
		settings.Slots = slots
		return engine.New(engine.WithSettings(settings))
	}

	It("adds up the base time of a step, the time per running request and the prefill time, as the users' engines do", func() {
		e := newSharedMemoryEngine(81_468, 96)
		first := runRequest(e, 0, request("a", 1, 64, 1)).At
		Expect(first).To(BeNumerically("~", 4630*time.Microsecond+11600*time.Nanosecond+time.Second*1024/41_400, time.Microsecond))
	})

	It("starts no request while the running requests leave too little memory for it", func() {
		e := newSharedMemoryEngine(160, 8)
		Expect(e.Submit(0, request("a", 1, 6, 40))).To(Succeed())
		Expect(e.Submit(0, request("b", 2, 6, 1))).To(Succeed())
		found := finishes(e.Step(forever))
		Expect(found["b"].At).To(BeNumerically(">", found["a"].At))
	})

	It("stores a prefix once for all requests that use it", func() {
		e := newSharedMemoryEngine(160, 8)
		Expect(e.Submit(0, request("a", 1, 6, 40))).To(Succeed())
		e.Step(100 * time.Millisecond)
		Expect(e.Submit(100*time.Millisecond, request("b", 1, 6, 1))).To(Succeed())
		found := finishes(e.Step(forever))
		Expect(found["b"].At).To(BeNumerically("<", found["a"].At))
		Expect(found["b"].Cached).To(Equal(95))
	})

	It("preempts the request of the lowest priority when output needs its memory, and resumes it later without lost or repeated tokens", func() {
		e := newSharedMemoryEngine(320, 8)
		late := request("late", 2, 8, 120)
		late.Priority = 5
		Expect(e.Submit(0, late)).To(Succeed())
		Expect(e.Submit(0, request("soon", 1, 8, 120))).To(Succeed())
		events := e.Step(forever)
		found := finishes(events)
		Expect(e.Totals().Preempted).To(BeNumerically(">", 0))
		Expect(found["late"].At).To(BeNumerically(">", found["soon"].At))
		var lateEvents []engine.Event
		for _, event := range events {
			if event.Request == "late" {
				lateEvents = append(lateEvents, event)
			}
		}
		expectSequences(lateEvents, 0, 120)
	})
})
