package forward_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/chicoryrelay/chicoryrelay/relay/connection"
	"github.com/chicoryrelay/chicoryrelay/relay/forward"
	"github.com/chicoryrelay/chicoryrelay/relay/outcome"
	"github.com/chicoryrelay/chicoryrelay/relay/route"
)

var _ = Describe("the fingerprint of a request", func() {
	// fingerprint returns that of a request with a target and a body to a host of the routes a and b.
	fingerprint := func(method, host, target, body string) (found uint64) {
		GinkgoHelper()
		state := &route.State{Services: []route.Service{{Name: "desk"}}}
		for _, name := range []string{"a.example", "b.example"} {
			state.Routes = append(state.Routes, route.Route{Name: name, Host: name, Prefix: "/", Kind: route.Idempotent, Timeout: 3e9, Target: 4e8, Split: []route.Share{{Service: "desk", Weight: 1}}, Attempts: 2})
		}
		table, pool := route.NewTable(state), connection.NewPool()
		defer pool.Close()
		handler := forward.New(
			forward.WithTable(func() *route.Table { return table }), forward.WithDialect(dialect), forward.WithPool(pool), forward.WithLog(&log.Logger{Handler: discard.Default}),
			forward.WithPlaceFunc(func(_ context.Context, r *forward.PlacementRequest) (*forward.Placement, error) {
				found = r.Fingerprint
				return nil, outcome.Refuse(outcome.NoUpstream, "none")
			}),
		)
		r := httptest.NewRequest(method, target, strings.NewReader(body))
		r.Host = host
		handler.ServeHTTP(httptest.NewRecorder(), r)
		Expect(found).NotTo(BeZero())
		return found
	}

	// Guards against a request that counts as another one at each VM because its client names the VM's port.
	It("is the same however the host of its route is written", func() {
		want := fingerprint(http.MethodPost, "a.example", "/x?y=1", "body")
		for _, host := range []string{"a.example:8081", "a.example:8082", "A.Example"} {
			Expect(fingerprint(http.MethodPost, host, "/x?y=1", "body")).To(Equal(want), host)
		}
	})

	It("differs with the method, the route's host, the path, the query and the body", func() {
		seen := map[uint64]bool{}
		for _, call := range [][4]string{
			{"POST", "a.example", "/x?y=1", "body"},
			{"PUT", "a.example", "/x?y=1", "body"},
			{"POST", "b.example", "/x?y=1", "body"},
			{"POST", "a.example", "/z?y=1", "body"},
			{"POST", "a.example", "/x?y=2", "body"},
			{"POST", "a.example", "/x?y=1", "other"},
		} {
			seen[fingerprint(call[0], call[1], call[2], call[3])] = true
		}
		Expect(seen).To(HaveLen(6))
	})
})
