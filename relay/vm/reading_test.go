package vm

import (
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/chicoryrelay/chicoryrelay/relay/directory"
)

// platformList is a platform's list of a few pages that takes a limited number of calls a second.
type platformList struct {
	rate, pages int
	allowed     float64
	calls       int
}

// page answers the call for the next page of p, unless the rate is used up.
func (l *platformList) page(p *partial) (taken, whole bool) {
	l.calls++
	if l.allowed < 1 {
		return false, false
	}
	l.allowed--
	next := "more"
	if len(p.upstreams) == l.pages-1 {
		next = ""
	}
	return true, p.add([]directory.Upstream{{}}, next)
}

// reader is a VM that hears of no leader; asking is set between the first page of a reading and its last or a refused one.
type reader struct {
	reading reading
	partial partial
	asking  bool
}

// step makes at most one call, as pages are asked for one after the other, and reports whether it made a reading whole.
func (r *reader) step(l *platformList, now time.Duration, chance float64) bool {
	if !r.asking {
		if !r.reading.due(now) {
			return false
		}
		r.partial.begin(now, partialLimit)
		r.asking = true
	}
	taken, whole := l.page(&r.partial)
	switch {
	case !taken:
		r.asking = false
		r.reading.failed(now, chance)
	case whole:
		r.asking, r.partial = false, partial{}
		r.reading.succeeded(now, chance)
	}
	return whole
}

// playReaders plays VMs that all start at once, with the calls of all of them mixed: each makes one call in a step of 10 ms. It
// returns when the last VM had its first whole reading, or the limit, and the calls of the last ten seconds.
func playReaders(seed uint64, vms, rate, pages int, limit time.Duration) (last time.Duration, late int) {
	const step = 10 * time.Millisecond
	chance := rand.New(rand.NewPCG(seed, 0))
	list := platformList{rate: rate, pages: pages, allowed: float64(rate)}
	readers := make([]reader, vms)
	have := map[int]bool{}
	early := 0
	for now := time.Duration(0); now < limit; now += step {
		list.allowed = min(float64(rate), list.allowed+float64(rate)*step.Seconds())
		if now < limit-10*time.Second {
			early = list.calls
		}
		for _, i := range chance.Perm(vms) {
			if readers[i].step(&list, now, chance.Float64()) && !have[i] {
				have[i], last = true, now
			}
		}
	}
	if len(have) < vms {
		last = limit
	}
	return last, list.calls - early
}

var _ = Describe("reading of the platform's list without a leader", func() {
	It("gives each of 93 VMs that restart at once a whole reading, which readings at a fixed interval deny to all", func() {
		for seed := range uint64(20) {
			last, late := playReaders(seed, 93, 50, 3, 40*time.Second)
			Expect(last).To(BeNumerically("<", 15*time.Second), "seed %d", seed)
			Expect(late).To(BeNumerically("<", 10*50), "seed %d", seed)
		}
	})

	It("drops pages that are too old, since upstreams that leave meanwhile would be missed", func() {
		var p partial
		Expect(p.begin(0, leaderPartialLimit)).To(BeZero())
		Expect(p.add([]directory.Upstream{{ID: "a"}}, "2")).To(BeFalse())
		Expect(p.begin(time.Second, leaderPartialLimit)).To(BeZero())
		Expect(p.upstreams).To(HaveLen(1))
		Expect(p.begin(2*time.Second, leaderPartialLimit)).To(Equal(2 * time.Second))
		Expect(p.upstreams).To(BeEmpty())
	})

	It("costs a VM alone one reading each time the leader's is too old", func() {
		last, late := playReaders(0, 1, 50, 3, 25*time.Second)
		Expect(last).To(Equal(20 * time.Millisecond))
		Expect(late).To(Equal(3 * 4))
	})
})
