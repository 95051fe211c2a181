package rollout_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/chicoryrelay/chicoryrelay/relay/rollout"
)

// site is a set of engines that obey orders, for a core under test.
type site struct {
	core    *rollout.Core
	now     time.Duration
	engines map[string]*fake
	want    uint64
	load    time.Duration
	lag     time.Duration
	// lost swallows answers to orders, late delays their effect.
	lost    bool
	late    time.Duration
	most    int
	resting int
}

type fake struct {
	serves, next uint64
	begins       time.Duration
	until        time.Duration
	sequence     uint64
	// blocking and running are until when it has runs that can't, and that can, go on elsewhere.
	blocking time.Duration
	running  time.Duration
	silent   bool
}

func newSite(engines int) *site {
	s := &site{core: rollout.New(), engines: map[string]*fake{}, load: 380 * time.Millisecond, lag: 200 * time.Millisecond}
	for i := range engines {
		s.engines[fmt.Sprintf("e%02d", i)] = &fake{serves: 1}
	}
	s.core.Step(0, rollout.Lease{Number: 1, Open: true})
	return s
}

func (f *fake) busy(now time.Duration) bool { return f.next > 0 && now >= f.begins && now < f.until }

func (f *fake) settle(now time.Duration) {
	if f.next > 0 && now >= f.until {
		f.serves, f.next = f.next, 0
	}
}

func (s *site) list() rollout.Engines {
	var engines rollout.Engines
	for i := range len(s.engines) {
		id := fmt.Sprintf("e%02d", i)
		engines.List = append(engines.List, rollout.Engine{ID: id, Model: "m", Serves: 1, Want: s.want})
	}
	return engines
}

// run steps the core every 30 ms.
func (s *site) run(d time.Duration) {
	for end := s.now + d; s.now < end; s.now += 30 * time.Millisecond {
		for _, f := range s.engines {
			f.settle(s.now)
		}
		s.core.Step(s.now, s.list())
		effects := s.core.Step(s.now, rollout.Tick{})
		for _, o := range effects.Order {
			s.order(o)
		}
		for _, id := range effects.Poll {
			s.report(id)
		}
		busy, resting := 0, 0
		for id, f := range s.engines {
			if f.busy(s.now) {
				busy++
			}
			if s.core.Resting(id) {
				resting++
			}
		}
		s.most, s.resting = max(s.most, busy), max(s.resting, resting)
	}
}

func (s *site) order(o rollout.Order) {
	f := s.engines[o.ID]
	if f.silent {
		s.core.Step(s.now, rollout.Answered{ID: o.ID, Result: rollout.Unknown})
		return
	}
	if o.Sequence != f.sequence || f.next > 0 {
		s.core.Step(s.now, rollout.Answered{ID: o.ID, Result: rollout.Refused})
		return
	}
	f.sequence++
	f.next, f.begins, f.until = o.Weights, s.now+s.late, s.now+s.late+s.load
	result := rollout.Taken
	if s.lost {
		result = rollout.Unknown
	}
	s.core.Step(s.now, rollout.Answered{ID: o.ID, Result: result})
}

func (s *site) report(id string) {
	f := s.engines[id]
	if f.silent {
		return
	}
	blocking, running := 0, 0
	if s.now < f.blocking {
		blocking, running = 1, 1
	}
	if s.now < f.running {
		running++
	}
	s.core.Step(s.now, rollout.Report{ID: id, Made: s.now - s.lag, Serves: f.serves, Busy: f.busy(s.now - s.lag), Sequence: f.sequence, Running: running, Blocking: blocking})
}

func (s *site) expectServing(version uint64) {
	GinkgoHelper()
	for id, f := range s.engines {
		Expect(f.serves).To(Equal(version), id)
		Expect(s.core.Resting(id)).To(BeFalse(), id)
	}
}

var _ = Describe("rollout", func() {
	It("brings nine engines to new weights within four seconds, two loading and two draining at a time", func() {
		s := newSite(9)
		s.want = 2
		s.run(4 * time.Second)
		s.expectServing(2)
		Expect(s.most).To(Equal(2))
		Expect(s.resting).To(BeNumerically("<=", 4))
	})

	It("lets no engine wait for ever while weights are named faster than they roll out", func() {
		s := newSite(12)
		for version := uint64(2); version <= 6; version++ {
			s.want = version
			s.run(3200 * time.Millisecond)
			for id, f := range s.engines {
				Expect(f.serves+2).To(BeNumerically(">=", version), id)
			}
		}
	})

	It("waits for runs that can't go on elsewhere, but not for ever", func() {
		s := newSite(1)
		s.engines["e00"].blocking = 700 * time.Millisecond
		s.want = 2
		s.run(650 * time.Millisecond)
		Expect(s.engines["e00"].sequence).To(BeZero())
		s.run(2 * time.Second)
		s.expectServing(2)
		s.engines["e00"].blocking = time.Hour
		s.want = 3
		s.run(4 * time.Second)
		s.expectServing(3)
	})

	It("gives runs that can go on elsewhere a moment to end, since moving each costs a repeated send", func() {
		s := newSite(1)
		s.engines["e00"].running = 500 * time.Millisecond
		s.want = 2
		s.run(450 * time.Millisecond)
		Expect(s.engines["e00"].sequence).To(BeZero())
		s.run(2 * time.Second)
		s.expectServing(2)
		s.engines["e00"].running = time.Hour
		s.want = 3
		s.run(2 * time.Second)
		s.expectServing(3)
	})

	It("goes on when the answers to orders are lost", func() {
		s := newSite(4)
		s.lost, s.want = true, 2
		s.run(8 * time.Second)
		s.expectServing(2)
	})

	It("orders each engine once where orders are carried out seconds late, since the expected number of orders guards it", func() {
		s := newSite(2)
		s.lost, s.late, s.want = true, 3*time.Second, 2
		s.run(12 * time.Second)
		s.expectServing(2)
		for id, f := range s.engines {
			Expect(f.sequence).To(Equal(uint64(1)), id)
		}
	})

	It("is not held up by engines that have crashed", func() {
		s := newSite(9)
		for _, id := range []string{"e00", "e01", "e02", "e03"} {
			s.engines[id].silent = true
		}
		s.want = 2
		s.run(8 * time.Second)
		for id, f := range s.engines {
			if !f.silent {
				Expect(f.serves).To(Equal(uint64(2)), id)
			}
		}
	})

	It("sends nothing without an open lease or under a number that an engine has refused", func() {
		s := newSite(2)
		s.core.Step(0, rollout.Lease{Number: 2})
		s.want = 2
		s.run(2 * time.Second)
		Expect(s.engines["e00"].sequence).To(BeZero())
		s.core.Step(s.now, rollout.Lease{Number: 2, Open: true})
		s.run(30 * time.Millisecond)
		Expect(s.core.Changing()).To(BeTrue())
		s.engines["e00"].next, s.engines["e01"].next = 0, 0
		s.core.Step(s.now, rollout.Report{ID: "e00", Made: s.now, Serves: 1, Busy: true})
		s.core.Step(s.now, rollout.Answered{ID: "e00", Result: rollout.Outdated})
		before := s.engines["e01"].sequence
		s.run(4 * time.Second)
		Expect(s.engines["e01"].sequence).To(Equal(before))
		s.core.Step(s.now, rollout.Lease{Number: 3, Open: true})
		s.run(6 * time.Second)
		Expect(s.engines["e01"].serves).To(Equal(uint64(2)))
	})

	It("sees an order of the holder before it, and does not order again over it", func() {
		s := newSite(1)
		s.engines["e00"].next, s.engines["e00"].until, s.engines["e00"].sequence = 2, 600*time.Millisecond, 1
		s.want = 2
		s.run(3 * time.Second)
		s.expectServing(2)
		Expect(s.engines["e00"].sequence).To(Equal(uint64(1)))
	})
})
