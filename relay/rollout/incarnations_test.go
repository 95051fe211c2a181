package rollout_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/chicoryrelay/chicoryrelay/relay/rollout"
)

// drawnEngine is an engine that restarts under its ID: it keeps its weights, and its count of orders starts anew.
type drawnEngine struct {
	id        string
	startedAt time.Time
	weights   uint64
	sequence  uint64
	// loading is the version that it loads until loadedAt, 0 for none.
	loading  uint64
	loadedAt time.Duration
	downTo   time.Duration
}

// delivery is a message or an order on its way.
type delivery struct {
	at      time.Duration
	deliver func()
}

// drawnRollout runs a core whose orders, reports and lists are lost, repeated and late, with engines that restart.
type drawnRollout struct {
	random  *rand.Rand
	core    *rollout.Core
	now     time.Duration
	wanted  uint64
	engines []*drawnEngine
	// lists are the platform's lists of the last seconds; the one that was read last has the index read.
	lists      []rollout.Engines
	list       rollout.Engines
	unreadable time.Duration
	deliveries []delivery
	fencing    uint64
	trouble    bool
	// hidesStart makes the engines and lists tell no start.
	hidesStart bool
	orders     int
}

const drawnStep = 30 * time.Millisecond

func newDrawnRollout(seed uint64) *drawnRollout {
	s := &drawnRollout{random: rand.New(rand.NewPCG(seed, 5)), core: rollout.New(), wanted: 1, fencing: 1, trouble: true}
	s.hidesStart = s.random.IntN(4) == 0
	for i := range 1 + s.random.IntN(9) {
		s.engines = append(s.engines, &drawnEngine{id: fmt.Sprint("e", i), startedAt: time.UnixMilli(1), weights: 1})
	}
	s.core.Step(0, rollout.Lease{FencingNumber: s.fencing, PreviousEnded: true})
	return s
}

// chance is true with a probability during the disturbances.
func (s *drawnRollout) chance(probability float64) bool {
	return s.trouble && s.random.Float64() < probability
}

func (s *drawnRollout) upTo(limit time.Duration) time.Duration {
	return time.Duration(s.random.Int64N(int64(limit)))
}

// later delivers a message after a delay that is long now and then; some are lost or repeated.
func (s *drawnRollout) later(late time.Duration, deliver func()) {
	copies := 1
	switch {
	case s.chance(0.1):
		copies = 0
	case s.chance(0.1):
		copies = 2
	}
	for range copies {
		delay := s.upTo(20 * time.Millisecond)
		if s.chance(0.3) {
			delay = s.upTo(late)
		}
		s.deliveries = append(s.deliveries, delivery{s.now + delay, deliver})
	}
}

func (s *drawnRollout) step(m rollout.Message) {
	effects := s.core.Step(s.now, m)
	for _, o := range effects.Orders {
		s.orders++
		s.send(o)
	}
	for _, id := range effects.Poll {
		s.poll(s.find(id))
	}
}

func (s *drawnRollout) find(id string) *drawnEngine {
	return s.engines[slices.IndexFunc(s.engines, func(e *drawnEngine) bool { return e.id == id })]
}

// send sends an order, which gets no answer if it is carried out more than a call's timeout later.
func (s *drawnRollout) send(o rollout.Order) {
	e, answered, sent := s.find(o.ID), false, s.now
	answer := func(result rollout.Result) {
		if !answered {
			answered = true
			s.step(rollout.OrderResult{ID: o.ID, Number: o.Number, Result: result})
		}
	}
	s.later(12*time.Second, func() {
		if s.now < e.downTo {
			return
		}
		result := rollout.Accepted
		switch {
		case o.Sequence != e.sequence || e.loading > 0:
			result = rollout.Refused
		case o.Weights == e.weights:
			result = rollout.AlreadyServed
		default:
			e.sequence++
			e.loading, e.loadedAt = o.Weights, s.now+380*time.Millisecond
		}
		if s.now-sent < 600*time.Millisecond {
			s.later(400*time.Millisecond, func() { answer(result) })
		}
	})
	s.deliveries = append(s.deliveries, delivery{s.now + 600*time.Millisecond, func() { answer(rollout.Unknown) }})
}

// poll asks an engine for a report, which shows it as it was up to 200 ms before.
func (s *drawnRollout) poll(e *drawnEngine) {
	if s.now < e.downTo {
		return
	}
	report := rollout.Report{ID: e.id, StartedAt: s.told(e.startedAt), MadeAt: s.now - 200*time.Millisecond, Weights: map[string]uint64{"m": e.weights}, Executing: e.loading > 0, Sequence: e.sequence}
	s.later(5*time.Second, func() { s.step(report) })
}

func (s *drawnRollout) told(startedAt time.Time) time.Time {
	if s.hidesStart {
		return time.Time{}
	}
	return startedAt
}

// readList reads the platform's list, which lags by 800 ms, and by up to 4 s more during the disturbances.
func (s *drawnRollout) readList() {
	current := rollout.Engines{ListedAt: s.now}
	for _, e := range s.engines {
		current.List = append(current.List, rollout.Engine{ID: e.id, StartedAt: s.told(e.startedAt), Models: []rollout.Model{{Name: "m", Weights: e.weights}}})
	}
	s.lists = append(s.lists, current)
	lag := 800 * time.Millisecond
	if s.chance(0.3) {
		lag += s.upTo(4 * time.Second)
	}
	if s.now < s.unreadable {
		return
	}
	for i := len(s.lists) - 1; i >= 0; i-- {
		if s.lists[i].ListedAt <= s.now-lag || i == 0 {
			s.list = rollout.Engines{ListedAt: s.now}
			for _, e := range s.lists[i].List {
				e.Models = slices.Clone(e.Models)
				s.list.List = append(s.list.List, e)
			}
			return
		}
	}
}

// disturb restarts an engine, changes the leader, names weights or makes the list unreadable.
func (s *drawnRollout) disturb() {
	e := s.engines[s.random.IntN(len(s.engines))]
	switch {
	case s.chance(0.02):
		e.downTo = s.now + 500*time.Millisecond + s.upTo(time.Second)
		e.startedAt, e.sequence, e.loading = time.UnixMilli(2+s.now.Milliseconds()), 0, 0
	case s.chance(0.005):
		s.unreadable = s.now + s.upTo(8*time.Second)
	case s.chance(0.005):
		s.wanted++
	case s.chance(0.003):
		// Another VM leads, which knows nothing of the engines.
		s.fencing++
		s.step(rollout.Lease{})
		if s.random.IntN(2) == 0 {
			s.core = rollout.New()
		}
		s.step(rollout.Lease{FencingNumber: s.fencing, PreviousEnded: true})
	}
}

func (s *drawnRollout) run(d time.Duration) {
	for end := s.now + d; s.now < end; s.now += drawnStep {
		if s.trouble {
			s.disturb()
		}
		if s.now%(690*time.Millisecond) == 0 {
			s.readList()
		}
		for _, e := range s.engines {
			if e.loading > 0 && s.now >= e.loadedAt {
				e.weights, e.loading = e.loading, 0
			}
		}
		due := slices.DeleteFunc(slices.Clone(s.deliveries), func(d delivery) bool { return d.at > s.now })
		s.deliveries = slices.DeleteFunc(s.deliveries, func(d delivery) bool { return d.at <= s.now })
		for _, d := range due {
			d.deliver()
		}
		for i := range s.list.List {
			s.list.List[i].Models[0].WantedWeights = s.wanted
		}
		s.step(s.list)
		if s.core.InProgress() {
			s.step(rollout.Tick{})
		}
	}
}

var _ = Describe("rollout to engines that restart under their IDs", func() {
	// Guards against engines that stay at older weights: what they showed before they started again, or executed a late order, was taken
	// for what they serve now. And against orders and polls without end.
	It("brings each engine to the wanted weights once the disturbances end, and then leaves it alone", func() {
		for seed := range uint64(300) {
			s := newDrawnRollout(seed)
			s.run(5*time.Second + s.upTo(25*time.Second))
			s.trouble = false
			// The last late order is carried out within 12 s, and the rest is the time of a rollout.
			s.run(26 * time.Second)
			for _, e := range s.engines {
				Expect(e.weights).To(Equal(s.wanted), "seed %d: engine %s", seed, e.id)
				Expect(s.core.OutOfRotation(e.id)).To(BeFalse(), "seed %d: engine %s", seed, e.id)
			}
			before := s.orders
			s.run(10 * time.Second)
			Expect(s.orders).To(Equal(before), "seed %d: orders after all engines have the wanted weights", seed)
			Expect(s.core.InProgress()).To(BeFalse(), "seed %d", seed)
		}
	})
})

var _ = Describe("what is known of an engine", func() {
	const interval = 30 * time.Millisecond
	var core *rollout.Core
	born := func(ms int64) time.Time { return time.UnixMilli(ms) }
	list := func(now time.Duration, startedAt time.Time, weights, wanted uint64) {
		core.Step(now, rollout.Engines{ListedAt: now, List: []rollout.Engine{{ID: "e", StartedAt: startedAt, Models: []rollout.Model{{Name: "m", Weights: weights, WantedWeights: wanted}}}}})
	}
	report := func(now time.Duration, startedAt time.Time, weights, sequence uint64) {
		core.Step(now, rollout.Report{ID: "e", StartedAt: startedAt, MadeAt: now, Weights: map[string]uint64{"m": weights}, Sequence: sequence})
	}
	// order steps the core until it orders the engine to load, and returns the order and its time.
	order := func(now time.Duration, startedAt time.Time, weights, sequence uint64) (rollout.Order, time.Duration) {
		GinkgoHelper()
		for end := now + 2*time.Second; now < end; now += interval {
			effects := core.Step(now, rollout.Tick{})
			if len(effects.Orders) > 0 {
				return effects.Orders[0], now
			}
			if len(effects.Poll) > 0 {
				report(now, startedAt, weights, sequence)
			}
		}
		Fail("no order was given")
		return rollout.Order{}, 0
	}
	expectOutOfRotation := func(now time.Duration, expected bool) {
		GinkgoHelper()
		core.Step(now, rollout.Tick{})
		Expect(core.OutOfRotation("e")).To(Equal(expected))
	}

	BeforeEach(func() {
		core = rollout.New()
		core.Step(0, rollout.Lease{FencingNumber: 1, PreviousEnded: true})
		list(time.Second, born(1), 2, 3)
		o, now := order(time.Second, born(1), 2, 4)
		Expect(o.Sequence).To(BeEquivalentTo(4))
		core.Step(now, rollout.OrderResult{ID: "e", Number: o.Number, Result: rollout.Accepted})
		report(2*time.Second, born(1), 3, 5)
		Expect(core.OutOfRotation("e")).To(BeFalse())
	})

	// Guards against a lagging list that undoes what an engine has reported.
	It("is not undone by a list that may be older", func() {
		list(3900*time.Millisecond, born(1), 2, 3)
		Expect(core.InProgress()).To(BeFalse())
		Expect(core.ReportedWeights("e", "m")).To(BeEquivalentTo(3))
	})

	// Guards against an engine in rotation that is never asked again, though a late order has changed its weights.
	It("is asked of the engine in rotation if a newer list contradicts it, at an interval", func() {
		list(4*time.Second, born(1), 2, 3)
		Expect(core.InProgress()).To(BeTrue())
		Expect(core.ReportedWeights("e", "m")).To(BeZero())
		polls := 0
		for now := 4 * time.Second; now < 6*time.Second; now += interval {
			polls += len(core.Step(now, rollout.Tick{}).Poll)
			Expect(core.OutOfRotation("e")).To(BeFalse())
		}
		Expect(polls).To(Equal(2))
		report(6*time.Second, born(1), 2, 6)
		expectOutOfRotation(6*time.Second, true)
	})

	It("is that of the new incarnation once the list shows a later start", func() {
		list(2500*time.Millisecond, born(9), 2, 3)
		Expect(core.ReportedWeights("e", "m")).To(BeZero())
		report(2600*time.Millisecond, born(1), 3, 5)
		Expect(core.ReportedWeights("e", "m")).To(BeZero())
		o, _ := order(2700*time.Millisecond, born(9), 2, 0)
		Expect(o.Sequence).To(BeZero())
	})

	It("is that of the new incarnation once a report shows a later start, which an older list does not change", func() {
		report(2500*time.Millisecond, born(9), 2, 0)
		list(2600*time.Millisecond, born(1), 3, 3)
		Expect(core.StartedAt("e")).To(Equal(born(9)))
		Expect(core.ReportedWeights("e", "m")).To(BeEquivalentTo(2))
		expectOutOfRotation(2600*time.Millisecond, true)
	})

	// Guards against engines that tell no start: their count of orders starts anew.
	It("is that of the new incarnation once a report counts fewer orders", func() {
		report(2500*time.Millisecond, time.Time{}, 2, 0)
		Expect(core.ReportedWeights("e", "m")).To(BeEquivalentTo(2))
		expectOutOfRotation(2600*time.Millisecond, true)
	})

	It("ends the stage of the earlier incarnation", func() {
		list(2500*time.Millisecond, born(1), 3, 4)
		_, now := order(2500*time.Millisecond, born(1), 3, 5)
		Expect(core.OutOfRotation("e")).To(BeTrue())
		list(now, born(9), 4, 4)
		Expect(core.OutOfRotation("e")).To(BeFalse())
		Expect(core.InProgress()).To(BeFalse())
	})

	// Guards against the late result of an order to the earlier incarnation, or for weights that are no longer the wanted ones.
	It("does not come from the result of an earlier order, and not from that of an order for other weights", func() {
		list(2500*time.Millisecond, born(1), 3, 4)
		first, now := order(2500*time.Millisecond, born(1), 3, 5)
		list(now, born(9), 2, 4)
		second, now := order(now, born(9), 2, 0)
		core.Step(now, rollout.OrderResult{ID: "e", Number: first.Number, Result: rollout.AlreadyServed})
		Expect(core.ReportedWeights("e", "m")).To(BeEquivalentTo(2))
		list(now, born(9), 2, 5)
		core.Step(now, rollout.OrderResult{ID: "e", Number: second.Number, Result: rollout.AlreadyServed})
		Expect(core.ReportedWeights("e", "m")).To(BeEquivalentTo(4))
		Expect(core.InProgress()).To(BeTrue())
	})

	// Guards against a list that can't be read while an order without an answer is carried out late.
	It("is asked of the engine for a while after an order without an answer, while the list is too old to tell", func() {
		list(2500*time.Millisecond, born(1), 3, 4)
		o, now := order(2500*time.Millisecond, born(1), 3, 5)
		core.Step(now, rollout.OrderResult{ID: "e", Number: o.Number, Result: rollout.Unknown})
		report(now+time.Second, born(1), 4, 6)
		core.Step(now+2*time.Second, rollout.Tick{})
		Expect(core.InProgress()).To(BeFalse())
		Expect(core.Step(now+4*time.Second, rollout.Tick{}).Poll).To(Equal([]string{"e"}))
		core.Step(now+20*time.Second, rollout.Tick{})
		Expect(core.InProgress()).To(BeFalse())
	})

	It("is that of the list alone under a later fencing number, as another VM may have given orders", func() {
		core.Step(2500*time.Millisecond, rollout.Lease{})
		core.Step(2500*time.Millisecond, rollout.Lease{FencingNumber: 1, PreviousEnded: true})
		Expect(core.ReportedWeights("e", "m")).To(BeEquivalentTo(3))
		core.Step(2600*time.Millisecond, rollout.Lease{FencingNumber: 2, PreviousEnded: true})
		Expect(core.ReportedWeights("e", "m")).To(BeZero())
	})
})
