package forward_test

import (
	"io"
	"net"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/chicoryrelay/chicoryrelay/relay/connection"
)

// ownHead has the fields of the requests whose framing the specs vary.
const ownHead = "Host: h\r\nX-Id: 1\r\nX-Key: k\r\n"

// sendsOf writes a text to a VM, in pieces of step bytes, and returns the sends that an upstream gets.
func sendsOf(text string, step int) []received {
	GinkgoHelper()
	group, fake, pool := &recorder{conducts: []conduct{completes}}, &fakePlacer{}, connection.NewPool()
	up := group.upstream()
	for range 5 {
		fake.list = append(fake.list, up)
	}
	server, _ := newPooledServer(fake.place, pool, 16<<20)
	conn, err := net.Dial("tcp", server.Listener.Addr().String())
	Expect(err).NotTo(HaveOccurred())
	defer func() { _ = conn.Close() }()
	// A VM that takes what follows for a part of the request waits for more of it.
	_ = conn.SetDeadline(time.Now().Add(500 * time.Millisecond))
	for rest := text; rest != ""; {
		n := min(step, len(rest))
		// An error means that the VM refused the request before it was in.
		_, _ = io.WriteString(conn, rest[:n])
		rest = rest[n:]
	}
	_, _ = io.Copy(io.Discard, conn)
	server.Close()
	pool.Close()
	return group.recorded()
}

// Guards against upstreams that wait for their own 100 Continue before they read a body that follows its head at once, or that take the
// connection for one that may be upgraded.
var _ = It("a request is sent without the fields that concern its caller's connection", func() {
	sends := sendsOf("POST /book/ HTTP/1.1\r\n"+ownHead+"Connection: close\r\nExpect: 100-continue\r\nTE: trailers\r\nUpgrade: x\r\nKeep-Alive: timeout=5\r\nTrailer: X-Sum\r\nContent-Length: 5\r\n\r\n12345", 1000)
	Expect(sends).To(HaveLen(1))
	Expect(string(sends[0].body)).To(Equal("12345"))
	for _, name := range strings.Fields("Expect Te Upgrade Keep-Alive Trailer Connection") {
		Expect(sends[0].header).NotTo(HaveKey(name))
	}
})
