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

// standin is an upstream whose connections are served by a function; requests counts what it has read.
type standin struct {
	listener net.Listener
	requests atomic.Int32
	accepted atomic.Int32
}

// peerSide is the upstream's side of one connection.
type peerSide struct {
	net.Conn
	standin *standin
	reader  *bufio.Reader
	number  int
}

func (p *peerSide) request() *http.Request {
	r, err := http.ReadRequest(p.reader)
	if err != nil {
		return nil
	}
	p.standin.requests.Add(1)
	return r
}

func (p *peerSide) say(text string) { _, _ = io.WriteString(p.Conn, text) }

func (p *peerSide) answer(id, body string) {
	p.say(fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Id: %s\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body))
}

func serve(handle func(*peerSide)) *standin {
	GinkgoHelper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	s := &standin{listener: listener}
	DeferCleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = conn.Close() }()
				handle(&peerSide{Conn: conn, standin: s, reader: bufio.NewReader(conn), number: int(s.accepted.Add(1))})
			}()
		}
	}()
	return s
}

func (s *standin) address() netip.AddrPort {
	return netip.MustParseAddrPort(s.listener.Addr().String())
}

// echo answers every request with its identity.
func echo(p *peerSide) {
	for r := p.request(); r != nil; r = p.request() {
		_, _ = io.Copy(io.Discard, r.Body)
		p.answer(r.Header.Get("X-Id"), "body of "+r.Header.Get("X-Id"))
	}
}

func ask(id, body string) *connection.Request {
	method := http.MethodGet
	if body != "" {
		method = http.MethodPost
	}
	return &connection.Request{
		Method: method, Target: "/a/b?c=%20d", Host: "host.example", Header: http.Header{"X-Id": {id}}, Body: []byte(body),
		Owns: func(h http.Header) bool { return h.Get("X-Id") == id },
	}
}

func do(pool *connection.Pool, s *standin, r *connection.Request) (string, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	answer, err := pool.Do(ctx, s.address(), r)
	if err != nil {
		return "", err
	}
	defer answer.Close()
	body, err := io.ReadAll(answer)
	return string(body), err
}

func expectBody(pool *connection.Pool, s *standin, id string) {
	GinkgoHelper()
	body, err := do(pool, s, ask(id, ""))
	Expect(err).NotTo(HaveOccurred())
	Expect(body).To(Equal("body of " + id))
}

var _ = Describe("connections", func() {
	var pool *connection.Pool

	BeforeEach(func() {
		pool = connection.NewPool()
		DeferCleanup(pool.Close)
	})

	It("are kept for the next request", func() {
		s := serve(echo)
		expectBody(pool, s, "1")
		expectBody(pool, s, "2")
		Expect(s.accepted.Load()).To(Equal(int32(1)))
	})

	It("send the request line, the host and the body as they are given", func() {
		var got *http.Request
		var body []byte
		s := serve(func(p *peerSide) {
			got = p.request()
			body, _ = io.ReadAll(got.Body)
			p.answer("1", "body of 1")
		})
		_, err := do(pool, s, ask("1", "text"))
		Expect(err).NotTo(HaveOccurred())
		Expect(got.RequestURI).To(Equal("/a/b?c=%20d"))
		Expect(got.Host).To(Equal("host.example"))
		Expect(string(body)).To(Equal("text"))
	})

	It("that the upstream closed while idle are found before the next request is sent", func() {
		closed := make(chan struct{})
		s := serve(func(p *peerSide) {
			p.request()
			p.answer("1", "body of 1")
			if p.number == 1 {
				_ = p.Close()
				close(closed)
			}
		})
		expectBody(pool, s, "1")
		<-closed
		body, err := do(pool, s, ask("1", ""))
		Expect(err).NotTo(HaveOccurred())
		Expect(body).To(Equal("body of 1"))
		Expect(s.requests.Load()).To(Equal(int32(2)))
	})

	It("that break after a request was sent are never used to send it again", func() {
		s := serve(func(p *peerSide) { p.request() })
		_, err := do(pool, s, ask("1", ""))
		Expect(errors.Is(err, connection.ErrEnded)).To(BeTrue(), "%v", err)
		var notSent *connection.NotSent
		Expect(errors.As(err, &notSent)).To(BeFalse())
		Expect(s.requests.Load()).To(Equal(int32(1)))
	})

	It("that can't be set up say that nothing was sent", func() {
		s := serve(echo)
		Expect(s.listener.Close()).To(Succeed())
		_, err := do(pool, s, ask("1", ""))
		var notSent *connection.NotSent
		Expect(errors.As(err, &notSent)).To(BeTrue(), "%v", err)
	})

	It("skip a late answer to another request instead of taking it for the own one", func() {
		s := serve(func(p *peerSide) {
			p.request()
			p.answer("late", "of another")
			p.answer("1", "body of 1")
			echo(p)
		})
		expectBody(pool, s, "1")
	})

	It("with bytes after the end of an answer are not kept: the bytes belong to no request", func() {
		s := serve(func(p *peerSide) {
			for r := p.request(); r != nil; r = p.request() {
				id := r.Header.Get("X-Id")
				p.say(fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Id: %s\r\nContent-Length: 9\r\n\r\nbody of %sHTTP/1.1 200 OK\r\n\r\n", id, id))
			}
		})
		expectBody(pool, s, "1")
		expectBody(pool, s, "2")
		Expect(s.accepted.Load()).To(Equal(int32(2)))
	})

	It("whose upstream answers before it has read a long body are not used again", func() {
		s := serve(func(p *peerSide) {
			r, err := http.ReadRequest(p.reader)
			if err != nil {
				return
			}
			p.answer(r.Header.Get("X-Id"), "early")
			time.Sleep(50 * time.Millisecond)
		})
		body, err := do(pool, s, ask("1", strings.Repeat("x", 8<<20)))
		Expect(err).NotTo(HaveOccurred())
		Expect(body).To(Equal("early"))
		Expect(pool.Open(s.address())).To(BeZero())
	})

	It("report an answer that broke off as an error and not as its end", func() {
		s := serve(func(p *peerSide) {
			p.request()
			p.say("HTTP/1.1 200 OK\r\nX-Id: 1\r\nContent-Length: 100\r\n\r\nhalf")
		})
		_, err := do(pool, s, ask("1", ""))
		Expect(err).To(MatchError(io.ErrUnexpectedEOF))
	})

	It("end when the caller leaves, so that the upstream stops its work", func() {
		left := make(chan error, 1)
		s := serve(func(p *peerSide) {
			p.request()
			_, err := p.reader.ReadByte()
			left <- err
		})
		ctx, cancel := context.WithCancel(context.Background())
		time.AfterFunc(20*time.Millisecond, cancel)
		_, err := pool.Do(ctx, s.address(), ask("1", ""))
		Expect(err).To(MatchError(context.Canceled))
		Eventually(left).Should(Receive(HaveOccurred()))
	})

	It("are closed a second before the upstream would close them", func() {
		now := time.Now()
		pool = connection.NewPool(connection.WithNow(func() time.Time { return now }))
		DeferCleanup(pool.Close)
		s := serve(func(p *peerSide) {
			for r := p.request(); r != nil; r = p.request() {
				p.say(fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Id: %s\r\nKeep-Alive: timeout=3\r\nContent-Length: 9\r\n\r\nbody of %s", r.Header.Get("X-Id"), r.Header.Get("X-Id")))
			}
		})
		expectBody(pool, s, "1")
		now = now.Add(2100 * time.Millisecond)
		pool.Prune()
		Expect(pool.Open(s.address())).To(BeZero())
	})
})
