package forward_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/chicoryrelay/chicoryrelay/relay/connection"
	"github.com/chicoryrelay/chicoryrelay/relay/directory"
)

// upstreamFramings write an answer with a body, the end of which is marked in each of the three ways.
var upstreamFramings = map[connection.Framing]func(body string) string{
	connection.UntilClose: func(body string) string { return floodHead + "\r\n" + body },
	connection.ByLength: func(body string) string {
		return fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", floodHead, len(body), body)
	},
	connection.ByChunks: func(body string) string {
		raw := floodHead + "Transfer-Encoding: chunked\r\n\r\n"
		for ; len(body) > 8; body = body[8:] {
			raw += chunk(body[:8])
		}
		if body != "" {
			raw += chunk(body)
		}
		return raw + "0\r\n\r\n"
	},
}

// sendingRaw starts an upstream that sends the given bytes and closes the connection in order, without a reset.
func sendingRaw(raw string) directory.Upstream {
	return rawUpstream(func(conn net.Conn, _ *http.Request) { _, _ = io.WriteString(conn, raw) })
}

// newServerOf serves a forwarder with the given upstreams, each for one attempt.
func newServerOf(upstreams ...directory.Upstream) *httptest.Server {
	GinkgoHelper()
	return newFloodServer(&fakePlacer{list: upstreams})
}

// expectLooksComplete checks whether an answer with status 200 reaches the caller in a complete frame.
func expectLooksComplete(complete bool, server *httptest.Server, path, explanation string) {
	GinkgoHelper()
	if _, err := readAnswer(server, path); complete {
		Expect(err).NotTo(HaveOccurred(), explanation)
	} else {
		Expect(err).To(HaveOccurred(), explanation)
	}
}

var _ = Describe("a broken-off answer", func() {
	events := event(1) + event(2) + event(3)
	// completeEvents reports whether a text ends with a complete event.
	completeEvents := func(text string) bool {
		return text == event(1) || text == event(1)+event(2) || text == events
	}

	for framing, write := range upstreamFramings {
		// Guards against a stream that ends within an event, or without any, and reaches its caller in a complete frame.
		It(fmt.Sprintf("is never a whole stream if its text ends within an event, framed by %s", framing), func() {
			for cut := range len(events) + 1 {
				text := events[:cut]
				complete := completeEvents(text) || text == "" && framing != connection.UntilClose
				expectLooksComplete(complete, newServerOf(sendingRaw(write(text))), "/check/", fmt.Sprintf("text %q", text))
			}
		})

		// Guards against an upstream that closes at any byte of its answer, the head included, and a caller that takes what came for the
		// whole stream.
		It(fmt.Sprintf("is never a whole stream wherever the upstream closes, framed by %s", framing), func() {
			raw := write(events)
			head := len(raw) - len(events)
			for cut := range len(raw) + 1 {
				complete := cut == len(raw) || framing == connection.UntilClose && cut > head && completeEvents(raw[head:cut])
				expectLooksComplete(complete, newServerOf(sendingRaw(raw[:cut])), "/check/", fmt.Sprintf("%q", raw[:cut]))
			}
		})

		// Guards against a 200 with an empty or short body for an answer whose head or body stopped halfway.
		It(fmt.Sprintf("is never a whole answer of a plain service wherever the upstream closes, framed by %s", framing), func() {
			const body = "a body of a plain service"
			raw := write(body)
			head := len(raw) - len(body)
			for cut := range len(raw) + 1 {
				complete := cut == len(raw) || framing == connection.UntilClose && cut >= head
				expectLooksComplete(complete, newServerOf(sendingRaw(raw[:cut])), "/book/", fmt.Sprintf("%q", raw[:cut]))
			}
		})
	}

	// Guards against a reset that is taken for the end of an answer without a length or chunks.
	It("is never whole if its connection is reset after a complete event, framed by close", func() {
		for _, path := range []string{"/check/", "/book/"} {
			reset := rawUpstream(func(conn net.Conn, _ *http.Request) {
				_, _ = io.WriteString(conn, upstreamFramings[connection.UntilClose](event(1)))
				time.Sleep(20 * time.Millisecond)
				_ = conn.(*net.TCPConn).SetLinger(0)
			})
			expectLooksComplete(false, newServerOf(reset), path, path)
		}
	})

	// Guards against a resumed stream that breaks off a second time and reaches its caller in a complete frame.
	It("is never a whole stream if the upstream that resumes it breaks off as well", func() {
		for framing, write := range upstreamFramings {
			first := sendingRaw(upstreamFramings[connection.UntilClose](event(1) + "id: 2"))
			for _, rest := range []string{"id", event(2) + "id: 3\ndata", event(2) + event(3)[:len(event(3))-1]} {
				expectLooksComplete(false, newServerOf(first, sendingRaw(write(rest))), "/note/", fmt.Sprintf("%s, %q", framing, rest))
			}
		}
	})
})
