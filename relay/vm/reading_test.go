package vm

import (
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/chicoryrelay/chicoryrelay/relay/directory"
)

// platformRate plays VMs that all start at once and hear of no leader: the platform takes rate calls a second, and a reading needs
// pages of them. It returns when the last VM had its first whole reading, and the calls of the last ten seconds.
func platformRate(vms, rate, pages int, limit time.Duration) (last time.Duration, late int) {
	const step = 10 * time.Millisecond
	chance := rand.New(rand.NewPCG(1, 2))
	readings, partials := make([]reading, vms), make([]partial, vms)
	have := map[int]bool{}
	allowed := float64(rate)
	// page makes one call of a VM's reading.
	page := func(i int, now time.Duration) (taken, whole bool) {
		if now >= limit-10*time.Second {
			late++
		}
		if allowed < 1 {
			return false, false
		}
		allowed--
		one := []directory.Upstream{{}}
		next := "more"
		if len(partials[i].upstreams) == pages-1 {
			next = ""
		}
		return true, partials[i].add(one, next)
	}
	read := func(i int, now time.Duration) bool {
		partials[i].begin(now, partialLimit)
		for {
			taken, whole := page(i, now)
			if whole || !taken {
				return whole
			}
		}
	}
	for now := time.Duration(0); now < limit; now += step {
		allowed = min(float64(rate), allowed+float64(rate)*step.Seconds())
		for _, i := range chance.Perm(vms) {
			switch {
			case !readings[i].due(now):
			case read(i, now):
				readings[i].succeeded(now, chance.Float64())
				if !have[i] {
					have[i], last = true, now
				}
			default:
				readings[i].failed(now, chance.Float64())
			}
		}
	}
	if len(have) < vms {
		last = limit
	}
	return last, late
}

var _ = Describe("reading of the platform's list without a leader", func() {
	It("gives each of 93 VMs that restart at once a whole reading, which readings at a fixed interval deny to all", func() {
		last, late := platformRate(93, 50, 3, 40*time.Second)
		Expect(last).To(BeNumerically("<", 15*time.Second))
		Expect(late).To(BeNumerically("<", 10*50))
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
		last, late := platformRate(1, 50, 3, 25*time.Second)
		Expect(last).To(BeZero())
		Expect(late).To(Equal(3 * 4))
	})
})
