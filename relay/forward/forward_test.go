package forward_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/chicoryrelay/chicoryrelay/relay/connection"
	"github.com/chicoryrelay/chicoryrelay/relay/directory"
	"github.com/chicoryrelay/chicoryrelay/relay/forward"
	"github.com/chicoryrelay/chicoryrelay/relay/outcome"
	"github.com/chicoryrelay/chicoryrelay/relay/route"
)

// dialect uses header names that only these tests know.
var dialect = forward.Dialect{
	EndToEnd: []string{"X-Id"},
	ReadRequest: func(h http.Header) forward.RequestMetadata {
		metadata := forward.RequestMetadata{ID: h.Get("X-Id"), Key: h.Get("X-Key"), LastEventID: h.Get("Last-Event-Id")}
		if ms, err := strconv.Atoi(h.Get("X-Wait")); err == nil {
			metadata.Timeout = time.Duration(ms) * time.Millisecond
		}
		return metadata
	},
	WriteRequest: func(h http.Header, o forward.UpstreamMetadata) {
		h.Del("X-Key")
		h.Del("Last-Event-Id")
		h.Set("X-Account", o.Account)
		h.Set("X-Upstream", o.Upstream)
		h.Set("X-Salt", o.Salt)
		h.Set("X-Left", strconv.FormatInt(o.Remaining.Milliseconds(), 10))
		if o.LastEventID != "" {
			h.Set("Last-Event-Id", o.LastEventID)
		}
	},
	ReadAnswer: func(_ int, h http.Header) forward.AnswerMetadata {
		return forward.AnswerMetadata{ID: h.Get("X-Id"), NotRun: h.Get("X-Not-Run") != "", FromUpstream: h.Get("X-Whole") != ""}
	},
}

const state = `{"version": 1,
	"routes": [
		{"name": "read", "host": "h", "prefix": "/read/", "kind": "idempotent", "timeout": "3s", "target": "200ms", "split": {"plain": 1}, "attempts": 2},
		{"name": "book", "host": "h", "prefix": "/book/", "kind": "unsafe", "timeout": "3s", "target": "200ms", "split": {"plain": 1}, "attempts": 1},
		{"name": "check", "host": "h", "prefix": "/check/", "kind": "stream", "timeout": "3s", "target": "400ms", "split": {"plain": 1}, "attempts": 1},
		{"name": "long", "host": "h", "prefix": "/long/", "kind": "stream", "timeout": "3s", "target": "400ms", "split": {"plain": 1}, "attempts": 3, "resumable": true},
		{"name": "once", "host": "h", "prefix": "/once/", "kind": "stream", "timeout": "3s", "target": "400ms", "split": {"plain": 1}, "attempts": 1, "resumable": true},
		{"name": "note", "host": "h", "prefix": "/note/", "kind": "stream", "timeout": "3s", "target": "400ms", "split": {"plain": 1}, "attempts": 2, "resumable": true},
		{"name": "open", "host": "h", "prefix": "/open/", "kind": "idempotent", "timeout": "3s", "split": {"plain": 1}, "public": true},
		{"name": "brief", "host": "h", "prefix": "/brief/", "kind": "unsafe", "timeout": "100ms", "split": {"plain": 1}}
	],
	"services": [{"name": "plain"}],
	"limits": {"body": 1000},
	"accounts": [{"name": "baths", "keys": ["k"]}]}`

// fakePlacer is a placement function that chooses the listed upstreams in turn, or the first one that the request is limited to, and
// records how each placement ended.
type fakePlacer struct {
	mu    sync.Mutex
	list  []directory.Upstream
	taken int
	ends  []string
}

func (u *fakePlacer) end(result string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.ends = append(u.ends, result)
}

// recordedEnds returns how the placements ended so far.
func (u *fakePlacer) recordedEnds() []string {
	u.mu.Lock()
	defer u.mu.Unlock()
	return slices.Clone(u.ends)
}

func (u *fakePlacer) place(_ context.Context, r *forward.PlacementRequest) (*forward.Placement, error) {
	u.mu.Lock()
	defer u.mu.Unlock()
	var chosen *directory.Upstream
	switch {
	case len(r.Only) > 0:
		chosen = &u.list[slices.IndexFunc(u.list, func(listed directory.Upstream) bool { return listed.ID == r.Only[0] })]
	case u.taken >= len(u.list):
		return nil, outcome.Refuse(outcome.NoUpstream, "every listed upstream was used")
	default:
		chosen = &u.list[u.taken]
		u.taken++
	}
	return &forward.Placement{
		Upstream: chosen, Begin: func() {},
		Finish: func(forward.AnswerMetadata) { u.end("finished") },
		Fail: func(f forward.Failure) {
			if f.NotRun {
				u.end("not run")
				return
			}
			u.end("failed")
		},
		Cancel: func() { u.end("cancelled") },
	}, nil
}

// rawUpstream starts an upstream that reads one request per connection and then lets respond write any bytes.
func rawUpstream(respond func(conn net.Conn, r *http.Request)) directory.Upstream {
	GinkgoHelper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = conn.Close() }()
				r, err := http.ReadRequest(bufio.NewReader(conn))
				if err == nil {
					respond(conn, r)
				}
			}()
		}
	}()
	return directory.Upstream{ID: listener.Addr().String(), Address: netip.MustParseAddrPort(listener.Addr().String())}
}

func answering(status int, headers, body string) directory.Upstream {
	return rawUpstream(func(conn net.Conn, r *http.Request) {
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 %d X\r\nX-Id: %s\r\nX-Whole: 1\r\n%sContent-Length: %d\r\n\r\n%s", status, r.Header.Get("X-Id"), headers, len(body), body)
	})
}

var chunked = "HTTP/1.1 200 OK\r\nX-Id: 1\r\nX-Whole: 1\r\nTransfer-Encoding: chunked\r\n\r\n"

func chunk(text string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(text), text) }

func event(n int) string { return fmt.Sprintf("id: %d\ndata: t%d\n\n", n, n) }

// breakingOff starts an upstream that sends the events and half of another one, and then closes the connection.
func breakingOff(events ...int) directory.Upstream {
	return rawUpstream(func(conn net.Conn, _ *http.Request) {
		_, _ = io.WriteString(conn, chunked)
		for _, n := range events {
			_, _ = io.WriteString(conn, chunk(event(n)))
		}
		_, _ = io.WriteString(conn, "20\r\nid: 99\nda")
	})
}

var _ = Describe("forwarder", func() {
	var fake *fakePlacer
	var server *httptest.Server
	var table *route.Table
	var budget *forward.Budget

	BeforeEach(func() {
		fake = &fakePlacer{}
		decoded, err := route.Own.Decode([]byte(state))
		Expect(err).NotTo(HaveOccurred())
		table = route.NewTable(decoded)
		pool := connection.NewPool()
		budget = forward.NewBudget()
		budget.SetLimits(1, 100)
		budget.SetVMs(1)
		f := forward.New(
			forward.WithTable(func() *route.Table { return table }), forward.WithDialect(dialect), forward.WithPool(pool),
			forward.WithPlaceFunc(fake.place), forward.WithBudget(budget), forward.WithLog(&log.Logger{Handler: discard.Default}),
		)
		server = httptest.NewServer(f)
		DeferCleanup(server.Close)
		DeferCleanup(pool.Close)
	})

	request := func(method, path, body string, headers ...string) (*http.Response, string, error) {
		r, err := http.NewRequest(method, server.URL+path, strings.NewReader(body))
		Expect(err).NotTo(HaveOccurred())
		r.Host = "h"
		r.Header.Set("X-Id", "1")
		r.Header.Set("X-Key", "k")
		for i := 0; i+1 < len(headers); i += 2 {
			r.Header.Set(headers[i], headers[i+1])
		}
		response, err := http.DefaultClient.Do(r)
		if err != nil {
			return nil, "", err
		}
		defer func() { _ = response.Body.Close() }()
		text, err := io.ReadAll(response.Body)
		return response, string(text), err
	}
	expectStatus := func(status int, path string, headers ...string) *http.Response {
		GinkgoHelper()
		response, _, err := request(http.MethodPost, path, "", headers...)
		Expect(err).NotTo(HaveOccurred())
		Expect(response.StatusCode).To(Equal(status))
		return response
	}

	It("returns status, headers and body unchanged, with the account in place of the key", func() {
		var seen *http.Request
		fake.list = []directory.Upstream{rawUpstream(func(conn net.Conn, r *http.Request) {
			seen = r
			_, _ = io.WriteString(conn, "HTTP/1.1 201 X\r\nX-Id: 1\r\nX-Whole: 1\r\nX-Stamp: s\r\nConnection: X-Hop\r\nX-Hop: h\r\nContent-Length: 3\r\n\r\nabc")
		})}
		response, body, err := request(http.MethodPost, "/book/x?y=%20z", "text", "X-Other", "o")
		Expect(err).NotTo(HaveOccurred())
		Expect(response.StatusCode).To(Equal(201))
		Expect(body).To(Equal("abc"))
		Expect(response.Header.Get("X-Stamp")).To(Equal("s"))
		Expect(response.Header).NotTo(HaveKey("X-Hop"))
		Expect(response.Header).NotTo(HaveKey("Content-Type"))
		Expect(seen.RequestURI).To(Equal("/book/x?y=%20z"))
		Expect(seen.Header.Get("X-Other")).To(Equal("o"))
		Expect(seen.Header.Get("X-Account")).To(Equal("baths"))
		Expect(seen.Header).NotTo(HaveKey("X-Key"))
		Expect(fake.ends).To(Equal([]string{"finished"}))
	})

	It("refuses a request without a route, with a wrong key or with too large a body", func() {
		expectStatus(http.StatusNotFound, "/none/")
		expectStatus(http.StatusUnauthorized, "/read/", "X-Key", "wrong")
		response, _, err := request(http.MethodPost, "/read/", strings.Repeat("x", 1001))
		Expect(err).NotTo(HaveOccurred())
		Expect(response.StatusCode).To(Equal(http.StatusRequestEntityTooLarge))
		Expect(fake.taken).To(BeZero())
	})

	// Guards against a route whose prefix only the decoded path begins with, while the path is sent on as it came.
	It("chooses the route by the path as it is sent", func() {
		fake.list = []directory.Upstream{answering(200, "", "ok")}
		expectStatus(http.StatusNotFound, "/read%2Fx")
		expectStatus(http.StatusNotFound, "/%72ead/x")
		expectStatus(http.StatusOK, "/read/%2Fx")
	})

	It("requires no key on a public route", func() {
		fake.list = []directory.Upstream{answering(200, "", "ok")}
		expectStatus(http.StatusOK, "/open/", "X-Key", "")
	})

	It("answers 503 with Retry-After before it has a desired state", func() {
		table = nil
		Expect(expectStatus(http.StatusServiceUnavailable, "/read/").Header.Get("Retry-After")).NotTo(BeEmpty())
	})

	It("answers 503 with Retry-After if no upstream can be chosen", func() {
		Expect(expectStatus(http.StatusServiceUnavailable, "/book/").Header.Get("Retry-After")).NotTo(BeEmpty())
	})

	// Guards against a booking that a server which is no upstream confirms with a page of its own.
	Describe("an answer without the mark of an upstream's own answer", func() {
		var strangerAsked int
		stranger := func(status int, header string) directory.Upstream {
			return rawUpstream(func(conn net.Conn, _ *http.Request) {
				strangerAsked++
				_, _ = io.WriteString(conn, fmt.Sprintf("HTTP/1.1 %d X\r\n%sContent-Length: 7\r\n\r\nwelcome", status, header))
			})
		}
		BeforeEach(func() { strangerAsked = 0 })

		DescribeTable("is never passed on",
			func(path string, strangerStatus int, header string, status int, body string, ends ...string) {
				fake.list = []directory.Upstream{stranger(strangerStatus, header), answering(200, "", "id: 1\ndata: a\n\n")}
				response, text, err := request(http.MethodPost, path, "")
				Expect(err).NotTo(HaveOccurred())
				Expect(response.StatusCode).To(Equal(status))
				Expect(text).To(ContainSubstring(body))
				Expect(text).NotTo(ContainSubstring("welcome"))
				Expect(strangerAsked).To(Equal(1))
				Expect(fake.recordedEnds()).To(Equal(ends))
			},
			Entry("to a request that may run once", "/book/", 200, "", http.StatusBadGateway, "may have run", "failed"),
			Entry("to a request that may run once, with its ID", "/book/", 200, "X-Id: 1\r\n", http.StatusBadGateway, "may have run", "failed"),
			Entry("to one that may be repeated", "/read/", 200, "", http.StatusOK, "data: a", "failed", "finished"),
			Entry("to a stream that may be repeated", "/long/", 200, "", http.StatusOK, "data: a", "failed", "finished"),
			Entry("as a rejection of a request that may run once", "/book/", 404, "", http.StatusBadGateway, "may have run", "failed"),
			Entry("as a refusal, which says that a request has not run", "/book/", 503, "", http.StatusBadGateway, "may have run", "failed"),
			Entry("as a rejection of one that may be repeated", "/read/", 401, "", http.StatusOK, "data: a", "failed", "finished"),
			Entry("to a stream that may run once", "/check/", 200, "", http.StatusBadGateway, "may have run", "failed"),
		)
	})

	It("retries a request that an upstream has not run at another upstream, even if it must not run twice", func() {
		fake.list = []directory.Upstream{answering(503, "X-Not-Run: 1\r\n", ""), answering(200, "", "ok")}
		expectStatus(http.StatusOK, "/book/")
		Expect(fake.ends).To(Equal([]string{"not run", "finished"}))
	})

	It("never retries a request that may have run and must not run twice", func() {
		fake.list = []directory.Upstream{rawUpstream(func(net.Conn, *http.Request) {}), answering(200, "", "ok")}
		Expect(expectStatus(http.StatusBadGateway, "/book/").Header.Get("Retry-After")).To(BeEmpty())
		Expect(fake.taken).To(Equal(1))
	})

	It("retries an idempotent request after a lost connection and after a status 500, up to the route's attempts", func() {
		fake.list = []directory.Upstream{rawUpstream(func(net.Conn, *http.Request) {}), answering(200, "", "ok")}
		expectStatus(http.StatusOK, "/read/")
		fake.list, fake.taken = []directory.Upstream{answering(500, "", "no"), answering(500, "", "no"), answering(200, "", "ok")}, 0
		expectStatus(http.StatusInternalServerError, "/read/")
		Expect(fake.taken).To(Equal(2))
	})

	It("forwards an upstream's status 500 once the retry budget is used up", func() {
		budget.SetLimits(0, 0)
		budget.Deposit("plain")
		budget.Withdraw("plain")
		fake.list = []directory.Upstream{answering(500, "", "no"), answering(200, "", "ok")}
		expectStatus(http.StatusInternalServerError, "/read/")
		Expect(fake.taken).To(Equal(1))
	})

	It("forwards an upstream's status 500 to a request that must not run twice", func() {
		fake.list = []directory.Upstream{answering(500, "", "no"), answering(200, "", "ok")}
		expectStatus(http.StatusInternalServerError, "/book/")
		Expect(fake.taken).To(Equal(1))
	})

	It("answers 504 when the route's timeout has passed", func() {
		hold := make(chan struct{})
		DeferCleanup(func() { close(hold) })
		fake.list = []directory.Upstream{rawUpstream(func(net.Conn, *http.Request) { <-hold })}
		expectStatus(http.StatusGatewayTimeout, "/brief/")
		Expect(fake.ends).To(Equal([]string{"cancelled"}))
	})

	It("sends an upstream no more time than is left until the caller's deadline", func() {
		var left string
		fake.list = []directory.Upstream{rawUpstream(func(conn net.Conn, r *http.Request) {
			left = r.Header.Get("X-Left")
			_, _ = io.WriteString(conn, "HTTP/1.1 200 X\r\nX-Id: 1\r\nX-Whole: 1\r\nContent-Length: 0\r\n\r\n")
		})}
		expectStatus(http.StatusOK, "/book/", "X-Wait", "700")
		ms, err := strconv.Atoi(left)
		Expect(err).NotTo(HaveOccurred())
		Expect(ms).To(And(BeNumerically(">", 0), BeNumerically("<=", 700)))
	})

	It("resumes a resumable stream at another upstream and forwards each complete event once and in order", func() {
		var resumed string
		fake.list = []directory.Upstream{breakingOff(1, 2), rawUpstream(func(conn net.Conn, r *http.Request) {
			resumed = r.Header.Get("Last-Event-Id")
			_, _ = io.WriteString(conn, chunked+chunk(event(2))+chunk(event(3))+chunk(event(4))+"0\r\n\r\n")
		})}
		_, body, err := request(http.MethodPost, "/note/", "")
		Expect(err).NotTo(HaveOccurred())
		Expect(body).To(Equal(event(1) + event(2) + event(3) + event(4)))
		Expect(resumed).To(Equal("2"))
	})

	It("closes the caller's connection when a stream that can't be resumed breaks off, so that it does not look complete", func() {
		fake.list = []directory.Upstream{breakingOff(1, 2), answering(200, "", "")}
		_, body, err := request(http.MethodPost, "/check/", "")
		Expect(err).To(HaveOccurred())
		Expect(body).To(Equal(event(1) + event(2)))
		Expect(fake.taken).To(Equal(1))
	})

	It("closes the upstream's connection when the caller disconnects", func() {
		left := make(chan struct{})
		fake.list = []directory.Upstream{rawUpstream(func(conn net.Conn, _ *http.Request) {
			_, _ = io.WriteString(conn, chunked+chunk(event(1)))
			_, _ = conn.Read(make([]byte, 1))
			close(left)
		})}
		ctx, cancel := context.WithCancel(context.Background())
		r, err := http.NewRequestWithContext(ctx, http.MethodPost, server.URL+"/note/", nil)
		Expect(err).NotTo(HaveOccurred())
		r.Host = "h"
		r.Header.Set("X-Id", "1")
		r.Header.Set("X-Key", "k")
		response, err := http.DefaultClient.Do(r)
		Expect(err).NotTo(HaveOccurred())
		defer func() { _ = response.Body.Close() }()
		cancel()
		Eventually(left, "2s").Should(BeClosed())
		Eventually(func() []string {
			fake.mu.Lock()
			defer fake.mu.Unlock()
			return fake.ends
		}, "2s").Should(Equal([]string{"cancelled"}))
	})

	It("drops an answer to another request that arrives first on the connection", func() {
		fake.list = []directory.Upstream{rawUpstream(func(conn net.Conn, _ *http.Request) {
			_, _ = io.WriteString(conn, "HTTP/1.1 200 X\r\nX-Id: other\r\nX-Whole: 1\r\nContent-Length: 5\r\n\r\nwrong")
			_, _ = io.WriteString(conn, "HTTP/1.1 200 X\r\nX-Id: 1\r\nX-Whole: 1\r\nContent-Length: 5\r\n\r\nright")
		})}
		_, body, err := request(http.MethodPost, "/book/", "")
		Expect(err).NotTo(HaveOccurred())
		Expect(body).To(Equal("right"))
	})
})
