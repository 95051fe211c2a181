package connection

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// dialTime limits the set-up of a connection: a few round trips between regions and a lost first packet.
	dialTime = 1500 * time.Millisecond
	// idleTime is how long a connection is kept when the upstream does not say how long it keeps it.
	idleTime = 20 * time.Second
	// idleMargin is taken off the upstream's own idle time, so that a request does not cross its close.
	idleMargin = time.Second
	// unackedTime is how long the kernel waits for sent bytes to be acknowledged before it fails the connection: upstreams
	// in other regions answer within tens of milliseconds, and a lost packet is sent again within that.
	unackedTime = 2 * time.Second
	// keepAlive is the idle time after which the kernel probes a connection that may have gone silent.
	keepAlive = 3 * time.Second
	// maxIdle bounds the kept connections to one upstream.
	maxIdle = 64
)

// Counters are the pool's counts for the metrics.
type Counters struct {
	Dialled, Reused, Stale, Foreign, Trailing uint64
}

// Pool keeps the connections to all upstreams of a VM.
type Pool struct {
	dial func(context.Context, netip.AddrPort) (net.Conn, error)
	now  func() time.Time

	mu       sync.Mutex
	idle     map[netip.AddrPort][]*channel
	open     map[netip.AddrPort]int
	heard    map[netip.AddrPort]*atomic.Int64
	counters Counters
}

// Option configures a Pool.
type Option func(*Pool)

// WithDial sets how connections are set up.
func WithDial(dial func(context.Context, netip.AddrPort) (net.Conn, error)) Option {
	return func(p *Pool) { p.dial = dial }
}

// WithNow sets the clock.
func WithNow(now func() time.Time) Option { return func(p *Pool) { p.now = now } }

// NewPool returns a pool without connections.
func NewPool(options ...Option) *Pool {
	p := &Pool{dial: dialTCP, now: time.Now, idle: map[netip.AddrPort][]*channel{}, open: map[netip.AddrPort]int{}, heard: map[netip.AddrPort]*atomic.Int64{}}
	for _, option := range options {
		option(p)
	}
	return p
}

func dialTCP(ctx context.Context, address netip.AddrPort) (net.Conn, error) {
	dialer := &net.Dialer{Timeout: dialTime, KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: keepAlive, Interval: time.Second, Count: 2}}
	conn, err := dialer.DialContext(ctx, "tcp", address.String())
	if err != nil {
		return nil, err
	}
	limitUnacked(conn, unackedTime)
	return conn, nil
}

// Counters returns the counts so far.
func (p *Pool) Counters() Counters {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.counters
}

// Open returns the number of connections to an upstream, kept and in use.
func (p *Pool) Open(address netip.AddrPort) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.open[address]
}

// Heard returns when bytes last came from an upstream on any connection; zero if none did.
func (p *Pool) Heard(address netip.AddrPort) time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	if heard := p.heard[address]; heard != nil && heard.Load() > 0 {
		return time.Unix(0, heard.Load())
	}
	return time.Time{}
}

// take returns a kept connection that is still usable, the most recently used first, or nil.
func (p *Pool) take(address netip.AddrPort) *channel {
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
		if p.now().Before(c.expires) && c.quiet() {
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

// obtain returns a kept connection or a new one.
func (p *Pool) obtain(ctx context.Context, address netip.AddrPort, fresh bool) (*channel, error) {
	if !fresh {
		if c := p.take(address); c != nil {
			return c, nil
		}
	}
	conn, err := p.dial(ctx, address)
	if err != nil {
		return nil, &NotSent{Cause: err}
	}
	p.mu.Lock()
	p.open[address]++
	p.counters.Dialled++
	heard := p.heard[address]
	if heard == nil {
		heard = &atomic.Int64{}
		p.heard[address] = heard
	}
	p.mu.Unlock()
	return newChannel(p, address, conn, heard), nil
}

// keep takes a connection back after a complete answer.
func (p *Pool) keep(c *channel, idle time.Duration) {
	if idle <= 0 {
		idle = idleTime + idleMargin
	}
	c.expires = p.now().Add(idle - idleMargin)
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.idle[c.address]) >= maxIdle || !p.now().Before(c.expires) {
		p.drop(c)
		return
	}
	p.idle[c.address] = append(p.idle[c.address], c)
}

// drop closes a connection; the lock is held.
func (p *Pool) drop(c *channel) {
	if c.closed {
		return
	}
	c.closed = true
	_ = c.conn.Close()
	if p.open[c.address]--; p.open[c.address] <= 0 {
		delete(p.open, c.address)
	}
}

// Forget closes the kept connections to an upstream that is gone or whose connections went silent.
func (p *Pool) Forget(address netip.AddrPort) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.idle[address] {
		p.drop(c)
	}
	delete(p.idle, address)
	delete(p.heard, address)
}

// Prune closes the kept connections whose time has passed; call it every few seconds.
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
				p.drop(c)
			}
		}
		if len(kept) == 0 {
			delete(p.idle, address)
		} else {
			p.idle[address] = kept
		}
	}
}

// Close closes all kept connections.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, list := range p.idle {
		for _, c := range list {
			p.drop(c)
		}
		delete(p.idle, address)
	}
}
