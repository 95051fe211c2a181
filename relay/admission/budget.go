package admission

import (
	"math/rand/v2"
	"time"
)

// Budget allows extra work as a fixed ratio of the ordinary work, so that retries or hedges can't multiply an overload.
type Budget struct {
	ratio  float64
	burst  float64
	tokens float64
	taken  uint64
}

// NewBudget returns a budget that allows ratio extra requests per ordinary one, and at most burst at once.
func NewBudget(ratio, burst float64) *Budget {
	return &Budget{ratio: ratio, burst: burst, tokens: burst}
}

// Resize changes ratio and burst; what was saved up beyond the new burst is lost, and nothing is gained.
func (b *Budget) Resize(ratio, burst float64) {
	b.ratio, b.burst, b.tokens = ratio, burst, min(b.tokens, burst)
}

// Earn records an ordinary request.
func (b *Budget) Earn() { b.tokens = min(b.burst, b.tokens+b.ratio) }

// Left reports whether Take would succeed.
func (b *Budget) Left() bool { return b.tokens >= 1 }

// Take uses the budget for one extra request and reports whether there was enough.
func (b *Budget) Take() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	b.taken++
	return true
}

// Taken returns the number of extra requests that were allowed.
func (b *Budget) Taken() uint64 { return b.taken }

// maxDoublings keeps the shift in Backoff far from overflow.
const maxDoublings = 16

// Backoff returns the wait before the given attempt (1 for the first retry): uniform between 0 and the doubled base, which spreads a herd best.
func Backoff(random *rand.Rand, attempt int, base, most time.Duration) time.Duration {
	ceiling := min(most, base<<min(max(attempt-1, 0), maxDoublings))
	if ceiling <= 0 {
		return 0
	}
	return time.Duration(random.Int64N(int64(ceiling) + 1))
}
