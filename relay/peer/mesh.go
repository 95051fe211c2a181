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

// queued bounds the messages that wait for one VM; more are dropped, since every protocol above repeats itself.
const queued = 1024

// maxBackoff bounds the time between two attempts to connect.
const maxBackoff = 2 * time.Second

// Message is one received message.
type Message struct {
	From string
	Boot uint64
	Body *Envelope
}

// Counters are the mesh's counts for the metrics.
type Counters struct {
	Sent     atomic.Int64
	Received atomic.Int64
	Bytes    atomic.Int64
	Dropped  atomic.Int64
	Replaced atomic.Int64
}

// Mesh keeps a session to each VM that it exchanges messages with.
type Mesh struct {
	name      string
	centre    string
	boot      uint64
	address   netip.AddrPort
	heartbeat time.Duration
	silence   time.Duration
	receive   func(Message)
	log       log.Interface
	counters  Counters

	ctx    context.Context
	cancel context.CancelFunc
	group  sync.WaitGroup

	mu    sync.Mutex
	links map[string]*link
}

// Option configures a Mesh.
type Option func(*Mesh)

// WithName sets the VM's name, data centre and boot number.
func WithName(name, centre string, boot uint64) Option {
	return func(m *Mesh) { m.name, m.centre, m.boot = name, centre, boot }
}

// WithAddress sets the listener's address.
func WithAddress(address netip.AddrPort) Option { return func(m *Mesh) { m.address = address } }

// WithHeartbeat sets the interval of heartbeats and how long a session may be silent before it is replaced.
func WithHeartbeat(interval, silence time.Duration) Option {
	return func(m *Mesh) { m.heartbeat, m.silence = interval, silence }
}

// WithReceive sets who gets the messages; it is called by one goroutine per session and must not block for long.
func WithReceive(receive func(Message)) Option { return func(m *Mesh) { m.receive = receive } }

// WithLog sets the log.
func WithLog(logger log.Interface) Option { return func(m *Mesh) { m.log = logger } }

// New returns a mesh that is not yet listening.
func New(options ...Option) *Mesh {
	m := &Mesh{
		heartbeat: time.Second, silence: 3 * time.Second, receive: func(Message) {}, log: log.Log, links: map[string]*link{},
	}
	for _, option := range options {
		option(m)
	}
	m.ctx, m.cancel = context.WithCancel(context.Background())
	return m
}

// Counters returns the mesh's counts.
func (m *Mesh) Counters() *Counters { return &m.counters }

// Listen accepts sessions from other VMs.
func (m *Mesh) Listen() error {
	var config net.ListenConfig
	listener, err := config.Listen(m.ctx, "tcp", m.address.String())
	if err != nil {
		return oops.With("address", m.address).Hint("choose a free address in listeners.peers").Wrapf(err, "listen for peers")
	}
	context.AfterFunc(m.ctx, func() { _ = listener.Close() })
	m.group.Go(func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			m.group.Go(func() { m.accept(conn) })
		}
	})
	return nil
}

// Connect keeps a session to a VM from now on.
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
	l.stop = cancel
	m.group.Go(func() { m.dial(ctx, l, address) })
}

// Disconnect stops dialling a VM that has left the system; a session that is open ends by itself.
func (m *Mesh) Disconnect(name string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if l, ok := m.links[name]; ok && l.dialling {
		l.dialling = false
		l.stop()
	}
}

// Send queues a message; it is dropped if there is no session or the queue is full.
func (m *Mesh) Send(to string, body *Envelope) {
	m.mu.Lock()
	l, ok := m.links[to]
	m.mu.Unlock()
	if !ok || !l.push(body) {
		m.counters.Dropped.Add(1)
		return
	}
	m.counters.Sent.Add(1)
}

// Connected returns the names of the VMs that a session is open to.
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

// Close ends all sessions.
func (m *Mesh) Close() {
	m.cancel()
	m.mu.Lock()
	for _, l := range m.links {
		l.close()
	}
	m.mu.Unlock()
	m.group.Wait()
}

func (m *Mesh) link(name string) *link {
	l, ok := m.links[name]
	if !ok {
		l = &link{name: name, queue: make(chan *Envelope, queued)}
		m.links[name] = l
		m.group.Go(func() { m.write(l) })
	}
	return l
}

func (m *Mesh) dial(ctx context.Context, l *link, address netip.AddrPort) {
	backoff := m.heartbeat / 4
	for ctx.Err() == nil {
		if l.current() != nil {
			if !wait(ctx, m.heartbeat) {
				return
			}
			continue
		}
		dialer := net.Dialer{Timeout: m.silence}
		conn, err := dialer.DialContext(ctx, "tcp", address.String())
		if err == nil {
			backoff = m.heartbeat / 4
			m.open(conn, l.name)
		}
		// Full jitter keeps the dials of a herd of restarting VMs apart.
		if !wait(ctx, time.Duration(rand.Int64N(int64(backoff))+1)) {
			return
		}
		backoff = min(2*backoff, maxBackoff)
	}
}

func wait(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
