package weights_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/chicoryrelay/chicoryrelay/standin/weights"
)

var _ = Describe("rate limit", func() {
	It("is shared among readers, so that two concurrent loads do not get twice the rate", func() {
		limiter := weights.NewLimiter(1000)
		Expect(limiter.Reserve(0, 500)).To(Equal(500 * time.Millisecond))
		Expect(limiter.Reserve(0, 500)).To(Equal(time.Second))
	})

	It("does not accumulate unused time for a later burst", func() {
		limiter := weights.NewLimiter(1000)
		Expect(limiter.Reserve(time.Minute, 1000)).To(Equal(time.Minute + time.Second))
	})
})
