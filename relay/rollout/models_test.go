package rollout_test

import (
	"fmt"
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/chicoryrelay/chicoryrelay/relay/rollout"
)

// modelsEngine is an engine that serves several models and executes one order at a time.
type modelsEngine struct {
	weights   map[string]uint64
	order     rollout.Order
	busyUntil time.Duration
	sequence  uint64
}

func (e *modelsEngine) busy(now time.Duration) bool { return now < e.busyUntil }

// models is a simulation of engines that serve the same models.
type models struct {
	core    *rollout.Core
	now     time.Duration
	engines []*modelsEngine
	wanted  map[string]uint64
	// refused counts the orders that came while another one was executed, or with an old sequence number; unavailable is the highest number
	// of engines that were out of rotation at the same time.
	refused, unavailable int
}

func newModels(engines, count int) *models {
	s := &models{core: rollout.New(), wanted: map[string]uint64{}}
	for range engines {
		e := &modelsEngine{weights: map[string]uint64{}}
		for m := range count {
			e.weights[modelName(m)] = 1
		}
		s.engines = append(s.engines, e)
	}
	s.core.Step(0, rollout.Lease{FencingNumber: 1, PreviousEnded: true})
	return s
}

func modelName(m int) string { return fmt.Sprint("m", m) }

func (s *models) list() (list rollout.Engines) {
	for i, e := range s.engines {
		info := rollout.Engine{ID: fmt.Sprint(i)}
		for m := range len(e.weights) {
			if wanted, named := s.wanted[modelName(m)]; named {
				// The directory lags behind.
				info.Models = append(info.Models, rollout.Model{Name: modelName(m), Weights: 1, WantedWeights: wanted})
			}
		}
		if len(info.Models) > 0 {
			list.List = append(list.List, info)
		}
	}
	return list
}

func (s *models) run(d time.Duration) {
	for end := s.now + d; s.now < end; s.now += 30 * time.Millisecond {
		s.core.Step(s.now, s.list())
		effects := s.core.Step(s.now, rollout.Tick{})
		for _, o := range effects.Orders {
			s.core.Step(s.now, rollout.OrderResult{ID: o.ID, Number: o.Number, Result: s.accept(o)})
		}
		unavailable := 0
		for i, e := range s.engines {
			if e.busyUntil > 0 && !e.busy(s.now) {
				e.weights[e.order.Model], e.busyUntil = e.order.Weights, 0
			}
			if s.core.OutOfRotation(fmt.Sprint(i)) {
				unavailable++
			}
		}
		s.unavailable = max(s.unavailable, unavailable)
		for _, id := range effects.Poll {
			var i int
			_, _ = fmt.Sscan(id, &i)
			e, weights := s.engines[i], map[string]uint64{}
			for model, version := range e.weights {
				weights[model] = version
			}
			s.core.Step(s.now, rollout.Report{ID: id, MadeAt: s.now, Weights: weights, Executing: e.busy(s.now), Sequence: e.sequence})
		}
	}
}

func (s *models) accept(o rollout.Order) rollout.Result {
	var i int
	_, _ = fmt.Sscan(o.ID, &i)
	e := s.engines[i]
	if e.busy(s.now) || o.Sequence != e.sequence {
		s.refused++
		return rollout.Refused
	}
	e.order, e.busyUntil = o, s.now+380*time.Millisecond
	e.sequence++
	return rollout.Accepted
}

var _ = Describe("rollout to engines that serve several models", func() {
	// Guards against a state for each engine that only the last of its models determines.
	It("brings all models to the versions that were named last, in any order of namings, one order at a time", func() {
		for seed := range uint64(60) {
			random := rand.New(rand.NewPCG(seed, 0))
			s := newModels(1+random.IntN(9), 1+random.IntN(4))
			for range 1 + random.IntN(8) {
				s.wanted[modelName(random.IntN(len(s.engines[0].weights)))] += 2 + random.Uint64N(2)
				s.run(time.Duration(random.IntN(4000)) * time.Millisecond)
			}
			// A load takes 380 ms and a drain 100 ms or more, for each engine and model.
			s.run(time.Duration(len(s.engines)*len(s.wanted)) * 1500 * time.Millisecond)
			for i, e := range s.engines {
				for model, version := range s.wanted {
					Expect(e.weights[model]).To(Equal(version), "seed %d: engine %d, model %s", seed, i, model)
				}
			}
			Expect(s.refused).To(BeZero(), "seed %d", seed)
			Expect(s.core.InProgress()).To(BeFalse(), "seed %d", seed)
			if len(s.engines) > 4 {
				Expect(s.unavailable).To(BeNumerically("<=", 4), "seed %d: of %d engines", seed, len(s.engines))
			}
		}
	})
})
