package connection_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/chicoryrelay/chicoryrelay/relay/connection"
)

// splitConn is a connection whose reads return a text and then an orderly end, while write decides how the body's write ends; ended is
// closed once the end was read.
type splitConn struct {
	net.Conn
	text   io.Reader
	write  func(c *splitConn) error
	ended  chan struct{}
	closed chan struct{}
}

func newSplitConn(text string, write func(c *splitConn) error) *splitConn {
	return &splitConn{text: strings.NewReader(text), write: write, ended: make(chan struct{}), closed: make(chan struct{})}
}

func (c *splitConn) Read(into []byte) (int, error) {
	n, err := c.text.Read(into)
	if err != nil {
		select {
		case <-c.ended:
		default:
			close(c.ended)
		}
	}
	return n, err
}

func (c *splitConn) Write(b []byte) (int, error) {
	if strings.HasSuffix(string(b), "\r\n\r\n") {
		return len(b), nil
	}
	if err := c.write(c); err != nil {
		return 0, err
	}
	return len(b), nil
}

func (c *splitConn) Close() error {
	close(c.closed)
	return nil
}

func (c *splitConn) SetDeadline(time.Time) error { return nil }

// The ends of a write.
var (
	written = func(*splitConn) error { return nil }
	reset   = func(*splitConn) error { return syscall.ECONNRESET }
	// resetUnderRead takes the error of the reset before the read, and returns it after the read.
	resetUnderRead = func(c *splitConn) error {
		<-c.ended
		time.Sleep(10 * time.Millisecond)
		return syscall.ECONNRESET
	}
	writtenAfterRead = func(c *splitConn) error {
		<-c.ended
		time.Sleep(100 * time.Millisecond)
		return nil
	}
	stuck = func(c *splitConn) error {
		<-c.closed
		return net.ErrClosed
	}
)

// readOver makes a request with a long body over the connection.
func readOver(c *splitConn, method string) (string, error) {
	pool := connection.NewPool(connection.WithDial(func(context.Context, netip.AddrPort) (net.Conn, error) { return c, nil }))
	DeferCleanup(pool.Close)
	request := newRequest("1", strings.Repeat("x", 5000))
	request.Method = method
	response, err := pool.Do(context.Background(), netip.MustParseAddrPort("127.0.0.1:1"), request)
	if err != nil {
		return "", err
	}
	defer response.Close()
	body, err := io.ReadAll(response)
	return string(body), err
}

// answerHead is the start of a response to request 1.
const answerHead = "HTTP/1.1 200 OK\r\nX-Id: 1\r\n"

var _ = Describe("a response that arrives while the request is written", func() {
	// Guards against a part of a body that counts as the whole one, since a reset is reported to the write and the read then sees an
	// orderly end.
	DescribeTable("is not complete without a length or chunks if the request was not written", func(write func(*splitConn) error) {
		body, err := readOver(newSplitConn(answerHead+"\r\npart", write), http.MethodPost)
		Expect(err).To(MatchError(io.ErrUnexpectedEOF))
		Expect(errors.Is(err, io.EOF)).To(BeFalse())
		Expect(body).To(Equal("part"))
	},
		Entry("because the connection was reset before the end was read", reset),
		Entry("because the connection was reset before the end was read, as is known afterwards", resetUnderRead),
		Entry("because the upstream reads no further", stuck),
	)

	DescribeTable("is complete without a length or chunks if the request was written", func(write func(*splitConn) error) {
		body, err := readOver(newSplitConn(answerHead+"\r\nwhole", write), http.MethodPost)
		Expect(err).NotTo(HaveOccurred())
		Expect(body).To(Equal("whole"))
	},
		Entry("before the end was read", written),
		Entry("after the end was read", writtenAfterRead),
	)

	for name, text := range map[string]string{
		"by length": answerHead + "Content-Length: 5\r\n\r\nwhole", "by chunks": answerHead + "Transfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n",
	} {
		for end, write := range map[string]func(*splitConn) error{"written": written, "reset": reset, "reset later": resetUnderRead, "stuck": stuck} {
			It(fmt.Sprintf("is complete if its end is marked %s, whatever became of the request (%s)", name, end), func() {
				began := time.Now()
				body, err := readOver(newSplitConn(text, write), http.MethodPost)
				Expect(err).NotTo(HaveOccurred())
				Expect(body).To(Equal("whole"))
				Expect(time.Since(began)).To(BeNumerically("<", time.Second))
			})
		}
	}

	It("is complete if it has no body by its method", func() {
		body, err := readOver(newSplitConn(answerHead+"\r\n", reset), http.MethodHead)
		Expect(err).NotTo(HaveOccurred())
		Expect(body).To(BeEmpty())
	})
})
