package forward_test

import (
	"io"
	"net"
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/chicoryrelay/chicoryrelay/relay/directory"
	"github.com/chicoryrelay/chicoryrelay/relay/forward"
	"github.com/chicoryrelay/chicoryrelay/relay/route"
)

// servedByFourth sends a request that three upstreams declare not run, and expects the events 1 and 2 from the fourth and a fifth one.
func servedByFourth(path string, fourth func(conn net.Conn), options ...forward.Option) {
	GinkgoHelper()
	declining := answering(503, "X-Not-Run: 1\r\n", "")
	slow := rawUpstream(func(conn net.Conn, _ *http.Request) { fourth(conn) })
	fifth := rawUpstream(func(conn net.Conn, _ *http.Request) {
		_, _ = io.WriteString(conn, chunked+chunk(event(2))+"0\r\n\r\n")
	})
	n, err := readAnswer(newFloodServer(&fakePlacer{list: []directory.Upstream{declining, declining, declining, slow, fifth}}, options...), path)
	Expect(err).NotTo(HaveOccurred())
	Expect(n).To(Equal(int64(2 * len(event(1)))))
}

// Guards against sends that are given up for a further one that the limit of sends doesn't allow.
var _ = Describe("the last send that an answer's begin allows", func() {
	late := func(conn net.Conn) {
		time.Sleep(1300 * time.Millisecond)
		_, _ = io.WriteString(conn, chunked+chunk(event(1))+chunk(event(2))+"0\r\n\r\n")
	}

	It("is not given up while its upstream is slow", func() {
		servedByFourth("/read/", late)
		servedByFourth("/note/", late)
	})

	It("is not given up for an upstream that is found silent", func() {
		servedByFourth("/read/", late, forward.WithWatch(func(_ *route.Route, _ *forward.Placement, giveUp func() bool) func(bool) {
			if giveUp != nil {
				time.AfterFunc(50*time.Millisecond, func() { giveUp() })
			}
			return func(bool) {}
		}))
	})

	It("is given up once the answer has begun and stalls", func() {
		servedByFourth("/note/", func(conn net.Conn) {
			_, _ = io.WriteString(conn, chunked+chunk(event(1)))
			time.Sleep(5 * time.Second)
		})
	})
})
