package vm

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/chicoryrelay/chicoryrelay/relay/connection"
	"github.com/chicoryrelay/chicoryrelay/relay/directory"
	"github.com/chicoryrelay/chicoryrelay/relay/floodtest"
	"github.com/chicoryrelay/chicoryrelay/relay/settings"
)

// floodCalls is the number of calls whose receivers send bytes without end at once; maxFloodMemory is the growth of the live heap in bytes
// that they may cause together: a quarter of the memory of a small VM, since the collector lets the heap grow to twice what is live.
const (
	floodCalls     = 50
	maxFloodMemory = 28 << 20
)

// newFlood answers each request with the prefix and then, after each pause, the repeated text in rounds until the connection is closed.
func newFlood(rounds *floodtest.Rounds, prefix, repeated string, pause time.Duration) netip.AddrPort {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(func() { _ = listener.Close() })
	// A conversion for each connection would add to the heap that the test measures.
	first, further := []byte(prefix), []byte(repeated)
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = conn.Close() }()
				if _, err := http.ReadRequest(bufio.NewReader(conn)); err != nil {
					return
				}
				rounds.Pour(conn, first, further, pause)
			}()
		}
	}()
	return netip.MustParseAddrPort(listener.Addr().String())
}

// Guards against an upstream, a store or a platform's list in trouble whose bytes without end, in answer to the calls that the VM makes for
// itself, occupy its memory, so that the requests of all callers end with the process.
var _ = Describe("a call of the VM itself", func() {
	const head = "HTTP/1.1 200 OK\r\n"
	for place, text := range map[string]struct {
		prefix, repeated string
		pause            time.Duration
	}{
		"in the headers":             {head, strings.Repeat("a:\r\n", 1024), 0},
		"in a body with a length":    {head + "Content-Length: 4000000000\r\n\r\n", strings.Repeat("x", 4096), 0},
		"in a body without a length": {head + "\r\n", strings.Repeat("x", 4096), 0},
		"in a refusal":               {"HTTP/1.1 503 X\r\n\r\n", strings.Repeat("x", 4096), 0},
		"in a body that slows down":  {head + "\r\n" + strings.Repeat("x", 1_000_000), "x", 20 * time.Millisecond},
		"in slow header lines":       {head, "a:\r\n", 20 * time.Millisecond},
	} {
		It("ends by its time and keeps the memory bounded when bytes without end come "+place, func() {
			rounds := floodtest.NewRounds()
			DeferCleanup(rounds.End)
			pool, flood := connection.NewPool(), newFlood(rounds, text.prefix, text.repeated, text.pause)
			DeferCleanup(pool.Close)
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			request := func() *connection.Request {
				return &connection.Request{Method: http.MethodGet, Target: "/report", Host: "engine", Header: http.Header{}}
			}
			before, growth, results := floodtest.LiveHeap(), int64(0), make(chan error, floodCalls)
			for range floodCalls {
				go func() {
					_, _, err := call(ctx, pool, flood, request(), time.Second)
					results <- err
				}()
			}
			for ended := 0; ended < floodCalls; {
				select {
				case err := <-results:
					Expect(err).To(HaveOccurred())
					ended++
				default:
					if growth = max(growth, floodtest.LiveHeap()-before); growth > 4*maxFloodMemory {
						cancel()
					}
					rounds.Advance()
				}
			}
			Expect(growth).To(BeNumerically("<", maxFloodMemory))
			status, body, err := call(context.Background(), pool, newQuietEngine().address, request(), time.Second)
			Expect(err).NotTo(HaveOccurred())
			Expect(status).To(Equal(http.StatusOK))
			Expect(string(body)).To(Equal("{}"))
		})
	}
})

// Guards against a list whose pages each name a next one, which would be read, and kept, until the memory is used up.
var _ = Describe("a platform's list without end", func() {
	for name, listed := range map[string]int{"with replicas": 100, "of empty pages": 0} {
		It(name+" ends its reading", func() {
			pool, ctx := connection.NewPool(), context.Background()
			DeferCleanup(pool.Close)
			ctx, cancel := context.WithTimeout(ctx, 10*time.Second)
			defer cancel()
			w := &watcher{pool: pool, settings: settings.Settings{Platform: newQuietEngine().address}, state: &state{adapter: Adapter{List: ListCodec{
				Request: func(string) *connection.Request {
					return &connection.Request{Method: http.MethodGet, Target: "/replicas", Host: "platform", Header: http.Header{}}
				},
				Decode: func(int, []byte) ([]directory.Upstream, string, error) {
					return make([]directory.Upstream, listed), "2", nil
				},
			}}}}
			Expect(w.readPages(ctx)).To(MatchError(ContainSubstring("does not end")))
			Expect(len(w.partialList.upstreams)).To(BeNumerically("<=", maxListed+listed))
		})
	}
})
