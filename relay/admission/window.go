package admission

import (
	"math"
	"time"
)

// windowSteps is the number of steps in which a window slides.
const windowSteps = 20

// WindowBudget allows extra work in any span of a window: a ratio of the ordinary work in that span, and a slack.
type WindowBudget struct {
	window time.Duration
	// step is the number of the newest step; the counts of step n are at n modulo their number, which includes the one that is
	// sliding out.
	step            int64
	ordinary, extra [windowSteps + 1]int
}

// NewWindowBudget returns a budget for spans of the window.
func NewWindowBudget(window time.Duration) *WindowBudget { return &WindowBudget{window: window} }

// advance clears the steps that have slid out of the window; a time that goes back changes nothing.
func (b *WindowBudget) advance(now time.Duration) {
	step := int64(now * windowSteps / b.window)
	for n := max(b.step+1, step-windowSteps); n <= step; n++ {
		b.ordinary[n%(windowSteps+1)], b.extra[n%(windowSteps+1)] = 0, 0
	}
	b.step = max(b.step, step)
}

// Deposit counts a piece of ordinary work.
func (b *WindowBudget) Deposit(now time.Duration) {
	b.advance(now)
	b.ordinary[b.step%(windowSteps+1)]++
}

// Left returns the extra work that the budget allows now, which is negative if the limits have become smaller.
func (b *WindowBudget) Left(now time.Duration, ratio, slack float64) int {
	b.advance(now)
	// The step that is sliding out counts in part: its extra work may still be in the span, its ordinary work may not.
	ordinary, extra := 0, 0
	for i := range b.extra {
		extra += b.extra[i]
		if int64(i) != (b.step+1)%(windowSteps+1) {
			ordinary += b.ordinary[i]
		}
	}
	return int(math.Floor(ratio*float64(ordinary)+slack)) - extra
}

// Withdraw counts a piece of extra work if the budget allows it, and reports whether it does.
func (b *WindowBudget) Withdraw(now time.Duration, ratio, slack float64) bool {
	if b.Left(now, ratio, slack) < 1 {
		return false
	}
	b.extra[b.step%(windowSteps+1)]++
	return true
}
