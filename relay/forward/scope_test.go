package forward_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"sync"
	"sync/atomic"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/chicoryrelay/chicoryrelay/relay/connection"
	"github.com/chicoryrelay/chicoryrelay/relay/directory"
	"github.com/chicoryrelay/chicoryrelay/relay/forward"
	"github.com/chicoryrelay/chicoryrelay/relay/route"
)

// scopeTable returns a table with the account of the key k, baths, and another one; some of the accounts are isolated.
func scopeTable(isolated ...string) *route.Table {
	state := &route.State{
		Routes:   []route.Route{{Name: "note", Host: "h", Prefix: "/note/", Kind: route.Stream, Timeout: 3e9, Target: 4e8, Split: []route.Share{{Service: "plain", Weight: 1}}, Attempts: 2, Resumable: true}},
		Services: []route.Service{{Name: "plain"}},
		Accounts: []route.Account{{Name: "baths", Keys: []string{"k"}}, {Name: "makers", Keys: []string{"l"}}},
	}
	for i := range state.Accounts {
		for _, name := range isolated {
			state.Accounts[i].Isolated = state.Accounts[i].Isolated || state.Accounts[i].Name == name
		}
	}
	return route.NewTable(state)
}

// scopeSite serves a forwarder whose upstreams record the salts that they receive.
type scopeSite struct {
	*httptest.Server
	table atomic.Pointer[route.Table]
	// outdated makes the forwarder's table one that may lack changes which are in force.
	outdated atomic.Bool
	mu       sync.Mutex
	salts    []string
}

// newScopeSite returns a site with two upstreams, of which the first breaks its streams off after one event. The functions, if given, are
// called once each: while a request is placed, and before its stream breaks off.
func newScopeSite(first *route.Table, whilePlacing, beforeBreak func(*scopeSite)) *scopeSite {
	GinkgoHelper()
	return newDialledScopeSite(first, whilePlacing, nil, beforeBreak)
}

// newDialledScopeSite returns such a site with a function that is called while the first connection to an upstream is made.
func newDialledScopeSite(first *route.Table, whilePlacing, whileDialling, beforeBreak func(*scopeSite)) *scopeSite {
	GinkgoHelper()
	s := &scopeSite{}
	s.table.Store(first)
	answer := func(text string, before func(*scopeSite)) directory.Upstream {
		return rawUpstream(func(conn net.Conn, r *http.Request) {
			s.mu.Lock()
			s.salts = append(s.salts, r.Header.Get("X-Salt"))
			s.mu.Unlock()
			_, _ = io.WriteString(conn, chunked+chunk(event(1)))
			if before != nil {
				before(s)
			}
			_, _ = io.WriteString(conn, text)
		})
	}
	fake := &fakePlacer{list: []directory.Upstream{answer("20\r\nid: 99\nda", beforeBreak), answer(chunk(event(2))+"0\r\n\r\n", nil)}}
	place := func(ctx context.Context, r *forward.PlacementRequest) (*forward.Placement, error) {
		p, err := fake.place(ctx, r)
		if err == nil {
			p.Salt = func(scope string) string { return fmt.Sprintf("%q", scope) }
		}
		if whilePlacing != nil {
			whilePlacing(s)
			whilePlacing = nil
		}
		return p, err
	}
	var dialled sync.Once
	pool, budget := connection.NewPool(connection.WithDial(func(ctx context.Context, address netip.AddrPort) (net.Conn, error) {
		dialled.Do(func() {
			if whileDialling != nil {
				whileDialling(s)
			}
		})
		return (&net.Dialer{}).DialContext(ctx, "tcp", address.String())
	})), forward.NewBudget()
	budget.SetLimits(1, 100)
	budget.SetVMs(1)
	s.Server = httptest.NewServer(forward.New(
		forward.WithTable(s.table.Load), forward.WithDialect(dialect), forward.WithPool(pool),
		forward.WithPlaceFunc(place), forward.WithBudget(budget), forward.WithLog(&log.Logger{Handler: discard.Default}),
		forward.WithCurrent(func() bool { return !s.outdated.Load() }),
	))
	DeferCleanup(s.Close)
	DeferCleanup(pool.Close)
	return s
}

var _ = Describe("the salt of a request's cached prompts", func() {
	// salts returns the salts of a stream's attempts.
	salts := func(s *scopeSite) []string {
		GinkgoHelper()
		_, err := readAnswer(s.Server, "/note/")
		Expect(err).NotTo(HaveOccurred())
		s.mu.Lock()
		defer s.mu.Unlock()
		Expect(s.salts).To(HaveLen(2))
		return s.salts
	}
	saltOf := func(t *route.Table) string {
		scope, _ := t.Scope(&route.Account{Name: "baths"})
		return fmt.Sprintf("%q", scope)
	}
	install := func(t *route.Table) func(*scopeSite) { return func(s *scopeSite) { s.table.Store(t) } }
	open, othersIsolated, isolated := scopeTable(), scopeTable("makers"), scopeTable("baths")

	// Guards against cached prompts of an account that has become isolated in requests that were queued or resumed meanwhile.
	It("is that of the desired state in force when the request is sent, not when it arrived or was queued", func() {
		Expect(salts(newScopeSite(open, install(othersIsolated), nil))).To(HaveEach(saltOf(othersIsolated)))
	})

	// Guards against cached prompts of an account that has become isolated, or may have, while a connection was made.
	It("is that of the desired state in force when the connection has been made", func() {
		Expect(salts(newDialledScopeSite(open, nil, install(othersIsolated), nil))).To(HaveEach(saltOf(othersIsolated)))
		s := newDialledScopeSite(open, nil, func(s *scopeSite) { s.outdated.Store(true) }, nil)
		Expect(salts(s)).To(HaveEach(saltOf(isolated)))
	})

	It("is that of the desired state in force when the stream is resumed", func() {
		Expect(salts(newScopeSite(open, nil, install(othersIsolated)))).To(Equal([]string{saltOf(open), saltOf(othersIsolated)}))
		Expect(salts(newScopeSite(open, nil, install(isolated)))).To(Equal([]string{saltOf(open), saltOf(isolated)}))
	})

	// Guards against a VM that was cut off, frozen or has just started, and doesn't know that an account has become isolated.
	It("is the account's own while the desired state may lack changes that are in force", func() {
		s := newScopeSite(open, func(s *scopeSite) { s.outdated.Store(true) }, nil)
		Expect(salts(s)).To(HaveEach(saltOf(isolated)))
		s = newScopeSite(open, nil, func(s *scopeSite) { s.outdated.Store(true) })
		Expect(salts(s)).To(Equal([]string{saltOf(open), saltOf(isolated)}))
		Expect(route.OwnScope(&route.Account{Name: "keyless"})).NotTo(Equal(route.OwnScope(nil)))
	})

	It("remains the account's own for a request that arrived while the account was isolated", func() {
		Expect(salts(newScopeSite(isolated, nil, install(open)))).To(HaveEach(saltOf(isolated)))
	})
})
