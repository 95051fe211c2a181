package upstream

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"net"
	"net/http"
	"net/netip"
	"syscall"
	"time"

	"github.com/samber/oops"
)

// tcpUserTimeout is the number of Linux's socket option TCP_USER_TIMEOUT, which package syscall does not define.
const tcpUserTimeout = 0x12

// ErrNotSent means that no byte of an order or request was sent.
var ErrNotSent = errors.New("not sent: no byte was written to the connection")

// Order is a command to an engine to load a version or to change its role.
type Order struct {
	Fencing uint64 `json:"fencing"`
	// Kind is "load" or "role".
	Kind    string `json:"kind"`
	Model   string `json:"model,omitempty"`
	Adapter string `json:"adapter,omitempty"`
	Weights string `json:"weights,omitempty"`
	Role    string `json:"role,omitempty"`
}

// Order sends an order over a connection of its own, which is closed after limit. It calls permitted immediately before the single
// write of the order. The error is ErrNotSent, a RefusedError, or another one after which the order may have been executed.
func (c *Client) Order(ctx context.Context, address netip.AddrPort, order Order, limit time.Duration, permitted func() bool) error {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	if err := c.permit(address); err != nil {
		return err
	}
	request, err := encodeOrder(address, order)
	if err != nil {
		return errors.Join(ErrNotSent, err)
	}
	// The kernel must not retransmit an unacknowledged order after limit, even while this process is suspended. The value is at least
	// 1 ms, since 0 selects the kernel's default.
	dialer := &net.Dialer{Control: func(_, _ string, raw syscall.RawConn) error {
		var optionErr error
		err := raw.Control(func(fd uintptr) {
			optionErr = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(max(1, limit.Milliseconds())))
		})
		return errors.Join(err, optionErr)
	}}
	conn, err := dialer.DialContext(ctx, "tcp", address.String())
	if err != nil {
		return errors.Join(ErrNotSent, oops.With("address", address).Hint("check that the engine runs at this address").Wrapf(err, "dial engine"))
	}
	defer abort(conn)
	stop := context.AfterFunc(ctx, func() { _ = conn.SetDeadline(time.Unix(1, 0)) })
	defer stop()
	if !permitted() {
		return ErrNotSent
	}
	if n, err := conn.Write(request); err != nil {
		if n == 0 {
			return errors.Join(ErrNotSent, err)
		}
		return err
	}
	response, err := readLimitedResponse(conn, maxFramingBytes, nil)
	if err != nil {
		return err
	}
	c.observe(address, response)
	if response.StatusCode != http.StatusOK {
		// An order has a connection of its own.
		return readRefusal(response, "")
	}
	return response.Body.Close()
}

func encodeOrder(address netip.AddrPort, order Order) ([]byte, error) {
	body, err := json.Marshal(order)
	if err != nil {
		return nil, err
	}
	request, err := http.NewRequest(http.MethodPost, "http://"+address.String()+"/order", bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	request.Header.Set("Content-Type", "application/json")
	request.Close = true
	var encoded bytes.Buffer
	err = request.Write(&encoded)
	return encoded.Bytes(), err
}

// abort closes a connection with a reset and discards unsent bytes, so that the kernel does not deliver them later.
func abort(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}
