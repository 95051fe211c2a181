package gateway_test

import (
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/chicoryrelay/chicoryrelay/relay/catalogue"
	"github.com/chicoryrelay/chicoryrelay/relay/gateway"
	"github.com/chicoryrelay/chicoryrelay/relay/outcome"
)

var _ = Describe("a VM that has just started", func() {
	var current atomic.Pointer[catalogue.Catalogue]

	// requestModels sends one request to a gateway and signals its arrival; closing installed reports that the configuration is
	// installed.
	requestModels := func(installed chan struct{}, limit time.Duration, arrived chan<- struct{}) *http.Response {
		GinkgoHelper()
		g := gateway.New(
			gateway.WithConfiguration(func() gateway.Configuration { return gateway.Configuration{Catalogue: current.Load(), Leased: true} }),
			gateway.WithIDs(func() string { return "req1" }), gateway.WithStartTimeout(installed, limit),
			gateway.WithLog(&log.Logger{Handler: discard.New(), Level: log.FatalLevel}),
		)
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			close(arrived)
			g.Handler().ServeHTTP(w, r)
		}))
		DeferCleanup(server.Close)
		request, err := http.NewRequest(http.MethodGet, server.URL+"/v1/models", nil)
		Expect(err).NotTo(HaveOccurred())
		request.Header.Set("Authorization", "Bearer secret")
		response, err := http.DefaultClient.Do(request)
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(response.Body.Close)
		return response
	}

	// Guards against a refusal of the first requests after a restart, before another VM has sent the configuration.
	It("serves a request that arrives before its configuration", func() {
		installed, arrived := make(chan struct{}), make(chan struct{})
		go func() {
			<-arrived
			current.Store(&catalogue.Catalogue{Version: 1, Accounts: map[string]catalogue.Account{}})
			close(installed)
		}()
		// The empty configuration has no client account, so 401 shows that the request was checked against it.
		Expect(requestModels(installed, time.Hour, arrived).StatusCode).To(Equal(http.StatusUnauthorized))
	})

	It("refuses a request as not run if no configuration arrives before the timeout", func() {
		current.Store(nil)
		expectRefusal(requestModels(make(chan struct{}), time.Millisecond, make(chan struct{})), http.StatusServiceUnavailable, "", outcome.NotRun)
	})
})
