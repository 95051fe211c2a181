package peer_test

import (
	"net"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/onsi/gomega/gleak"

	"github.com/chicoryrelay/chicoryrelay/relay/peer"
)

// testTimeout ends tests that would otherwise wait forever; passing tests finish well within it.
const testTimeout = 20 * time.Second

// The session timeout is far shorter than testTimeout, so that a test can wait for several stalled sessions to be detected.
const (
	heartbeatInterval = 50 * time.Millisecond
	sessionTimeout    = 250 * time.Millisecond
)

// testVM is a listening mesh that records the messages it receives.
type testVM struct {
	*peer.Mesh
	name     string
	address  netip.AddrPort
	received chan peer.Message
}

func newTestVM(name string, options ...peer.Option) *testVM {
	vm := &testVM{name: name, address: freeAddress(), received: make(chan peer.Message, 4096)}
	vm.Mesh = peer.New(append([]peer.Option{
		peer.WithName(name, "c", 7), peer.WithAddress(vm.address), peer.WithHeartbeat(heartbeatInterval, sessionTimeout),
		peer.WithReceive(func(m peer.Message) { vm.received <- m }),
		peer.WithLog(&log.Logger{Handler: discard.New(), Level: log.FatalLevel}),
	}, options...)...)
	Expect(vm.Listen()).To(Succeed())
	DeferCleanup(vm.Close)
	return vm
}

func freeAddress() netip.AddrPort {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	defer func() { _ = listener.Close() }()
	return netip.MustParseAddrPort(listener.Addr().String())
}

func quorumMessage(text string) *peer.Envelope {
	return &peer.Envelope{Body: &peer.Envelope_Quorum{Quorum: []byte(text)}}
}

func expectConnected(from, to *testVM) {
	GinkgoHelper()
	Eventually(from.Connected).WithTimeout(testTimeout).Should(ContainElement(to.name))
}

// expectDelivery sends a message repeatedly until it is received, since messages are lost when their session ends.
func expectDelivery(from, to *testVM, text string) {
	GinkgoHelper()
	Eventually(func() bool {
		from.Send(to.name, quorumMessage(text))
		for {
			select {
			case m := <-to.received:
				if m.From == from.name && string(m.Body.GetQuorum()) == text {
					return true
				}
			case <-time.After(heartbeatInterval):
				return false
			}
		}
	}).WithTimeout(testTimeout).Should(BeTrue())
}

func expectDeliveryBothWays(a, b *testVM, text string) {
	GinkgoHelper()
	expectDelivery(a, b, text)
	expectDelivery(b, a, text)
}

var _ = Describe("two meshes", func() {
	It("exchange messages in both directions over one dialled connection, not only towards the listener", func() {
		a, b := newTestVM("a"), newTestVM("b")
		f := newForwarder(b.address)
		a.Connect("b", f.address())
		expectConnected(a, b)
		expectConnected(b, a)
		expectDeliveryBothWays(a, b, "hello")
		Expect(f.connections()).To(Equal(1))
	})

	It("deliver a broadcast to each VM with a session and count it as dropped for the others", func() {
		a, b, c := newTestVM("a"), newTestVM("b"), newTestVM("c")
		a.Connect("b", b.address)
		a.Connect("c", c.address)
		expectConnected(a, b)
		expectConnected(a, c)
		a.Broadcast([]string{"b", "unknown", "c"}, quorumMessage("to all"))
		for _, vm := range []*testVM{b, c} {
			var m peer.Message
			Eventually(vm.received).WithTimeout(testTimeout).Should(Receive(&m))
			Expect(string(m.Body.GetQuorum())).To(Equal("to all"))
		}
		Expect(a.Counters().Dropped.Load()).To(Equal(int64(1)))
		Expect(a.Counters().Sent.Load()).To(Equal(int64(2)))
	})

	It("deliver each message once and in order, with the sender's name and boot number, without mixing up frames", func() {
		a, b := newTestVM("a"), newTestVM("b")
		a.Connect("b", b.address)
		expectConnected(a, b)
		for i := range 100 {
			a.Send("b", quorumMessage(string(rune('0'+i))))
		}
		for i := range 100 {
			var m peer.Message
			Eventually(b.received).WithTimeout(testTimeout).Should(Receive(&m))
			Expect(m.From).To(Equal("a"))
			Expect(m.Boot).To(Equal(uint64(7)))
			Expect(string(m.Body.GetQuorum())).To(Equal(string(rune('0' + i))))
		}
	})

	It("exchange messages when both dial at the same time, without closing each other's sessions", func() {
		a, b := newTestVM("a"), newTestVM("b")
		a.Connect("b", b.address)
		b.Connect("a", a.address)
		expectConnected(a, b)
		expectConnected(b, a)
		expectDeliveryBothWays(a, b, "hello")
	})

	It("send over the older session again when the newer one ends, so that a VM with an open session can always send", func() {
		a, b := newTestVM("a"), newTestVM("b")
		a.Connect("b", b.address)
		expectConnected(a, b)
		second := newTestVM("b")
		second.Connect("a", a.address)
		expectConnected(second, a)
		expectDelivery(a, second, "over the newer session")
		second.Close()
		expectDeliveryBothWays(a, b, "over the older session")
	})

	It("replace a stalled connection after the session timeout, without waiting for TCP to report an error", func() {
		a, b := newTestVM("a"), newTestVM("b")
		f := newForwarder(b.address)
		a.Connect("b", f.address())
		expectConnected(b, a)
		expectDeliveryBothWays(a, b, "before")
		f.stall()
		expectDeliveryBothWays(a, b, "after")
	})

	It("send no heartbeat within the spacing of the peer, so that a large cell costs no more than a small one", func() {
		spaced := peer.WithHeartbeatSpacing(func(string) int { return 1000 })
		b := newTestVM("b", spaced)
		f := newForwarder(b.address)
		a := newTestVM("a", spaced)
		a.Connect("b", f.address())
		expectConnected(a, b)
		f.stall()
		Consistently(f.connections).WithTimeout(4*sessionTimeout).Should(Equal(1), "a redial shows that a heartbeat was missed")
	})

	It("ask for the spacing before each heartbeat, since a cell grows while sessions are open", func() {
		var spacing atomic.Int64
		spacing.Store(1)
		spaced := peer.WithHeartbeatSpacing(func(string) int { return int(spacing.Load()) })
		b := newTestVM("b", spaced)
		f := newForwarder(b.address)
		a := newTestVM("a", spaced)
		a.Connect("b", f.address())
		expectConnected(a, b)
		spacing.Store(1000)
		// The heartbeat that is due already is answered before the connection stalls.
		time.Sleep(2 * heartbeatInterval)
		f.stall()
		Consistently(f.connections).WithTimeout(4*sessionTimeout).Should(Equal(1), "a redial shows that a heartbeat was missed")
	})

	It("replace stalled connections that both dialled, without each waiting for the other to dial", func() {
		a, b := newTestVM("a"), newTestVM("b")
		f, g := newForwarder(b.address), newForwarder(a.address)
		a.Connect("b", f.address())
		b.Connect("a", g.address())
		expectConnected(a, b)
		expectConnected(b, a)
		expectDeliveryBothWays(a, b, "before")
		f.stall()
		g.stall()
		expectDeliveryBothWays(a, b, "after")
	})

	It("dial a second connection after the first one stalled, so that later messages do not use the stalled one", func() {
		a, b := newTestVM("a"), newTestVM("b")
		f := newForwarder(b.address)
		a.Connect("b", f.address())
		expectDeliveryBothWays(a, b, "before")
		f.stall()
		expectDeliveryBothWays(a, b, "after")
		Expect(f.connections()).To(BeNumerically(">=", 2))
	})
})

// recordLogLevels returns a logger and a channel with the level of each line that it logs.
func recordLogLevels() (log.Interface, <-chan log.Level) {
	lines := make(chan log.Level, 1024)
	handler := log.HandlerFunc(func(e *log.Entry) error {
		lines <- e.Level
		return nil
	})
	return &log.Logger{Handler: handler, Level: log.DebugLevel}, lines
}

var _ = Describe("a peer's name", func() {
	// expectRefused waits for a log line of the given level and checks that the mesh has no session to any of the names.
	expectRefused := func(a *testVM, logged <-chan log.Level, level log.Level, names ...string) {
		GinkgoHelper()
		Eventually(logged).WithTimeout(testTimeout).Should(Receive(Equal(level)))
		for _, name := range names {
			a.Send(name, quorumMessage("x"))
		}
		Expect(a.Connected()).To(BeEmpty())
		Expect(a.Counters().Sent.Load()).To(BeZero())
		Expect(a.Counters().Dropped.Load()).To(Equal(int64(len(names))))
	}

	It("that differs from the name in the settings is refused, so that no message goes to a VM at a wrong address", func() {
		logger, logged := recordLogLevels()
		a, b := newTestVM("a", peer.WithLog(logger)), newTestVM("b")
		a.Connect("c", b.address)
		expectRefused(a, logged, log.ErrorLevel, "b", "c")
	})

	It("that equals the VM's own is refused, so that a VM cannot count itself as another voter", func() {
		logger, logged := recordLogLevels()
		a, other := newTestVM("a", peer.WithLog(logger)), newTestVM("a")
		a.Connect("c", other.address)
		expectRefused(a, logged, log.DebugLevel, "c")
	})
})

// newBlockedVM returns a VM connected to a peer that does not read, so that its write loop blocks. The heartbeat interval is so
// long that the session stays open.
func newBlockedVM() (*testVM, *forwarder) {
	GinkgoHelper()
	rareHeartbeats := peer.WithHeartbeat(time.Minute, 10*time.Minute)
	a, b := newTestVM("a", rareHeartbeats), newTestVM("b", rareHeartbeats)
	f := newForwarder(b.address)
	a.Connect("b", f.address())
	expectConnected(a, b)
	f.stall()
	return a, f
}

var _ = Describe("messages that cannot be sent", func() {
	It("are dropped and counted when the queue is full, which keeps its size bounded", func() {
		a, _ := newBlockedVM()
		large := quorumMessage(string(make([]byte, 4096)))
		// 1024 messages are queued, and the stream's window of 256 KiB, or 64 messages, is in transit at most.
		const maxSent = 1024 + 64 + 2
		for range 2 * maxSent {
			a.Send("b", large)
		}
		Expect(a.Counters().Sent.Load()).To(And(BeNumerically(">=", 1024), BeNumerically("<=", maxSent)))
		Expect(a.Counters().Sent.Load() + a.Counters().Dropped.Load()).To(Equal(int64(2 * maxSent)))
	})

	It("are dropped and counted without a session, so that no outdated message is sent once a session opens", func() {
		a := newTestVM("a")
		a.Connect("b", freeAddress())
		a.Send("b", quorumMessage("x"))
		a.Send("unknown", quorumMessage("x"))
		Expect(a.Counters().Dropped.Load()).To(Equal(int64(2)))
		Expect(a.Counters().Sent.Load()).To(BeZero())
	})
})

var _ = Describe("Close", func() {
	expectNoLeak := func(before []gleak.Goroutine) {
		GinkgoHelper()
		Eventually(gleak.Goroutines).WithTimeout(testTimeout).ShouldNot(gleak.HaveLeaked(before))
	}

	It("ends all goroutines of connected meshes, including those that dial", func() {
		before := gleak.Goroutines()
		a, b := newTestVM("a"), newTestVM("b")
		a.Connect("b", b.address)
		b.Connect("a", a.address)
		a.Connect("c", freeAddress())
		expectDeliveryBothWays(a, b, "hello")
		a.Close()
		b.Close()
		expectNoLeak(before)
	})

	It("returns while a write to a peer that does not read is blocked", func() {
		a, f := newBlockedVM()
		for range 2048 {
			a.Send("b", quorumMessage(string(make([]byte, 4096))))
		}
		done := make(chan struct{})
		go func() {
			a.Close()
			close(done)
		}()
		Eventually(done).WithTimeout(testTimeout).Should(BeClosed())
		f.close()
	})
})
