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

// maxInlineBody is the largest body in bytes that is written before the response is read. It fits into the socket's send buffer,
// so the write does not block; a longer body is written concurrently.
const maxInlineBody = 4096

// maxForeignResponses limits the responses to other requests that are skipped while waiting for one response.
const maxForeignResponses = 3

// maxInterimResponses limits the interim (1xx) responses that are skipped while waiting for one response.
const maxInterimResponses = 8

// maxSkippedBytes limits the body of one skipped response.
const maxSkippedBytes = 1 << 20

// maxUploadWait limits the wait for the rest of a request's body after a response without a length has ended with its connection: an
// upstream may end its side in order and go on reading.
const maxUploadWait = 2 * time.Second

// NotSentError wraps the error of a request of which no byte was written.
type NotSentError struct{ Cause error }

// Error implements error.
func (e *NotSentError) Error() string { return "request not sent: " + e.Cause.Error() }

// Unwrap returns the error that prevented the request from being sent.
func (e *NotSentError) Unwrap() error { return e.Cause }

// ErrClosed means that the connection was closed before a complete response header arrived.
var ErrClosed = errors.New("upstream closed the connection before sending a response")

// Request is one request to an upstream. It is sent unmodified, except for the added Host and Content-Length headers.
type Request struct {
	Method string
	// Target is the request line's path and query, already escaped.
	Target string
	Host   string
	Header http.Header
	Body   []byte
	// Matches reports whether a response's header belongs to this request; nil accepts every response. reused reports that the
	// connection has carried other requests, whose responses the upstream may write once more.
	Matches func(h http.Header, reused bool) bool
	// ForceNew forces a new connection instead of an idle one.
	ForceNew bool
	// BeforeSend, if set, is called with Header immediately before the request is sent: a dial may have taken a while.
	BeforeSend func(http.Header)
	// Upstream is the ID of the upstream that is meant, for the functions of WithPermit and WithObserver; empty for other receivers.
	Upstream string
}

// Response is an upstream's response; Read returns its body.
type Response struct {
	Status int
	Header http.Header
	// Length is the body's length in bytes, or -1 if unknown.
	Length int64

	body       io.ReadCloser
	pooledConn *pooledConn
	writeDone  chan error
	// written is closed once writeDone has the result of the write.
	written     chan struct{}
	stop        func() bool
	idleTimeout time.Duration
	reuse       bool
	once        sync.Once
	// Reused reports whether the connection had carried an earlier request.
	Reused bool
	// Framing is how the body's end is marked.
	Framing Framing
}

// Framing is how the end of a response's body is marked.
type Framing string

// Framings of a response's body.
const (
	// ByLength is a body with a Content-Length, or one that is empty by its status.
	ByLength Framing = "length"
	// ByChunks is a body in chunks, which ends with the last one.
	ByChunks Framing = "chunks"
	// UntilClose is a body with neither: it ends where the upstream closes the connection, so that a body which broke off can look
	// complete. Read takes it as complete only if the request was written as a whole.
	UntilClose Framing = "close"
)

func framingOf(response *http.Response) Framing {
	switch {
	case len(response.TransferEncoding) > 0:
		return ByChunks
	case response.ContentLength >= 0:
		return ByLength
	}
	return UntilClose
}

// Do sends a request once and returns when the response's header has arrived. After an error other than *NotSentError the
// request may have run. Cancelling the context closes the connection, also while the body is read.
func (p *Pool) Do(ctx context.Context, address netip.AddrPort, r *Request) (*Response, error) {
	if err := p.permitted(r); err != nil {
		return nil, err
	}
	c, err := p.getConn(ctx, address, r.ForceNew)
	if err != nil {
		return nil, err
	}
	// A dial takes a while, in which the upstream may have asked for no requests.
	if err := p.permitted(r); err != nil {
		p.putBack(c)
		return nil, err
	}
	if err := ctx.Err(); err != nil {
		p.putBack(c)
		return nil, &NotSentError{Cause: err}
	}
	if r.BeforeSend != nil {
		r.BeforeSend(r.Header)
	}
	resp := &Response{pooledConn: c, Reused: c.used, writeDone: make(chan error, 1), written: make(chan struct{})}
	c.used = true
	resp.stop = context.AfterFunc(ctx, func() { _ = c.conn.SetDeadline(time.Unix(1, 0)) })
	if err := resp.send(r); err != nil {
		resp.discard()
		return nil, err
	}
	if err := resp.readHeader(r); err != nil {
		resp.discard()
		if cause := context.Cause(ctx); cause != nil {
			err = cause
		}
		return nil, err
	}
	return resp, nil
}

// Sent reports whether the whole request was written, so that its body is no longer needed for this attempt.
func (resp *Response) Sent() bool { return len(resp.writeDone) > 0 }

// AfterSent calls a function once the request was written or its writing has failed, at once if that is so already.
func (resp *Response) AfterSent(call func()) {
	if resp.Sent() {
		call()
		return
	}
	go func() {
		<-resp.written
		call()
	}()
}

// send writes the request; a body above maxInlineBody is written concurrently with reading the response.
func (resp *Response) send(r *Request) error {
	head := encodeHead(r)
	if len(r.Body) <= maxInlineBody {
		_, err := resp.pooledConn.conn.Write(append(head, r.Body...))
		resp.writeDone <- err
		close(resp.written)
		return err
	}
	go func() {
		defer close(resp.written)
		_, err := resp.pooledConn.conn.Write(head)
		if err == nil {
			_, err = resp.pooledConn.conn.Write(r.Body)
		}
		resp.writeDone <- err
	}()
	return nil
}

// encodeHead returns the request line and headers. Requests that may have a body carry Content-Length, never chunked encoding.
func encodeHead(r *Request) []byte {
	var b bytes.Buffer
	b.Grow(1024)
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\n", r.Method, r.Target, r.Host)
	// Header values come from a parsed request or from this process, so they contain no line breaks.
	_ = r.Header.Write(&b)
	if len(r.Body) > 0 || r.Method == http.MethodPost || r.Method == http.MethodPut || r.Method == http.MethodPatch {
		b.WriteString("Content-Length: " + strconv.Itoa(len(r.Body)) + "\r\n")
	}
	b.WriteString("\r\n")
	return b.Bytes()
}

// readHeader reads response headers until one belongs to the request; it skips 1xx responses and responses to other requests.
func (resp *Response) readHeader(r *Request) error {
	request := &http.Request{Method: r.Method}
	resp.pooledConn.headLeft = maxHeadBytes
	for foreign, interim := 0, 0; ; {
		resp.pooledConn.beginHead()
		response, err := http.ReadResponse(resp.pooledConn.reader, request)
		resp.pooledConn.readingHead = false
		switch {
		case err == nil:
		case resp.pooledConn.headLeft <= 0:
			// The parser reports a malformed line instead if the limit cuts one.
			return errHeadTooLarge
		case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF):
			return fmt.Errorf("%w: %w", ErrClosed, err)
		default:
			return err
		}
		if err := CheckStatus(response.StatusCode); err != nil {
			return err
		}
		if response.StatusCode < http.StatusOK {
			if interim++; interim > maxInterimResponses {
				return fmt.Errorf("upstream sent more than %d interim responses; check what answers at its address", maxInterimResponses)
			}
			continue
		}
		if r.Matches != nil && !r.Matches(response.Header, resp.Reused) {
			if foreign++; foreign > maxForeignResponses {
				return fmt.Errorf("received %d responses to other requests on one connection", foreign)
			}
			if err := resp.skipForeign(response); err != nil {
				return err
			}
			continue
		}
		resp.Status, resp.Header, resp.Length, resp.body = response.StatusCode, response.Header, response.ContentLength, response.Body
		resp.reuse = !response.Close
		resp.Framing = framingOf(response)
		resp.idleTimeout = keepAliveTimeout(response.Header)
		if r.Upstream != "" {
			resp.pooledConn.pool.observe(r.Upstream, resp.Status, resp.Header)
		}
		return nil
	}
}

// ErrNoStatus means that an upstream sent a status with which nothing is an answer to a request.
var ErrNoStatus = errors.New("upstream answered with an invalid status; check what answers at its address")

// CheckStatus returns ErrNoStatus for a status outside 100 to 599, all that HTTP knows, which http.ReadResponse accepts. So it does for 101,
// after which another protocol is spoken, since no request asks for one.
func CheckStatus(status int) error {
	if status < 100 || status > 599 || status == http.StatusSwitchingProtocols {
		return fmt.Errorf("%w: %03d", ErrNoStatus, status)
	}
	return nil
}

// skipForeign reads the body of a response to another request to its end.
func (resp *Response) skipForeign(response *http.Response) error {
	resp.pooledConn.pool.count(func(n *Counters) { n.Foreign++ })
	if framingOf(response) == UntilClose {
		return errors.New("received a response to another request that ends with the connection")
	}
	if n, err := io.Copy(io.Discard, io.LimitReader(response.Body, maxSkippedBytes)); err != nil || n == maxSkippedBytes {
		return fmt.Errorf("response to another request did not end within the skip limit: %w", errors.Join(err, ErrClosed))
	}
	return nil
}

// keepAliveTimeout returns the timeout parameter of the Keep-Alive header, or 0 if there is none.
func keepAliveTimeout(h http.Header) time.Duration {
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

// Read reads the body. It returns io.EOF only after the complete body; a truncated body is another error.
func (resp *Response) Read(into []byte) (int, error) {
	n, err := resp.body.Read(into)
	if !errors.Is(err, io.EOF) {
		return n, err
	}
	if resp.Framing == UntilClose && resp.body != http.NoBody {
		if err := resp.awaitUpload(); err != nil {
			resp.discard()
			return n, err
		}
	}
	resp.finish()
	return n, err
}

// awaitUpload waits until the request's body is written and returns an error if it could not be. The kernel reports a reset once, to the
// write or to the read, whichever comes first; after the write the read returns io.EOF, as at an orderly end.
func (resp *Response) awaitUpload() error {
	timer := time.NewTimer(maxUploadWait)
	defer timer.Stop()
	select {
	case <-resp.written:
	case <-timer.C:
		return fmt.Errorf("%w: the response has no length, and the upstream closed the connection without reading the request", io.ErrUnexpectedEOF)
	}
	err := <-resp.writeDone
	// Sent still needs it.
	resp.writeDone <- err
	if err != nil {
		return fmt.Errorf("%w: the response has no length, and the connection ended while the request was written: %w", io.ErrUnexpectedEOF, err)
	}
	return nil
}

// finish returns the connection to the pool if the response is complete and the request's body is written, and closes it otherwise.
func (resp *Response) finish() {
	resp.once.Do(func() {
		stopped := resp.stop()
		var err error
		select {
		case err = <-resp.writeDone:
			// Sent still needs it.
			resp.writeDone <- err
		default:
			// The upstream responded without reading the whole body, so the rest of the body could be taken for the next request.
			err = ErrClosed
		}
		trailing := resp.pooledConn.reader.Buffered() > 0
		if trailing {
			resp.pooledConn.pool.count(func(n *Counters) { n.Trailing++ })
		}
		if !stopped || err != nil || !resp.reuse || trailing {
			resp.pooledConn.close()
			return
		}
		resp.pooledConn.pool.putIdle(resp.pooledConn, resp.idleTimeout)
	})
}

// Close ends the exchange and closes the connection unless the response was read to its end.
func (resp *Response) Close() { resp.discard() }

func (resp *Response) discard() {
	resp.once.Do(func() {
		resp.stop()
		resp.pooledConn.close()
	})
}

// Buffered returns a buffered reader of the body.
func (resp *Response) Buffered() *bufio.Reader { return bufio.NewReaderSize(resp, 2048) }
