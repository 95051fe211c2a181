package forward_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/chicoryrelay/chicoryrelay/relay/connection"
	"github.com/chicoryrelay/chicoryrelay/relay/directory"
	"github.com/chicoryrelay/chicoryrelay/relay/floodtest"
	"github.com/chicoryrelay/chicoryrelay/relay/forward"
	"github.com/chicoryrelay/chicoryrelay/relay/route"
)

// floodRequests is the number of requests whose upstreams send bytes without end at once; maxFloodMemory is the growth of the live
// heap in bytes that they may cause together: a quarter of the memory of a small VM, since the collector lets the heap grow to twice
// what is live, less what events occupy for their old copies while they grow, of which none is left between two rounds.
const (
	floodRequests  = 50
	maxFloodMemory = 20 << 20
)

// floodHead is the start of a 200 answer to request 1.
const floodHead = "HTTP/1.1 200 OK\r\nX-Id: 1\r\nX-Whole: 1\r\n"

var floods = []struct{ place, path, head, repeated string }{
	{"in an event's line", "/note/", floodHead + "\r\n", strings.Repeat("x", 4096)},
	{"in an event's lines", "/note/", floodHead + "\r\n", strings.Repeat("data: x\n", 512)},
	{"in a chunked event", "/check/", floodHead + "Transfer-Encoding: chunked\r\n\r\n", fmt.Sprintf("%x\r\n%s\r\n", 4096, strings.Repeat("x", 4096))},
	{"in a body with a length", "/read/", floodHead + "Content-Length: 4000000000\r\n\r\n", strings.Repeat("x", 4096)},
	{"in a body without a length", "/read/", floodHead + "\r\n", strings.Repeat("x", 4096)},
	{"in a refusal", "/read/", "HTTP/1.1 503 X\r\nX-Id: 1\r\nX-Not-Run: 1\r\n\r\n", strings.Repeat("x", 4096)},
	{"in the headers", "/read/", floodHead, strings.Repeat("X-Noise: xxxxxxxx\r\n", 256)},
}

// newFloodServer serves a forwarder whose upstreams are all the given one, except on the route that serves sound requests.
func newFloodServer(fake *fakePlacer, options ...forward.Option) *httptest.Server {
	GinkgoHelper()
	decoded, err := route.Own.Decode([]byte(state))
	Expect(err).NotTo(HaveOccurred())
	table, pool, budget := route.NewTable(decoded), connection.NewPool(), forward.NewBudget()
	budget.SetLimits(1, 100)
	budget.SetVMs(1)
	server := httptest.NewServer(forward.New(append([]forward.Option{
		forward.WithTable(func() *route.Table { return table }), forward.WithDialect(dialect), forward.WithPool(pool),
		forward.WithPlaceFunc(fake.place), forward.WithBudget(budget), forward.WithLog(&log.Logger{Handler: discard.Default}),
	}, options...)...))
	DeferCleanup(server.Close)
	DeferCleanup(pool.Close)
	return server
}

// readAnswer sends a request and returns the number of bytes of its answer's body, and the error that ended it.
func readAnswer(server *httptest.Server, path string) (int64, error) {
	r, err := http.NewRequest(http.MethodPost, server.URL+path, nil)
	if err != nil {
		return 0, err
	}
	r.Host = "h"
	r.Header = http.Header{"X-Id": {"1"}, "X-Key": {"k"}}
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		return 0, err
	}
	defer func() { _ = response.Body.Close() }()
	n, err := io.Copy(io.Discard, response.Body)
	if err == nil && response.StatusCode != http.StatusOK {
		err = fmt.Errorf("status %d", response.StatusCode)
	}
	return n, err
}

var _ = Describe("an answer that never ends", func() {
	for _, flood := range floods {
		It("neither looks complete nor occupies the VM's memory when the bytes come "+flood.place, func() {
			rounds := floodtest.NewRounds()
			DeferCleanup(rounds.End)
			// A conversion for each connection would add to the heap that is measured.
			head, repeated := []byte(flood.head), []byte(flood.repeated)
			pouring := rawUpstream(func(conn net.Conn, _ *http.Request) { rounds.Pour(conn, head, repeated, 0) })
			fake := &fakePlacer{}
			for range 4 * floodRequests {
				fake.list = append(fake.list, pouring)
			}
			server := newFloodServer(fake)
			// On a busy machine the stall timer ends attempts at upstreams that are sound, so that there is more than one of them.
			sound := newFloodServer(&fakePlacer{list: slices.Repeat([]directory.Upstream{answering(200, "", "ok")}, 4)})
			before, most := floodtest.LiveHeap(), int64(0)
			results := make(chan error, floodRequests)
			for range floodRequests {
				go func() {
					_, err := readAnswer(server, flood.path)
					results <- err
				}()
			}
			n, err := readAnswer(sound, "/read/")
			Expect(err).NotTo(HaveOccurred(), "a sound request beside the flood")
			Expect(n).To(Equal(int64(2)))
			for ended := 0; ended < floodRequests; {
				select {
				case err := <-results:
					Expect(err).To(HaveOccurred(), "a request whose answer never ends")
					ended++
				default:
					most = max(most, floodtest.LiveHeap()-before)
					rounds.Advance()
				}
			}
			Expect(most).To(BeNumerically("<", maxFloodMemory))
			Expect(fake.recordedEnds()).NotTo(ContainElement("finished"))
		})
	}
})

var _ = Describe("a stream without a length or chunks", func() {
	unframed := func(text string) directory.Upstream {
		return rawUpstream(func(conn net.Conn, _ *http.Request) { _, _ = io.WriteString(conn, floodHead+"\r\n"+text) })
	}

	It("does not look complete to the caller if the connection ends within an event", func() {
		server := newFloodServer(&fakePlacer{list: []directory.Upstream{unframed(event(1) + "id: 2\nda")}})
		_, err := readAnswer(server, "/check/")
		Expect(err).To(HaveOccurred())
	})

	It("is resumed at another upstream if the connection ends within an event", func() {
		fake := &fakePlacer{list: []directory.Upstream{unframed(event(1) + "id: 2\nda"), unframed(event(2))}}
		n, err := readAnswer(newFloodServer(fake), "/note/")
		Expect(err).NotTo(HaveOccurred())
		Expect(n).To(Equal(int64(len(event(1) + event(2)))))
		Expect(fake.recordedEnds()).To(Equal([]string{"failed", "finished"}))
	})

	It("is complete if the connection ends after an event", func() {
		server := newFloodServer(&fakePlacer{list: []directory.Upstream{unframed(event(1))}})
		n, err := readAnswer(server, "/check/")
		Expect(err).NotTo(HaveOccurred())
		Expect(n).To(Equal(int64(len(event(1)))))
	})
})

var _ = Describe("a long answer", func() {
	It("that takes longer than one write may take reaches its caller whole", func() {
		const parts, part = 24, 32 << 10
		slow := rawUpstream(func(conn net.Conn, _ *http.Request) {
			_, _ = fmt.Fprintf(conn, floodHead+"Content-Length: %d\r\n\r\n", parts*part)
			for range parts {
				_, _ = io.WriteString(conn, strings.Repeat("y", part))
				time.Sleep(20 * time.Millisecond)
			}
		})
		fake := &fakePlacer{list: []directory.Upstream{slow}}
		server := newFloodServer(fake)
		n, err := readAnswer(server, "/read/")
		Expect(err).NotTo(HaveOccurred())
		Expect(n).To(Equal(int64(parts * part)))
		// The caller has the last byte of an answer with a length before the handler records its end; Close waits for the handler.
		server.Close()
		Expect(fake.recordedEnds()).To(Equal([]string{"finished"}))
	})

	It("that breaks off beyond its buffered part counts as failed, and does not look complete", func() {
		torn := rawUpstream(func(conn net.Conn, _ *http.Request) {
			_, _ = io.WriteString(conn, floodHead+"Content-Length: 900000\r\n\r\n"+strings.Repeat("y", 400_000))
		})
		fake := &fakePlacer{list: []directory.Upstream{torn}}
		_, err := readAnswer(newFloodServer(fake), "/read/")
		Expect(err).To(HaveOccurred())
		Expect(fake.recordedEnds()).To(Equal([]string{"failed"}))
	})
})
