package connection

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"net/netip"
	"sync/atomic"
	"syscall"
	"time"
)

// pooledConn is one connection to an upstream, idle in the pool or in use by one request.
type pooledConn struct {
	pool         *Pool
	address      netip.AddrPort
	conn         net.Conn
	reader       *bufio.Reader
	expires      time.Time
	closed       bool
	lastReceived *atomic.Int64
	// used is set once the connection has carried a request.
	used bool
	// readingHead is set while response headers are read; headLeft is the number of bytes that may still be received for them, linesLeft
	// that of the lines of the present one.
	readingHead         bool
	headLeft, linesLeft int
}

func newPooledConn(p *Pool, address netip.AddrPort, conn net.Conn, lastReceived *atomic.Int64) *pooledConn {
	c := &pooledConn{pool: p, address: address, conn: conn, lastReceived: lastReceived}
	c.reader = bufio.NewReaderSize(c, readBufferSize)
	return c
}

// readBufferSize is in bytes.
const readBufferSize = 4096

// maxHeadBytes limits the bytes received for the headers of one exchange: those of interim responses and of responses to other
// requests count as well. It bounds the memory that an upstream in trouble can occupy, and is above the headers of usual servers.
const maxHeadBytes = 64 << 10

// maxHeadLines limits the lines received for the header of one response: a short line takes many times its length in memory. What has come
// with the last of them, readBufferSize bytes at most, is parsed too.
const maxHeadLines = 512

// errHeadTooLarge ends an exchange whose response headers exceed maxHeadBytes or maxHeadLines.
var errHeadTooLarge = fmt.Errorf("upstream sent more than %d bytes or %d lines of response headers; check what answers at its address", maxHeadBytes, maxHeadLines)

// beginHead begins to count the lines of a response's header, of which a part may have come with the one before.
func (c *pooledConn) beginHead() { c.readingHead, c.linesLeft = true, maxHeadLines }

// Read reads from the connection and records the time of the last received byte.
func (c *pooledConn) Read(into []byte) (int, error) {
	if c.readingHead {
		if c.headLeft <= 0 || c.linesLeft <= 0 {
			return 0, errHeadTooLarge
		}
		into = into[:min(len(into), c.headLeft)]
	}
	n, err := c.conn.Read(into)
	if c.readingHead {
		c.headLeft -= n
		c.linesLeft -= bytes.Count(into[:n], []byte{'\n'})
	}
	if n > 0 {
		c.lastReceived.Store(c.pool.now().UnixNano())
	}
	return n, err
}

func (c *pooledConn) close() {
	c.pool.mu.Lock()
	defer c.pool.mu.Unlock()
	c.pool.closeLocked(c)
}

// reusable reports whether an idle connection is still open and has no unread bytes. It does a non-blocking read on the file
// descriptor, so that a close by the upstream, or bytes that belong to no request, are detected before the next request is written.
func (c *pooledConn) reusable() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	syscallConn, ok := c.conn.(syscall.Conn)
	if !ok {
		return true
	}
	rawConn, err := syscallConn.SyscallConn()
	if err != nil {
		return false
	}
	reusable := false
	err = rawConn.Read(func(fd uintptr) bool {
		var buf [1]byte
		_, err := syscall.Read(int(fd), buf[:])
		reusable = errors.Is(err, syscall.EAGAIN) || errors.Is(err, syscall.EWOULDBLOCK)
		return true
	})
	return err == nil && reusable
}

// setUserTimeout sets TCP_USER_TIMEOUT; connections without a file descriptor are left unchanged.
func setUserTimeout(conn net.Conn, timeout time.Duration) {
	syscallConn, ok := conn.(syscall.Conn)
	if !ok {
		return
	}
	rawConn, err := syscallConn.SyscallConn()
	if err != nil {
		return
	}
	const tcpUserTimeout = 18
	// The error is ignored: a kernel without the option applies its own, longer timeout.
	_ = rawConn.Control(func(fd uintptr) {
		_ = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(timeout.Milliseconds()))
	})
}

var _ io.Reader = (*Response)(nil)
