package connection_test

import (
	"errors"
	"net/http"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/chicoryrelay/chicoryrelay/relay/connection"
)

// Guards against bytes that are no HTTP response but that http.ReadResponse accepts as one.
var _ = Describe("a response with a status that is none", func() {
	for _, status := range []string{"000", "001", "020", "099", "+20", "-00", "600", "999", "101", "100 Continue\r\n\r\nHTTP/1.1 000", "103 Early Hints\r\n\r\nHTTP/1.1 101"} {
		for name, following := range map[string]string{"nothing": "", "a body": "text", "a response": "HTTP/1.1 200 OK\r\nX-Id: 1\r\nContent-Length: 4\r\n\r\ntext"} {
			It("fails a request that may have run, and closes the connection: "+strings.ReplaceAll(status, "\r\n", " ")+" and "+name, func() {
				observed := 0
				pool := connection.NewPool(connection.WithObserver(func(string, int, http.Header) { observed++ }))
				DeferCleanup(pool.Close)
				s := startUpstream(func(p *serverConn) {
					p.readRequest()
					p.writeText("HTTP/1.1 " + status + " X\r\nX-Id: 1\r\nContent-Length: 4\r\n\r\n" + following)
					_, _ = p.reader.ReadByte()
				})
				r := newRequest("1", "")
				r.Upstream = "u"
				_, err := send(pool, s, r)
				Expect(err).To(MatchError(connection.ErrNoStatus))
				var notSent *connection.NotSentError
				Expect(errors.As(err, &notSent)).To(BeFalse())
				Expect(pool.Open(s.address())).To(BeZero())
				Expect(observed).To(BeZero())
			})
		}
	}
})
