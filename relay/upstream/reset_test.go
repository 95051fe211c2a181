package upstream_test

import (
	"bufio"
	"context"
	"errors"
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

// longUpload is a body that socket buffers don't hold.
var longUpload = make([]byte, 6<<20)

// resetting answers a request's head at once with a text, does not read the body, and resets the connection after a pause.
func resetting(text string, pause time.Duration) netip.AddrPort {
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
				if _, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
					_, _ = io.WriteString(conn, text)
					time.Sleep(pause)
				}
				_ = conn.(*net.TCPConn).SetLinger(0)
				_ = conn.Close()
			}()
		}
	}()
	return netip.MustParseAddrPort(listener.Addr().String())
}

// Guards against a part of an answer that counts as the whole one, since its upstream resets the connection while the request is written.
var _ = Describe("a response without a length whose connection is reset while the request is written", func() {
	paths := map[string]func(context.Context, *upstream.Client, netip.AddrPort) error{
		"a text request": func(ctx context.Context, c *upstream.Client, address netip.AddrPort) error {
			stream, err := c.Open(ctx, upstream.Call{Upstream: catalogue.Upstream{Address: address}, Path: "/v1/completions", Request: "r", Body: longUpload})
			if err != nil {
				return err
			}
			defer stream.Close()
			for {
				event, err := stream.Next()
				if err != nil {
					return err
				}
				if event.Kind == upstream.Done {
					return nil
				}
			}
		},
		"an idempotent call": func(ctx context.Context, c *upstream.Client, address netip.AddrPort) error {
			_, err := c.CallIdempotent(ctx, address, upstream.ServiceCall{Method: http.MethodPost, Path: "/sum", Header: http.Header{}, Body: longUpload}, 8<<20)
			return err
		},
		"a booking": func(ctx context.Context, c *upstream.Client, address netip.AddrPort) error {
			connection, err := c.Dial(ctx, address)
			if err != nil {
				return err
			}
			_, err = connection.Call(ctx, upstream.ServiceCall{Method: http.MethodPost, Path: "/book", Header: http.Header{}, Body: longUpload}, 8<<20)
			return err
		},
	}
	for path, call := range paths {
		It("is no complete answer to "+path, func() {
			client := upstream.New(upstream.WithHeaderTimeout(5*time.Second), upstream.WithReadTimeout(5*time.Second))
			DeferCleanup(client.Close)
			for i := range 40 {
				pause := []time.Duration{0, 100 * time.Microsecond, time.Millisecond, 10 * time.Millisecond}[i%4]
				address := resetting(floodHead+"\r\nid: r:0\ndata: {\"choices\":[{\"text\":\"x\"}]}\n\n", pause)
				err := call(context.Background(), client, address)
				Expect(err).To(HaveOccurred())
				Expect(errors.Is(err, upstream.ErrNotSent)).To(BeFalse(), "%v", err)
			}
		})
	}
})
