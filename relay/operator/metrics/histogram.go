package metrics

import (
	"encoding/json"
	"sync"
	"time"
)

// Bucket bounds grow by a factor of 1.2 from 1 ms to about 15 min, so a reported quantile in this range is at most 20 %
// too high.
const (
	bucketCount  = 76
	bucketGrowth = 1.2
	firstBound   = time.Millisecond
)

var bucketBounds = func() [bucketCount]time.Duration {
	var b [bucketCount]time.Duration
	limit := float64(firstBound)
	for i := range b {
		b[i] = time.Duration(limit)
		limit *= bucketGrowth
	}
	return b
}()

// Histogram computes quantiles of durations over the current and the previous window. It is an expvar.Var and safe for concurrent
// use.
type Histogram struct {
	now    func() time.Time
	window time.Duration

	mu sync.Mutex
	// current and previous count the observations of the current and the previous window by bucket; the last element counts those
	// above the largest bound.
	current, previous [bucketCount + 1]uint64
	windowStart       time.Time
}

func newHistogram(now func() time.Time, window time.Duration) *Histogram {
	return &Histogram{now: now, window: window, windowStart: now()}
}

// Observe counts one duration; a negative one counts as 0.
func (h *Histogram) Observe(d time.Duration) {
	i := 0
	for i < bucketCount && d > bucketBounds[i] {
		i++
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.rotate()
	h.current[i]++
}

func (h *Histogram) rotate() {
	age := h.now().Sub(h.windowStart)
	if age < h.window {
		return
	}
	h.previous = h.current
	if age >= 2*h.window {
		h.previous = [bucketCount + 1]uint64{}
	}
	h.current = [bucketCount + 1]uint64{}
	h.windowStart = h.now()
}

// Summary is the exported form of a histogram; quantiles are in seconds, and 0 if there are no observations.
type Summary struct {
	Count uint64  `json:"count"`
	P50   float64 `json:"p50"`
	P95   float64 `json:"p95"`
	P99   float64 `json:"p99"`
}

// Summary returns the count and quantiles of the current and the previous window.
func (h *Histogram) Summary() Summary {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.rotate()
	var counts [bucketCount + 1]uint64
	var s Summary
	for i := range counts {
		counts[i] = h.current[i] + h.previous[i]
		s.Count += counts[i]
	}
	s.P50, s.P95, s.P99 = quantile(counts, s.Count, 50), quantile(counts, s.Count, 95), quantile(counts, s.Count, 99)
	return s
}

// quantile returns the upper bound, in seconds, of the bucket that contains the quantile, or the largest bound if the quantile is above
// it.
func quantile(counts [bucketCount + 1]uint64, count, percent uint64) float64 {
	if count == 0 {
		return 0
	}
	rank := (count*percent + 99) / 100
	cumulative := uint64(0)
	for i, n := range counts {
		cumulative += n
		if cumulative >= rank {
			return bucketBounds[min(i, bucketCount-1)].Seconds()
		}
	}
	return bucketBounds[bucketCount-1].Seconds()
}

// String implements expvar.Var.
func (h *Histogram) String() string {
	text, err := json.Marshal(h.Summary())
	if err != nil {
		return "null"
	}
	return string(text)
}
