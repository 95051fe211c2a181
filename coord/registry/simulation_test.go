package registry_test

import (
	"math/rand/v2"
	"os"
	"slices"
	"sort"
	"strconv"
	"time"
)

// seeds returns CHICORY_SEED alone if it is set, else 1 to CHICORY_SEEDS, which defaults to 25.
func seeds() []uint64 {
	if seed, err := strconv.ParseUint(os.Getenv("CHICORY_SEED"), 10, 64); err == nil {
		return []uint64{seed}
	}
	n := 25
	if set, err := strconv.Atoi(os.Getenv("CHICORY_SEEDS")); err == nil {
		n = set
	}
	list := make([]uint64, n)
	for i := range list {
		list[i] = uint64(i + 1)
	}
	return list
}

// simulation has a virtual clock and a network that loses, duplicates and delays messages until faultsOff is set.
type simulation struct {
	*rand.Rand
	now       time.Duration
	queue     []task
	faultsOff bool
	afterTask func()
}

type task struct {
	at  time.Duration
	run func()
}

func newSimulation(seed uint64) *simulation {
	return &simulation{Rand: rand.New(rand.NewPCG(seed, 7))}
}

// after schedules a task; tasks for the same time run in the order in which they were scheduled.
func (s *simulation) after(d time.Duration, run func()) {
	at := s.now + d
	index := sort.Search(len(s.queue), func(i int) bool { return s.queue[i].at > at })
	s.queue = slices.Insert(s.queue, index, task{at, run})
}

func (s *simulation) every(low, high time.Duration, run func()) {
	s.after(s.between(low, high), func() { run(); s.every(low, high, run) })
}

func (s *simulation) runUntil(end time.Duration) {
	for len(s.queue) > 0 && s.queue[0].at <= end {
		next := s.queue[0]
		s.queue = s.queue[1:]
		s.now = next.at
		next.run()
		s.afterTask()
	}
}

func (s *simulation) between(low, high time.Duration) time.Duration {
	return low + time.Duration(s.Int64N(int64(high-low)+1))
}

func (s *simulation) chance(percent int) bool { return s.IntN(100) < percent }

func (s *simulation) delay() time.Duration {
	if !s.faultsOff && s.chance(10) {
		return s.between(100*time.Millisecond, 8*time.Second)
	}
	return s.between(time.Millisecond, 30*time.Millisecond)
}

// process is a simulated process with its own clock. While it is frozen, its tasks and messages are delayed until it thaws.
type process struct {
	*simulation
	clockRate   float64
	clockOffset time.Duration
	// frozenUntil is the simulation's time at which the process thaws.
	frozenUntil time.Duration
	stopped     bool
}

func (s *simulation) process() process {
	return process{simulation: s, clockRate: 0.99 + 0.01*float64(s.IntN(3)), clockOffset: s.between(0, time.Hour)}
}

func (p *process) clock() time.Duration {
	return p.clockOffset + time.Duration(float64(p.now)*p.clockRate)
}

// runWhenThawed runs the function when the process is not frozen; a stopped process runs nothing.
func (p *process) runWhenThawed(run func()) {
	switch {
	case p.stopped:
	case p.now < p.frozenUntil:
		p.after(p.frozenUntil-p.now, func() { p.runWhenThawed(run) })
	default:
		run()
	}
}

func (p *process) tick(low, high time.Duration, run func()) {
	p.after(p.between(low, high), func() {
		if !p.stopped {
			p.runWhenThawed(func() { run(); p.tick(low, high, run) })
		}
	})
}

// send delivers a message to the process, which may be lost or duplicated.
func (p *process) send(run func()) {
	if !p.faultsOff && p.chance(10) {
		return
	}
	p.after(p.delay(), func() { p.runWhenThawed(run) })
	if !p.faultsOff && p.chance(5) {
		p.after(p.delay(), func() { p.runWhenThawed(run) })
	}
}
