package vm

import (
	"time"

	"github.com/chicoryrelay/chicoryrelay/relay/directory"
)

const (
	// maxListPause is the longest mean pause of a VM that does not lead after a failed reading of the platform's list. The mean pause
	// after a complete reading that followed failures is one and a half times that: 93 VMs that read three pages each every 12 s make
	// 23 calls a second, half of the rate limit of a platform with 100 VMs.
	maxListPause = 8 * time.Second
	// maxPartialAge is the age from which a VM without a newer list discards the pages that it read before a refused one.
	maxPartialAge = 15 * time.Second
	// maxLeaderPartialAge is that age for the leader, whose list must show leaving upstreams within a few seconds.
	maxLeaderPartialAge = 2 * listInterval
)

// listBackoff schedules the readings of the platform's list by a VM that receives no list from the leader. All VMs may be in that
// state at once and exceed the platform's rate limit; without randomised backoff no VM, nor the leader, would complete a reading.
type listBackoff struct {
	next  time.Duration
	pause time.Duration
}

// due reports whether to start a reading.
func (b *listBackoff) due(now time.Duration) bool { return now >= b.next }

// failed doubles the mean pause up to maxListPause; jitter is between 0 and 1.
func (b *listBackoff) failed(now time.Duration, jitter float64) {
	b.pause = min(max(2*b.pause, listInterval), maxListPause)
	b.next = now + time.Duration((0.5+jitter)*float64(b.pause))
}

// succeeded delays the next reading until the leader's list is overdue, or longer after refused calls, to leave the rate limit
// to VMs that have no list yet.
func (b *listBackoff) succeeded(now time.Duration, jitter float64) {
	if b.pause == 0 {
		b.next = now + maxListAge
		return
	}
	b.next = now + time.Duration((1+jitter)*float64(maxListPause))
}

// partialList keeps the pages that were read before a refused one, so that a later reading continues from there.
type partialList struct {
	upstreams []directory.Upstream
	nextPage  string
	startedAt time.Duration
}

// begin discards pages older than maxAge and returns when the first page was requested.
func (p *partialList) begin(now, maxAge time.Duration) time.Duration {
	if p.nextPage == "" || now-p.startedAt > maxAge {
		*p = partialList{startedAt: now}
	}
	return p.startedAt
}

// add appends a page and reports whether it was the last.
func (p *partialList) add(upstreams []directory.Upstream, next string) bool {
	p.upstreams = append(p.upstreams, upstreams...)
	p.nextPage = next
	return next == ""
}
