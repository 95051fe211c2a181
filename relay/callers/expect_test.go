package callers_test

import (
	"io"
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// Guards against refusals that wait for a body which their client sends late, or only if it is asked to.
var _ = DescribeTable("a refusal of a request whose body has not come is sent at once", func(head string) {
	_, address := serve(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusUnauthorized) })
	conn, reader := dial(address)
	_ = conn.SetDeadline(time.Now().Add(2 * time.Second))
	_, err := io.WriteString(conn, "POST / HTTP/1.1\r\nHost: h\r\n"+head+"\r\n")
	Expect(err).NotTo(HaveOccurred())
	answer, err := http.ReadResponse(reader, nil)
	Expect(err).NotTo(HaveOccurred())
	Expect(answer.StatusCode).To(Equal(http.StatusUnauthorized))
	// Whatever the client sends on this connection is not taken for a request.
	Expect(answer.Close).To(BeTrue())
},
	Entry("of a client that waits to be asked for it", "Expect: 100-continue\r\nContent-Length: 1000\r\n"),
	Entry("of a client that waits to be asked for it, in chunks", "Expect: 100-continue\r\nTransfer-Encoding: chunked\r\n"),
	Entry("of a client that sends a long one late", "Content-Length: 1000000\r\n"),
)
