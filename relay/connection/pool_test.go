package connection_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/chicoryrelay/chicoryrelay/relay/connection"
)

// upstream is a TCP server that serves each connection with a function; requests counts the requests read.
type upstream struct {
	listener net.Listener
	requests atomic.Int32
	accepted atomic.Int32
}

// serverConn is the upstream's end of one connection.
type serverConn struct {
	net.Conn
	upstream *upstream
	reader   *bufio.Reader
	index    int
}

func (p *serverConn) readRequest() *http.Request {
	r, err := http.ReadRequest(p.reader)
	if err != nil {
		return nil
	}
	p.upstream.requests.Add(1)
	return r
}

func (p *serverConn) writeText(text string) { _, _ = io.WriteString(p.Conn, text) }

func (p *serverConn) respond(id, body string) {
	p.writeText(fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Id: %s\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body))
}

func startUpstream(handle func(*serverConn)) *upstream {
	GinkgoHelper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	s := &upstream{listener: listener}
	DeferCleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = conn.Close() }()
				handle(&serverConn{Conn: conn, upstream: s, reader: bufio.NewReader(conn), index: int(s.accepted.Add(1))})
			}()
		}
	}()
	return s
}

func (s *upstream) address() netip.AddrPort {
	return netip.MustParseAddrPort(s.listener.Addr().String())
}

// echo responds to every request with its X-Id.
func echo(p *serverConn) {
	for r := p.readRequest(); r != nil; r = p.readRequest() {
		_, _ = io.Copy(io.Discard, r.Body)
		p.respond(r.Header.Get("X-Id"), "body of "+r.Header.Get("X-Id"))
	}
}

func newRequest(id, body string) *connection.Request {
	method := http.MethodGet
	if body != "" {
		method = http.MethodPost
	}
	return &connection.Request{
		Method: method, Target: "/a/b?c=%20d", Host: "host.example", Header: http.Header{"X-Id": {id}}, Body: []byte(body),
		Matches: func(h http.Header, _ bool) bool { return h.Get("X-Id") == id },
	}
}

func send(pool *connection.Pool, s *upstream, r *connection.Request) (string, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	response, err := pool.Do(ctx, s.address(), r)
	if err != nil {
		return "", err
	}
	defer response.Close()
	body, err := io.ReadAll(response)
	return string(body), err
}

func expectBody(pool *connection.Pool, s *upstream, id string) {
	GinkgoHelper()
	body, err := send(pool, s, newRequest(id, ""))
	Expect(err).NotTo(HaveOccurred())
	Expect(body).To(Equal("body of " + id))
}

var _ = Describe("connection to an upstream", func() {
	var pool *connection.Pool

	BeforeEach(func() {
		pool = connection.NewPool()
		DeferCleanup(pool.Close)
	})

	It("is reused for the next request", func() {
		s := startUpstream(echo)
		expectBody(pool, s, "1")
		expectBody(pool, s, "2")
		Expect(s.accepted.Load()).To(Equal(int32(1)))
	})

	It("carries the request line, the host and the body unmodified", func() {
		var got *http.Request
		var body []byte
		s := startUpstream(func(p *serverConn) {
			got = p.readRequest()
			body, _ = io.ReadAll(got.Body)
			p.respond("1", "body of 1")
		})
		_, err := send(pool, s, newRequest("1", "text"))
		Expect(err).NotTo(HaveOccurred())
		Expect(got.RequestURI).To(Equal("/a/b?c=%20d"))
		Expect(got.Host).To(Equal("host.example"))
		Expect(string(body)).To(Equal("text"))
	})

	It("is replaced before the next request is sent if the upstream closed it while it was idle", func() {
		closed := make(chan struct{})
		s := startUpstream(func(p *serverConn) {
			p.readRequest()
			p.respond("1", "body of 1")
			if p.index == 1 {
				_ = p.Close()
				close(closed)
			}
		})
		expectBody(pool, s, "1")
		<-closed
		body, err := send(pool, s, newRequest("1", ""))
		Expect(err).NotTo(HaveOccurred())
		Expect(body).To(Equal("body of 1"))
		Expect(s.requests.Load()).To(Equal(int32(2)))
	})

	It("fails the request without a retry if it breaks after the request was sent, since the request may have run", func() {
		s := startUpstream(func(p *serverConn) { p.readRequest() })
		_, err := send(pool, s, newRequest("1", ""))
		Expect(errors.Is(err, connection.ErrClosed)).To(BeTrue(), "%v", err)
		var notSent *connection.NotSentError
		Expect(errors.As(err, &notSent)).To(BeFalse())
		Expect(s.requests.Load()).To(Equal(int32(1)))
	})

	It("fails the request with a NotSentError if it can't be established", func() {
		s := startUpstream(echo)
		Expect(s.listener.Close()).To(Succeed())
		_, err := send(pool, s, newRequest("1", ""))
		var notSent *connection.NotSentError
		Expect(errors.As(err, &notSent)).To(BeTrue(), "%v", err)
	})

	It("skips a late response to another request instead of returning it", func() {
		s := startUpstream(func(p *serverConn) {
			p.readRequest()
			p.respond("late", "of another")
			p.respond("1", "body of 1")
			echo(p)
		})
		expectBody(pool, s, "1")
	})

	It("is closed if bytes follow the end of a response, since they belong to no request", func() {
		s := startUpstream(func(p *serverConn) {
			for r := p.readRequest(); r != nil; r = p.readRequest() {
				id := r.Header.Get("X-Id")
				p.writeText(fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Id: %s\r\nContent-Length: 9\r\n\r\nbody of %sHTTP/1.1 200 OK\r\n\r\n", id, id))
			}
		})
		expectBody(pool, s, "1")
		expectBody(pool, s, "2")
		Expect(s.accepted.Load()).To(Equal(int32(2)))
	})

	It("is closed if the upstream responds before it has read a long body", func() {
		s := startUpstream(func(p *serverConn) {
			r, err := http.ReadRequest(p.reader)
			if err != nil {
				return
			}
			p.respond(r.Header.Get("X-Id"), "early")
			time.Sleep(50 * time.Millisecond)
		})
		body, err := send(pool, s, newRequest("1", strings.Repeat("x", 8<<20)))
		Expect(err).NotTo(HaveOccurred())
		Expect(body).To(Equal("early"))
		Expect(pool.Open(s.address())).To(BeZero())
	})

	It("returns io.ErrUnexpectedEOF for a truncated response, not io.EOF", func() {
		s := startUpstream(func(p *serverConn) {
			p.readRequest()
			p.writeText("HTTP/1.1 200 OK\r\nX-Id: 1\r\nContent-Length: 100\r\n\r\nhalf")
		})
		_, err := send(pool, s, newRequest("1", ""))
		Expect(err).To(MatchError(io.ErrUnexpectedEOF))
	})

	It("is closed when the caller cancels, so that the upstream can stop its work", func() {
		left := make(chan error, 1)
		s := startUpstream(func(p *serverConn) {
			p.readRequest()
			_, err := p.reader.ReadByte()
			left <- err
		})
		ctx, cancel := context.WithCancel(context.Background())
		time.AfterFunc(20*time.Millisecond, cancel)
		_, err := pool.Do(ctx, s.address(), newRequest("1", ""))
		Expect(err).To(MatchError(context.Canceled))
		Eventually(left).Should(Receive(HaveOccurred()))
	})

	// expectExpiry sends a request to an upstream that keeps connections for 3 s, calls a function and expects the connection to be closed
	// after 2 s.
	expectExpiry := func(use func(s *upstream)) {
		GinkgoHelper()
		now := time.Now()
		pool = connection.NewPool(connection.WithNow(func() time.Time { return now }))
		DeferCleanup(pool.Close)
		s := startUpstream(func(p *serverConn) {
			for r := p.readRequest(); r != nil; r = p.readRequest() {
				p.writeText(fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Id: %s\r\nKeep-Alive: timeout=3\r\nContent-Length: 9\r\n\r\nbody of %s", r.Header.Get("X-Id"), r.Header.Get("X-Id")))
			}
		})
		expectBody(pool, s, "1")
		use(s)
		Expect(pool.Open(s.address())).To(Equal(1))
		now = now.Add(2100 * time.Millisecond)
		pool.Prune()
		Expect(pool.Open(s.address())).To(BeZero())
	}

	It("is closed one second before the upstream's Keep-Alive timeout", func() { expectExpiry(func(*upstream) {}) })

	// Guards against requests on a connection that the upstream is about to close, of which nobody knows whether they have run.
	It("is closed no later if it was taken for a request that was not sent", func() {
		expectExpiry(func(s *upstream) {
			ctx, cancel := context.WithCancel(context.Background())
			cancel()
			_, err := pool.Do(ctx, s.address(), newRequest("2", ""))
			var notSent *connection.NotSentError
			Expect(errors.As(err, &notSent)).To(BeTrue(), "%v", err)
		})
	})
})

var _ = Describe("requests to an upstream that wants none", func() {
	held := errors.New("held")

	It("are not sent, on a kept or a new connection, nor if that became known during the dial", func() {
		var blocked atomic.Bool
		s := startUpstream(echo)
		pool := connection.NewPool(
			connection.WithPermit(func(upstream string) error {
				if upstream == "u" && blocked.Load() {
					return held
				}
				return nil
			}),
			connection.WithDial(func(ctx context.Context, address netip.AddrPort) (net.Conn, error) {
				blocked.Store(s.accepted.Load() > 0)
				return (&net.Dialer{}).DialContext(ctx, "tcp", address.String())
			}),
		)
		DeferCleanup(pool.Close)
		expectBody(pool, s, "1")
		for _, forceNew := range []bool{true, false} {
			r := newRequest("2", "")
			r.Upstream, r.ForceNew = "u", forceNew
			_, err := send(pool, s, r)
			var notSent *connection.NotSentError
			Expect(errors.As(err, &notSent)).To(BeTrue(), "%v", err)
			Expect(errors.Is(err, held)).To(BeTrue())
		}
		Expect(s.requests.Load()).To(Equal(int32(1)))
		expectBody(pool, s, "3")
	})

	It("are made known by the status and header of each of its responses", func() {
		var seen []string
		pool := connection.NewPool(connection.WithObserver(func(upstream string, status int, h http.Header) {
			seen = append(seen, fmt.Sprint(upstream, " ", status, " ", h.Get("X-Id")))
		}))
		DeferCleanup(pool.Close)
		s := startUpstream(func(p *serverConn) {
			p.readRequest()
			p.respond("late", "of another")
			p.respond("1", "body of 1")
			echo(p)
		})
		r := newRequest("1", "")
		r.Upstream = "u"
		_, err := send(pool, s, r)
		Expect(err).NotTo(HaveOccurred())
		expectBody(pool, s, "2")
		Expect(seen).To(Equal([]string{"u 200 1"}))
	})
})
