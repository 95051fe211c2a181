package report

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/chicoryrelay/chicoryrelay/bench/trace"
)

// Outcome is the result of one entry of a trace.
type Outcome struct {
	Entry trace.Entry
	// First and End are the times from the arrival to the first token and to the end of the answer.
	First time.Duration
	End   time.Duration
	// Cached is the number of cached tokens of the prompt, Unlimited the number with one unlimited cache.
	Cached    int
	Unlimited int
	// Extra is the number of prompt tokens computed for cancelled copies of the request.
	Extra int
	// Served is set if the complete answer was received, Refused if the request was refused as not run; all others failed.
	Served  bool
	Refused bool
	// Duplicates, Crossed and Gaps count faulty events; Truncated is set if the answer ended before its last token.
	Duplicates int
	Crossed    int
	Gaps       int
	Truncated  bool
	// Wrong is set if the text is not the expected answer to this request.
	Wrong bool
	// Slowed is set if the entry arrived while some upstreams were slowed.
	Slowed bool
}

// Range of the histograms in microseconds, up to one hour, and their precision in significant digits.
const (
	minMicroseconds   = 1
	maxMicroseconds   = int64(time.Hour / time.Microsecond)
	significantDigits = 3
)

// Collector aggregates outcomes; it is not safe for concurrent use.
type Collector struct {
	report  Report
	first   map[string]*hdrhistogram.Histogram
	end     *hdrhistogram.Histogram
	seconds map[int]int
}

// NewCollector returns an empty collector for the run with the given name.
func NewCollector(name string) *Collector {
	c := &Collector{report: Report{Name: name, Refusals: map[string]int{}}, first: map[string]*hdrhistogram.Histogram{}, seconds: map[int]int{}}
	for _, class := range []string{classAll, classShort, classPeak, classSlowed, classLong} {
		c.first[class] = hdrhistogram.New(minMicroseconds, maxMicroseconds, significantDigits)
	}
	c.end = hdrhistogram.New(minMicroseconds, maxMicroseconds, significantDigits)
	return c
}

// Classes of requests with a histogram of times to first token each.
const (
	classAll    = "all"
	classShort  = "short"
	classPeak   = "peak"
	classSlowed = "slowed"
	classLong   = "long"
)

// Refusal counts a refusal by its type.
func (c *Collector) Refusal(kind string) { c.report.Refusals[kind]++ }

// Add counts one outcome.
func (c *Collector) Add(o Outcome) {
	r := &c.report
	r.Requests++
	r.Duplicates += o.Duplicates
	r.Crossed += o.Crossed
	r.Gaps += o.Gaps
	if o.Wrong {
		r.Wrong++
	}
	switch {
	case o.Served:
		r.Served++
	case o.Refused:
		r.Refused++
	case o.Truncated:
		r.Truncated++
	default:
		r.Errors++
	}
	if !o.Entry.Kind.Text() {
		return
	}
	within := o.Served && (o.Entry.Deadline == 0 || o.First <= o.Entry.Deadline)
	if o.Entry.Peak && o.Entry.Kind.Short() {
		r.PeakRequests++
		if within {
			r.PeakWithin++
		}
	}
	r.WastedTokens += o.Extra
	if !o.Served {
		return
	}
	if within {
		r.Within++
	}
	r.PromptTokens += o.Entry.Prompt
	r.CachedTokens += o.Cached
	r.UnlimitedTokens += o.Unlimited
	r.WastedTokens += max(0, o.Unlimited-o.Cached)
	r.AnswerTokens += o.Entry.Answer
	c.recordTimes(o)
}

func (c *Collector) recordTimes(o Outcome) {
	classes := []string{classAll}
	if o.Entry.Kind.Short() {
		classes = append(classes, classShort)
	} else {
		classes = append(classes, classLong)
	}
	if o.Entry.Peak {
		classes = append(classes, classPeak)
	}
	if o.Slowed {
		classes = append(classes, classSlowed)
	}
	for _, class := range classes {
		record(c.first[class], o.First)
	}
	record(c.end, o.End)
	c.seconds[int((o.Entry.Arrival+o.First)/time.Second)]++
}

// record adds a time to a histogram; times outside its range are recorded as the nearest bound.
func record(histogram *hdrhistogram.Histogram, d time.Duration) {
	_ = histogram.RecordValue(min(maxMicroseconds, max(minMicroseconds, d.Microseconds())))
}

// Report returns the measurements of a run of the given length.
func (c *Collector) Report(length time.Duration) Report {
	r := c.report
	r.Length = length
	r.First = summarise(c.first[classAll])
	r.ShortFirst = summarise(c.first[classShort])
	r.LongFirst = summarise(c.first[classLong])
	r.PeakFirst = summarise(c.first[classPeak])
	r.SlowedFirst = summarise(c.first[classSlowed])
	r.End = summarise(c.end)
	r.Distribution = distribution(c.first[classAll])
	last := -1
	for second := range c.seconds {
		last = max(last, second)
	}
	r.PerSecond = make([]int, last+1)
	for second, count := range c.seconds {
		r.PerSecond[second] = count
	}
	return r.withRatios()
}

func summarise(h *hdrhistogram.Histogram) Times {
	at := func(quantile float64) time.Duration {
		return time.Duration(h.ValueAtQuantile(quantile)) * time.Microsecond
	}
	return Times{Count: h.TotalCount(), P50: at(50), P95: at(95), P99: at(99), P999: at(99.9), Max: at(100)}
}

// ticksPerHalving is the number of points of a distribution per halving of the remaining share; with fewer, the tail of a
// chart is a straight line.
const ticksPerHalving = 10

func distribution(h *hdrhistogram.Histogram) []Point {
	var points []Point
	for _, bar := range h.CumulativeDistributionWithTicks(ticksPerHalving) {
		points = append(points, Point{Quantile: bar.Quantile, Time: time.Duration(bar.ValueAt) * time.Microsecond})
	}
	return points
}
