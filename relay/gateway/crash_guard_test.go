package gateway_test

import (
	"context"
	"encoding/json"
	"fmt"
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

	"github.com/chicoryrelay/chicoryrelay/coord/ledger"
	"github.com/chicoryrelay/chicoryrelay/relay/catalogue"
	"github.com/chicoryrelay/chicoryrelay/relay/gateway"
	"github.com/chicoryrelay/chicoryrelay/relay/outcome"
	"github.com/chicoryrelay/chicoryrelay/relay/upstream"
)

// guardEvents are the outcomes of calls that a guard which admits all of them was told of.
type guardEvents struct {
	mu     sync.Mutex
	events []string
}

func (g *guardEvents) add(event string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.events = append(g.events, event)
}

// list returns the outcomes so far.
func (g *guardEvents) list() string {
	g.mu.Lock()
	defer g.mu.Unlock()
	return strings.Join(g.events, " ")
}

func (g *guardEvents) guard() gateway.CrashGuard {
	return gateway.CrashGuard{
		Admit:    func(context.Context, uint64) *outcome.Refusal { return nil },
		Crashed:  func(uint64, string, time.Duration) { g.add("crashed") },
		Unsent:   func(uint64) { g.add("unsent") },
		Answered: func(uint64) { g.add("answered") },
	}
}

// replicaAnswering returns the address of a replica that answers with a status, breaks off for 0 and can't be reached for -1.
func replicaAnswering(status int) netip.AddrPort {
	service := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if status == 0 {
			panic(http.ErrAbortHandler)
		}
		w.WriteHeader(status)
	}))
	DeferCleanup(service.Close)
	if status < 0 {
		service.Close()
	}
	return netip.MustParseAddrPort(service.Listener.Addr().String())
}

// newCallCatalogue returns a configuration with an account and the replicas of a service, all of whose calls are idempotent.
func newCallCatalogue(statuses ...int) *catalogue.Catalogue {
	GinkgoHelper()
	c, err := catalogue.New(1, []catalogue.Object{{Kind: "account", Name: "a", Value: json.RawMessage(fmt.Sprintf(`{"key":%q}`, catalogue.HashKey("secret")))}})
	Expect(err).NotTo(HaveOccurred())
	c.Rules = []catalogue.Rule{{Service: "booking", Method: http.MethodPut, Path: "/", Idempotent: true}}
	for i, status := range statuses {
		c.Upstreams = append(c.Upstreams, catalogue.Upstream{
			Name: fmt.Sprint("booking", i), Address: replicaAnswering(status), Kind: catalogue.Service, Service: "booking", State: catalogue.Active,
		})
	}
	return c
}

// Guards against requests that end replica after replica because an error between two of these ends counts as an answer, and against
// sound ones whose trial is lost at a replica that can't be reached or wants no calls.
var _ = DescribeTable("the outcomes that a guard is told of", func(status int, want string) {
	By("an idempotent call")
	c, g := newCallCatalogue(status), &guardEvents{}
	server := httptest.NewServer(gateway.New(
		gateway.WithConfiguration(func() gateway.Configuration { return gateway.Configuration{Catalogue: c, Leased: true} }),
		gateway.WithClient(upstream.New()), gateway.WithIDs(func() string { return "1" }), gateway.WithCrashGuard(g.guard()),
		gateway.WithLog(&log.Logger{Handler: discard.New(), Level: log.FatalLevel}),
	).Handler())
	defer server.Close()
	r, err := http.NewRequest(http.MethodPut, server.URL+"/services/booking/x", strings.NewReader("body"))
	Expect(err).NotTo(HaveOccurred())
	r.Header.Set("Authorization", "Bearer secret")
	answer, err := http.DefaultClient.Do(r)
	Expect(err).NotTo(HaveOccurred())
	defer func() { _ = answer.Body.Close() }()
	Expect(g.list()).To(Equal(want))

	By("a booking")
	g = &guardEvents{}
	// The control VMs grant the claim and record the result.
	replies := make(chan ledger.Verdict, 2)
	replies <- ledger.Granted
	replies <- ledger.Released
	submit := func(context.Context, []byte) (ledger.Reply, error) {
		return ledger.Reply{Verdict: <-replies, Attempt: ledger.Attempt{1}}, nil
	}
	b := gateway.NewBooker(
		gateway.WithSubmit(submit),
		gateway.WithLease(func() time.Duration { return 0 }, func() ledger.Owner { return ledger.Owner{VM: "vm1", Boot: 1} }, func(time.Duration) bool { return true }),
		gateway.WithRegistry(func(time.Duration) (time.Time, uint64) { return time.Time{}, 0 }),
		gateway.WithTimeouts(time.Hour, time.Millisecond), gateway.WithBookerCrashGuard(g.guard()),
		gateway.WithServices(upstream.New(), func() gateway.Configuration { return gateway.Configuration{Catalogue: c, Leased: true} }, 1<<10),
		gateway.WithAttemptIDs(func() ledger.Attempt { return ledger.Attempt{1} }),
		gateway.WithBookerLog(&log.Logger{Handler: discard.New(), Level: log.FatalLevel}),
	)
	// Its answer doesn't matter here.
	_, _ = b.Book(context.Background(), bookingWithKey("k"))
	b.Close()
	Expect(g.list()).To(Equal(want))
},
	Entry("of an answer", http.StatusOK, "answered"),
	Entry("of a refusal of the application", http.StatusConflict, "answered"),
	Entry("of an error", http.StatusInternalServerError, "unsent"),
	Entry("of a replica that wants no calls", http.StatusServiceUnavailable, "unsent"),
	Entry("of a replica with too many calls", http.StatusTooManyRequests, "unsent"),
	Entry("of a replica that ends", 0, "crashed"),
	Entry("of a replica that can't be reached", -1, "unsent"),
)
