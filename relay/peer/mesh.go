package peer

import (
	"context"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/samber/oops"
)

// maxQueuedMessages limits the queue of each peer; further messages are dropped, as every protocol on top resends its messages.
const maxQueuedMessages = 1024

// maxBackoff is the longest delay between two attempts to connect.
const maxBackoff = 2 * time.Second

// Message is a message received from a peer; From and Boot identify the sender's incarnation.
type Message struct {
	From string
	Boot uint64
	Body *Envelope
}

// Counters are the totals since the mesh was created. Sent counts the messages that were queued, which can still be dropped and then
// count as Dropped too. Bytes counts both directions; Replaced counts the sessions that were added to a link that already had one.
type Counters struct {
	Sent     atomic.Int64
	Received atomic.Int64
	Bytes    atomic.Int64
	Dropped  atomic.Int64
	Replaced atomic.Int64
}

// Mesh exchanges messages with other VMs over one link per VM.
type Mesh struct {
	name           string
	centre         string
	boot           uint64
	address        netip.AddrPort
	heartbeat      time.Duration
	sessionTimeout time.Duration
	// heartbeatSpacing returns the number of intervals between two heartbeats to a peer.
	heartbeatSpacing func(name string) int
	receive          func(Message)
	log              log.Interface
	counters         Counters
	bounds           Bounds
	// dialTCP is the function of WithDial.
	dialTCP func(context.Context, netip.AddrPort) (net.Conn, error)

	ctx    context.Context
	cancel context.CancelFunc
	group  sync.WaitGroup

	mu    sync.Mutex
	links map[string]*link
}

// Option configures a Mesh.
type Option func(*Mesh)

// WithName sets this VM's name, data centre and boot number, which the handshake sends to peers.
func WithName(name, centre string, boot uint64) Option {
	return func(m *Mesh) { m.name, m.centre, m.boot = name, centre, boot }
}

// WithAddress sets the address that Listen binds.
func WithAddress(address netip.AddrPort) Option { return func(m *Mesh) { m.address = address } }

// WithHeartbeat sets the heartbeat interval and the timeout after which a session without an answer to its heartbeat is closed;
// the defaults are 1 s and 3 s.
func WithHeartbeat(interval, sessionTimeout time.Duration) Option {
	return func(m *Mesh) { m.heartbeat, m.sessionTimeout = interval, sessionTimeout }
}

// WithHeartbeatSpacing sets the function that returns the number of intervals between two heartbeats to a peer, which is asked before
// each one; the default is 1 for all. A silent session to a peer is noticed later by as many intervals.
func WithHeartbeatSpacing(spacing func(name string) int) Option {
	return func(m *Mesh) { m.heartbeatSpacing = spacing }
}

// WithReceive sets the callback for received messages. It is called from one goroutine per session and must not block for long.
func WithReceive(receive func(Message)) Option { return func(m *Mesh) { m.receive = receive } }

// Bounds limit what clients of the peers' listener occupy.
type Bounds struct {
	// Listen bounds the connections of a listener, and Admit exempts one of them whose client has completed the handshake.
	Listen func(net.Listener) net.Listener
	Admit  func(net.Conn)
	// Hold reports whether there is memory for bytes of a message that comes on a connection, and Release returns all of the message's.
	Hold    func(conn net.Conn, bytes int) bool
	Release func(net.Conn)
}

// WithBounds sets the bounds of the peers' listener; by default there are none.
func WithBounds(b Bounds) Option { return func(m *Mesh) { m.bounds = b } }

// WithDial replaces the TCP dialer of the sessions to other VMs.
func WithDial(dial func(context.Context, netip.AddrPort) (net.Conn, error)) Option {
	return func(m *Mesh) { m.dialTCP = dial }
}

// WithLog sets the logger; the default is the global one of the log package.
func WithLog(logger log.Interface) Option { return func(m *Mesh) { m.log = logger } }

// New returns a mesh that is not yet listening.
func New(options ...Option) *Mesh {
	m := &Mesh{
		heartbeat: time.Second, sessionTimeout: 3 * time.Second, receive: func(Message) {}, log: log.Log, links: map[string]*link{},
		heartbeatSpacing: func(string) int { return 1 },
		bounds: Bounds{
			Listen: func(l net.Listener) net.Listener { return l }, Admit: func(net.Conn) {}, Hold: func(net.Conn, int) bool { return true }, Release: func(net.Conn) {},
		},
	}
	m.dialTCP = func(ctx context.Context, address netip.AddrPort) (net.Conn, error) {
		dialer := net.Dialer{Timeout: m.sessionTimeout}
		return dialer.DialContext(ctx, "tcp", address.String())
	}
	for _, option := range options {
		option(m)
	}
	m.ctx, m.cancel = context.WithCancel(context.Background())
	return m
}

// Counters returns the mesh's counters, which it keeps updating.
func (m *Mesh) Counters() *Counters { return &m.counters }

// Listen starts to accept sessions from other VMs until Close is called.
func (m *Mesh) Listen() error {
	var config net.ListenConfig
	listener, err := config.Listen(m.ctx, "tcp", m.address.String())
	if err != nil {
		return oops.With("address", m.address).Hint("choose a free address in listeners.peers").Wrapf(err, "cannot listen for peers")
	}
	listener = m.bounds.Listen(listener)
	context.AfterFunc(m.ctx, func() { _ = listener.Close() })
	m.group.Go(func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			m.group.Go(func() { m.runServer(conn) })
		}
	})
	return nil
}

// Connect starts to dial a VM whenever no session to it is open, until Disconnect or Close is called.
func (m *Mesh) Connect(name string, address netip.AddrPort) {
	if name == m.name {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	l := m.link(name)
	if l.dialling {
		return
	}
	l.dialling = true
	ctx, cancel := context.WithCancel(m.ctx)
	l.cancelDial = cancel
	m.group.Go(func() { m.dial(ctx, l, address) })
}

// Disconnect stops dialling a VM that has left the system. An open session stays until the peer closes it or its heartbeat
// fails.
func (m *Mesh) Disconnect(name string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if l, ok := m.links[name]; ok && l.dialling {
		l.dialling = false
		l.cancelDial()
	}
}

// Send queues a message; it drops and counts the message if no session is open or the queue is full.
func (m *Mesh) Send(to string, envelope *Envelope) { m.Broadcast([]string{to}, envelope) }

// Broadcast queues a message to several VMs like Send; it is encoded once.
func (m *Mesh) Broadcast(to []string, envelope *Envelope) {
	var frame []byte
	for _, name := range to {
		m.mu.Lock()
		l, ok := m.links[name]
		m.mu.Unlock()
		if ok && frame == nil {
			// Only invalid UTF-8 in a string field makes an envelope that can't be encoded; it counts as dropped.
			frame, _ = encodeMessage(envelope)
		}
		if !ok || frame == nil || !l.enqueue(frame) {
			m.counters.Dropped.Add(1)
			continue
		}
		m.counters.Sent.Add(1)
	}
}

// Connected returns the names of the VMs with an open session, in no particular order.
func (m *Mesh) Connected() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	var names []string
	for name, l := range m.links {
		if l.current() != nil {
			names = append(names, name)
		}
	}
	return names
}

// Close ends all sessions and waits for the mesh's goroutines.
func (m *Mesh) Close() {
	m.cancel()
	m.mu.Lock()
	for _, l := range m.links {
		l.close()
	}
	m.mu.Unlock()
	m.group.Wait()
}

// link returns the link to a VM and creates it if there is none. The caller must hold m.mu.
func (m *Mesh) link(name string) *link {
	l, ok := m.links[name]
	if !ok {
		l = &link{name: name, queue: make(chan []byte, maxQueuedMessages)}
		m.links[name] = l
		m.group.Go(func() { m.writeLoop(l) })
	}
	return l
}

func (m *Mesh) dial(ctx context.Context, l *link, address netip.AddrPort) {
	backoff := m.heartbeat / 4
	for ctx.Err() == nil {
		if l.current() != nil {
			if !sleep(ctx, m.heartbeat) {
				return
			}
			continue
		}
		conn, err := m.dialTCP(ctx, address)
		if err == nil {
			backoff = m.heartbeat / 4
			m.runClient(conn, l.name)
		}
		// Full jitter spreads out the dials when many VMs restart at the same time.
		if !sleep(ctx, time.Duration(rand.Int64N(int64(backoff))+1)) {
			return
		}
		backoff = min(2*backoff, maxBackoff)
	}
}

// sleep reports false if ctx ends before d has passed.
func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
