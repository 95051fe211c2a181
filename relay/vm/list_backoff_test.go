package vm

import (
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/chicoryrelay/chicoryrelay/relay/directory"
)

// platformList simulates the platform's list, which has a few pages and a limit of calls per second.
type platformList struct {
	rate, pages int
	tokens      float64
	calls       int
}

// page serves the next page of p, or rejects the call if the rate limit is exceeded.
func (l *platformList) page(p *partialList) (accepted, complete bool) {
	l.calls++
	if l.tokens < 1 {
		return false, false
	}
	l.tokens--
	next := "more"
	if len(p.upstreams) == l.pages-1 {
		next = ""
	}
	return true, p.add([]directory.Upstream{{}}, next)
}

// reader simulates a VM that receives no list from a leader; inProgress is set from the first page of a reading to its last or
// a rejected one.
type reader struct {
	listBackoff listBackoff
	partialList partialList
	inProgress  bool
}

// step makes at most one call, since pages are requested in sequence, and reports whether a reading became complete.
func (r *reader) step(l *platformList, now time.Duration, jitter float64) bool {
	if !r.inProgress {
		if !r.listBackoff.due(now) {
			return false
		}
		r.partialList.begin(now, maxPartialAge)
		r.inProgress = true
	}
	accepted, complete := l.page(&r.partialList)
	switch {
	case !accepted:
		r.inProgress = false
		r.listBackoff.failed(now, jitter)
	case complete:
		r.inProgress, r.partialList = false, partialList{}
		r.listBackoff.succeeded(now, jitter)
	}
	return complete
}

// simulateReaders simulates VMs that start together and make one call each, in random order, per step of 10 ms. It returns when
// the last VM completed its first reading, or the limit, and the number of calls in the last ten seconds.
func simulateReaders(seed uint64, vms, rate, pages int, limit time.Duration) (lastComplete time.Duration, lateCalls int) {
	const step = 10 * time.Millisecond
	random := rand.New(rand.NewPCG(seed, 0))
	list := platformList{rate: rate, pages: pages, tokens: float64(rate)}
	readers := make([]reader, vms)
	completed := map[int]bool{}
	earlyCalls := 0
	for now := time.Duration(0); now < limit; now += step {
		list.tokens = min(float64(rate), list.tokens+float64(rate)*step.Seconds())
		if now < limit-10*time.Second {
			earlyCalls = list.calls
		}
		for _, i := range random.Perm(vms) {
			if readers[i].step(&list, now, random.Float64()) && !completed[i] {
				completed[i], lastComplete = true, now
			}
		}
	}
	if len(completed) < vms {
		lastComplete = limit
	}
	return lastComplete, list.calls - earlyCalls
}

var _ = Describe("reading the platform's list without a leader", func() {
	It("completes within 15 s on each of 93 VMs that restart at once, where a fixed interval would let none complete", func() {
		for seed := range uint64(20) {
			lastComplete, lateCalls := simulateReaders(seed, 93, 50, 3, 40*time.Second)
			Expect(lastComplete).To(BeNumerically("<", 15*time.Second), "seed %d", seed)
			Expect(lateCalls).To(BeNumerically("<", 10*50), "seed %d", seed)
		}
	})

	It("discards pages that are too old, since they may miss upstreams that have started to leave", func() {
		var p partialList
		Expect(p.begin(0, maxLeaderPartialAge)).To(BeZero())
		Expect(p.add([]directory.Upstream{{ID: "a"}}, "2")).To(BeFalse())
		Expect(p.begin(time.Second, maxLeaderPartialAge)).To(BeZero())
		Expect(p.upstreams).To(HaveLen(1))
		Expect(p.begin(2*time.Second, maxLeaderPartialAge)).To(Equal(2 * time.Second))
		Expect(p.upstreams).To(BeEmpty())
	})

	It("is repeated by a lone VM once per maximum age of the leader's list", func() {
		lastComplete, lateCalls := simulateReaders(0, 1, 50, 3, 25*time.Second)
		Expect(lastComplete).To(Equal(20 * time.Millisecond))
		Expect(lateCalls).To(Equal(3 * 4))
	})
})
