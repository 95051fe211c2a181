package peer_test

import (
	"net"
	"net/netip"
	"sync"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// forwarder is a TCP proxy to one address that can stall its open connections.
type forwarder struct {
	listener net.Listener
	target   netip.AddrPort

	mu       sync.Mutex
	conns    []net.Conn
	stalled  chan struct{}
	accepted int
}

func newForwarder(target netip.AddrPort) *forwarder {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	f := &forwarder{listener: listener, target: target, stalled: make(chan struct{})}
	go f.serve()
	DeferCleanup(f.close)
	return f
}

func (f *forwarder) address() netip.AddrPort {
	return netip.MustParseAddrPort(f.listener.Addr().String())
}

func (f *forwarder) serve() {
	for {
		client, err := f.listener.Accept()
		if err != nil {
			return
		}
		server, err := net.Dial("tcp", f.target.String())
		if err != nil {
			_ = client.Close()
			continue
		}
		f.mu.Lock()
		f.accepted++
		f.conns = append(f.conns, client, server)
		stalled := f.stalled
		f.mu.Unlock()
		go forward(client, server, stalled)
		go forward(server, client, stalled)
	}
}

// forward copies bytes until the source ends; once stalled it stops copying and leaves both connections open.
func forward(from, to net.Conn, stalled chan struct{}) {
	buffer := make([]byte, 4096)
	for {
		n, err := from.Read(buffer)
		select {
		case <-stalled:
			return
		default:
		}
		if err != nil {
			_ = to.Close()
			return
		}
		if _, err := to.Write(buffer[:n]); err != nil {
			_ = from.Close()
			return
		}
	}
}

// stall stops the traffic of the open connections without closing them; connections accepted later work.
func (f *forwarder) stall() {
	f.mu.Lock()
	defer f.mu.Unlock()
	close(f.stalled)
	f.stalled = make(chan struct{})
}

func (f *forwarder) connections() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.accepted
}

func (f *forwarder) close() {
	_ = f.listener.Close()
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, conn := range f.conns {
		_ = conn.Close()
	}
}
