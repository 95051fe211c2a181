package gateway_test

import (
	"context"
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/chicoryrelay/chicoryrelay/coord/configuration"
	"github.com/chicoryrelay/chicoryrelay/coord/ledger"
	"github.com/chicoryrelay/chicoryrelay/coord/registry"
	"github.com/chicoryrelay/chicoryrelay/relay/catalogue"
	"github.com/chicoryrelay/chicoryrelay/relay/gateway"
	"github.com/chicoryrelay/chicoryrelay/relay/outcome"
	"github.com/chicoryrelay/chicoryrelay/relay/upstream"
)

// promising are the statuses which promise that a call has not run.
var promising = []int{http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable}

// desk is a booking service behind a gateway whose calls are recorded in a ledger.
type desk struct {
	url string

	mu     sync.Mutex
	ledger *registry.Machine
	index  uint64
	// raw is the service's answer, runs the number of calls that it has run.
	raw  string
	runs int
	// leaseless is set while the VM holds no lease.
	leaseless bool
}

func newDesk() *desk {
	GinkgoHelper()
	d := &desk{ledger: registry.New()}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go d.serve(conn)
		}
	}()
	c, err := catalogue.New(1, []catalogue.Object{{Kind: "account", Name: "a", Value: json.RawMessage(fmt.Sprintf(`{"key":%q}`, catalogue.HashKey("secret")))}})
	Expect(err).NotTo(HaveOccurred())
	c.Upstreams = []catalogue.Upstream{{
		Name: "booking1", Address: netip.MustParseAddrPort(listener.Addr().String()), Kind: catalogue.Service, Service: "booking", State: catalogue.Active,
	}}
	configuration := func() gateway.Configuration { return gateway.Configuration{Catalogue: c, Leased: true} }
	// Each call has a client of its own, since what one answer says of the service must not keep the next call from it.
	attempts := uint64(0)
	book := func(ctx context.Context, call gateway.Booking) (gateway.Answer, error) {
		b := gateway.NewBooker(
			gateway.WithSubmit(d.submit), gateway.WithServices(upstream.New(), configuration, 1<<20), gateway.WithTimeouts(time.Second, time.Hour),
			gateway.WithLease(func() time.Duration { return 0 }, func() ledger.Owner { return ledger.Owner{VM: "vm1", Boot: 1} }, func(time.Duration) bool { return !d.leaseless }),
			gateway.WithRegistry(func(time.Duration) (time.Time, uint64) { return time.Time{}, 0 }),
			gateway.WithAttemptIDs(func() (id ledger.Attempt) {
				attempts++
				binary.LittleEndian.PutUint64(id[:], attempts)
				return id
			}),
			gateway.WithBookerLog(&log.Logger{Handler: discard.New(), Level: log.FatalLevel}),
		)
		defer b.Close()
		return b.Book(ctx, call)
	}
	server := httptest.NewServer(gateway.New(
		gateway.WithConfiguration(configuration), gateway.WithBook(book), gateway.WithIDs(func() string { return "1" }),
		gateway.WithLog(&log.Logger{Handler: discard.New(), Level: log.FatalLevel}),
	).Handler())
	DeferCleanup(server.Close)
	d.url = server.URL
	return d
}

// serve runs one call and answers it.
func (d *desk) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	_, _ = conn.Read(make([]byte, 1<<16))
	d.mu.Lock()
	d.runs++
	raw := d.raw
	d.mu.Unlock()
	_, _ = io.WriteString(conn, raw)
}

func (d *desk) submit(_ context.Context, entry []byte) (ledger.Reply, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.index++
	return *d.ledger.Apply(d.index, entry).Ledger, nil
}

// book sends a call with an idempotency key.
func (d *desk) book(key string) *http.Response {
	GinkgoHelper()
	r, err := http.NewRequest(http.MethodPost, d.url+"/services/booking/slots", strings.NewReader("body"))
	Expect(err).NotTo(HaveOccurred())
	r.Header = http.Header{"Authorization": {"Bearer secret"}, "Idempotency-Key": {key}}
	response, err := http.DefaultClient.Do(r)
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(response.Body.Close)
	return response
}

// serviceAnswer returns an answer of a service in one of three framings.
func serviceAnswer(status, framing int, body string) string {
	head := fmt.Sprintf("HTTP/1.1 %d X\r\nRetry-After: 1\r\nContent-Type: text/plain\r\n", status)
	switch framing {
	case 0:
		return fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", head, len(body), body)
	case 1:
		return fmt.Sprintf("%sTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", head, len(body), body)
	}
	return head + "\r\n" + body
}

// Guards against a booking that is made twice, since a service has run it and then failed it with a status which promises that it has not
// run.
var _ = Describe("a booking that its service fails with a status which promises that it has not run", func() {
	It("is answered as one that may have run, and again when it is sent again", func() {
		d := newDesk()
		for _, status := range promising {
			for framing := range 3 {
				for _, body := range []string{"no", strings.Repeat("x", 600<<10), `{"error":"full","leaving":true}`} {
					key := fmt.Sprint(status, framing, len(body))
					d.raw, d.runs = serviceAnswer(status, framing, body), 0
					response := d.book(key)
					Expect(response.Header).NotTo(HaveKey("Retry-After"))
					expectRefusal(response, http.StatusBadGateway, "", outcome.MayHaveRun)
					expectRefusal(d.book(key), http.StatusConflict, "", outcome.MayHaveRun)
					Expect(d.runs).To(Equal(1), key)
				}
			}
		}
	})

	It("is answered so too if an earlier release has recorded the answer", func() {
		for _, status := range promising {
			recorded, err := json.Marshal(gateway.Answer{Status: status, Body: []byte("no")})
			Expect(err).NotTo(HaveOccurred())
			replay := func(context.Context, []byte) (ledger.Reply, error) {
				return ledger.Reply{Verdict: ledger.Ran, Attempt: ledger.Attempt{1}, Answer: recorded}, nil
			}
			b, _ := newBooker(upstream.New(), replay)
			_, err = b.Book(context.Background(), bookingWithKey("k"))
			var refusal *outcome.Refusal
			Expect(errors.As(err, &refusal)).To(BeTrue())
			Expect(refusal.Status()).To(Equal(http.StatusBadGateway))
			Expect(refusal.Outcome).To(Equal(outcome.MayHaveRun))
		}
	})

	// Guards against any other failure that is no longer passed on, first or replayed, or repeated.
	It("is the only one whose answer is withheld, with drawn answers", func() {
		for seed := range uint64(20) {
			random, d := rand.New(rand.NewPCG(seed, 54)), newDesk()
			for i := range 20 {
				status := append([]int{200, 201, 400, 404, 409, 422, 425, 500, 502, 504}, promising...)[random.IntN(14)]
				body := strings.Repeat("b", 1+random.IntN(5000))
				d.raw, d.runs = serviceAnswer(status, random.IntN(3), body), 0
				for send := range 1 + random.IntN(3) {
					response := d.book(fmt.Sprint(i))
					explanation := fmt.Sprintf("seed %d, status %d, send %d", seed, status, send+1)
					if outcome.PromisesNotRun(status) {
						Expect(outcome.PromisesNotRun(response.StatusCode)).To(BeFalse(), explanation)
						continue
					}
					text, err := io.ReadAll(response.Body)
					Expect(err).NotTo(HaveOccurred(), explanation)
					Expect(response.StatusCode).To(Equal(status), explanation)
					Expect(string(text)).To(Equal(body), explanation)
				}
				Expect(d.runs).To(Equal(1), "seed %d, status %d", seed, status)
			}
		}
	})
})

var _ = It("a refusal by the ledger still says that a booking has not run", func() {
	d := newDesk()
	d.ledger = registry.New(registry.WithClaimCheck(func(configuration.Objects, ledger.Claim) error { return errors.New("no such service") }))
	expectRefusal(d.book("k"), http.StatusServiceUnavailable, "", outcome.NotRun)
	Expect(d.runs).To(BeZero())
})

// Guards against a key that is sent again and refused with 503 by a VM that can't know whether an earlier attempt has run.
var _ = It("a key that has run is not answered with a promise that it has not, by a VM without a lease", func() {
	d := newDesk()
	d.raw = serviceAnswer(http.StatusCreated, 0, "booked")
	Expect(d.book("k").StatusCode).To(Equal(http.StatusCreated))
	d.leaseless = true
	expectRefusal(d.book("k"), http.StatusBadGateway, "", outcome.MayHaveRun)
	d.leaseless = false
	Expect(d.book("k").StatusCode).To(Equal(http.StatusCreated))
	Expect(d.runs).To(Equal(1))
})
