package vm

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/chicoryrelay/chicoryrelay/relay/balance"
	"github.com/chicoryrelay/chicoryrelay/relay/connection"
	"github.com/chicoryrelay/chicoryrelay/relay/directory"
	"github.com/chicoryrelay/chicoryrelay/relay/forward"
	"github.com/chicoryrelay/chicoryrelay/relay/peer"
	"github.com/chicoryrelay/chicoryrelay/relay/route"
)

// quietEngine accepts connections and answers its requests only while it is not quiet.
type quietEngine struct {
	address netip.AddrPort
	quiet   atomic.Bool
}

func newQuietEngine() *quietEngine {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(func() { _ = listener.Close() })
	e := &quietEngine{address: netip.MustParseAddrPort(listener.Addr().String())}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go e.serve(conn)
		}
	}()
	return e
}

func (e *quietEngine) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, request.Body)
		if !e.quiet.Load() {
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}")
		}
	}
}

// newSilenceSetup returns a placer of the engine e and the watcher of its silence, which ticks by itself.
func newSilenceSetup(engine *quietEngine) (*engineSetup, *silenceWatcher) {
	e := newEngineSetup()
	e.state.adapter.Engines.ReportRequest = func(upstream string) *connection.Request {
		return &connection.Request{Upstream: upstream, Method: http.MethodGet, Target: "/load", Host: "engine", Header: http.Header{}}
	}
	e.state.list.Store(directory.NewList([]directory.Upstream{
		{ID: "e", Service: "llm", Address: engine.address, Models: []directory.Model{{Name: "m", Weights: 1}}}, {ID: "plain", Service: "plain"},
	}))
	e.configure()
	w := newSilence(e.state, e.dispatch, connection.NewPool(), &peerMesh{}, e.placer, e.state.log)
	ctx, cancel := context.WithCancel(context.Background())
	DeferCleanup(cancel)
	go runEvery(ctx, 50*time.Millisecond, w.tick)
	return e, w
}

var _ = Describe("an engine that accepts connections and answers nothing", func() {
	place := func(e *engineSetup, id string) (*forward.Placement, error) {
		ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
		defer cancel()
		return e.place(ctx, e.request(id))
	}

	// Guards against VMs that learn nothing from requests that must not be repeated.
	It("gets no request once one is overdue, and again as soon as it answers", func() {
		engine := newQuietEngine()
		engine.quiet.Store(true)
		e, w := newSilenceSetup(engine)
		p, err := place(e, "first")
		Expect(err).NotTo(HaveOccurred())
		ended := w.watch(&route.Route{Kind: route.Unsafe}, p, nil)
		defer ended(false)
		Eventually(func() bool { return w.isSilent("e") }, 20*time.Second).Should(BeTrue())
		Expect(w.text()).To(ContainElement("upstreams_silent 1"))
		_, err = place(e, "second")
		Expect(err).To(HaveOccurred())
		engine.quiet.Store(false)
		Eventually(func() bool { return w.isSilent("e") }, 20*time.Second).Should(BeFalse())
		p, err = place(e, "third")
		Expect(err).NotTo(HaveOccurred())
		p.Cancel()
	})

	It("has the requests that wait there given up, if they may go elsewhere", func() {
		engine := newQuietEngine()
		engine.quiet.Store(true)
		e, w := newSilenceSetup(engine)
		p, err := place(e, "first")
		Expect(err).NotTo(HaveOccurred())
		var moved atomic.Int64
		defer w.watch(&route.Route{Kind: route.Stream, Resumable: true}, p, func() bool { return moved.Add(1) == 1 })(false)
		Eventually(moved.Load, 20*time.Second).Should(BeNumerically(">=", 1))
		Expect(w.text()).To(ContainElement("requests_moved 1"))
	})

	It("is not silent while it answers for its load, however late a request is", func() {
		e, w := newSilenceSetup(newQuietEngine())
		p, err := place(e, "first")
		Expect(err).NotTo(HaveOccurred())
		defer w.watch(&route.Route{Kind: route.Unsafe}, p, nil)(false)
		Eventually(w.questions.Load, 20*time.Second).Should(BeNumerically(">=", 2))
		Expect(w.isSilent("e")).To(BeFalse())
		Expect(w.verdicts.Load()).To(BeZero())
	})

	It("is suspected by overlong polls, also if this process stood still at the first one", func() {
		engine := newQuietEngine()
		engine.quiet.Store(true)
		_, w := newSilenceSetup(engine)
		overlong := func() bool {
			w.overlong("e", time.Now())
			return w.isSilent("e")
		}
		overlong()
		w.mu.Lock()
		time.Sleep(time.Second)
		w.mu.Unlock()
		// What was sent before a standstill shows nothing, so that only the next poll counts.
		Eventually(overlong, 20*time.Second, 250*time.Millisecond).Should(BeTrue())
	})
})

var _ = Describe("silent replicas of plain services", func() {
	It("come after all others, and are used if there is no other", func() {
		_, w := newSilenceSetup(newQuietEngine())
		w.receive(&peer.Silence{Upstream: "plain", Silent: true, Age: 500})
		request := &forward.PlacementRequest{Route: &route.Route{Kind: route.Unsafe}}
		both := []balance.Candidate{{ID: "plain"}, {ID: "other"}}
		Expect(w.withoutSilent(both, request)).To(Equal(both[1:]))
		Expect(w.withoutSilent(both[:1], request)).To(Equal(both[:1]))
		w.receive(&peer.Silence{Upstream: "plain"})
		Expect(w.withoutSilent(both, request)).To(Equal(both))
	})
})
