package experiment

import (
	"container/heap"
	"time"
)

// action is a function scheduled for a time; actions with the same time run in the order in which they were scheduled.
type action struct {
	at  time.Duration
	seq uint64
	do  func(now time.Duration)
}

// actions is a heap of actions ordered by time.
type actions []action

// Len implements heap.Interface.
func (a actions) Len() int { return len(a) }

// Less implements heap.Interface.
func (a actions) Less(i, j int) bool {
	return a[i].at < a[j].at || a[i].at == a[j].at && a[i].seq < a[j].seq
}

// Swap implements heap.Interface.
func (a actions) Swap(i, j int) { a[i], a[j] = a[j], a[i] }

// Push implements heap.Interface.
func (a *actions) Push(x any) { *a = append(*a, x.(action)) }

// Pop implements heap.Interface.
func (a *actions) Pop() any {
	last := len(*a) - 1
	x := (*a)[last]
	*a = (*a)[:last]
	return x
}

// clock is a virtual clock that runs actions in the order of their times.
type clock struct {
	actions actions
	seq     uint64
}

func (c *clock) scheduleAt(at time.Duration, do func(now time.Duration)) {
	heap.Push(&c.actions, action{at: at, seq: c.seq, do: do})
	c.seq++
}

// next returns the time of the next action.
func (c *clock) next() (time.Duration, bool) {
	if len(c.actions) == 0 {
		return 0, false
	}
	return c.actions[0].at, true
}

func (c *clock) run() {
	a := heap.Pop(&c.actions).(action)
	a.do(a.at)
}
