package replay

import (
	"context"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/samber/oops"

	"github.com/chicoryrelay/chicoryrelay/bench/client"
	"github.com/chicoryrelay/chicoryrelay/bench/report"
	"github.com/chicoryrelay/chicoryrelay/bench/trace"
	"github.com/chicoryrelay/chicoryrelay/standin/engine"
)

// Settings configure a replay.
type Settings struct {
	Name string
	// Addresses are those of the relays, or with Direct of the engines, to which requests are sent in turn.
	Addresses []netip.AddrPort
	Direct    bool
	// Keys is the prefix that turns an account's name into its key.
	Keys string
	// Speed divides the arrival times of the entries: 2 replays at twice the recorded rate.
	Speed float64
	// Timeout is the timeout of one request.
	Timeout time.Duration
	// Block is the engines' block size in tokens, used to compute the hits of one unlimited cache.
	Block int
	// Verify is the version whose text each answer is compared with; nil skips the comparison.
	Verify *engine.Version
	// Slow configures engines that are slowed during a part of the run.
	Slow Slow
	// Runs are the booking services that are queried after the replay for the number of runs of each idempotency key.
	Runs []netip.AddrPort
	// Progress is called after each entry; nil means no call.
	Progress func()
}

// Run replays the entries and returns the measurements; on an interrupt these cover the entries already sent.
func Run(ctx context.Context, entries []trace.Entry, s Settings) (report.Report, error) {
	if len(s.Addresses) == 0 || s.Speed <= 0 || s.Block < 1 {
		return report.Report{}, oops.Code("replay").Errorf("give at least one address, a speed above 0 and a block of at least one token")
	}
	unlimited := trace.Unlimited(entries, s.Block, func(e trace.Entry) []uint64 { return blockHashes(e, s.Block) })
	p := &replayer{Settings: s, sender: client.New(256), collector: report.NewCollector(s.Name), unlimited: unlimited, start: time.Now()}
	var group sync.WaitGroup
	group.Go(func() { p.slowEngines(ctx) })
	sent := 0
	for i, entry := range entries {
		if s.Direct && !entry.Kind.Text() {
			p.progress()
			continue
		}
		if !p.waitUntil(ctx, p.arrival(entry)) {
			break
		}
		address := s.Addresses[sent%len(s.Addresses)]
		sent++
		group.Go(func() { p.sendEntry(ctx, i, entry, address) })
	}
	group.Wait()
	result := p.collector.Report(time.Since(p.start))
	if err := p.countBookingRuns(ctx, &result); err != nil {
		return result, err
	}
	return result, ctx.Err()
}

// replayer is the state of a replay.
type replayer struct {
	Settings
	sender    *client.Client
	unlimited []int
	start     time.Time
	mutex     sync.Mutex
	collector *report.Collector
}

func (p *replayer) progress() {
	if p.Progress != nil {
		p.Progress()
	}
}

func (p *replayer) arrival(entry trace.Entry) time.Duration {
	return time.Duration(float64(entry.Arrival) / p.Speed)
}

// waitUntil waits for a time since the start of the replay and reports whether it was reached before the context ended.
func (p *replayer) waitUntil(ctx context.Context, at time.Duration) bool {
	timer := time.NewTimer(at - time.Since(p.start))
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// sendEntry sends one entry. Its times count from the scheduled arrival, so that delays of the replay itself are included.
func (p *replayer) sendEntry(ctx context.Context, i int, entry trace.Entry, address netip.AddrPort) {
	defer p.progress()
	o := report.Outcome{Entry: entry, Unlimited: p.unlimited[i], Slowed: p.Slow.during(p.arrival(entry))}
	refusal := ""
	r, err := p.request(entry, address)
	if err == nil {
		ctx, cancel := context.WithTimeout(ctx, p.Timeout)
		defer cancel()
		sendDelay := time.Since(p.start) - p.arrival(entry)
		var answer client.Answer
		answer, err = p.sender.Send(ctx, r)
		o.First, o.End = answer.First+sendDelay, answer.End+sendDelay
		refusal = p.classify(&o, r, answer, err)
	}
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if refusal != "" {
		p.collector.Refusal(refusal)
	}
	p.collector.Add(o)
}

// classify fills in an outcome and returns the type of the refusal, or an empty string.
func (p *replayer) classify(o *report.Outcome, r client.Request, answer client.Answer, err error) string {
	o.Duplicates, o.Crossed, o.Gaps = answer.Duplicates, answer.Crossed, answer.Gaps
	if answer.Usage != nil {
		o.Cached = answer.Usage.Details.Cached
	}
	o.Served = err == nil && answer.Whole && answer.Status == http.StatusOK
	if o.Entry.Kind.Text() {
		o.Served = o.Served && answer.Tokens == o.Entry.Answer
	}
	o.Truncated = !o.Served && answer.Tokens > 0
	if o.Served && p.Verify != nil && o.Entry.Kind.Text() {
		text, parseErr := expectedText(r.Body, *p.Verify)
		o.Wrong = parseErr != nil || text != answer.Text
	}
	if answer.Refusal == nil {
		return ""
	}
	o.Refused = !o.Served && answer.Refusal.Outcome == "not run"
	return answer.Refusal.Type
}
