package forward_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/chicoryrelay/chicoryrelay/relay/callers"
	"github.com/chicoryrelay/chicoryrelay/relay/connection"
	"github.com/chicoryrelay/chicoryrelay/relay/directory"
	"github.com/chicoryrelay/chicoryrelay/relay/forward"
	"github.com/chicoryrelay/chicoryrelay/relay/route"
)

// newBoundedServer serves a forwarder behind a guard for a machine with an amount of memory, 0 for no limit.
func newBoundedServer(place forward.PlaceFunc, memory int64) (*httptest.Server, *callers.Guard) {
	return newPooledServer(place, connection.NewPool(), memory)
}

// newPooledServer is newBoundedServer with a pool.
func newPooledServer(place forward.PlaceFunc, pool *connection.Pool, memory int64) (*httptest.Server, *callers.Guard) {
	decoded, err := route.Own.Decode([]byte(strings.Replace(state, `"body": 1000`, `"body": 1000000`, 1)))
	if err != nil {
		panic(err)
	}
	table, budget, quiet := route.NewTable(decoded), forward.NewBudget(), &log.Logger{Handler: discard.Default}
	budget.SetLimits(1, 100)
	budget.SetVMs(1)
	guard := callers.New(callers.WithMemory(memory), callers.WithLog(quiet))
	server := httptest.NewUnstartedServer(forward.New(
		forward.WithTable(func() *route.Table { return table }), forward.WithDialect(dialect), forward.WithPool(pool),
		forward.WithPlaceFunc(place), forward.WithBudget(budget), forward.WithLog(quiet),
	))
	guard.Protect(server.Config)
	server.Listener = guard.Listen(server.Listener)
	server.Start()
	return server, guard
}

var _ = Describe("the memory of a request's body", func() {
	// Guards against bodies that stay in memory for as long as their answers last.
	DescribeTable("is released as soon as no further attempt may need it", func(path string, held bool) {
		release := make(chan struct{})
		up := rawUpstream(func(conn net.Conn, r *http.Request) {
			_, _ = io.Copy(io.Discard, r.Body)
			_, _ = io.WriteString(conn, floodHead+"Transfer-Encoding: chunked\r\n\r\n")
			_, _ = fmt.Fprintf(conn, "%x\r\n%s\r\n", len(event(1)), event(1))
			<-release
			_, _ = fmt.Fprintf(conn, "%x\r\n%s\r\n0\r\n\r\n", len(event(2)), event(2))
		})
		server, guard := newBoundedServer((&fakePlacer{list: []directory.Upstream{up}}).place, 16<<20)
		DeferCleanup(server.Close)
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
		defer cancel()
		r, err := http.NewRequestWithContext(ctx, http.MethodPost, server.URL+path, strings.NewReader(strings.Repeat("x", 50_000)))
		Expect(err).NotTo(HaveOccurred())
		r.Host, r.Header = "h", http.Header{"X-Id": {"1"}, "X-Key": {"k"}}
		answer, err := http.DefaultClient.Do(r)
		Expect(err).NotTo(HaveOccurred())
		defer func() { _ = answer.Body.Close() }()
		bodies := func() int64 { return guard.Counters().Memory["bodies"] }
		if held {
			Consistently(bodies, "100ms").Should(BeNumerically(">=", 50_000))
		} else {
			// The answer can come before the goroutine that wrote the body says so.
			Eventually(bodies).Should(BeZero())
		}
		close(release)
		text, err := io.ReadAll(answer.Body)
		Expect(err).NotTo(HaveOccurred())
		Expect(string(text)).To(Equal(event(1) + event(2)))
		Eventually(bodies).Should(BeZero())
	},
		Entry("by a stream that is not resumed", "/check/", false),
		Entry("but not by one that may be resumed elsewhere", "/note/", true),
	)
})

// BenchmarkRequest measures the processor time of a request on the callers' path, upstream and caller included.
func BenchmarkRequest(b *testing.B) {
	for _, memory := range []int64{0, 112 << 20} {
		b.Run(fmt.Sprintf("memory=%d", memory), func(b *testing.B) {
			up := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				w.Header().Set("X-Id", r.Header.Get("X-Id"))
				w.Header().Set("X-Whole", "1")
				_, _ = io.Copy(w, r.Body)
			}))
			defer up.Close()
			address := directory.Upstream{ID: "up", Address: up.Listener.Addr().(*net.TCPAddr).AddrPort()}
			server, _ := newBoundedServer(func(ctx context.Context, r *forward.PlacementRequest) (*forward.Placement, error) {
				return (&fakePlacer{list: []directory.Upstream{address}}).place(ctx, r)
			}, memory)
			defer server.Close()
			body := strings.Repeat("x", 2000)
			before := processorTime()
			for b.Loop() {
				r, _ := http.NewRequest(http.MethodPost, server.URL+"/book/", strings.NewReader(body))
				r.Host, r.Header = "h", http.Header{"X-Id": {"1"}, "X-Key": {"k"}}
				answer, err := http.DefaultClient.Do(r)
				if err != nil {
					b.Fatal(err)
				}
				_, _ = io.Copy(io.Discard, answer.Body)
				_ = answer.Body.Close()
			}
			b.ReportMetric(float64((processorTime()-before).Nanoseconds())/float64(b.N), "cpu-ns/op")
		})
	}
}

func processorTime() time.Duration {
	var usage syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &usage)
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
