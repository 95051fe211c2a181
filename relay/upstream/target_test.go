package upstream_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"net/netip"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/chicoryrelay/chicoryrelay/relay/upstream"
)

// Guards against a path or query that is escaped anew or cut, and against a path that is taken for a host.
var _ = DescribeTable("the target of a call reaches the service as it is",
	func(target string) {
		var received *http.Request
		server := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) { received = r }))
		defer server.Close()
		address := netip.MustParseAddrPort(server.Listener.Addr().String())
		_, err := upstream.New().CallIdempotent(context.Background(), address, upstream.ServiceCall{Method: http.MethodGet, Path: target, Header: http.Header{}}, 1024)
		Expect(err).NotTo(HaveOccurred())
		Expect(received.Host).To(Equal(address.String()))
		Expect(received.RequestURI).To(Or(Equal(target), Equal("http://"+address.String()+target)))
	},
	Entry("without a query", "/"), Entry("with an empty query", "/x?"), Entry("with escapes", "/a%2Fb/%41?x=%20"), Entry("with bytes that should be escaped", "/a|b{c}?x=|#y"),
	Entry("with two slashes within", "/a//b"), Entry("with two slashes at its start", "//a/b?x"),
)
