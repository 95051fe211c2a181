package forward_test

import (
	"fmt"
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/chicoryrelay/chicoryrelay/relay/forward"
)

// budgetClock is the virtual clock of budgets; each VM's own clock starts with it.
type budgetClock struct{ now time.Duration }

func (c *budgetClock) newBudget(ratio, slack float64, vms int) *forward.Budget {
	started := c.now
	b := forward.NewBudget(forward.WithBudgetClock(func() time.Duration { return c.now - started }))
	b.SetLimits(ratio, slack)
	b.SetVMs(vms)
	return b
}

// withdrawAll withdraws as many retries as the budget allows, and returns their number.
func withdrawAll(b *forward.Budget) (taken int) {
	for b.Withdraw("s") {
		taken++
	}
	return taken
}

var _ = Describe("retry budget", func() {
	const window = 10 * time.Second

	It("allows no more retries than its ratio of the requests and its part of the shared slack", func() {
		c := &budgetClock{}
		b := c.newBudget(0.2, 40, 8)
		c.now = window
		Expect(withdrawAll(b)).To(Equal(4))
		for range 100 {
			b.Deposit("s")
		}
		Expect(withdrawAll(b)).To(Equal(16))
		Expect(b.CanWithdraw("s")).To(BeFalse())
		Expect(b.CanWithdraw("other")).To(BeTrue())
	})

	// Guards against a slack that is used once and then lacks for good, so that streams are broken off although retries are allowed.
	It("allows the slack again in each window, and never twice in one", func() {
		c := &budgetClock{}
		b := c.newBudget(0, 40, 8)
		c.now = window
		for range 5 {
			Expect(withdrawAll(b)).To(Equal(4))
			c.now += window - time.Millisecond
			Expect(withdrawAll(b)).To(BeZero())
			c.now += time.Second
		}
	})

	It("is not refilled when the number of VMs changes, which happens often while VMs are slow", func() {
		c := &budgetClock{}
		b := c.newBudget(0, 40, 8)
		c.now = window
		taken := 0
		for vms := range 20 {
			b.SetVMs(7 + vms%2)
			taken += withdrawAll(b)
		}
		Expect(taken).To(Equal(4))
	})

	It("allows few retries while the number of VMs is unknown, and right after a start, since all VMs may have restarted together", func() {
		c := &budgetClock{}
		Expect(withdrawAll(c.newBudget(0, 200, 0))).To(BeNumerically("<=", 200/20))
		Expect(withdrawAll(c.newBudget(0, 200, 8))).To(BeNumerically("<=", 200/8/4))
	})

	It("allows each of very many VMs no retry of its own that all together may not make", func() {
		c := &budgetClock{}
		Expect(withdrawAll(c.newBudget(0, 56, 400))).To(BeZero())
	})

	// Guards against retries beyond the limits in any span, however requests, retries and restarts come.
	It("keeps all VMs together within the limits in every window, for 200 series of requests, retries and restarts", func() {
		for seed := range uint64(200) {
			random := rand.New(rand.NewPCG(seed, 3))
			const ratio, slack, step = 0.2, 56, 100 * time.Millisecond
			vms := 2 + random.IntN(8)
			c := &budgetClock{}
			var budgets []*forward.Budget
			for range vms {
				budgets = append(budgets, c.newBudget(ratio, slack, vms))
			}
			var requests, retries []int
			restartedAt := -window
			for range 400 {
				sent, again := 0, 0
				// VMs that start again forget what they have used.
				if c.now >= restartedAt+window && random.IntN(100) == 0 {
					restartedAt = c.now
					for i := range budgets {
						budgets[i] = c.newBudget(ratio, slack, vms)
					}
				}
				for _, b := range budgets {
					for range random.IntN(4) * random.IntN(4) {
						b.Deposit("s")
						sent++
					}
					if random.IntN(5) == 0 {
						again += withdrawAll(b)
					}
				}
				requests, retries = append(requests, sent), append(retries, again)
				c.now += step
				sentInWindow, retriesInWindow := 0, 0
				for i := max(0, len(requests)-int(window/step)); i < len(requests); i++ {
					sentInWindow, retriesInWindow = sentInWindow+requests[i], retriesInWindow+retries[i]
				}
				Expect(float64(retriesInWindow)).To(BeNumerically("<=", ratio*float64(sentInWindow)+slack), fmt.Sprintf("seed %d, at %s", seed, c.now))
			}
		}
	})
})
