package vm

import (
	"time"

	"github.com/chicoryrelay/chicoryrelay/relay/directory"
)

const (
	// readingLongest is the longest mean pause before a VM that does not lead tries again to read the platform's list, and two thirds
	// of the mean pause after a whole reading: 93 VMs that read three pages each then make 23 calls a second, half of what a platform
	// with 100 VMs may allow.
	readingLongest = 8 * time.Second
	// partialLimit is the age from which the pages that were read before a refused one are read again by a VM that knows no newer list.
	partialLimit = 15 * time.Second
	// leaderPartialLimit is the same for the leader, whose list must show leaving upstreams within a few seconds.
	leaderPartialLimit = 2 * listInterval
)

// reading is what a VM that hears nothing of the leader's reading does itself. All VMs may be in that state at once, and the platform
// refuses more calls than its rate: their readings spread until it takes them, or none would be whole and the leader's neither.
type reading struct {
	next  time.Duration
	pause time.Duration
}

// due reports whether to read now.
func (r *reading) due(now time.Duration) bool { return now >= r.next }

// failed doubles the pause; chance is between 0 and 1.
func (r *reading) failed(now time.Duration, chance float64) {
	r.pause = min(max(2*r.pause, listInterval), readingLongest)
	r.next = now + time.Duration((0.5+chance)*float64(r.pause))
}

// succeeded lets the leader's next reading come first. Where calls were refused, it leaves them to VMs that have no list yet.
func (r *reading) succeeded(now time.Duration, chance float64) {
	if r.pause == 0 {
		r.next = now + listSilence
		return
	}
	r.next = now + time.Duration((1+chance)*float64(readingLongest))
}

// partial holds the pages that were read before one was refused, so that each call that the platform takes brings a reading forward.
type partial struct {
	upstreams []directory.Upstream
	page      string
	asked     time.Duration
}

// begin drops pages that are too old and returns when the first one was asked for.
func (p *partial) begin(now, limit time.Duration) time.Duration {
	if p.page == "" || now-p.asked > limit {
		*p = partial{asked: now}
	}
	return p.asked
}

// add adds a page and reports whether it was the last.
func (p *partial) add(upstreams []directory.Upstream, next string) bool {
	p.upstreams = append(p.upstreams, upstreams...)
	p.page = next
	return next == ""
}
