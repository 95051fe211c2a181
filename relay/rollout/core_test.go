package rollout_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/chicoryrelay/chicoryrelay/relay/rollout"
)

// simulation runs a core against engines that execute its orders.
type simulation struct {
	core          *rollout.Core
	now           time.Duration
	engines       map[string]*fakeEngine
	wantedWeights uint64
	loadTime      time.Duration
	reportLag     time.Duration
	// answersLost drops the answers to orders, orderDelay delays their execution.
	answersLost bool
	orderDelay  time.Duration
	overdue     bool
	// evicted counts the requests that orders interrupted, retained those that went on under new weights.
	evicted, retained int
	// maxLoading and maxOutOfRotation are the highest numbers of engines that were loading and out of rotation at the same time.
	maxLoading       int
	maxOutOfRotation int
}

type fakeEngine struct {
	weights, loadingWeights uint64
	loadStart               time.Duration
	loadEnd                 time.Duration
	sequence                uint64
	// nonRepeatableUntil is the end of the requests that can't move to another engine, repeatableUntil the end of those that can.
	nonRepeatableUntil time.Duration
	repeatableUntil    time.Duration
	crashed            bool
}

func newSimulation(engines int) *simulation {
	s := &simulation{core: rollout.New(), engines: map[string]*fakeEngine{}, loadTime: 380 * time.Millisecond, reportLag: 200 * time.Millisecond}
	for i := range engines {
		s.engines[fmt.Sprintf("e%02d", i)] = &fakeEngine{weights: 1}
	}
	s.core.Step(0, rollout.Lease{FencingNumber: 1, PreviousEnded: true})
	return s
}

func (f *fakeEngine) loading(now time.Duration) bool {
	return f.loadingWeights > 0 && now >= f.loadStart && now < f.loadEnd
}

func (f *fakeEngine) finishLoad(now time.Duration) {
	if f.loadingWeights > 0 && now >= f.loadEnd {
		f.weights, f.loadingWeights = f.loadingWeights, 0
	}
}

func (s *simulation) engineList() rollout.Engines {
	var engines rollout.Engines
	for i := range len(s.engines) {
		id := fmt.Sprintf("e%02d", i)
		engines.List = append(engines.List, rollout.Engine{ID: id, Models: []rollout.Model{{Name: "m", Weights: 1, WantedWeights: s.wantedWeights, Overdue: s.overdue}}})
	}
	return engines
}

// run steps the core every 30 ms.
func (s *simulation) run(d time.Duration) {
	for end := s.now + d; s.now < end; s.now += 30 * time.Millisecond {
		for _, f := range s.engines {
			f.finishLoad(s.now)
		}
		s.core.Step(s.now, s.engineList())
		effects := s.core.Step(s.now, rollout.Tick{})
		for _, o := range effects.Orders {
			s.order(o)
		}
		for _, id := range effects.Poll {
			s.report(id)
		}
		loading, outOfRotation := 0, 0
		for id, f := range s.engines {
			if f.loading(s.now) {
				loading++
			}
			if s.core.OutOfRotation(id) {
				outOfRotation++
			}
		}
		s.maxLoading, s.maxOutOfRotation = max(s.maxLoading, loading), max(s.maxOutOfRotation, outOfRotation)
	}
}

func (s *simulation) order(o rollout.Order) {
	f := s.engines[o.ID]
	if f.crashed {
		s.core.Step(s.now, rollout.OrderResult{ID: o.ID, Number: o.Number, Result: rollout.Unknown})
		return
	}
	if o.Sequence != f.sequence || f.loadingWeights > 0 {
		s.core.Step(s.now, rollout.OrderResult{ID: o.ID, Number: o.Number, Result: rollout.Refused})
		return
	}
	f.sequence++
	running := 0
	for _, until := range []time.Duration{f.nonRepeatableUntil, f.repeatableUntil} {
		if s.now < until {
			running++
		}
	}
	if o.Retain {
		s.retained += running
	} else {
		s.evicted += running
	}
	f.loadingWeights, f.loadStart, f.loadEnd = o.Weights, s.now+s.orderDelay, s.now+s.orderDelay+s.loadTime
	result := rollout.Accepted
	if s.answersLost {
		result = rollout.Unknown
	}
	s.core.Step(s.now, rollout.OrderResult{ID: o.ID, Number: o.Number, Result: result})
}

func (s *simulation) report(id string) {
	f := s.engines[id]
	if f.crashed {
		return
	}
	nonRepeatable, running := 0, 0
	if s.now < f.nonRepeatableUntil {
		nonRepeatable, running = 1, 1
	}
	if s.now < f.repeatableUntil {
		running++
	}
	s.core.Step(s.now, rollout.Report{ID: id, MadeAt: s.now - s.reportLag, Weights: map[string]uint64{"m": f.weights}, Executing: f.loading(s.now - s.reportLag), Sequence: f.sequence, ActiveRequests: running, NonRepeatableRequests: nonRepeatable})
}

// sequences returns the number of orders that all engines have accepted.
func (s *simulation) sequences() (n uint64) {
	for _, f := range s.engines {
		n += f.sequence
	}
	return n
}

func (s *simulation) expectServing(version uint64) {
	GinkgoHelper()
	for id, f := range s.engines {
		Expect(f.weights).To(Equal(version), id)
		Expect(s.core.OutOfRotation(id)).To(BeFalse(), id)
	}
}

var _ = Describe("rollout", func() {
	It("brings nine engines to new weights within four seconds, at most two loading and four out of rotation at a time", func() {
		s := newSimulation(9)
		s.wantedWeights = 2
		s.run(4 * time.Second)
		s.expectServing(2)
		Expect(s.maxLoading).To(Equal(2))
		Expect(s.maxOutOfRotation).To(BeNumerically("<=", 4))
	})

	It("starves no engine while weights versions are named faster than they can be rolled out", func() {
		s := newSimulation(12)
		for version := uint64(2); version <= 6; version++ {
			s.wantedWeights = version
			s.run(3200 * time.Millisecond)
			for id, f := range s.engines {
				Expect(f.weights+2).To(BeNumerically(">=", version), id)
			}
		}
	})

	It("waits for requests that can't move to another engine, up to a timeout", func() {
		s := newSimulation(1)
		s.engines["e00"].nonRepeatableUntil = 700 * time.Millisecond
		s.wantedWeights = 2
		s.run(650 * time.Millisecond)
		Expect(s.engines["e00"].sequence).To(BeZero())
		s.run(2 * time.Second)
		s.expectServing(2)
		s.engines["e00"].nonRepeatableUntil = time.Hour
		s.wantedWeights = 3
		s.run(4 * time.Second)
		s.expectServing(3)
		Expect(s.evicted).To(BeZero())
		Expect(s.retained).To(Equal(1))
	})

	It("waits briefly for requests that can move to another engine, since each move costs a repeated send", func() {
		s := newSimulation(1)
		s.engines["e00"].repeatableUntil = 500 * time.Millisecond
		s.wantedWeights = 2
		s.run(450 * time.Millisecond)
		Expect(s.engines["e00"].sequence).To(BeZero())
		s.run(2 * time.Second)
		s.expectServing(2)
		s.engines["e00"].repeatableUntil = time.Hour
		s.wantedWeights = 3
		s.run(2 * time.Second)
		s.expectServing(3)
		Expect(s.evicted).To(Equal(1))
		Expect(s.retained).To(BeZero())
	})

	// Guards against streams that an order breaks off when the VMs may not repeat them any more.
	It("interrupts no more requests than the VMs may repeat, until they end or the engine is overdue", func() {
		s := newSimulation(2)
		s.core.Step(0, rollout.Retries{Known: true})
		s.engines["e00"].repeatableUntil, s.engines["e01"].repeatableUntil = 2*time.Second, time.Hour
		s.wantedWeights = 2
		s.run(1900 * time.Millisecond)
		Expect(s.engines["e00"].sequence + s.engines["e01"].sequence).To(BeZero())
		s.run(2 * time.Second)
		Expect(s.engines["e00"].weights).To(BeEquivalentTo(2))
		Expect(s.engines["e01"].sequence).To(BeZero())
		s.overdue = true
		s.run(2 * time.Second)
		s.expectServing(2)
		Expect(s.evicted).To(BeZero())
		Expect(s.retained).To(Equal(1))
	})

	It("counts the requests that its last orders interrupt against those that the VMs may repeat", func() {
		s := newSimulation(10)
		for _, f := range s.engines {
			f.repeatableUntil = time.Hour
		}
		s.core.Step(0, rollout.Retries{Left: 1, Known: true})
		s.wantedWeights = 2
		s.run(800 * time.Millisecond)
		Expect(s.sequences()).To(BeEquivalentTo(1))
		s.run(300 * time.Millisecond)
		Expect(s.sequences()).To(BeEquivalentTo(1))
		s.core.Step(s.now, rollout.Retries{})
		s.run(500 * time.Millisecond)
		Expect(s.sequences()).To(BeNumerically(">", 1))
	})

	It("completes when the answers to orders are lost", func() {
		s := newSimulation(4)
		s.answersLost, s.wantedWeights = true, 2
		s.run(8 * time.Second)
		s.expectServing(2)
	})

	It("orders each engine once when orders are executed seconds late, since engines refuse an order with an old sequence number", func() {
		s := newSimulation(2)
		s.answersLost, s.orderDelay, s.wantedWeights = true, 3*time.Second, 2
		s.run(12 * time.Second)
		s.expectServing(2)
		for id, f := range s.engines {
			Expect(f.sequence).To(Equal(uint64(1)), id)
		}
	})

	It("is not blocked by crashed engines", func() {
		s := newSimulation(9)
		for _, id := range []string{"e00", "e01", "e02", "e03"} {
			s.engines[id].crashed = true
		}
		s.wantedWeights = 2
		s.run(8 * time.Second)
		for id, f := range s.engines {
			if !f.crashed {
				Expect(f.weights).To(Equal(uint64(2)), id)
			}
		}
	})

	It("sends no order before the previous holder's orders have ended, or under a fencing number that an engine refused as outdated", func() {
		s := newSimulation(2)
		s.core.Step(0, rollout.Lease{FencingNumber: 2})
		s.wantedWeights = 2
		s.run(2 * time.Second)
		Expect(s.engines["e00"].sequence).To(BeZero())
		s.core.Step(s.now, rollout.Lease{FencingNumber: 2, PreviousEnded: true})
		s.run(30 * time.Millisecond)
		Expect(s.core.InProgress()).To(BeTrue())
		s.engines["e00"].loadingWeights, s.engines["e01"].loadingWeights = 0, 0
		s.core.Step(s.now, rollout.Report{ID: "e00", MadeAt: s.now, Weights: map[string]uint64{"m": 1}, Executing: true})
		s.core.Step(s.now, rollout.OrderResult{ID: "e00", Result: rollout.Fenced})
		before := s.engines["e01"].sequence
		s.run(4 * time.Second)
		Expect(s.engines["e01"].sequence).To(Equal(before))
		s.core.Step(s.now, rollout.Lease{FencingNumber: 3, PreviousEnded: true})
		s.run(6 * time.Second)
		Expect(s.engines["e01"].weights).To(Equal(uint64(2)))
	})

	It("detects an order of the previous lease holder that is being executed, and does not send another", func() {
		s := newSimulation(1)
		s.engines["e00"].loadingWeights, s.engines["e00"].loadEnd, s.engines["e00"].sequence = 2, 600*time.Millisecond, 1
		s.wantedWeights = 2
		s.run(3 * time.Second)
		s.expectServing(2)
		Expect(s.engines["e00"].sequence).To(Equal(uint64(1)))
	})
})
