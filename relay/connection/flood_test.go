package connection_test

import (
	"fmt"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/chicoryrelay/chicoryrelay/relay/connection"
	"github.com/chicoryrelay/chicoryrelay/relay/floodtest"
)

// floodRequests is the number of requests that floods are sent to at once, maxFloodMemory the growth of the live heap in
// bytes that they may cause together: a quarter of the memory of a small VM, since the collector lets the heap grow to twice what is
// live.
const (
	floodRequests  = 50
	maxFloodMemory = 28 << 20
)

// floods are the places of a response in which an upstream in trouble may send bytes without end: prefix is sent once and repeated
// then until the relay closes the connection.
var floods = map[string]struct{ prefix, repeated string }{
	"in a header line":              {"HTTP/1.1 200 OK\r\nX-Id: 1\r\nX-Noise: ", strings.Repeat("x", 4096)},
	"in header lines":               {"HTTP/1.1 200 OK\r\nX-Id: 1\r\n", strings.Repeat("X-Noise: xxxxxxxxxxxxxxxxxxxxxx\r\n", 128)},
	"in header lines of many names": {"HTTP/1.1 200 OK\r\nX-Id: 1\r\n", manyNames(1 << 14)},
	"in the status line":            {"HTTP/1.1 200 ", strings.Repeat("x", 4096)},
	"in interim responses":          {"", strings.Repeat("HTTP/1.1 102 Processing\r\n\r\n", 128)},
	"before any response":           {"", strings.Repeat("\x00\xff\x13", 1024)},
	"in a chunk's size line":        {"HTTP/1.1 200 OK\r\nX-Id: 1\r\nTransfer-Encoding: chunked\r\n\r\n", strings.Repeat("0", 4096)},
	"in a chunk's extension":        {"HTTP/1.1 200 OK\r\nX-Id: 1\r\nTransfer-Encoding: chunked\r\n\r\n1;", strings.Repeat("x", 4096)},
	"in the trailers":               {"HTTP/1.1 200 OK\r\nX-Id: 1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", strings.Repeat("X-Noise: xxxxxxxxxxxxxxxxxxxxxx\r\n", 128)},
	"in a response to another":      {"HTTP/1.1 200 OK\r\nX-Id: other\r\nContent-Length: 4000000000\r\n\r\n", strings.Repeat("x", 4096)},
}

// manyNames returns header lines that each have another name.
func manyNames(count int) string {
	var lines strings.Builder
	for i := range count {
		_, _ = fmt.Fprintf(&lines, "%x:\r\n", i)
	}
	return lines.String()
}

// pour sends the flood until the relay closes the connection.
func pour(p *serverConn, prefix, repeated string) {
	p.readRequest()
	p.writeText(prefix)
	// A conversion for each write would make garbage that the heap's size includes.
	for bytes := []byte(repeated); ; {
		if _, err := p.Write(bytes); err != nil {
			return
		}
	}
}

// heapGrowth runs the function and returns by how much the live heap exceeded its size before, measured between the rounds of the floods
// until the function returns.
func heapGrowth(rounds *floodtest.Rounds, run func()) int64 {
	before, most, done := floodtest.LiveHeap(), int64(0), make(chan struct{})
	go func() {
		defer close(done)
		run()
	}()
	for {
		select {
		case <-done:
			return most
		default:
			most = max(most, floodtest.LiveHeap()-before)
			rounds.Advance()
		}
	}
}

var _ = Describe("bytes without end from an upstream", func() {
	var (
		pool   *connection.Pool
		rounds *floodtest.Rounds
	)

	BeforeEach(func() {
		pool, rounds = connection.NewPool(), floodtest.NewRounds()
		DeferCleanup(rounds.End)
		DeferCleanup(pool.Close)
	})

	for place, flood := range floods {
		It("end the attempt before its deadline and keep the memory bounded when they come "+place, func() {
			// A conversion for each connection would add to the heap that is measured.
			prefix, repeated := []byte(flood.prefix), []byte(flood.repeated)
			s := startUpstream(func(p *serverConn) {
				p.readRequest()
				rounds.Pour(p, prefix, repeated, 0)
			})
			sound := startUpstream(echo)
			results := make(chan error, floodRequests)
			growth := heapGrowth(rounds, func() {
				for range floodRequests {
					go func() {
						_, err := send(pool, s, newRequest("1", ""))
						results <- err
					}()
				}
				expectBody(pool, sound, "2")
				for range floodRequests {
					var err error
					Eventually(results).WithTimeout(4 * time.Second).Should(Receive(&err))
					Expect(err).To(HaveOccurred())
				}
			})
			Expect(growth).To(BeNumerically("<", maxFloodMemory))
			Expect(pool.Open(s.address())).To(BeZero())
		})
	}

	// Guards against heads within the limit of bytes whose many short lines take many times as much memory, for as long as the bodies last.
	It("keep the memory bounded when they come slowly behind many header lines", func() {
		head := []byte("HTTP/1.1 200 OK\r\nX-Id: 1\r\n" + manyNames(7500) + "\r\n")
		s := startUpstream(func(p *serverConn) {
			p.readRequest()
			rounds.Pour(p, head, []byte("x"), 20*time.Millisecond)
		})
		growth := heapGrowth(rounds, func() {
			results := make(chan error, floodRequests)
			for range floodRequests {
				go func() {
					_, err := send(pool, s, newRequest("1", ""))
					results <- err
				}()
			}
			for range floodRequests {
				var err error
				Eventually(results).WithTimeout(10 * time.Second).Should(Receive(&err))
				Expect(err).To(HaveOccurred())
			}
		})
		Expect(growth).To(BeNumerically("<", maxFloodMemory))
	})

	It("don't count the lines of a body that comes with its head", func() {
		s := startUpstream(func(p *serverConn) {
			for p.readRequest() != nil {
				p.respond("1", strings.Repeat("\n", 3000))
			}
		})
		for range 3 {
			received, err := send(pool, s, newRequest("1", ""))
			Expect(err).NotTo(HaveOccurred())
			Expect(received).To(HaveLen(3000))
		}
	})

	It("are named in the error with the limit, so that the log line tells the cause", func() {
		s := startUpstream(func(p *serverConn) { pour(p, "HTTP/1.1 200 OK\r\n", "X-Noise: xxxxxxxxxxxxxxxxx\r\n") })
		_, err := send(pool, s, newRequest("1", ""))
		Expect(err).To(MatchError(ContainSubstring("65536 bytes")))
	})

	It("don't count the body of a long answer", func() {
		body := strings.Repeat("y", 1<<20)
		s := startUpstream(func(p *serverConn) {
			for p.readRequest() != nil {
				p.respond("1", body)
			}
		})
		for range 2 {
			received, err := send(pool, s, newRequest("1", ""))
			Expect(err).NotTo(HaveOccurred())
			Expect(received).To(Equal(body))
		}
	})
})
