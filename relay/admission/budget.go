package admission

import (
	"math/rand/v2"
	"time"
)

// Budget allows extra work as a fixed ratio of the ordinary work, so that retries or hedges can't multiply an overload.
type Budget struct {
	ratio     float64
	burst     float64
	tokens    float64
	withdrawn uint64
}

// NewBudget returns a budget that allows ratio extra requests per ordinary one, and at most burst at once.
func NewBudget(ratio, burst float64) *Budget {
	return &Budget{ratio: ratio, burst: burst, tokens: burst}
}

// Resize changes ratio and burst; tokens beyond the new burst are lost, and none are added.
func (b *Budget) Resize(ratio, burst float64) {
	b.ratio, b.burst, b.tokens = ratio, burst, min(b.tokens, burst)
}

// Deposit adds ratio tokens for an ordinary request, up to burst.
func (b *Budget) Deposit() { b.tokens = min(b.burst, b.tokens+b.ratio) }

// CanWithdraw reports whether Withdraw would succeed.
func (b *Budget) CanWithdraw() bool { return b.tokens >= 1 }

// Withdraw withdraws a token for one extra request and reports whether there was one.
func (b *Budget) Withdraw() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	b.withdrawn++
	return true
}

// Withdrawn returns the number of extra requests that were allowed.
func (b *Budget) Withdrawn() uint64 { return b.withdrawn }

// maxDoublings keeps the shift in Backoff from overflowing.
const maxDoublings = 16

// Backoff returns the wait before the given attempt (1 for the first retry): uniform between 0 and base doubled per attempt, at
// most limit. Full jitter spreads simultaneous retries best.
func Backoff(random *rand.Rand, attempt int, base, limit time.Duration) time.Duration {
	ceiling := min(limit, base<<min(max(attempt-1, 0), maxDoublings))
	if ceiling <= 0 {
		return 0
	}
	return time.Duration(random.Int64N(int64(ceiling) + 1))
}
