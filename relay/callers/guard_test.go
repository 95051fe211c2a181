package callers_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/chicoryrelay/chicoryrelay/relay/callers"
)

const testMemory = 8 << 20

// serve serves a handler behind a guard with the budget of a machine with testMemory.
func serve(handler http.HandlerFunc) (*callers.Guard, string) {
	guard := callers.New(callers.WithMemory(testMemory), callers.WithLog(&log.Logger{Handler: discard.Default}))
	server := httptest.NewUnstartedServer(handler)
	guard.Protect(server.Config)
	server.Listener = guard.Listen(server.Listener)
	server.Start()
	DeferCleanup(server.Close)
	return guard, server.Listener.Addr().String()
}

// serveHeld serves a handler that waits for a channel. The channel is closed by the returned function, at the latest before the server.
func serveHeld(handler func(http.ResponseWriter, *http.Request, <-chan struct{})) (*callers.Guard, string, func()) {
	held := make(chan struct{})
	guard, address := serve(func(w http.ResponseWriter, r *http.Request) { handler(w, r, held) })
	release := sync.OnceFunc(func() { close(held) })
	DeferCleanup(release)
	return guard, address, release
}

// echo answers with the length of the body.
func echo(w http.ResponseWriter, r *http.Request) {
	body, err := callers.ReadBody(w, r, 1<<20, time.Now().Add(5*time.Second))
	if err != nil {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	_, _ = fmt.Fprint(w, len(body))
}

func dial(address string) (net.Conn, *bufio.Reader) {
	GinkgoHelper()
	conn, err := net.Dial("tcp", address)
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(func() { _ = conn.Close() })
	_ = conn.SetDeadline(time.Now().Add(10 * time.Second))
	return conn, bufio.NewReader(conn)
}

func expectAnswer(r *bufio.Reader, status int, text string) {
	GinkgoHelper()
	answer, err := http.ReadResponse(r, nil)
	Expect(err).NotTo(HaveOccurred())
	body, err := io.ReadAll(answer.Body)
	Expect(err).NotTo(HaveOccurred())
	Expect(answer.StatusCode).To(Equal(status))
	if text != "" {
		Expect(string(body)).To(Equal(text))
	}
}

var _ = Describe("a server behind a guard", func() {
	// Guards against requests that are mixed up, or charges that stay, where the wrapper splits what it has read.
	DescribeTable("answers requests however they are cut and joined, and charges nothing once they have ended", func(text string, answers ...string) {
		for _, step := range []int{1, 7, len(text)} {
			guard, address := serve(echo)
			conn, reader := dial(address)
			go func() {
				for rest := text; rest != ""; {
					n := min(step, len(rest))
					_, _ = io.WriteString(conn, rest[:n])
					rest = rest[n:]
				}
			}()
			for _, answer := range answers {
				expectAnswer(reader, http.StatusOK, answer)
			}
			Eventually(func() int64 {
				return guard.Counters().Memory["heads"] + guard.Counters().Memory["bodies"] + guard.Counters().Memory["answers"]
			}).Should(BeZero())
			_ = conn.Close()
			Eventually(func() int { return guard.Counters().Connections }).Should(BeZero())
			Expect(guard.Counters().Memory["connections"]).To(BeZero())
		}
	},
		Entry("without a body", "GET / HTTP/1.1\r\nHost: h\r\n\r\n", "0"),
		Entry("with bare line feeds", "GET / HTTP/1.1\nHost: h\n\n", "0"),
		Entry("with a body", "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\n12345", "5"),
		Entry("in one write", strings.Repeat("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\n12345", 3), "5", "5", "5"),
		Entry("in chunks", "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n3\r\n123\r\n0\r\n\r\n", "3"),
		Entry("in chunks, one after the other", strings.Repeat("POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n3\r\n123\r\n0\r\n\r\n", 3)+"GET / HTTP/1.1\r\nHost: h\r\n\r\n", "3", "3", "3", "0"),
		Entry("with a body of 100,000 bytes", "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 100000\r\n\r\n"+strings.Repeat("x", 100_000), "100000"),
		Entry("with a body that ends like a head", "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 8\r\n\r\n\r\n\r\n\r\n\r\nGET / HTTP/1.1\r\nHost: h\r\n\r\n", "8", "0"),
	)

	// Guards against the end of a head that is not seen because only a part of it is left to read when the request before has ended: its
	// charge stayed until the next request.
	It("charges nothing after a head of which any part has come with the chunks before", func() {
		const chunks, head = "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n3\r\n123\r\n0\r\n\r\n", "GET / HTTP/1.1\r\nHost: h\r\n\r\n"
		for cut := 1; cut < len(head); cut++ {
			guard, address := serve(echo)
			conn, reader := dial(address)
			_, _ = io.WriteString(conn, chunks+head[:cut])
			expectAnswer(reader, http.StatusOK, "3")
			Eventually(func() int64 { return guard.Counters().Memory["answers"] }).Should(BeZero())
			_, _ = io.WriteString(conn, head[cut:])
			expectAnswer(reader, http.StatusOK, "0")
			Eventually(func() int64 { return guard.Counters().Memory["heads"] }).Should(BeZero(), "cut after %d bytes of %d", cut, len(head))
			_ = conn.Close()
		}
	})

	It("counts a head that follows chunks in one write", func() {
		guard, address := serve(echo)
		conn, reader := dial(address)
		_, _ = io.WriteString(conn, "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\nPOST / HTTP/1.1\r\n"+strings.Repeat("a:\r\n", 500))
		expectAnswer(reader, http.StatusOK, "0")
		Eventually(func() int64 { return guard.Counters().Memory["heads"] }).Should(BeNumerically(">=", 500*100))
	})

	It("refuses a body that does not fit, and serves what fits beside it", func() {
		guard, address := serve(echo)
		blocked := make([]*bufio.Reader, 12)
		for i := range blocked {
			conn, reader := dial(address)
			_, _ = io.WriteString(conn, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 500000\r\n\r\n"+strings.Repeat("x", 499_000))
			blocked[i] = reader
		}
		conn, reader := dial(address)
		_, _ = io.WriteString(conn, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\n12345")
		expectAnswer(reader, http.StatusOK, "5")
		Expect(guard.Counters().Memory["bodies"]).To(BeNumerically("<=", callers.Budget(testMemory)))
		Eventually(func() uint64 { return guard.Counters().Events["body_refused"] + guard.Counters().Events["closed_body"] }, "5s").Should(BeNumerically(">", 0))
	})

	// Guards against a refusal that is written into the answer of a request in progress.
	It("refuses nothing for a byte that follows a request in progress while there is no memory", func() {
		guard, address, release := serveHeld(func(w http.ResponseWriter, r *http.Request, release <-chan struct{}) {
			callers.HoldAnswer(r.Context(), callers.Budget(testMemory))
			<-release
			echo(w, r)
		})
		conn, reader := dial(address)
		_, _ = io.WriteString(conn, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
		Eventually(func() int64 { return guard.Counters().Memory["answers"] }).Should(BeNumerically(">=", callers.Budget(testMemory)))
		_, _ = io.WriteString(conn, "\n")
		Consistently(func() uint64 { return guard.Counters().Events["head_refused"] }, "1400ms", "100ms").Should(BeZero())
		release()
		expectAnswer(reader, http.StatusOK, "0")
	})

	It("closes no connection whose request runs, whoever needs memory", func() {
		guard, address, release := serveHeld(func(w http.ResponseWriter, r *http.Request, release <-chan struct{}) {
			if r.URL.Path == "/slow" {
				<-release
			}
			echo(w, r)
		})
		slow, slowReader := dial(address)
		_, _ = io.WriteString(slow, "GET /slow HTTP/1.1\r\nHost: h\r\n\r\n")
		Eventually(func() int64 { return guard.Counters().Memory["answers"] }).Should(BeNumerically(">", 0))
		for range 100 {
			conn, _ := dial(address)
			_, _ = io.WriteString(conn, "GET / HTTP/1.1\r\nHost: h\r\n"+strings.Repeat("a:\r\n", 900))
		}
		Eventually(func() uint64 { return guard.Counters().Events["closed_head"] }, "10s").Should(BeNumerically(">", 0))
		release()
		expectAnswer(slowReader, http.StatusOK, "0")
	})

	// Guards against a 503 for a request that runs: net/http reads one byte of what follows while a handler runs, and a refusal of that
	// byte's memory is written in front of the answer.
	It("does not refuse a request that runs because the client has begun to send the next one", func() {
		release := make(chan struct{})
		guard, address := serve(func(w http.ResponseWriter, r *http.Request) {
			if r.URL.Path == "/slow" {
				callers.HoldAnswer(r.Context(), testMemory)
				<-release
				callers.ReleaseAnswer(r.Context(), testMemory)
			}
			echo(w, r)
		})
		finish := sync.OnceFunc(func() { close(release) })
		DeferCleanup(finish)
		conn, reader := dial(address)
		_, _ = io.WriteString(conn, "GET /slow HTTP/1.1\r\nHost: h\r\n\r\n")
		Eventually(func() int64 { return guard.Counters().Memory["answers"] }).Should(BeNumerically(">=", testMemory))
		heads := guard.Counters().Memory["heads"]
		_, _ = io.WriteString(conn, "G")
		Eventually(func() int64 { return guard.Counters().Memory["heads"] }, "5s").Should(BeNumerically(">", heads))
		finish()
		expectAnswer(reader, http.StatusOK, "0")
		_, _ = io.WriteString(conn, "ET / HTTP/1.1\r\nHost: h\r\n\r\n")
		expectAnswer(reader, http.StatusOK, "0")
		Expect(guard.Counters().Events).NotTo(HaveKey("head_refused"))
	})

	// Guards against a high charge for clients that send requests ahead: the byte that net/http reads of the next request before the
	// handler begins counted as a body of unknown length, behind which a head of the greatest cost may be.
	It("counts a head whose first byte came before the handler of the request ahead of it began", func() {
		guard := callers.New(callers.WithMemory(testMemory), callers.WithLog(&log.Logger{Handler: discard.Default}))
		var heads atomic.Int64
		server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			heads.Store(guard.Counters().Memory["heads"])
			echo(w, r)
		}))
		guard.Protect(server.Config)
		protected := server.Config.Handler
		entered := make(chan int64)
		server.Config.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if r.URL.Path == "/first" {
				before := guard.Counters().Memory["heads"]
				entered <- before
				for r.Context().Err() == nil && guard.Counters().Memory["heads"] == before {
					time.Sleep(time.Millisecond)
				}
			}
			protected.ServeHTTP(w, r)
		})
		server.Listener = guard.Listen(server.Listener)
		server.Start()
		DeferCleanup(server.Close)
		conn, reader := dial(server.Listener.Addr().String())
		_, _ = io.WriteString(conn, "GET /first HTTP/1.1\r\nHost: h\r\n\r\n")
		before := <-entered
		_, _ = io.WriteString(conn, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
		expectAnswer(reader, http.StatusOK, "0")
		expectAnswer(reader, http.StatusOK, "0")
		Expect(heads.Load()).To(BeNumerically("<=", before))
		Eventually(func() int64 { return guard.Counters().Memory["heads"] }).Should(BeZero())
	})

	// Guards against clients that occupy connections until the idle timeout: a connection that had sent a byte of its next head while its
	// request ran counted as running after the answer.
	It("closes a connection whose next head has begun during its request, once that has ended", func() {
		release := make(chan struct{})
		answer := make(chan struct{})
		finish := sync.OnceFunc(func() { close(answer) })
		guard := callers.New(callers.WithDescriptors(8), callers.WithLog(&log.Logger{Handler: discard.Default}))
		server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			switch r.URL.Path {
			case "/first":
				<-answer
			case "/slow":
				<-release
			}
			echo(w, r)
		}))
		guard.Protect(server.Config)
		server.Listener = guard.Listen(server.Listener)
		server.Start()
		DeferCleanup(server.Close)
		DeferCleanup(func() {
			finish()
			close(release)
		})
		address := server.Listener.Addr().String()
		first, reader := dial(address)
		_, _ = io.WriteString(first, "GET /first HTTP/1.1\r\nHost: h\r\n\r\n")
		Eventually(func() int64 { return guard.Counters().Memory["answers"] }).Should(BeNumerically(">", 0))
		heads := guard.Counters().Memory["heads"]
		_, _ = io.WriteString(first, "G")
		Eventually(func() int64 { return guard.Counters().Memory["heads"] }).Should(BeNumerically(">", heads))
		finish()
		expectAnswer(reader, http.StatusOK, "0")
		Eventually(func() int64 { return guard.Counters().Memory["answers"] }).Should(BeZero())
		for i := range guard.Counters().MaxConnections - 1 {
			slow, _ := dial(address)
			_, _ = io.WriteString(slow, "GET /slow HTTP/1.1\r\nHost: h\r\n\r\n")
			Eventually(func() int64 { return guard.Counters().Memory["answers"] }).Should(BeNumerically(">=", int64(i+1)*(32<<10)))
		}
		last, lastReader := dial(address)
		_, _ = io.WriteString(last, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
		expectAnswer(lastReader, http.StatusOK, "0")
		Expect(guard.Counters().Events["closed_head"]).To(Equal(uint64(1)))
	})
})
