package connection

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// dialTimeout allows for a few round trips between regions and one lost SYN.
	dialTimeout = 1500 * time.Millisecond
	// defaultIdleTimeout applies if the upstream sends no Keep-Alive timeout.
	defaultIdleTimeout = 20 * time.Second
	// idleMargin is subtracted from the upstream's idle timeout, so that a request does not race the upstream's close.
	idleMargin = time.Second
	// unackedTimeout is the TCP_USER_TIMEOUT: unacknowledged bytes fail the connection after it. Upstreams in other regions
	// acknowledge within tens of milliseconds, so it leaves time to retransmit lost packets.
	unackedTimeout = 2 * time.Second
	// keepAliveIdle is the idle time before the kernel's first TCP keep-alive probe.
	keepAliveIdle = 3 * time.Second
	// maxIdlePerUpstream limits the idle connections per upstream.
	maxIdlePerUpstream = 64
)

// Counters are the pool's totals since its start, for the metrics. Stale counts idle connections that had expired or were closed by
// the upstream, Foreign the skipped responses to other requests, Trailing the connections closed because bytes followed a response.
type Counters struct {
	Dialled, Reused, Stale, Foreign, Trailing uint64
}

// Pool pools the connections of a VM to all upstreams. It is safe for concurrent use.
type Pool struct {
	dial func(context.Context, netip.AddrPort) (net.Conn, error)
	now  func() time.Time
	// permit and observe are the functions of WithPermit and WithObserver.
	permit  func(upstream string) error
	observe func(upstream string, status int, header http.Header)

	mu           sync.Mutex
	idle         map[netip.AddrPort][]*pooledConn
	open         map[netip.AddrPort]int
	lastReceived map[netip.AddrPort]*atomic.Int64
	counters     Counters
}

// Option configures a Pool.
type Option func(*Pool)

// WithDial replaces the TCP dialer.
func WithDial(dial func(context.Context, netip.AddrPort) (net.Conn, error)) Option {
	return func(p *Pool) { p.dial = dial }
}

// WithNow replaces time.Now.
func WithNow(now func() time.Time) Option { return func(p *Pool) { p.now = now } }

// WithPermit sets a function that is asked before each request to an upstream whether it may be sent; its error is returned in a
// NotSentError.
func WithPermit(permit func(upstream string) error) Option {
	return func(p *Pool) { p.permit = permit }
}

// WithObserver sets a function that is called with the status and header of each response of an upstream.
func WithObserver(observe func(upstream string, status int, header http.Header)) Option {
	return func(p *Pool) { p.observe = observe }
}

// NewPool returns a pool without connections.
func NewPool(options ...Option) *Pool {
	p := &Pool{dial: dialTCP, now: time.Now, idle: map[netip.AddrPort][]*pooledConn{}, open: map[netip.AddrPort]int{}, lastReceived: map[netip.AddrPort]*atomic.Int64{}}
	p.permit, p.observe = func(string) error { return nil }, func(string, int, http.Header) {}
	for _, option := range options {
		option(p)
	}
	return p
}

func dialTCP(ctx context.Context, address netip.AddrPort) (net.Conn, error) {
	dialer := &net.Dialer{Timeout: dialTimeout, KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: keepAliveIdle, Interval: time.Second, Count: 2}}
	conn, err := dialer.DialContext(ctx, "tcp", address.String())
	if err != nil {
		return nil, err
	}
	setUserTimeout(conn, unackedTimeout)
	return conn, nil
}

// permitted returns a NotSentError if a request may not be sent to its upstream now.
func (p *Pool) permitted(r *Request) error {
	if r.Upstream == "" {
		return nil
	}
	if err := p.permit(r.Upstream); err != nil {
		return &NotSentError{Cause: err}
	}
	return nil
}

// Counters returns a copy of the pool's counters.
func (p *Pool) Counters() Counters {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.counters
}

// Open returns the number of open connections to an upstream, idle and in use.
func (p *Pool) Open(address netip.AddrPort) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.open[address]
}

// LastReceived returns when bytes were last received from an upstream on any connection, or the zero time.
func (p *Pool) LastReceived(address netip.AddrPort) time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	if lastReceived := p.lastReceived[address]; lastReceived != nil && lastReceived.Load() > 0 {
		return time.Unix(0, lastReceived.Load())
	}
	return time.Time{}
}

// takeIdle removes and returns the most recently used idle connection that is reusable, or nil. It closes stale ones.
func (p *Pool) takeIdle(address netip.AddrPort) *pooledConn {
	for {
		p.mu.Lock()
		list := p.idle[address]
		if len(list) == 0 {
			p.mu.Unlock()
			return nil
		}
		c := list[len(list)-1]
		p.idle[address] = list[:len(list)-1]
		p.mu.Unlock()
		if p.now().Before(c.expires) && c.reusable() {
			p.count(func(n *Counters) { n.Reused++ })
			return c
		}
		p.count(func(n *Counters) { n.Stale++ })
		c.close()
	}
}

func (p *Pool) count(add func(*Counters)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	add(&p.counters)
}

// getConn returns an idle connection, or a new one if there is none or forceNew is set.
func (p *Pool) getConn(ctx context.Context, address netip.AddrPort, forceNew bool) (*pooledConn, error) {
	if !forceNew {
		if c := p.takeIdle(address); c != nil {
			return c, nil
		}
	}
	conn, err := p.dial(ctx, address)
	if err != nil {
		return nil, &NotSentError{Cause: err}
	}
	p.mu.Lock()
	p.open[address]++
	p.counters.Dialled++
	lastReceived := p.lastReceived[address]
	if lastReceived == nil {
		lastReceived = &atomic.Int64{}
		p.lastReceived[address] = lastReceived
	}
	p.mu.Unlock()
	return newPooledConn(p, address, conn, lastReceived), nil
}

// putIdle returns a connection to the pool after a complete response; idle is the upstream's idle timeout, or 0 if unknown.
func (p *Pool) putIdle(c *pooledConn, idle time.Duration) {
	if idle <= 0 {
		idle = defaultIdleTimeout + idleMargin
	}
	c.expires = p.now().Add(idle - idleMargin)
	p.keep(c)
}

// putBack returns a connection to the pool on which nothing was sent since it was taken. A kept one expires when it would have.
func (p *Pool) putBack(c *pooledConn) {
	if c.expires.IsZero() {
		p.putIdle(c, 0)
		return
	}
	p.keep(c)
}

// keep adds a connection to the idle ones until it expires.
func (p *Pool) keep(c *pooledConn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.idle[c.address]) >= maxIdlePerUpstream || !p.now().Before(c.expires) {
		p.closeLocked(c)
		return
	}
	p.idle[c.address] = append(p.idle[c.address], c)
}

// closeLocked closes a connection once; p.mu must be held.
func (p *Pool) closeLocked(c *pooledConn) {
	if c.closed {
		return
	}
	c.closed = true
	_ = c.conn.Close()
	if p.open[c.address]--; p.open[c.address] <= 0 {
		delete(p.open, c.address)
	}
}

// CloseIdle closes the idle connections to an upstream that is gone or no longer responds, and clears its LastReceived time.
func (p *Pool) CloseIdle(address netip.AddrPort) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.idle[address] {
		p.closeLocked(c)
	}
	delete(p.idle, address)
	delete(p.lastReceived, address)
}

// Prune closes the idle connections that have expired; call it every few seconds.
func (p *Pool) Prune() {
	now := p.now()
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, list := range p.idle {
		kept := list[:0]
		for _, c := range list {
			if now.Before(c.expires) {
				kept = append(kept, c)
			} else {
				p.closeLocked(c)
			}
		}
		if len(kept) == 0 {
			delete(p.idle, address)
		} else {
			p.idle[address] = kept
		}
	}
}

// Close closes all idle connections.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, list := range p.idle {
		for _, c := range list {
			p.closeLocked(c)
		}
		delete(p.idle, address)
	}
}
