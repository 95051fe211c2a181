package upstream_test

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/chicoryrelay/chicoryrelay/relay/catalogue"
	"github.com/chicoryrelay/chicoryrelay/relay/upstream"
)

var load = upstream.Order{Fencing: 7, Kind: "load", Model: "m", Weights: "2"}

func permitted() bool { return true }

// engine responds to every request with the status and body, and sends the request to the channel.
func engine(status int, responseBody string) (netip.AddrPort, chan string) {
	got := make(chan string, 1)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		got <- r.Method + " " + r.URL.Path + " " + string(body)
		w.WriteHeader(status)
		_, _ = io.WriteString(w, responseBody)
	}))
	DeferCleanup(server.Close)
	return netip.MustParseAddrPort(server.Listener.Addr().String()), got
}

// listener accepts one connection, never responds on it and sends it to the channel.
func listener() (netip.AddrPort, chan net.Conn) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(l.Close)
	accepted := make(chan net.Conn, 1)
	go func() {
		if conn, err := l.Accept(); err == nil {
			accepted <- conn
		}
	}()
	return netip.MustParseAddrPort(l.Addr().String()), accepted
}

var _ = Describe("order", func() {
	It("is sent to the engine as one POST of JSON", func() {
		address, got := engine(http.StatusOK, `{"fencing":7}`)
		Expect(upstream.New().Order(context.Background(), address, load, time.Minute, permitted)).To(Succeed())
		Expect(<-got).To(Equal(`POST /order {"fencing":7,"kind":"load","model":"m","weights":"2"}`))
	})

	It("is not sent if the lease expires while the connection is being dialled", func() {
		address, accepted := listener()
		err := upstream.New().Order(context.Background(), address, load, time.Minute, func() bool { return false })
		Expect(err).To(MatchError(upstream.ErrNotSent))
		bytes, _ := io.ReadAll(<-accepted)
		Expect(bytes).To(BeEmpty())
	})

	It("returns ErrNotSent if the connection is refused, so that it can be retried at once", func() {
		refused := netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), 1)
		Expect(upstream.New().Order(context.Background(), refused, load, time.Minute, permitted)).To(MatchError(upstream.ErrNotSent))
	})

	It("returns a RefusedError for an engine's refusal, unlike for a lost response", func() {
		address, _ := engine(http.StatusConflict, `{"error":{"code":"fenced"}}`)
		err := upstream.New().Order(context.Background(), address, load, time.Minute, permitted)
		var refused *upstream.RefusedError
		Expect(errors.As(err, &refused)).To(BeTrue())
		Expect(refused.Status).To(Equal(http.StatusConflict))
	})

	It("times out with an unknown outcome and resets the connection if the engine does not respond", func() {
		address, accepted := listener()
		err := upstream.New().Order(context.Background(), address, load, 100*time.Millisecond, permitted)
		Expect(err).To(HaveOccurred())
		Expect(err).NotTo(MatchError(upstream.ErrNotSent))
		_, err = io.ReadAll(<-accepted)
		Expect(err).To(MatchError(ContainSubstring("reset")))
	})
})

var _ = Describe("refusal of a request", func() {
	DescribeTable("reports whether the engine accepted the request, so that other weights do not count as a crash",
		func(status int, body string, notRun bool) {
			address, _ := engine(status, body)
			_, err := upstream.New().Open(context.Background(), upstream.Call{Upstream: catalogue.Upstream{Address: address}, Path: "/v1/completions"})
			var refused *upstream.RefusedError
			Expect(errors.As(err, &refused)).To(BeTrue())
			Expect(refused.NotRun).To(Equal(notRun))
		},
		Entry("other weights", http.StatusConflict, `{"error":{"code":"version"}}`, true),
		Entry("a request with the same ID runs", http.StatusConflict, `{"error":{"code":"duplicate"}}`, false),
		Entry("loading", http.StatusServiceUnavailable, `{"error":{"code":"loading"}}`, true),
		Entry("leaving", http.StatusServiceUnavailable, `{"error":{"code":"leaving"},"leaving":true}`, true),
		// Guards against a refusal that says both, which is taken for one that a request may be repeated after.
		Entry("two codes", http.StatusServiceUnavailable, `{"error":{"code":"failed","code":"busy"}}`, false),
		Entry("two errors", http.StatusServiceUnavailable, `{"error":{"code":"failed"},"error":{"code":"busy"}}`, false),
		Entry("a code in another case", http.StatusServiceUnavailable, `{"error":{"code":"failed","Code":"busy"}}`, false),
		Entry("leaving and not", http.StatusServiceUnavailable, `{"error":{"code":"failed"},"leaving":false,"leaving":true}`, false),
		Entry("leaving in a text of another kind", http.StatusServiceUnavailable, `<p>"leaving":true</p>`, false),
		Entry("another 503", http.StatusServiceUnavailable, ``, false),
		Entry("an internal error of the engine", http.StatusInternalServerError, `{"error":{"code":"version"}}`, false),
	)
})
