package peer

import (
	"fmt"
	"math/rand/v2"
	"net"
	"runtime"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/onsi/gomega/gleak"
)

// heldConn is a connection whose Read does not return when it is closed, until it is released.
type heldConn struct {
	net.Conn
	held     chan struct{}
	holding  atomic.Bool
	released sync.Once
}

func newHeldConn(conn net.Conn) *heldConn { return &heldConn{Conn: conn, held: make(chan struct{})} }

func (c *heldConn) Read(into []byte) (int, error) {
	n, err := c.Conn.Read(into)
	if c.holding.Load() {
		<-c.held
	}
	return n, err
}

func (c *heldConn) release() { c.released.Do(func() { close(c.held) }) }

// pair runs a session between two meshes and returns them, the client's first, with the client's connection. ended is set when the
// client logs the end of the session.
func pair() (client, server *Mesh, conn *heldConn, ended *atomic.Bool) {
	GinkgoHelper()
	ended = &atomic.Bool{}
	logs := log.HandlerFunc(func(e *log.Entry) error {
		if e.Message == "peer disconnected" {
			ended.Store(true)
		}
		return nil
	})
	newMesh := func(name string, handler log.Handler) *Mesh {
		return New(WithName(name, "c", 1), WithHeartbeat(50*time.Millisecond, time.Second), WithLog(&log.Logger{Handler: handler, Level: log.InfoLevel}))
	}
	client, server = newMesh("a", logs), newMesh("b", discard.New())
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	defer func() { _ = listener.Close() }()
	dialled, err := net.Dial("tcp", listener.Addr().String())
	Expect(err).NotTo(HaveOccurred())
	accepted, err := listener.Accept()
	Expect(err).NotTo(HaveOccurred())
	conn = newHeldConn(dialled)
	server.group.Go(func() { server.runServer(accepted) })
	client.group.Go(func() { client.runClient(conn, "b") })
	Eventually(client.Connected, "5s").Should(ContainElement("b"))
	return client, server, conn, ended
}

func closeSessions(m *Mesh, name string) {
	m.mu.Lock()
	l := m.link(name)
	m.mu.Unlock()
	l.close()
}

var _ = Describe("a session that is closed while its connection's receive loop is held up", func() {
	// Guards against a reader that turns without a pause until the receive loop has ended, and takes a core.
	It("ends its reader at once", func() {
		client, server, conn, ended := pair()
		DeferCleanup(func() {
			conn.release()
			client.Close()
			server.Close()
		})
		conn.holding.Store(true)
		go closeSessions(client, "b")
		Eventually(ended.Load, "1s", "20ms").Should(BeTrue())
	})
})

var _ = Describe("sessions on one processor that are closed while the receive loops of their connections are held up", func() {
	// Guards against readers that keep the processor from all else, the receive loops included, until each has been interrupted in its turn.
	It("end their readers at once", func() {
		var closing []func()
		var ended []*atomic.Bool
		for range 60 {
			client, server, conn, isEnded := pair()
			DeferCleanup(func() {
				conn.release()
				client.Close()
				server.Close()
			})
			conn.holding.Store(true)
			closing, ended = append(closing, func() { closeSessions(client, "b") }), append(ended, isEnded)
		}
		before := runtime.GOMAXPROCS(1)
		defer runtime.GOMAXPROCS(before)
		began := time.Now()
		for _, closeSession := range closing {
			go closeSession()
		}
		for _, isEnded := range ended {
			Eventually(isEnded.Load, "10s", "1ms").Should(BeTrue())
		}
		Expect(time.Since(began)).To(BeNumerically("<", time.Second))
	})
})

var _ = Describe("sessions that end in random ways", func() {
	It("leave no goroutine behind", func() {
		before := gleak.Goroutines()
		random := rand.New(rand.NewPCG(1, 0))
		for i := range 200 {
			client, server, conn, _ := pair()
			client.Send("b", &Envelope{Body: &Envelope_Quorum{Quorum: []byte(fmt.Sprint(i))}})
			switch random.IntN(5) {
			case 0:
				_ = conn.Close()
			case 1:
				_ = conn.Conn.(*net.TCPConn).SetLinger(0)
				_ = conn.Conn.Close()
			case 2:
				conn.holding.Store(true)
				go closeSessions(client, "b")
				time.Sleep(time.Duration(random.IntN(5)) * time.Millisecond)
			case 3:
				go closeSessions(server, "a")
			}
			conn.release()
			client.Close()
			server.Close()
		}
		Eventually(gleak.Goroutines, "1s", "50ms").ShouldNot(gleak.HaveLeaked(before))
	})
})
