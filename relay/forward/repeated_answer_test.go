package forward_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/chicoryrelay/chicoryrelay/relay/directory"
)

// refusals are refusals of a request as an upstream writes them, by how their end is marked and whether they have the request's ID.
var refusals = map[string]func(id string) string{
	"with an ID and a length": func(id string) string { return refusalHead + "X-Id: " + id + "\r\nContent-Length: 4\r\n\r\nfull" },
	"with an ID and in chunks": func(id string) string {
		return refusalHead + "X-Id: " + id + "\r\nTransfer-Encoding: chunked\r\n\r\n" + chunk("full") + "0\r\n\r\n"
	},
	"without an ID, by length": func(string) string { return refusalHead + "Content-Length: 4\r\n\r\nfull" },
	"without an ID, in chunks": func(string) string {
		return refusalHead + "Transfer-Encoding: chunked\r\n\r\n" + chunk("full") + "0\r\n\r\n"
	},
	"without an ID, without end": func(string) string { return refusalHead + "Content-Length: 0\r\n\r\n" },
}

const refusalHead = "HTTP/1.1 503 X\r\nX-Not-Run: 1\r\n"

// repeatingUpstream refuses the first request of each connection, and writes that refusal once more when the second one has arrived,
// which it runs and answers after the delay. runs counts the requests that it runs.
func repeatingUpstream(refusal func(id string) string, delay time.Duration, runs *atomic.Int32) directory.Upstream {
	GinkgoHelper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(func() { _ = listener.Close() })
	serve := func(conn net.Conn) {
		defer func() { _ = conn.Close() }()
		reader := bufio.NewReader(conn)
		var first string
		for {
			r, err := http.ReadRequest(reader)
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, r.Body)
			id := r.Header.Get("X-Id")
			if first == "" {
				first = refusal(id)
				_, _ = io.WriteString(conn, first)
				continue
			}
			_, _ = io.WriteString(conn, first)
			runs.Add(1)
			time.Sleep(delay)
			_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 X\r\nX-Id: %s\r\nX-Whole: 1\r\nContent-Length: 2\r\n\r\nok", id)
		}
	}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go serve(conn)
		}
	}()
	return directory.Upstream{ID: listener.Addr().String(), Address: netip.MustParseAddrPort(listener.Addr().String())}
}

// call sends a request with an ID and returns the status and the body of its answer.
func call(server *httptest.Server, path, id string) (int, string) {
	GinkgoHelper()
	r, err := http.NewRequest(http.MethodPost, server.URL+path, strings.NewReader("body"))
	Expect(err).NotTo(HaveOccurred())
	r.Host, r.Header = "h", http.Header{"X-Id": {id}, "X-Key": {"k"}}
	response, err := http.DefaultClient.Do(r)
	Expect(err).NotTo(HaveOccurred())
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	Expect(err).NotTo(HaveOccurred())
	return response.StatusCode, string(text)
}

var _ = Describe("an earlier refusal that an upstream writes once more on a kept connection", func() {
	for name, refusal := range refusals {
		// Guards against "not run" for a request that the upstream runs, and against a second run of such a request elsewhere.
		It("is not taken for the answer to the next request, "+name, func() {
			var runs, secondRuns atomic.Int32
			u := repeatingUpstream(refusal, 50*time.Millisecond, &runs)
			other := rawUpstream(func(conn net.Conn, r *http.Request) {
				secondRuns.Add(1)
				_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 X\r\nX-Id: %s\r\nX-Whole: 1\r\nContent-Length: 5\r\n\r\nother", r.Header.Get("X-Id"))
			})
			fake := &fakePlacer{list: []directory.Upstream{u}}
			server := newFloodServer(fake)
			status, _ := call(server, "/book/", "1")
			Expect(status).To(Equal(http.StatusServiceUnavailable))
			fake.list = append(fake.list, u, other)
			status, text := call(server, "/book/", "2")
			Expect(status).To(Equal(http.StatusOK))
			Expect(text).To(Equal("ok"))
			Expect(runs.Load()).To(Equal(int32(1)))
			Expect(secondRuns.Load()).To(BeZero())
		})

		// Guards against the same for a request that is sent to the same upstream again, whose own earlier refusal has its ID.
		It("is not taken for the answer to the same request sent again, "+name, func() {
			var runs atomic.Int32
			u := repeatingUpstream(refusal, 50*time.Millisecond, &runs)
			server := newFloodServer(&fakePlacer{list: []directory.Upstream{u, u, u}})
			status, _ := call(server, "/book/", "1")
			Expect(runs.Load() == 0 || status != http.StatusServiceUnavailable).To(BeTrue(), "status %d after %d runs", status, runs.Load())
			Expect(runs.Load()).To(BeNumerically("<=", 1))
		})
	}
})
