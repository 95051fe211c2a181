package admission_test

import (
	"fmt"
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/chicoryrelay/chicoryrelay/relay/admission"
)

var _ = Describe("budget", func() {
	It("allows extra work as a share of the ordinary work, so that retries can't multiply an overload", func() {
		b := admission.NewBudget(0.1, 2)
		allowed := 0
		for range 100 {
			b.Deposit()
			if b.Withdraw() {
				allowed++
			}
		}
		Expect(allowed).To(BeNumerically("~", 12, 1))
		Expect(b.Withdrawn()).To(Equal(uint64(allowed)))
	})

	It("draws the backoff between 0 and the doubled base, up to the limit", func() {
		random := rand.New(rand.NewPCG(1, 1))
		longest := time.Duration(0)
		for range 1000 {
			wait := admission.Backoff(random, 3, 10*time.Millisecond, time.Second)
			Expect(wait).To(And(BeNumerically(">=", 0), BeNumerically("<=", 40*time.Millisecond)))
			longest = max(longest, wait)
		}
		Expect(longest).To(BeNumerically(">", 35*time.Millisecond))
		Expect(admission.Backoff(random, 60, time.Second, time.Second)).To(BeNumerically("<=", time.Second))
	})
})

var _ = Describe("a fair queue", func() {
	It("serves accounts in proportion to their weights when all have work waiting", func() {
		f := admission.NewFairQueue()
		f.SetWeight("large", 3)
		served := map[string]int{}
		for range 400 {
			next := "small"
			if f.Start("large") < f.Start("small") {
				next = "large"
			}
			f.Advance(f.Start(next))
			f.Charge(next, time.Second)
			served[next]++
		}
		Expect(served["large"]).To(BeNumerically("~", 300, 3))
	})

	It("gives no credit for idle time, so that an account that was idle can't starve the others", func() {
		f := admission.NewFairQueue()
		for range 100 {
			f.Advance(f.Start("busy"))
			f.Charge("busy", time.Second)
		}
		Expect(f.Start("idle")).To(BeNumerically(">=", f.Start("busy")-1))
	})
})

var _ = Describe("deadline", func() {
	It("counts as missed only if the scaled estimate exceeds it", func() {
		Expect(admission.MissesDeadline(0, time.Second, 2*time.Second)).To(BeTrue())
		Expect(admission.MissesDeadline(0, time.Second, time.Second)).To(BeFalse())
		Expect(admission.MissesDeadline(time.Hour, 0, time.Hour)).To(BeFalse())
	})
})

// exchangeDigests delivers the digest of each VM to all others.
func exchangeDigests(now time.Duration, vms []*admission.Limits) {
	for i, vm := range vms {
		published := vm.Publish()
		for j, other := range vms {
			if i != j {
				other.ReceiveDigest(now, fmt.Sprint(i), published)
			}
		}
	}
}

var _ = Describe("limits", func() {
	for seed := uint64(1); seed <= 20; seed++ {
		It(fmt.Sprintf("keep an account's requests in progress within its limit across VMs without a call per request, seed %d", seed), func() {
			random := rand.New(rand.NewPCG(seed, 0))
			limit, total, highest := 5+random.IntN(40), 0, 0
			vms := make([]*admission.Limits, 2+random.IntN(7))
			for i := range vms {
				vms[i] = admission.NewLimits(fmt.Sprint(i), time.Hour)
				vms[i].SetLimit("a", limit)
			}
			exchangeDigests(0, vms)
			for range 3000 {
				vm := vms[min(random.IntN(len(vms)), random.IntN(len(vms)))]
				switch random.IntN(20) {
				case 0:
					exchangeDigests(0, vms)
				case 1, 2, 3, 4, 5, 6, 7:
					if vm.InProgress("a") > 0 {
						vm.Release("a")
						total--
					}
				default:
					if vm.Acquire(0, "a") {
						total++
					}
				}
				Expect(total).To(BeNumerically("<=", limit))
				highest = max(highest, total)
			}
			Expect(highest).To(BeNumerically(">", limit*3/4), "the limit must be usable")
		})
	}

	It("drop peers that stopped publishing, so that their share is usable again", func() {
		l := admission.NewLimits("0", time.Second)
		l.SetLimit("a", 10)
		l.ReceiveDigest(0, "1", map[string]int{"a": 10})
		Expect(l.Acquire(0, "a")).To(BeFalse())
		Expect(l.Acquire(2*time.Second, "a")).To(BeTrue())
	})
})
