package upstream_test

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/chicoryrelay/chicoryrelay/relay/catalogue"
	"github.com/chicoryrelay/chicoryrelay/relay/upstream"
)

// paths are the ways on which a client sends something to an upstream.
var paths = map[string]func(*upstream.Client, netip.AddrPort) error{
	"a text request": func(c *upstream.Client, address netip.AddrPort) error {
		_, err := c.Open(context.Background(), upstream.Call{Upstream: catalogue.Upstream{Address: address}, Path: "/v1/completions", Request: "r"})
		return err
	},
	"an idempotent call": func(c *upstream.Client, address netip.AddrPort) error {
		_, err := c.CallIdempotent(context.Background(), address, upstream.ServiceCall{Method: http.MethodGet, Path: "/balance", Header: http.Header{}}, 1024)
		return err
	},
	"a booking": func(c *upstream.Client, address netip.AddrPort) error {
		connection, err := c.Dial(context.Background(), address)
		if err != nil {
			return err
		}
		_, err = connection.Call(context.Background(), upstream.ServiceCall{Method: http.MethodPost, Path: "/book", Header: http.Header{}}, 1024)
		return err
	},
	"a load report": func(c *upstream.Client, address netip.AddrPort) error {
		_, err := c.Load(context.Background(), address)
		return err
	},
	"an order": func(c *upstream.Client, address netip.AddrPort) error {
		return c.Order(context.Background(), address, load, time.Minute, permitted)
	},
	"a KV cache export": func(c *upstream.Client, address netip.AddrPort) error {
		return c.Transfer(context.Background(), catalogue.Upstream{Address: address}, catalogue.Upstream{Address: address}, 1, "s", []byte("{}"))
	},
}

// startUpstream answers each request with a status and header fields, and counts the requests.
func startUpstream(status int, fields http.Header) (netip.AddrPort, *atomic.Int32) {
	requests := &atomic.Int32{}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		requests.Add(1)
		for name, values := range fields {
			w.Header()[name] = values
		}
		w.WriteHeader(status)
		_, _ = w.Write([]byte("{}"))
	}))
	DeferCleanup(server.Close)
	return netip.MustParseAddrPort(server.Listener.Addr().String()), requests
}

var _ = Describe("an upstream that refuses with Retry-After", func() {
	for asked, ask := range paths {
		for sent, send := range paths {
			It("to "+asked+" gets no "+sent[2:]+" meanwhile", func() {
				client := upstream.New()
				address, requests := startUpstream(http.StatusServiceUnavailable, http.Header{"Retry-After": {"0.4"}})
				_ = ask(client, address)
				Expect(requests.Load()).To(Equal(int32(1)))
				Expect(client.Accepts(address)).To(BeFalse())
				err := send(client, address)
				Expect(errors.Is(err, upstream.ErrNotSent)).To(BeTrue(), "%v", err)
				Expect(requests.Load()).To(Equal(int32(1)))
				time.Sleep(450 * time.Millisecond)
				Expect(client.Accepts(address)).To(BeTrue())
				_ = send(client, address)
				Expect(requests.Load()).To(BeNumerically(">", 1))
			})
		}
	}
})

var _ = Describe("an upstream that announces that it leaves", func() {
	for name, send := range paths {
		It("in the response to "+name+" is leaving", func() {
			client := upstream.New()
			address, _ := startUpstream(http.StatusOK, http.Header{"Server-Leaving": {"1"}})
			_ = send(client, address)
			Expect(client.Leaving(address)).To(BeTrue())
			Expect(client.Accepts(address)).To(BeFalse())
		})
	}
})
