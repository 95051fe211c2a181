package upstream_test

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/chicoryrelay/chicoryrelay/relay/floodtest"
	"github.com/chicoryrelay/chicoryrelay/relay/upstream"
)

// pouring answers each request with the start of a response and then repeats the text until the connection is closed, each time after a
// pause.
func pouring(start, repeated string, pause time.Duration) netip.AddrPort {
	return pouringIn(nil, start, repeated, pause)
}

// pouringIn is pouring with a flood that goes on in rounds unless they are nil.
func pouringIn(rounds *floodtest.Rounds, start, repeated string, pause time.Duration) netip.AddrPort {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(func() { _ = l.Close() })
	// A conversion for each connection would add to the heap that tests measure.
	first, further := []byte(start), []byte(repeated)
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go pour(conn, rounds, first, further, pause)
		}
	}()
	return netip.MustParseAddrPort(l.Addr().String())
}

// pour reads a request and sends the text until the connection is closed.
func pour(conn net.Conn, rounds *floodtest.Rounds, first, further []byte, pause time.Duration) {
	defer func() { _ = conn.Close() }()
	if _, err := http.ReadRequest(bufio.NewReader(conn)); err != nil {
		return
	}
	if rounds != nil {
		rounds.Pour(conn, first, further, pause)
		return
	}
	_, err := conn.Write(first)
	for err == nil {
		if pause > 0 {
			time.Sleep(pause)
		}
		_, err = conn.Write(further)
	}
}

var _ = Describe("a response that never ends", func() {
	const header = "HTTP/1.1 200 OK\r\n"
	noise := strings.Repeat("X-Noise: xxxxxxxx\r\n", 256)
	call := upstream.ServiceCall{Method: http.MethodPost, Path: "/book", Header: http.Header{}}

	It("ends a non-idempotent call at the limit of the headers", func() {
		connection, err := upstream.New().Dial(context.Background(), pouring(header, noise, 0))
		Expect(err).NotTo(HaveOccurred())
		_, err = connection.Call(context.Background(), call, 1024)
		Expect(err).To(MatchError(upstream.ErrResponseTooLarge))
	})

	It("ends a non-idempotent call at the limit of the body, which does not look complete", func() {
		connection, err := upstream.New().Dial(context.Background(), pouring(header+"\r\n", strings.Repeat("x", 4096), 0))
		Expect(err).NotTo(HaveOccurred())
		_, err = connection.Call(context.Background(), call, 1024)
		Expect(err).To(HaveOccurred())
	})

	It("ends an idempotent call at the limit of the headers", func() {
		_, err := upstream.New().CallIdempotent(context.Background(), pouring(header, noise, 0), call, 1024)
		Expect(err).To(MatchError(upstream.ErrResponseTooLarge))
	})

	It("ends an order at the limit of the headers", func() {
		err := upstream.New().Order(context.Background(), pouring(header, noise, 0), load, time.Minute, permitted)
		Expect(err).To(MatchError(upstream.ErrResponseTooLarge))
	})
})

// Guards against interim (1xx) responses that are taken for the answer, which makes an empty one look complete.
var _ = Describe("a response behind interim ones", func() {
	const text = "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
	call := upstream.ServiceCall{Method: http.MethodPost, Path: "/book", Header: http.Header{}}
	expectAnswer := func(response upstream.ServiceResponse, err error) {
		GinkgoHelper()
		Expect(err).NotTo(HaveOccurred())
		Expect(response.Status).To(Equal(http.StatusOK))
		Expect(string(response.Body)).To(Equal("ok"))
	}

	It("is the answer to a non-idempotent call", func() {
		connection, err := upstream.New().Dial(context.Background(), pouring(text, "", time.Hour))
		Expect(err).NotTo(HaveOccurred())
		expectAnswer(connection.Call(context.Background(), call, 1024))
	})

	It("is the answer to an idempotent call", func() {
		expectAnswer(upstream.New().CallIdempotent(context.Background(), pouring(text, "", time.Hour), call, 1024))
	})

	It("is the answer to an order", func() {
		Expect(upstream.New().Order(context.Background(), pouring(text, "", time.Hour), load, time.Minute, permitted)).To(Succeed())
	})
})
