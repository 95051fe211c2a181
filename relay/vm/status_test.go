package vm

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/chicoryrelay/chicoryrelay/relay/connection"
)

// answeringOnce answers each connection's first request with a text and closes the connection in order.
func answeringOnce(text string) netip.AddrPort {
	GinkgoHelper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = conn.Close() }()
				if r, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
					_, _ = io.Copy(io.Discard, r.Body)
					_, _ = io.WriteString(conn, text)
				}
			}()
		}
	}()
	return netip.MustParseAddrPort(listener.Addr().String())
}

// Guards against a status that is none and counts as an answer to a call that the VM makes for itself: a list, a report, an order, cache
// events or a question to an upstream that may be silent.
var _ = It("a call of the VM itself fails if the answer's status is none", func() {
	for _, status := range []string{"000", "001", "099", "+20", "600", "999", "101"} {
		for _, method := range []string{http.MethodGet, http.MethodPost} {
			pool := connection.NewPool()
			DeferCleanup(pool.Close)
			r := &connection.Request{Method: method, Target: "/report", Host: "engine", Header: http.Header{}}
			_, _, err := call(context.Background(), pool, answeringOnce("HTTP/1.1 "+status+" X\r\n\r\n{}"), r, time.Second)
			Expect(err).To(MatchError(connection.ErrNoStatus), status)
		}
	}
})
