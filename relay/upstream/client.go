package upstream

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/chicoryrelay/chicoryrelay/relay/buffer"
	"github.com/chicoryrelay/chicoryrelay/relay/connection"
	"github.com/chicoryrelay/chicoryrelay/relay/pause"
)

// maxIdlePerUpstream limits the idle connections per upstream.
const maxIdlePerUpstream = 64

// defaultMemory is the default of WithMemory in bytes, with room for a service's answer of 8 MiB. Small VMs have about 100 MiB in all.
const defaultMemory = 9 << 20

// ErrTimeout is the cause of a call that was cancelled because nothing was received from the upstream within the timeout.
var ErrTimeout = errors.New("timeout: nothing received from the upstream")

// Client calls upstreams and pools a VM's connections to them. It also records which upstreams are leaving.
type Client struct {
	headerTimeout time.Duration
	readTimeout   time.Duration
	// dialTimeout limits a dial, and the whole fetch of a load report or of the platform's list.
	dialTimeout time.Duration

	// memory bounds what all answers hold together.
	memory *buffer.Pool

	// pauses are the upstreams that want nothing for a while, by address.
	pauses *pause.Registry

	mu         sync.Mutex
	transports map[netip.AddrPort]*http.Transport
	// listedLeaving and reportedLeaving are the leaving upstreams by the platform's list and by the upstreams' own responses.
	listedLeaving   map[netip.AddrPort]bool
	reportedLeaving map[netip.AddrPort]bool
}

// Option configures a Client.
type Option func(*Client)

// WithHeaderTimeout sets the timeout until the first event of a stream, and for a whole call on a Connection; it defaults to 30 s.
func WithHeaderTimeout(limit time.Duration) Option {
	return func(c *Client) { c.headerTimeout = limit }
}

// WithReadTimeout sets the timeout between two events of a stream, and for an idempotent call or a KV cache transfer; it
// defaults to 10 s.
func WithReadTimeout(limit time.Duration) Option { return func(c *Client) { c.readTimeout = limit } }

// WithMemory sets the number of bytes that the answers of all upstreams may hold together, beyond buffer.FreeBytes each; it defaults to
// 9 MiB.
func WithMemory(bytes int64) Option { return func(c *Client) { c.memory = buffer.NewPool(bytes) } }

// New returns a Client without open connections.
func New(options ...Option) *Client {
	c := &Client{
		headerTimeout: 30 * time.Second, readTimeout: 10 * time.Second, dialTimeout: 2 * time.Second,
		memory: buffer.NewPool(defaultMemory), pauses: pause.New(), transports: map[netip.AddrPort]*http.Transport{}, reportedLeaving: map[netip.AddrPort]bool{},
	}
	for _, option := range options {
		option(c)
	}
	return c
}

// transport returns the http.Transport for one upstream. Each upstream has its own, so that after a timeout only its idle
// connections are closed.
func (c *Client) transport(address netip.AddrPort) *http.Transport {
	c.mu.Lock()
	defer c.mu.Unlock()
	if t, ok := c.transports[address]; ok {
		return t
	}
	dialer := &net.Dialer{Timeout: c.dialTimeout}
	t := &http.Transport{
		DialContext: func(ctx context.Context, _, _ string) (net.Conn, error) {
			conn, err := dialer.DialContext(ctx, "tcp", address.String())
			if err != nil {
				return nil, fmt.Errorf("%w: %w", ErrNotSent, err)
			}
			return conn, nil
		},
		MaxIdleConnsPerHost: maxIdlePerUpstream,
		IdleConnTimeout:     60 * time.Second,
		DisableCompression:  true,
		// The default of 10 MB is as much as many concurrent calls must not occupy.
		MaxResponseHeaderBytes: maxHeadBytes,
	}
	c.transports[address] = t
	return t
}

// roundTrip sends a request and returns when the response's header has arrived. The transport passes on any status of three digits; the body
// of a 101 with an upgrade is the connection, whose reads the request's context doesn't end.
func (c *Client) roundTrip(address netip.AddrPort, request *http.Request) (*http.Response, error) {
	response, err := c.transport(address).RoundTrip(request)
	if err != nil {
		return nil, err
	}
	if err := connection.CheckStatus(response.StatusCode); err != nil {
		_ = response.Body.Close()
		// The connection of a response without a body is idle already.
		c.CloseIdle(address)
		return nil, err
	}
	return response, nil
}

// NewText returns a text in the memory of upstreams' answers, for an answer that is held until it is complete.
func (c *Client) NewText() *buffer.Text { return c.memory.NewText() }

// CloseIdle closes the idle connections to an upstream, so that the next call dials a new connection.
func (c *Client) CloseIdle(address netip.AddrPort) { c.transport(address).CloseIdleConnections() }

// Leaving reports whether the latest platform list or the upstream's latest load report or refusal marks it as leaving.
func (c *Client) Leaving(address netip.AddrPort) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.listedLeaving[address] || c.reportedLeaving[address]
}

// Accepts reports whether an upstream is neither leaving nor paused.
func (c *Client) Accepts(address netip.AddrPort) bool {
	return !c.Leaving(address) && c.pauses.Until(address.String()).IsZero()
}

// PausedUntil returns the end of an upstream's pause, or the zero time.
func (c *Client) PausedUntil(address netip.AddrPort) time.Time {
	return c.pauses.Until(address.String())
}

// permit returns ErrNotSent if an upstream wants nothing now. Each request asks it before it is sent.
func (c *Client) permit(address netip.AddrPort) error {
	if err := c.pauses.Permit(address.String()); err != nil {
		return fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	return nil
}

// Header fields by which an upstream speaks of itself in any response.
const (
	leavingHeader    = "Server-Leaving"
	retryAfterHeader = "Retry-After"
)

// observe records what the header of a response says of its upstream: that it leaves, or wants nothing for a while.
func (c *Client) observe(address netip.AddrPort, response *http.Response) {
	if response.Header.Get(leavingHeader) == "1" {
		c.setLeaving(address, true)
	}
	if values := response.Header[retryAfterHeader]; response.StatusCode == http.StatusServiceUnavailable && len(values) == 1 {
		c.pauses.Pause(address.String(), pause.ParseSeconds(values[0]))
	}
}

func (c *Client) setLeaving(address netip.AddrPort, leaving bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if leaving {
		c.reportedLeaving[address] = true
	} else {
		delete(c.reportedLeaving, address)
	}
}

// Close closes all idle connections.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, t := range c.transports {
		t.CloseIdleConnections()
	}
}

// watchdog cancels a call with ErrTimeout unless it is reset within its timeout.
type watchdog struct {
	timer  *time.Timer
	cancel context.CancelCauseFunc
}

func newWatchdog(limit time.Duration, cancel context.CancelCauseFunc) *watchdog {
	w := &watchdog{cancel: cancel}
	w.timer = time.AfterFunc(limit, func() { cancel(ErrTimeout) })
	return w
}

func (w *watchdog) reset(limit time.Duration) { w.timer.Reset(limit) }

func (w *watchdog) stop() {
	w.timer.Stop()
	w.cancel(nil)
}
