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

	// Guards against a stream that breaks off within an event and that the next upstream ends without that event, in a complete frame.
	It("is never a whole stream if the upstream that resumes it ends it without the event that is due", func() {
		seconds := map[string]bool{
			"": false, ": note\n\n": false, event(1): false, event(1) + ": note\n\n": false,
			event(2): true, event(1) + event(2): true, event(2) + event(3): true, event(2) + ": note\n\n": true,
		}
		// The first one breaks off behind a byte of the second event, its first line, a part of its data, its data, and its last line.
		for _, part := range []int{1, 6, 9, 14, len(event(2)) - 1} {
			cut := len(event(1)) + part
			firsts := map[string]string{
				"by length":           floodHead + "Content-Length: 1000\r\n\r\n" + events[:cut],
				"by chunks":           floodHead + "Transfer-Encoding: chunked\r\n\r\n" + chunk(events[:cut]),
				"in chunks, complete": floodHead + "Transfer-Encoding: chunked\r\n\r\n" + chunk(events[:cut]) + "0\r\n\r\n",
				"until close":         floodHead + "\r\n" + events[:cut],
			}
			for name, first := range firsts {
				for framing, write := range upstreamFramings {
					for rest, complete := range seconds {
						if rest == "" && framing == connection.UntilClose {
							complete = false
						}
						expectLooksComplete(complete, newServerOf(sendingRaw(first), sendingRaw(write(rest))), "/note/", fmt.Sprintf("%s, then %s, %q", name, framing, rest))
					}
				}
			}
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

var _ = Describe("a begun stream that breaks off", func() {
	notRunHead := "HTTP/1.1 503 X\r\nX-Id: 1\r\nX-Not-Run: 1\r\nContent-Length: 4\r\n\r\nfull"
	errors := map[string]string{
		"an error with a length":            "HTTP/1.1 500 X\r\nX-Id: 1\r\nX-Whole: 1\r\nContent-Length: 6\r\n\r\nfailed",
		"an error in chunks":                "HTTP/1.1 500 X\r\nX-Id: 1\r\nX-Whole: 1\r\nTransfer-Encoding: chunked\r\n\r\n" + chunk("failed") + "0\r\n\r\n",
		"an error that ends by close":       "HTTP/1.1 500 X\r\nX-Id: 1\r\nX-Whole: 1\r\n\r\nfailed",
		"an error without an ID":            "HTTP/1.1 502 X\r\nContent-Length: 6\r\n\r\nfailed",
		"an error whose text is an event":   "HTTP/1.1 500 X\r\nX-Id: 1\r\nX-Whole: 1\r\nContent-Length: 22\r\n\r\nid: 9\ndata: failed\n\n ",
		"a refusal that may have run":       "HTTP/1.1 429 X\r\nX-Id: 1\r\nX-Whole: 1\r\nContent-Length: 4\r\n\r\nbusy",
		"a redirect":                        "HTTP/1.1 302 X\r\nX-Id: 1\r\nX-Whole: 1\r\nLocation: /\r\nContent-Length: 0\r\n\r\n",
		"a declared refusal":                notRunHead,
		"an answer that is no event stream": "HTTP/1.1 200 X\r\nX-Id: 1\r\nX-Whole: 1\r\nContent-Length: 6\r\n\r\n{a: 1}",
	}
	for name, answer := range errors {
		// Guards against the text of an error in the middle of a stream, and against a stream that an error ends as if it were complete.
		It("holds nothing of, and is not ended by, the next upstream's answer if that is "+name, func() {
			fake := &fakePlacer{list: []directory.Upstream{breakingOff(1, 2), sendingRaw(answer)}}
			r, err := http.NewRequest(http.MethodPost, newFloodServer(fake).URL+"/note/", nil)
			Expect(err).NotTo(HaveOccurred())
			r.Host, r.Header = "h", http.Header{"X-Id": {"1"}, "X-Key": {"k"}}
			response, err := http.DefaultClient.Do(r)
			Expect(err).NotTo(HaveOccurred())
			defer func() { _ = response.Body.Close() }()
			text, err := io.ReadAll(response.Body)
			Expect(err).To(HaveOccurred())
			Expect(string(text)).To(Equal(event(1) + event(2)))
			Expect(fake.recordedEnds()).NotTo(ContainElement("finished"))
		})
	}

	It("goes on at a third upstream, if its route allows three, after a second one that answers with an error", func() {
		fake := &fakePlacer{list: []directory.Upstream{breakingOff(1), sendingRaw(errors["an error with a length"]), sendingRaw(upstreamFramings[connection.ByChunks](event(2)))}}
		n, err := readAnswer(newFloodServer(fake), "/long/")
		Expect(err).NotTo(HaveOccurred())
		Expect(n).To(Equal(int64(len(event(1) + event(2)))))
	})
})
