package callers

import (
	"bytes"
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/chicoryrelay/chicoryrelay/relay/outcome"
)

// phase is what a connection's next bytes are.
type phase uint8

const (
	// inHead covers the time between two requests too.
	inHead phase = iota
	// afterHead lasts until the handler has told the length of the body.
	afterHead
	// inBody is a body of known length, inUnknown one whose end the wrapper does not see.
	inBody
	inUnknown
)

// refusalTimeout limits the write of a refusal to a client whose head does not fit.
const refusalTimeout = 200 * time.Millisecond

// conn is a client's connection. Its reads come from one goroutine at a time, which may be another than the handler's.
type conn struct {
	net.Conn
	guard *Guard
	id    ID
	// raw is set on a connection that does not carry HTTP.
	raw bool
	// grant carries the answer to the reservation that waits.
	grant     chan bool
	closeOnce sync.Once
	// requests counts the requests that have begun and ended, under the guard's lock. It is odd while one is in progress.
	requests uint64

	mu    sync.Mutex
	phase phase
	// serving is set while a handler has a request. Then only single bytes are read, by which net/http notices the end of the connection,
	// and a refusal would get into the answer.
	serving bool
	scanner headScanner
	// pending are bytes that were read and not passed on.
	pending []byte
	// left is the rest of a body of known length, extra what was passed on beyond a head before its handler began.
	left, extra int64
	// tail are the last bytes that were passed on in the phases afterHead and inUnknown.
	tail [4]byte
}

// answer answers the reservation that waits, if there is one.
func (c *conn) answer(granted bool) {
	select {
	case c.grant <- granted:
	default:
	}
}

// reserve charges memory, and waits for it for maxWait at most.
func (c *conn) reserve(h Holder, size int64) bool { return c.reserveWithin(h, size, maxWait) }

func (c *conn) reserveWithin(h Holder, size int64, limit time.Duration) bool {
	g := c.guard
	var verdict Verdict
	g.update(func(core *Core, now time.Duration) (closed, _ []ID) {
		if verdict, closed = core.Reserve(now, c.id, h, size); verdict == Waiting {
			// An answer that nobody waited for belongs to an earlier reservation.
			select {
			case <-c.grant:
			default:
			}
		}
		return closed, nil
	})
	if verdict != Waiting {
		return verdict == Granted
	}
	deadline := time.NewTimer(limit)
	defer deadline.Stop()
	ticker := time.NewTicker(retryInterval)
	defer ticker.Stop()
	for {
		select {
		case granted := <-c.grant:
			return granted
		case <-ticker.C:
			g.update(func(core *Core, now time.Duration) ([]ID, []ID) { return core.Retry(now, c.id), nil })
		case <-deadline.C:
			g.update(func(core *Core, _ time.Duration) ([]ID, []ID) { return nil, core.Abandon(c.id) })
			select {
			case granted := <-c.grant:
				// The answer came in the last moment.
				return granted
			default:
				return false
			}
		}
	}
}

// force charges memory that can't be refused.
func (c *conn) force(h Holder, size int64) {
	c.guard.update(func(core *Core, now time.Duration) ([]ID, []ID) { return core.Force(now, c.id, h, size), nil })
}

func (c *conn) release(h Holder, size int64) {
	c.guard.update(func(core *Core, _ time.Duration) ([]ID, []ID) { return nil, core.Release(c.id, h, size) })
}

func (c *conn) enter(stage Stage) {
	c.guard.update(func(core *Core, now time.Duration) ([]ID, []ID) {
		core.Enter(now, c.id, stage)
		return nil, nil
	})
}

// Read implements net.Conn. It charges the bytes of a head before it passes them on, and waits for their memory.
func (c *conn) Read(p []byte) (int, error) {
	c.mu.Lock()
	n := copy(p, c.pending)
	c.pending = c.pending[n:]
	c.mu.Unlock()
	var err error
	if n == 0 {
		if n, err = c.Conn.Read(p); n == 0 {
			return 0, err
		}
	}
	if c.raw {
		return c.readRaw(n, err)
	}
	c.mu.Lock()
	size, cost, began := c.pass(p[:n])
	serving := c.serving || len(p) == 1
	if size < n {
		// The next read of the connection returns the error again.
		c.pending, err = append(bytes.Clone(p[size:n]), c.pending...), nil
	}
	c.mu.Unlock()
	if began {
		c.enter(Head)
	}
	switch {
	case cost == 0:
	case serving:
		// While a handler runs, net/http reads a single byte to notice the end of the connection. It must not wait for memory, nor be
		// refused: the refusal would stand in the place of the answer of the request that runs.
		c.force(Heads, cost)
	case !c.reserve(Heads, cost):
		c.refuseHead()
		return 0, errClosed
	}
	return size, err
}

// readRaw charges what a client sends before it has shown to be another VM.
func (c *conn) readRaw(n int, err error) (int, error) {
	c.guard.mu.Lock()
	stage, open := c.guard.core.Stage(c.id)
	c.guard.mu.Unlock()
	if stage == Exempt || err != nil {
		return n, err
	}
	if !open || !c.reserve(Heads, int64(n)*byteCost) {
		return 0, errClosed
	}
	return n, nil
}

// pass returns how many bytes of a text to pass on now, their cost as a part of a head, and whether a head begins with them.
func (c *conn) pass(text []byte) (size int, cost int64, began bool) {
	switch c.phase {
	case inBody:
		size = int(min(int64(len(text)), c.left))
		if c.left -= int64(size); c.left == 0 {
			c.phase = inHead
		}
		return size, 0, false
	case inUnknown:
		c.keepTail(text)
		return len(text), 0, false
	case afterHead:
		c.extra += int64(len(text))
		c.keepTail(text)
		// The body of a request that reaches no handler, or a byte that net/http reads to notice the end of the connection.
		return len(text), linesCost(len(text), bytes.Count(text, []byte{'\n'})), false
	}
	began = !c.scanner.started && c.scanner.length == 0
	size, lines, ended := c.scanner.scan(text)
	if ended {
		c.phase, c.extra, c.tail = afterHead, 0, [4]byte{}
	}
	return size, linesCost(size, lines), began
}

func (c *conn) keepTail(text []byte) {
	both := append(c.tail[:], text[max(0, len(text)-len(c.tail)):]...)
	copy(c.tail[:], both[len(both)-len(c.tail):])
}

// begin records that a handler has got a request, and returns the request for the handler, whose body is charged. It reports false if its
// memory does not fit. The server's own request keeps its body, by whose type the server decides what to do with the rest of it.
func (c *conn) begin(server *http.Request) (*http.Request, bool) {
	var number uint64
	c.guard.update(func(*Core, time.Duration) ([]ID, []ID) {
		c.requests |= 1
		number = c.requests
		return nil, nil
	})
	r := server.WithContext(context.WithValue(server.Context(), requestKey{}, number))
	c.mu.Lock()
	// A head that came in one read with a body of unknown length was not counted.
	counted := c.phase == afterHead
	c.serving = true
	switch {
	case r.ContentLength == 0 && counted && c.extra == 0:
		c.phase = inHead
	case r.ContentLength == 0 && counted && c.extra == 1:
		// Without a body, net/http reads one byte of the next head before it calls the handler.
		c.phase, c.scanner = inHead, headScanner{}
		c.scanner.scan(c.tail[len(c.tail)-1:])
	case r.ContentLength > c.extra && counted:
		c.phase, c.left = inBody, r.ContentLength-c.extra
	case r.ContentLength > 0 && r.ContentLength == c.extra && counted:
		c.phase = inHead
	default:
		c.phase = inUnknown
	}
	c.mu.Unlock()
	stage := Body
	if r.Body == nil || r.Body == http.NoBody {
		stage = Running
	} else {
		r.Body = &body{ReadCloser: r.Body, conn: c}
	}
	cost := int64(0)
	if !counted {
		cost = headCost(r.Header)
	}
	c.guard.update(func(core *Core, now time.Duration) (closed, granted []ID) {
		core.Enter(now, c.id, stage)
		core.Expect(c.id, r.ContentLength, now+defaultBodyTime)
		if !counted {
			granted = core.ReleaseAll(c.id, Heads)
		}
		return nil, granted
	})
	return r, (cost == 0 || c.reserve(Heads, cost)) && c.reserve(Answers, requestCost)
}

// headCost returns the memory of a parsed head.
func headCost(h http.Header) (cost int64) {
	for name, values := range h {
		cost += int64(len(name)) * byteCost
		for _, value := range values {
			cost += lineCost + int64(len(value))*byteCost
		}
	}
	return cost
}

// end records that a request has ended and that its connection stays open.
func (c *conn) end() {
	c.mu.Lock()
	unknown := (c.phase == inUnknown || c.phase == afterHead && c.extra > 0) && string(c.tail[:]) != "\r\n\r\n"
	c.serving = false
	if c.phase != inHead {
		c.phase, c.scanner = inHead, headScanner{}
	}
	if unknown {
		c.scanner = resumedScanner(c.tail[:])
	}
	stage := Idle
	if c.scanner.started || c.scanner.length > 0 {
		stage = Head
	}
	c.mu.Unlock()
	c.guard.update(func(core *Core, now time.Duration) (closed, granted []ID) {
		c.requests = (c.requests | 1) + 1
		// A head can't begin in the stage Running.
		core.Enter(now, c.id, Idle)
		core.Enter(now, c.id, stage)
		for _, h := range []Holder{Heads, Bodies, Answers} {
			granted = append(granted, core.ReleaseAll(c.id, h)...)
		}
		if unknown {
			closed = core.Force(now, c.id, Heads, unknownHeadCost)
		}
		return closed, granted
	})
}

// refuseHead answers a client whose head does not fit. No handler has seen the request, so it has not run.
func (c *conn) refuseHead() {
	c.guard.record("head_refused")
	text := Refusal().Body()
	_ = c.SetWriteDeadline(time.Now().Add(refusalTimeout))
	// An error means that the client has left, or that the connection was closed to free memory.
	_, _ = fmt.Fprintf(c.Conn, "HTTP/1.1 503 Service Unavailable\r\nContent-Type: application/json\r\nRetry-After: %g\r\nConnection: close\r\nContent-Length: %d\r\n\r\n%s", retryAfter.Seconds(), len(text), text)
}

// retryAfter is the Retry-After of refusals: by then bodies that have come to a halt are closed.
const retryAfter = stallTime

// Refusal returns the refusal of a request that does not fit into the memory for callers and has not run.
func Refusal() *outcome.Refusal {
	refusal := outcome.Refuse(outcome.Overloaded, "this VM's memory is occupied by other requests; send the request again after the time in Retry-After").WithCause(ErrNoMemory)
	refusal.RetryAfter = retryAfter
	return refusal
}

// CloseWrite closes the connection for writing, which net/http does so that a client gets the answer to a request that it goes on to
// send. The error is that of the connection.
func (c *conn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}

// Close implements net.Conn, and releases all that the connection holds.
func (c *conn) Close() error {
	c.closeOnce.Do(func() {
		c.guard.update(func(core *Core, _ time.Duration) ([]ID, []ID) {
			delete(c.guard.conns, c.id)
			return nil, core.Close(c.id)
		})
		c.answer(false)
	})
	return c.Conn.Close()
}

func (c *conn) releaseAll(h Holder) {
	c.guard.update(func(core *Core, _ time.Duration) ([]ID, []ID) { return nil, core.ReleaseAll(c.id, h) })
}
