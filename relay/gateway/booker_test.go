package gateway_test

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/chicoryrelay/chicoryrelay/coord/ledger"
	"github.com/chicoryrelay/chicoryrelay/relay/catalogue"
	"github.com/chicoryrelay/chicoryrelay/relay/gateway"
	"github.com/chicoryrelay/chicoryrelay/relay/upstream"
)

// newBooker returns a booker and the addresses of the replicas of its only service.
func newBooker(client *upstream.Client, submit func(context.Context, []byte) (ledger.Reply, error), replicas ...http.HandlerFunc) (*gateway.Booker, []netip.AddrPort) {
	c := &catalogue.Catalogue{Version: 1}
	var addresses []netip.AddrPort
	for i, replica := range replicas {
		service := httptest.NewServer(replica)
		DeferCleanup(service.Close)
		addresses = append(addresses, netip.MustParseAddrPort(service.Listener.Addr().String()))
		c.Upstreams = append(c.Upstreams, catalogue.Upstream{
			Name: fmt.Sprintf("booking%d", i+1), Address: addresses[i], Kind: catalogue.Service, Service: "booking", State: catalogue.Active,
		})
	}
	return gateway.NewBooker(
		gateway.WithSubmit(submit),
		gateway.WithLease(func() time.Duration { return 0 }, func() ledger.Owner { return ledger.Owner{VM: "vm1", Boot: 1} }, func(time.Duration) bool { return true }),
		gateway.WithRegistry(func(time.Duration) (time.Time, uint64) { return time.Time{}, 0 }),
		gateway.WithTimeouts(time.Hour, time.Millisecond),
		gateway.WithServices(client, func() gateway.Configuration { return gateway.Configuration{Catalogue: c, Leased: true} }, 1<<10),
		gateway.WithAttemptIDs(func() ledger.Attempt { return ledger.Attempt{1} }),
		gateway.WithBookerLog(&log.Logger{Handler: discard.New(), Level: log.FatalLevel}),
	), addresses
}

// grantOnly simulates control VMs that grant the first claim and answer no later command.
func grantOnly() func(context.Context, []byte) (ledger.Reply, error) {
	granted := false
	return func(ctx context.Context, _ []byte) (ledger.Reply, error) {
		if !granted {
			granted = true
			return ledger.Reply{Verdict: ledger.Granted, Attempt: ledger.Attempt{1}}, nil
		}
		<-ctx.Done()
		return ledger.Reply{}, ctx.Err()
	}
}

func bookingWithKey(key string) gateway.Booking {
	return gateway.Booking{Service: "booking", Key: key, Call: upstream.ServiceCall{Method: http.MethodPost, Path: "/slots", Header: http.Header{}}}
}

var _ = Describe("shutdown during a booking", func() {
	// Guards against a shutdown that cuts off a running call, and against one that waits without end for a record while no control
	// VM answers.
	It("waits for the service's answer and then ends without a ledger record if there is no control quorum", func() {
		called, release := make(chan struct{}, 1), make(chan struct{})
		b, _ := newBooker(upstream.New(), grantOnly(), func(http.ResponseWriter, *http.Request) {
			called <- struct{}{}
			<-release
		})
		answers := make(chan error, 1)
		go func() {
			_, err := b.Book(context.Background(), bookingWithKey("k"))
			answers <- err
		}()
		Eventually(called).WithTimeout(10 * time.Second).Should(Receive())
		closed := make(chan struct{})
		go func() {
			defer close(closed)
			b.Close()
		}()
		Consistently(closed).ShouldNot(BeClosed())
		close(release)
		Eventually(answers).WithTimeout(10 * time.Second).Should(Receive(BeNil()))
		Eventually(closed).WithTimeout(10 * time.Second).Should(BeClosed())
	})
})

var _ = Describe("a replica that is leaving", func() {
	respondWith := func(status int, body string) http.HandlerFunc {
		return func(w http.ResponseWriter, _ *http.Request) {
			w.WriteHeader(status)
			_, _ = fmt.Fprint(w, body)
		}
	}
	taken := respondWith(http.StatusOK, `{"taken":true}`)

	// expectNoCall guards against calls to the first replica after a signal that it is leaving.
	expectNoCall := func(replica http.HandlerFunc, signal func(*upstream.Client, netip.AddrPort)) {
		GinkgoHelper()
		client := upstream.New()
		for n := range 20 {
			b, addresses := newBooker(client, grantOnly(), replica, taken)
			signal(client, addresses[0])
			answer, err := b.Book(context.Background(), bookingWithKey(fmt.Sprint(n)))
			Expect(err).NotTo(HaveOccurred())
			Expect(string(answer.Body)).To(ContainSubstring("taken"))
			b.Close()
		}
	}

	It("gets no booking when the platform lists it as leaving", func() {
		expectNoCall(respondWith(http.StatusOK, "wrong replica"), func(client *upstream.Client, address netip.AddrPort) {
			platform := httptest.NewServer(respondWith(http.StatusOK, fmt.Sprintf(`[{"name":"booking1","address":%q,"state":"leaving"}]`, address)))
			defer platform.Close()
			_, err := client.List(context.Background(), netip.MustParseAddrPort(platform.Listener.Addr().String()))
			Expect(err).NotTo(HaveOccurred())
		})
	})

	It("gets no booking when its load report says that it is leaving", func() {
		expectNoCall(respondWith(http.StatusOK, `{"leaving":true}`), func(client *upstream.Client, address netip.AddrPort) {
			_, err := client.Load(context.Background(), address)
			Expect(err).NotTo(HaveOccurred())
		})
	})

	It("gets no booking after it refused a call because it is leaving", func() {
		expectNoCall(respondWith(http.StatusServiceUnavailable, `{"leaving":true}`), func(client *upstream.Client, address netip.AddrPort) {
			_, err := client.CallIdempotent(context.Background(), address, upstream.ServiceCall{Method: http.MethodGet, Path: "/", Header: http.Header{}}, 1<<10)
			Expect(err).NotTo(HaveOccurred())
		})
	})
})
