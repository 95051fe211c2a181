package callers_test

import (
	"context"
	"io"
	"net/http"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/chicoryrelay/chicoryrelay/relay/callers"
)

// Guards against a body whose send ends with its request, as after an early answer: the memory of the connection's next body was released
// with it. If that body was refused as it grew, the guard panicked with its lock held.
var _ = It("the release of a request's body does not concern the next request on its connection", func() {
	contexts := make(chan context.Context, 2)
	guard, address := serve(func(w http.ResponseWriter, r *http.Request) {
		contexts <- r.Context()
		echo(w, r)
	})
	conn, reader := dial(address)
	_, err := io.WriteString(conn, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\n12345")
	Expect(err).NotTo(HaveOccurred())
	expectAnswer(reader, http.StatusOK, "5")
	first := <-contexts
	_, err = io.WriteString(conn, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 50000\r\n\r\n12345")
	Expect(err).NotTo(HaveOccurred())
	held := func() int64 { return guard.Counters().Memory["bodies"] }
	// The first body held less.
	Eventually(held).Should(BeNumerically(">=", 1000))
	before := held()
	callers.ReleaseBody(first)
	Expect(held()).To(Equal(before))
	callers.HoldAnswer(<-contexts, callers.Budget(testMemory))
	_, err = io.WriteString(conn, strings.Repeat("x", 49_995))
	Expect(err).NotTo(HaveOccurred())
	expectAnswer(reader, http.StatusServiceUnavailable, "")
})
