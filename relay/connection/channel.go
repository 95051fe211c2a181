package connection

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/netip"
	"sync/atomic"
	"syscall"
	"time"
)

// channel is one connection to an upstream.
type channel struct {
	pool    *Pool
	address netip.AddrPort
	conn    net.Conn
	reader  *bufio.Reader
	expires time.Time
	closed  bool
	heard   *atomic.Int64
	// used says that the connection carried a request before.
	used bool
}

func newChannel(p *Pool, address netip.AddrPort, conn net.Conn, heard *atomic.Int64) *channel {
	c := &channel{pool: p, address: address, conn: conn, heard: heard}
	c.reader = bufio.NewReaderSize(c, readBuffer)
	return c
}

// readBuffer is the size in bytes of a connection's buffer.
const readBuffer = 4096

// Read reads from the connection and notes that the upstream was heard.
func (c *channel) Read(into []byte) (int, error) {
	n, err := c.conn.Read(into)
	if n > 0 {
		c.heard.Store(c.pool.now().UnixNano())
	}
	return n, err
}

func (c *channel) close() {
	c.pool.mu.Lock()
	defer c.pool.mu.Unlock()
	c.pool.drop(c)
}

// quiet reports whether an idle connection is open and has nothing to read. It reads from the descriptor without waiting: an
// upstream that closed the connection, or sent bytes that belong to no request, is found before the next request leaves.
func (c *channel) quiet() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	raw, ok := c.conn.(syscall.Conn)
	if !ok {
		return true
	}
	access, err := raw.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = access.Read(func(descriptor uintptr) bool {
		var one [1]byte
		_, err := syscall.Read(int(descriptor), one[:])
		quiet = errors.Is(err, syscall.EAGAIN) || errors.Is(err, syscall.EWOULDBLOCK)
		return true
	})
	return err == nil && quiet
}

// limitUnacked sets TCP_USER_TIMEOUT, where the connection is a TCP one.
func limitUnacked(conn net.Conn, limit time.Duration) {
	raw, ok := conn.(syscall.Conn)
	if !ok {
		return
	}
	access, err := raw.SyscallConn()
	if err != nil {
		return
	}
	const tcpUserTimeout = 18
	// A kernel without the option keeps its own, longer, limit.
	_ = access.Control(func(descriptor uintptr) {
		_ = syscall.SetsockoptInt(int(descriptor), syscall.IPPROTO_TCP, tcpUserTimeout, int(limit.Milliseconds()))
	})
}

var _ io.Reader = (*Answer)(nil)
