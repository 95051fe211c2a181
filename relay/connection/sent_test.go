package connection_test

import (
	"context"
	"io"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/chicoryrelay/chicoryrelay/relay/connection"
)

// Guards against bodies that are kept in memory, although they were written, because their response was read to its end.
var _ = It("a request counts as sent before and after its response was read", func() {
	for _, size := range []int{1, 4096, 4097, 500_000} {
		pool := connection.NewPool()
		DeferCleanup(pool.Close)
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		DeferCleanup(cancel)
		response, err := pool.Do(ctx, startUpstream(echo).address(), newRequest("1", strings.Repeat("x", size)))
		Expect(err).NotTo(HaveOccurred())
		Eventually(response.Sent).Should(BeTrue())
		_, err = io.Copy(io.Discard, response)
		Expect(err).NotTo(HaveOccurred())
		Expect(response.Sent()).To(BeTrue())
	}
})
