package upstream_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/chicoryrelay/chicoryrelay/relay/catalogue"
	"github.com/chicoryrelay/chicoryrelay/relay/upstream"
)

// repeating answers each request with a text, and writes the answer to the first request of a connection once more before each other one.
func repeating(answer func(*http.Request) string) netip.AddrPort {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(func() { _ = l.Close() })
	serve := func(conn net.Conn) {
		defer func() { _ = conn.Close() }()
		reader := bufio.NewReader(conn)
		first := ""
		for {
			r, err := http.ReadRequest(reader)
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, r.Body)
			if first != "" {
				_, _ = io.WriteString(conn, first)
				time.Sleep(20 * time.Millisecond)
			}
			_, _ = io.WriteString(conn, answer(r))
			if first == "" {
				first = answer(r)
			}
		}
	}
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go serve(conn)
		}
	}()
	return netip.MustParseAddrPort(l.Addr().String())
}

func answerOf(head, body string) string {
	return fmt.Sprintf("HTTP/1.1 %sContent-Length: %d\r\n\r\n%s", head, len(body), body)
}

var _ = Describe("an earlier response that an upstream writes once more on a kept connection", func() {
	// Guards against "not run" for a text request that the engine runs.
	It("is not taken for the refusal of the next text request", func() {
		client := upstream.New()
		address := repeating(func(r *http.Request) string {
			id := r.Header.Get("X-Request-Id")
			if id == "r1" {
				return answerOf("503 X\r\nX-Request-Id: r1\r\n", `{"error":{"code":"loading"}}`)
			}
			return answerOf("200 X\r\nX-Request-Id: "+id+"\r\n", "data: [DONE]\n\n")
		})
		open := func(id string) error {
			_, err := client.Open(context.Background(), upstream.Call{Upstream: catalogue.Upstream{Address: address}, Path: "/v1/completions", Request: id})
			return err
		}
		var refused *upstream.RefusedError
		Expect(errors.As(open("r1"), &refused)).To(BeTrue())
		Expect(refused.NotRun).To(BeTrue())
		refused = nil
		err := open("r2")
		Expect(err).To(HaveOccurred())
		Expect(errors.As(err, &refused) && refused.NotRun).To(BeFalse(), "%v", err)
	})

	// Guards against another caller's answer to an idempotent call.
	It("is not taken for the answer to the next idempotent call", func() {
		client := upstream.New()
		address := repeating(func(r *http.Request) string { return answerOf("200 X\r\n", r.URL.Path) })
		for _, path := range []string{"/balance/1", "/balance/2"} {
			call := upstream.ServiceCall{Method: http.MethodGet, Path: path, Header: http.Header{}}
			response, err := client.CallIdempotent(context.Background(), address, call, 1024)
			Expect(err).NotTo(HaveOccurred())
			Expect(string(response.Body)).To(Equal(path))
		}
	})
})

var _ = Describe("a response whose head stops halfway", func() {
	// Guards against a 200 with an empty body for an answer of which only a part of the head came.
	It("is an error of the call wherever it stops", func() {
		whole := answerOf("200 OK\r\nX-Incarnation: 7\r\n", "text")
		for cut := range len(whole) {
			address := sendingOnce(whole[:cut])
			call := upstream.ServiceCall{Method: http.MethodGet, Path: "/balance", Header: http.Header{}}
			_, err := upstream.New().CallIdempotent(context.Background(), address, call, 1024)
			Expect(err).To(HaveOccurred(), "%q", whole[:cut])
			connection, err := upstream.New().Dial(context.Background(), address)
			Expect(err).NotTo(HaveOccurred())
			_, err = connection.Call(context.Background(), call, 1024)
			Expect(err).To(HaveOccurred(), "%q", whole[:cut])
		}
	})
})

// sendingOnce answers each request with a text and closes the connection.
func sendingOnce(text string) netip.AddrPort {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(func() { _ = l.Close() })
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = conn.Close() }()
				if _, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
					_, _ = io.WriteString(conn, text)
				}
			}()
		}
	}()
	return netip.MustParseAddrPort(l.Addr().String())
}
