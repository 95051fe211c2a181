package forward_test

import (
	"fmt"
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

// expectSends expects the sends of a text to be the given ones, each written as method, target and body.
func expectSends(text string, sends ...string) {
	GinkgoHelper()
	for _, step := range []int{1, 50, len(text)} {
		lines := []string{}
		for _, send := range sendsOf(text, step) {
			lines = append(lines, fmt.Sprintf("%s %s %s", send.method, send.target, send.body))
		}
		Expect(lines).To(HaveExactElements(sends), "in pieces of %d bytes", step)
	}
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

// Guards against requests that an upstream gets without the ID or the model by which the VM has handled them.
var _ = It("a request is sent with the fields that describe it, whatever Connection names", func() {
	sends := sendsOf("POST /book/ HTTP/1.1\r\n"+ownHead+"X-Hop: 1\r\nConnection: close, x-id, X-Hop, Host, Content-Length\r\nContent-Length: 5\r\n\r\n12345", 1000)
	Expect(sends).To(HaveLen(1))
	Expect(sends[0].id).To(Equal("1"))
	Expect(string(sends[0].body)).To(Equal("12345"))
	Expect(sends[0].header).NotTo(HaveKey("X-Hop"))
})

// smuggled is a request of which no caller knows where it stands in the body of another one, inChunks the same as a chunk.
const smuggled = "POST /book/smuggled HTTP/1.1\r\nHost: h\r\nX-Id: 9\r\nX-Key: k\r\nContent-Length: 0\r\n\r\n"

var inChunks = chunk(smuggled) + "0\r\n\r\n"

// last is a request that ends its connection.
const last = "GET /book/last HTTP/1.1\r\nHost: h\r\nX-Id: 2\r\nX-Key: k\r\nConnection: close\r\n\r\n"

// Guards against bodies that are dropped, cut or taken for requests since their caller and the VM see their end at different places.
var _ = DescribeTable("a body is sent as its caller framed it, and no part of it as a request", func(head, body string, sends ...string) {
	expectSends("POST /book/a HTTP/1."+head+body+last, sends...)
},
	Entry("by length", "1\r\n"+ownHead+"Content-Length: 5\r\n\r\n", "12345", "POST /book/a 12345", "GET /book/last "),
	Entry("by a length with zeros", "1\r\n"+ownHead+"Content-Length: 005\r\n\r\n", "12345", "POST /book/a 12345", "GET /book/last "),
	Entry("by the same length twice", "1\r\n"+ownHead+"Content-Length: 5\r\nContent-Length: 5\r\n\r\n", "12345", "POST /book/a 12345", "GET /book/last "),
	Entry("by two lengths", "1\r\n"+ownHead+"Content-Length: 0\r\nContent-Length: 5\r\n\r\n", smuggled),
	Entry("by a list of lengths", "1\r\n"+ownHead+"Content-Length: 0, 5\r\n\r\n", smuggled),
	Entry("by a length with a sign", "1\r\n"+ownHead+"Content-Length: +0\r\n\r\n", smuggled),
	Entry("by an empty length", "1\r\n"+ownHead+"Content-Length:\r\n\r\n", smuggled),
	Entry("by chunks", "1\r\n"+ownHead+"Transfer-Encoding: chunked\r\n\r\n", inChunks, "POST /book/a "+smuggled, "GET /book/last "),
	Entry("by chunks and a length", "1\r\n"+ownHead+"Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n", inChunks, "POST /book/a "+smuggled, "GET /book/last "),
	Entry("by chunks in a folded line", "1\r\n"+ownHead+"Transfer-Encoding:\r\n chunked\r\n\r\n", inChunks, "POST /book/a "+smuggled, "GET /book/last "),
	Entry("by chunks with extensions, zeros and a trailer", "1\r\n"+ownHead+"Transfer-Encoding: chunked\r\nTrailer: X-Id\r\n\r\n", "005;a=\"b\"\r\n12345\r\n0;x\r\nX-Id: 9\r\nContent-Length: 3\r\n\r\n", "POST /book/a 12345", "GET /book/last "),
	Entry("by chunks of a name with a blank", "1\r\n"+ownHead+"Transfer-Encoding : chunked\r\n\r\n", inChunks),
	Entry("by chunks twice", "1\r\n"+ownHead+"Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n", inChunks),
	Entry("by another coding", "1\r\n"+ownHead+"Transfer-Encoding: identity\r\n\r\n", smuggled),
	Entry("by a carriage return alone", "1\r\n"+ownHead+"X-A: a\rTransfer-Encoding: chunked\r\n\r\n", inChunks),
	Entry("by chunks with line feeds alone", "1\r\n"+ownHead+"Transfer-Encoding: chunked\r\n\r\n", "5\n12345\n0\n\n"),
	Entry("by chunks longer than their size", "1\r\n"+ownHead+"Transfer-Encoding: chunked\r\n\r\n", "5\r\n1234567\r\n0\r\n\r\n"),
	Entry("by chunks of more than 64 bits", "1\r\n"+ownHead+"Transfer-Encoding: chunked\r\n\r\n", "10000000000000005\r\n12345\r\n0\r\n\r\n"),
	Entry("by length in HTTP/1.0", "0\r\n"+ownHead+"Connection: keep-alive\r\nContent-Length: 5\r\n\r\n", "12345", "POST /book/a 12345"),
	Entry("by chunks in HTTP/1.0", "0\r\n"+ownHead+"Connection: keep-alive\r\nTransfer-Encoding: chunked\r\n\r\n", smuggled),
	Entry("by nothing in HTTP/1.0", "0\r\n"+ownHead+"Connection: keep-alive\r\n\r\n", smuggled),
	Entry("by a length and chunks in HTTP/1.0", "0\r\n"+ownHead+"Connection: keep-alive\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n", inChunks, "POST /book/a "+inChunks[:4]),
	Entry("by nothing in HTTP/1.0, without a body", "0\r\n"+ownHead+"Connection: keep-alive\r\n\r\n", ""),
)
