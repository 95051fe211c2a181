package upstream

import (
	"bytes"
	"context"
	"errors"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"time"

	"github.com/samber/oops"

	"github.com/chicoryrelay/chicoryrelay/relay/buffer"
)

// ServiceCall is one request to a plain service.
type ServiceCall struct {
	Method string
	// Path is the path and query of the request as its caller wrote them.
	Path   string
	Header http.Header
	Body   []byte
}

// ServiceResponse is a plain service's response, which holds memory until Release is called.
type ServiceResponse struct {
	Status int
	Header http.Header
	Body   []byte

	memory *buffer.Reservation
}

// Release returns the memory of the body, which must not be used afterwards, to the Client.
func (r ServiceResponse) Release() {
	if r.memory != nil {
		r.memory.Release()
	}
}

// Connection is a newly dialled connection for a single call. A pooled connection could be broken without notice.
type Connection struct {
	client  *Client
	address netip.AddrPort
	conn    net.Conn
	limit   time.Duration
}

// Dial connects to a service. An error is ErrNotSent.
func (c *Client) Dial(ctx context.Context, address netip.AddrPort) (*Connection, error) {
	if err := c.permit(address); err != nil {
		return nil, err
	}
	dialer := &net.Dialer{Timeout: c.dialTimeout}
	conn, err := dialer.DialContext(ctx, "tcp", address.String())
	if err != nil {
		return nil, errors.Join(ErrNotSent, oops.With("address", address).Hint("check that the upstream runs at this address").Wrapf(err, "dial upstream"))
	}
	return &Connection{client: c, address: address, conn: conn, limit: c.headerTimeout}, nil
}

// framingFactor and maxFramingBytes allow for the chunk headers and the trailers of a body.
const (
	framingFactor   = 2
	maxFramingBytes = 64 << 10
)

// Call sends the call and reads a response of at most limit bytes. After an error the call may have run.
func (c *Connection) Call(ctx context.Context, call ServiceCall, limit int64) (ServiceResponse, error) {
	stop := context.AfterFunc(ctx, func() { _ = c.conn.SetDeadline(time.Unix(1, 0)) })
	defer stop()
	defer c.Close()
	if err := c.conn.SetDeadline(time.Now().Add(c.limit)); err != nil {
		return ServiceResponse{}, err
	}
	request, err := http.NewRequestWithContext(ctx, call.Method, "http://"+c.conn.RemoteAddr().String(), bytes.NewReader(call.Body))
	if err != nil {
		return ServiceResponse{}, err
	}
	// A parsed path and query could be written in another way than the caller's. One that begins with two slashes needs the host before it.
	if request.URL.Opaque = call.Path; strings.HasPrefix(call.Path, "//") {
		request.URL.Opaque = "//" + request.URL.Host + call.Path
	}
	request.Header = call.Header
	request.Close = true
	if err := request.Write(c.conn); err != nil {
		return ServiceResponse{}, err
	}
	response, err := readLimitedResponse(c.conn, framingFactor*limit+maxFramingBytes, request)
	if err != nil {
		return ServiceResponse{}, err
	}
	return c.client.readResponse(c.address, response, limit)
}

// Close closes a connection on which no call was made.
func (c *Connection) Close() { _ = c.conn.Close() }

// CallIdempotent makes a call, which the caller may retry after an error, since the call is idempotent. Like any call it has a
// connection of its own: services don't say which call a response belongs to, so that a late copy of another one's could be taken for
// it on a connection that is kept.
func (c *Client) CallIdempotent(ctx context.Context, address netip.AddrPort, call ServiceCall, limit int64) (ServiceResponse, error) {
	ctx, cancel := context.WithTimeoutCause(ctx, c.readTimeout, ErrTimeout)
	defer cancel()
	connection, err := c.Dial(ctx, address)
	if err != nil {
		return ServiceResponse{}, err
	}
	response, err := connection.Call(ctx, call, limit)
	if cause := context.Cause(ctx); err != nil && cause != nil {
		err = cause
	}
	return response, err
}

func (c *Client) readResponse(address netip.AddrPort, response *http.Response, limit int64) (ServiceResponse, error) {
	defer func() { _ = response.Body.Close() }()
	c.observe(address, response)
	memory := c.memory.Reserve()
	body, err := memory.ReadAll(response.Body, limit)
	if errors.Is(err, buffer.ErrTooLarge) {
		return ServiceResponse{}, oops.With("limit", limit).Hint("raise limits.answer").Wrapf(err, "service response exceeds limits.answer")
	}
	if err != nil {
		return ServiceResponse{}, err
	}
	if isLeavingRefusal(response.StatusCode, body) {
		c.setLeaving(address, true)
	}
	return ServiceResponse{Status: response.StatusCode, Header: response.Header, Body: body, memory: memory}, nil
}
