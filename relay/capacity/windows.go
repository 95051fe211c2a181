package capacity

import (
	"math"
	"slices"
	"time"
)

const (
	// windowTime and windowCount are the least time and number of observations of a window. Moments of some hundred milliseconds,
	// reported by other VMs up to two seconds late, are then in a minority of the windows.
	windowTime  = 750 * time.Millisecond
	windowCount = 4
	// maxWindows bounds the windows behind an estimate, minWindows is the least number of them.
	maxWindows = 16
	minWindows = 4
	// stepWindows is the number of last windows that show a lasting change if all of them deviate by more than stepFactor.
	stepWindows = 4
	stepFactor  = 1.25
	// stepSpreads is the deviation of each of these windows, as a multiple of their usual spread, that shows a change.
	stepSpreads = 1.5
	// minSpread is the least standard deviation of a window: the mean of many observations varies with neighbours' moments.
	minSpread = 0.08
	// priorWindows is the weight of the group's spread in that of a server, in windows.
	priorWindows = 8
)

// windows are the last observations of a server in windows of time.
type windows struct {
	closed  []float64
	current sum
	opened  time.Duration
	// center and spread are the estimate of the closed windows, which is valid if estimated is set.
	center, spread float64
	estimated      bool
	// stepped is set when earlier windows were dropped because of a lasting change.
	stepped bool
}

// add adds observations to the current window, or to a new one if that is complete.
func (w *windows) add(now time.Duration, observed sum) {
	if w.current.count == 0 {
		w.opened = now
	}
	w.current.count += observed.count
	w.current.total += observed.total
}

// close ends the current window if it is complete, and drops those before a lasting change. It reports whether a window ended.
func (w *windows) close(now time.Duration, spread float64) bool {
	ended := false
	if w.current.count >= windowCount && now-w.opened >= windowTime {
		w.closed = append(w.closed, w.current.total/float64(w.current.count))
		w.current = sum{}
		w.estimated = false
		w.keepLast(maxWindows)
		ended = true
	}
	if ended && spread > 0 && len(w.closed) >= stepWindows+minWindows {
		w.findStep(max(math.Log(stepFactor), stepSpreads*spread))
	}
	return ended
}

// findStep drops all windows but the last ones if these deviate from the others by more than a bound in the same direction.
func (w *windows) findStep(bound float64) {
	at := len(w.closed) - stepWindows
	usual := median(slices.Clone(w.closed[:at]))
	above, below := 0, 0
	for _, value := range w.closed[at:] {
		switch {
		case value > usual+bound:
			above++
		case value < usual-bound:
			below++
		}
	}
	if above == stepWindows || below == stepWindows {
		w.keepLast(stepWindows)
		w.stepped = true
	}
}

// keepLast drops all but the given number of last windows.
func (w *windows) keepLast(count int) {
	if excess := len(w.closed) - count; excess > 0 {
		w.closed = slices.Delete(w.closed, 0, excess)
		w.estimated = false
	}
}

// estimate returns the median of the windows and their standard deviation; it returns false while there are too few.
func (w *windows) estimate() (center, spread float64, ok bool) {
	if len(w.closed) < minWindows {
		return 0, 0, false
	}
	if !w.estimated {
		values := slices.Clone(w.closed)
		w.center = median(values)
		for i := range values {
			values[i] = math.Abs(values[i] - w.center)
		}
		// The median absolute deviation of a normal distribution is 0.6745 standard deviations.
		w.spread, w.estimated = median(values)/0.6745, true
	}
	return w.center, w.spread, true
}

// standardError returns the standard error of the median of the windows, whose spread is uncertain while they are few.
func (w *windows) standardError(own, group float64) float64 {
	n := float64(len(w.closed))
	spread := math.Sqrt((own*own*n + group*group*priorWindows) / (n + priorWindows))
	// The median's standard error is 1.2533 times that of the mean.
	return 1.2533 * max(minSpread, spread) / math.Sqrt(n)
}

// median sorts the values and returns their median, 0 for none.
func median(values []float64) float64 {
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	at := len(values) / 2
	if len(values)%2 == 1 {
		return values[at]
	}
	return (values[at-1] + values[at]) / 2
}

// interquartileMean sorts the values and returns the mean of their middle half, in which values at its ends count in part.
func interquartileMean(values []float64) float64 {
	slices.Sort(values)
	n := float64(len(values))
	total := 0.0
	for i, value := range values {
		weight := min(float64(i+1), 0.75*n) - max(float64(i), 0.25*n)
		total += max(0, weight) * value
	}
	return total / (n / 2)
}
