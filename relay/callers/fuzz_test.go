package callers_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/url"
	"runtime/metrics"
	"strings"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"

	"github.com/chicoryrelay/chicoryrelay/relay/callers"
)

const (
	// fuzzMemory is the memory of the machine that the fuzzed server believes to have, small enough that inputs exceed the budget.
	fuzzMemory = 1 << 20
	// maxFuzzHeap bounds the objects of the heap of a fuzzing process, garbage included, which has inputs of its own.
	maxFuzzHeap = 256 << 20
)

// pipes is a listener of connections in memory.
type pipes struct{ accepted chan net.Conn }

func (p pipes) Accept() (net.Conn, error) {
	conn, ok := <-p.accepted
	if !ok {
		return nil, net.ErrClosed
	}
	return conn, nil
}

func (p pipes) Close() error { return nil }

func (p pipes) Addr() net.Addr { return &net.TCPAddr{} }

// fuzzServer is the real server with a guard, and a handler that reads bodies.
func fuzzServer(f *testing.F) (*callers.Guard, chan net.Conn) {
	guard := callers.New(callers.WithMemory(fuzzMemory), callers.WithLog(&log.Logger{Handler: discard.Default}))
	server := &http.Server{Handler: http.HandlerFunc(echo), MaxHeaderBytes: 1 << 20}
	guard.Protect(server)
	accepted := make(chan net.Conn)
	go func() { _ = server.Serve(guard.Listen(pipes{accepted})) }()
	f.Cleanup(func() {
		close(accepted)
		_ = server.Close()
	})
	return guard, accepted
}

// send writes an input in parts of a size, reads what is answered, and checks that charges stay within the budget and end with the
// connection, and that the process's heap is bounded.
func send(t *testing.T, guard *callers.Guard, accepted chan net.Conn, input []byte, size int) {
	client, server := net.Pipe()
	accepted <- server
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		_, _ = io.Copy(io.Discard, client)
		cancel()
	}()
	// Before the guard knows of the connection, its counters show that of none.
	for guard.Counters().Connections == 0 && ctx.Err() == nil {
		time.Sleep(20 * time.Microsecond)
	}
	_ = client.SetWriteDeadline(time.Now().Add(3 * time.Second))
	for rest := input; len(rest) > 0 && ctx.Err() == nil; {
		n := min(max(1, size), len(rest))
		if _, err := client.Write(rest[:n]); err != nil {
			break
		}
		rest = rest[n:]
		checkBudget(t, guard)
	}
	_ = client.Close()
	<-ctx.Done()
	for begun := time.Now(); guard.Counters().Connections > 0; time.Sleep(20 * time.Microsecond) {
		if time.Since(begun) > 10*time.Second {
			t.Fatal("the connection is still open 10 s after its client has left")
		}
	}
	for holder, bytes := range guard.Counters().Memory {
		if bytes != 0 {
			t.Fatalf("%d bytes of %s are still charged after the connection has ended", bytes, holder)
		}
	}
}

func checkBudget(t *testing.T, guard *callers.Guard) {
	sum := int64(0)
	for _, bytes := range guard.Counters().Memory {
		sum += bytes
	}
	// The head that may follow a body of unknown length is charged without a wait.
	if sum > callers.Budget(fuzzMemory)+(300<<10) {
		t.Fatalf("%d bytes are charged, more than the budget", sum)
	}
	sample := []metrics.Sample{{Name: "/memory/classes/heap/objects:bytes"}}
	metrics.Read(sample)
	if heap := sample[0].Value.Uint64(); heap > maxFuzzHeap {
		t.Fatalf("the heap has %d bytes", heap)
	}
}

// FuzzHead guards against heads that occupy more memory than they are charged for, or whose charge stays.
func FuzzHead(f *testing.F) {
	guard, accepted := fuzzServer(f)
	for _, seed := range []string{
		"", "GET / HTTP/1.1\r\nHost: h\r\n\r\n", "\r\n\r\nGET / HTTP/1.1\r\n", strings.Repeat("\n", 5000), "GET / HTTP/1.1\r\nHost: h\r\n" + strings.Repeat("a:\r\n", 3000),
		"OPTIONS * HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\n123GET / HTTP/1.1\r\nHost: h\r\n\r\n", "GET / HTTP/1.1\r\nHost: h\r\n \r\n\r\n",
		"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\n12345POST / HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\nContent-Length: 1\r\n\r\n1",
	} {
		f.Add([]byte(seed), 7)
		f.Add([]byte(seed), 100_000)
	}
	f.Fuzz(func(t *testing.T, input []byte, size int) { send(t, guard, accepted, input, size) })
}

// FuzzChunks guards against chunked bodies that occupy more memory than they are charged for, or whose charge stays.
func FuzzChunks(f *testing.F) {
	guard, accepted := fuzzServer(f)
	const head = "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
	for _, seed := range []string{
		"0\r\n\r\n", "3\r\nabc\r\n0\r\n\r\n" + head + "0\r\nTrailer: x\r\n\r\n", strings.Repeat("1\r\nx\r\n", 2000), "1;x=" + strings.Repeat("y", 5000) + "\r\nx\r\n", "fffffff\r\n" + strings.Repeat("z", 20_000),
		"0\r\n\r\nGET / HTTP/1.1\r\n" + strings.Repeat("a:\r\n", 1000),
	} {
		f.Add([]byte(seed), 7)
		f.Add([]byte(seed), 100_000)
	}
	f.Fuzz(func(t *testing.T, input []byte, size int) {
		send(t, guard, accepted, append([]byte(head), input...), size)
	})
}

// FuzzTarget checks that a request's target is the path and query by which its route was chosen.
func FuzzTarget(f *testing.F) {
	for _, target := range []string{"/a%2Fb?x=1", "//a", "http://h/a", "http:/a?q=x://h/b", "http:///a", "x:a?q=x://h/b", "http://h?a", "*", "http://u@h:80#/a", "HTTP:/a"} {
		f.Add(target)
	}
	f.Fuzz(func(t *testing.T, target string) {
		r, err := http.ReadRequest(bufio.NewReader(strings.NewReader("GET " + target + " HTTP/1.1\r\nHost: h\r\n\r\n")))
		if err != nil || !strings.HasPrefix(r.URL.Path, "/") {
			return
		}
		sent, err := url.ParseRequestURI(callers.Target(r))
		if err != nil || sent.Path != r.URL.Path || sent.RawQuery != r.URL.RawQuery {
			t.Fatalf("%q is sent as %q: %v", target, callers.Target(r), err)
		}
	})
}
