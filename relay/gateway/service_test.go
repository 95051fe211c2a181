package gateway_test

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/chicoryrelay/chicoryrelay/relay/catalogue"
	"github.com/chicoryrelay/chicoryrelay/relay/gateway"
	"github.com/chicoryrelay/chicoryrelay/relay/upstream"
)

// callService sends a call with a target to a gateway and returns the status of its answer, the method, target and body that the service
// got, and whether the call was made at most once.
func callService(method, target string) (status int, received string, once bool) {
	GinkgoHelper()
	service := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		received, once = r.Method+" "+r.RequestURI+" "+string(body), r.Header.Get("X-Once") != ""
	}))
	defer service.Close()
	c, err := catalogue.New(1, []catalogue.Object{{Kind: "account", Name: "a", Value: json.RawMessage(fmt.Sprintf(`{"key":%q}`, catalogue.HashKey("secret")))}})
	Expect(err).NotTo(HaveOccurred())
	c.Rules = []catalogue.Rule{{Service: "booking", Method: http.MethodPut, Path: "/", Idempotent: true}, {Service: "booking", Method: http.MethodPut, Path: "/slots"}}
	c.Upstreams = []catalogue.Upstream{{
		Name: "booking1", Address: netip.MustParseAddrPort(service.Listener.Addr().String()), Kind: catalogue.Service, Service: "booking", State: catalogue.Active,
	}}
	client := upstream.New()
	server := httptest.NewServer(gateway.New(
		gateway.WithConfiguration(func() gateway.Configuration { return gateway.Configuration{Catalogue: c, Leased: true} }),
		gateway.WithBook(func(ctx context.Context, b gateway.Booking) (gateway.Answer, error) {
			connection, err := client.Dial(ctx, c.Upstreams[0].Address)
			if err != nil {
				return gateway.Answer{}, err
			}
			b.Call.Header.Set("X-Once", "1")
			answer, err := connection.Call(ctx, b.Call, 1000)
			return gateway.Answer{Status: answer.Status}, err
		}),
		gateway.WithClient(client), gateway.WithIDs(func() string { return "1" }),
		gateway.WithLog(&log.Logger{Handler: discard.New(), Level: log.FatalLevel}),
	).Handler())
	defer server.Close()
	conn, err := net.Dial("tcp", server.Listener.Addr().String())
	Expect(err).NotTo(HaveOccurred())
	defer func() { _ = conn.Close() }()
	_, err = fmt.Fprintf(conn, "%s %s HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer secret\r\nContent-Length: 4\r\n\r\nbody", method, target)
	Expect(err).NotTo(HaveOccurred())
	answer, err := http.ReadResponse(bufio.NewReader(conn), nil)
	Expect(err).NotTo(HaveOccurred())
	return answer.StatusCode, received, once
}

// Guards against calls that a service gets with another path or query than their caller's.
var _ = DescribeTable("a call reaches its service with the path and query of its caller", func(target, want string) {
	for _, method := range []string{http.MethodPut, http.MethodPost} {
		status, received, once := callService(method, target)
		Expect(status).To(Equal(http.StatusOK))
		Expect(received).To(Equal(method + " " + want + " body"))
		Expect(once).To(Equal(method == http.MethodPost))
	}
},
	Entry("no path", "/services/booking", "/"),
	Entry("no path but a query", "/services/booking?a=1", "/?a=1"),
	Entry("an escaped slash", "/services/booking/a%2Fb/", "/a%2Fb/"),
	Entry("an empty query", "/services/booking/a?", "/a?"),
	Entry("characters that need no escape in practice", "/services/booking/a|b\"?q=|^", "/a|b\"?q=|^"),
	Entry("a number sign in the query", "/services/booking/a?q=1#2", "/a?q=1#2"),
	Entry("an escaped letter in the name of the service", "/services/book%69ng/a", "/a"),
	Entry("scheme and host", "http://h/services/booking/é?", "/é?"),
)

// Guards against a slash in the name of a service that makes another service of it.
var _ = It("a call whose service's name has an escaped slash is refused", func() {
	status, received, _ := callService(http.MethodPut, "/services/booking%2Fa")
	Expect(status).To(Equal(http.StatusNotFound))
	Expect(received).To(BeEmpty())
})

// Guards against calls that are repeated as idempotent because an escape in their path hides the rule that says otherwise.
var _ = It("a call is made at most once if its path says so once it is decoded", func() {
	for _, target := range []string{"/services/booking/slots", "/services/booking/%73lots"} {
		_, _, once := callService(http.MethodPut, target)
		Expect(once).To(BeTrue(), "%s", target)
	}
})
