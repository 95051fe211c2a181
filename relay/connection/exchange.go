package connection

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"time"
)

// inlineBody is the largest body in bytes that is written before the answer is read; it fits into a socket's buffers.
const inlineBody = 4096

// maxForeign bounds the answers to other requests that are skipped on one connection.
const maxForeign = 3

// maxSkipped bounds the bytes of one skipped answer.
const maxSkipped = 1 << 20

// NotSent is the error of a request of which no byte left.
type NotSent struct{ Cause error }

// Error implements error.
func (e *NotSent) Error() string { return "the request was not sent: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *NotSent) Unwrap() error { return e.Cause }

// ErrEnded is the error of a connection that ended before the answer's header.
var ErrEnded = errors.New("the connection ended before an answer")

// Request is one request to an upstream; it is sent as it is given, with the standard framing headers added.
type Request struct {
	Method string
	// Target is path and query as they stand in the request line.
	Target string
	Host   string
	Header http.Header
	Body   []byte
	// Owns reports whether an answer's header belongs to this request; nil takes every answer.
	Owns func(http.Header) bool
	// Fresh asks for a new connection.
	Fresh bool
}

// Answer is an upstream's answer whose body is read from it.
type Answer struct {
	Status int
	Header http.Header
	// Length is the body's length in bytes, or -1 if it is not declared.
	Length int64

	body    io.ReadCloser
	channel *channel
	written chan error
	stop    func() bool
	idle    time.Duration
	reuse   bool
	once    sync.Once
	// Reused reports whether the connection had carried a request before.
	Reused bool
}

// Do sends a request once and returns when the answer's header has arrived. An error other than *NotSent leaves open whether
// the request ran. The context ends the connection, also while the body is read.
func (p *Pool) Do(ctx context.Context, address netip.AddrPort, r *Request) (*Answer, error) {
	c, err := p.obtain(ctx, address, r.Fresh)
	if err != nil {
		return nil, err
	}
	if err := ctx.Err(); err != nil {
		p.keep(c, 0)
		return nil, &NotSent{Cause: err}
	}
	a := &Answer{channel: c, Reused: c.used, written: make(chan error, 1)}
	c.used = true
	a.stop = context.AfterFunc(ctx, func() { _ = c.conn.SetDeadline(time.Unix(1, 0)) })
	if err := a.send(r); err != nil {
		a.discard()
		return nil, err
	}
	if err := a.receive(r); err != nil {
		a.discard()
		if cause := context.Cause(ctx); cause != nil {
			err = cause
		}
		return nil, err
	}
	return a, nil
}

// send writes the request; a long body is written while the answer is read.
func (a *Answer) send(r *Request) error {
	head := encodeHead(r)
	if len(r.Body) <= inlineBody {
		_, err := a.channel.conn.Write(append(head, r.Body...))
		a.written <- err
		return err
	}
	go func() {
		_, err := a.channel.conn.Write(head)
		if err == nil {
			_, err = a.channel.conn.Write(r.Body)
		}
		a.written <- err
	}()
	return nil
}

// encodeHead returns the request line and header. The body always goes with its length, so that an upstream knows its end.
func encodeHead(r *Request) []byte {
	var b bytes.Buffer
	b.Grow(1024)
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\n", r.Method, r.Target, r.Host)
	// The header's values come from a parsed request or from the product, so they hold no line breaks.
	_ = r.Header.Write(&b)
	if len(r.Body) > 0 || r.Method == http.MethodPost || r.Method == http.MethodPut || r.Method == http.MethodPatch {
		b.WriteString("Content-Length: " + strconv.Itoa(len(r.Body)) + "\r\n")
	}
	b.WriteString("\r\n")
	return b.Bytes()
}

// receive reads headers until one belongs to the request.
func (a *Answer) receive(r *Request) error {
	request := &http.Request{Method: r.Method}
	for foreign := 0; ; {
		response, err := http.ReadResponse(a.channel.reader, request)
		if err != nil {
			if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
				return fmt.Errorf("%w: %w", ErrEnded, err)
			}
			return err
		}
		if response.StatusCode >= 100 && response.StatusCode < 200 {
			continue
		}
		if r.Owns != nil && !r.Owns(response.Header) {
			a.channel.pool.count(func(n *Counters) { n.Foreign++ })
			if foreign++; foreign > maxForeign || response.ContentLength < 0 && len(response.TransferEncoding) == 0 {
				return fmt.Errorf("%d answers to other requests came on the connection", foreign)
			}
			if n, err := io.Copy(io.Discard, io.LimitReader(response.Body, maxSkipped)); err != nil || n == maxSkipped {
				return fmt.Errorf("an answer to another request did not end: %w", errors.Join(err, ErrEnded))
			}
			continue
		}
		a.Status, a.Header, a.Length, a.body = response.StatusCode, response.Header, response.ContentLength, response.Body
		a.reuse = !response.Close
		a.idle = keepAliveTime(response.Header)
		return nil
	}
}

// keepAliveTime returns how long the upstream says that it keeps an idle connection, or 0.
func keepAliveTime(h http.Header) time.Duration {
	for _, part := range strings.Split(h.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if strings.EqualFold(name, "timeout") {
			if seconds, err := strconv.ParseFloat(value, 64); err == nil && seconds > 0 {
				return time.Duration(seconds * float64(time.Second))
			}
		}
	}
	return 0
}

// Read reads the body; io.EOF comes only after the whole body.
func (a *Answer) Read(into []byte) (int, error) {
	n, err := a.body.Read(into)
	if errors.Is(err, io.EOF) {
		a.finish()
	}
	return n, err
}

// finish gives the connection back once the answer is complete and the request's body is written.
func (a *Answer) finish() {
	a.once.Do(func() {
		stopped := a.stop()
		var err error
		select {
		case err = <-a.written:
		default:
			// The upstream answered without reading the body: what it would read next on this connection is not known.
			err = ErrEnded
		}
		trailing := a.channel.reader.Buffered() > 0
		if trailing {
			a.channel.pool.count(func(n *Counters) { n.Trailing++ })
		}
		if !stopped || err != nil || !a.reuse || trailing {
			a.channel.close()
			return
		}
		a.channel.pool.keep(a.channel, a.idle)
	})
}

// Close ends the exchange; an answer that was not read to its end takes its connection with it.
func (a *Answer) Close() { a.discard() }

func (a *Answer) discard() {
	a.once.Do(func() {
		a.stop()
		a.channel.close()
	})
}

// Buffered returns a reader of the body for line-wise reading.
func (a *Answer) Buffered() *bufio.Reader { return bufio.NewReaderSize(a, 2048) }
