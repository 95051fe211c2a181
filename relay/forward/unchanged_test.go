package forward_test

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/chicoryrelay/chicoryrelay/relay/connection"
	"github.com/chicoryrelay/chicoryrelay/relay/directory"
)

// conduct is what an upstream does with one send.
type conduct int

const (
	// closes ends the connection once the request is in, cuts before that, hangs reads on only when callers with a deadline have given up.
	closes conduct = iota
	cuts
	hangs
	// declines declares the request not run once it is in, declinesEarly before that: it keeps the connection and reads on.
	declines
	declinesEarly
	// fails answers with an error, breaks with the next event and the end of the connection, completes with the next event.
	fails
	breaks
	completes
	// declinesLate and completesLate answer before the request is in, keep the connection and read on a while later.
	declinesLate
	completesLate
)

// lateTime is long enough for the VM to have dealt with an answer.
const lateTime = 5 * time.Millisecond

// hangTime is longer than the deadline of callers that have one.
const hangTime = 40 * time.Millisecond

// received is one send as its upstream received it.
type received struct {
	id, method, target string
	header             http.Header
	body               []byte
	// whole reports that as many bytes of the body came as the head announces, early that the answer came before them.
	whole, early bool
}

// recorder is a group of upstreams that go through one list of conducts, the last one again and again, and record all sends.
type recorder struct {
	mu       sync.Mutex
	conducts []conduct
	sends    []received
	// malformed are the errors of requests that could not be parsed: bytes that are due to no request.
	malformed []string
	running   sync.WaitGroup
	// listeners are those of the upstreams, each of which accepts connections until it is closed.
	listeners []net.Listener
}

func (c *recorder) next() (conduct, int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	next := c.conducts[0]
	if len(c.conducts) > 1 {
		c.conducts = c.conducts[1:]
	}
	c.sends = append(c.sends, received{})
	return next, len(c.sends)
}

func (c *recorder) record(n int, r *http.Request, body []byte, err error, early bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sends[n-1] = received{id: r.Header.Get("X-Id"), method: r.Method, target: r.RequestURI, header: r.Header, body: body, whole: err == nil, early: early}
}

// recordUnparsed records an error of http.ReadRequest unless it is the end of the connection.
func (c *recorder) recordUnparsed(err error) {
	var network *net.OpError
	if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.As(err, &network) {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.malformed = append(c.malformed, err.Error())
}

// recorded ends the upstreams, waits for their connections to end and returns the sends.
func (c *recorder) recorded() []received {
	for _, listener := range c.listeners {
		_ = listener.Close()
	}
	c.running.Wait()
	return c.sends
}

// upstream starts one more upstream of the group.
func (c *recorder) upstream() directory.Upstream {
	GinkgoHelper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	c.listeners = append(c.listeners, listener)
	c.running.Go(func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			// A body longer than the buffers is not written whole before the upstream reads it.
			_ = conn.(*net.TCPConn).SetReadBuffer(64 << 10)
			c.running.Go(func() {
				defer func() { _ = conn.Close() }()
				reader := bufio.NewReader(conn)
				for more := true; more; {
					more = c.serve(conn, reader)
				}
			})
		}
	})
	return directory.Upstream{ID: listener.Addr().String(), Address: netip.MustParseAddrPort(listener.Addr().String())}
}

// serve reads and answers one request; it reports whether the connection goes on.
func (c *recorder) serve(conn net.Conn, reader *bufio.Reader) bool {
	r, err := http.ReadRequest(reader)
	if err != nil {
		c.recordUnparsed(err)
		return false
	}
	next, n := c.next()
	answer := func(status int, headers, body string) {
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 %d X\r\nX-Id: %s\r\n%sContent-Length: %d\r\n\r\n%s", status, r.Header.Get("X-Id"), headers, len(body), body)
	}
	begun := strings.Replace(chunked, "X-Id: 1", "X-Id: "+r.Header.Get("X-Id"), 1)
	if next == cuts {
		c.record(n, r, nil, io.ErrUnexpectedEOF, false)
		return false
	}
	if next == hangs {
		time.Sleep(hangTime)
	}
	switch next {
	case declinesEarly, declinesLate:
		answer(503, "X-Not-Run: 1\r\n", "")
	case completesLate:
		_, _ = io.WriteString(conn, begun+chunk(event(n))+"0\r\n\r\n")
	}
	if next == declinesLate || next == completesLate {
		time.Sleep(lateTime)
	}
	body, err := io.ReadAll(r.Body)
	c.record(n, r, body, err, next == declinesEarly || next == declinesLate || next == completesLate)
	switch next {
	case closes, hangs:
		return false
	case declines:
		answer(503, "X-Not-Run: 1\r\n", "")
	case fails:
		answer(500, "X-Whole: 1\r\n", "failed")
	case breaks:
		_, _ = io.WriteString(conn, begun+chunk(event(n)))
		return false
	case completes:
		_, _ = io.WriteString(conn, begun+chunk(event(n))+"0\r\n\r\n")
	}
	return err == nil
}

// sentRequest is a caller's request.
type sentRequest struct {
	id, method, target string
	body               []byte
	// chunked sends the body in chunks, torn leaves it without its end.
	chunked, torn bool
	// leaves closes the connection without waiting for the answer.
	leaves bool
	// absolute sends the target with scheme and host, expects announces the body with Expect: 100-continue and sends it at once, trailed
	// ends the chunks with a trailer.
	absolute, expects, trailed bool
	// hurried gives the request a deadline of half of hangTime.
	hurried bool
	// follows sends the request on the connection of the one before, without waiting for that one's answer.
	follows bool
	// trickles sends the request in pieces with pauses, extended has extensions, zeros and sizes of one byte in the chunks.
	trickles, extended bool
}

// targets are ends of paths, and queries, that a parser may write in another way.
var targets = []string{"", "a%2Fb//c", "?", "?x=1&x=%20", "a|b\"c", "%7e~%41", "../b/./c", "\xc3\xa9", "?q=|;&%zz", "a?b?c"}

// drawRequest draws a request with a body around the sizes at which its handling changes.
func drawRequest(random *rand.Rand, id string) sentRequest {
	pick := func(list ...int) int { return list[random.IntN(len(list))] }
	path := []string{"/read/", "/book/", "/check/", "/note/", "/long/", "/once/"}[random.IntN(6)]
	q := sentRequest{
		id: id, method: []string{"POST", "PUT", "DELETE", "GET", "HEAD"}[random.IntN(5)], target: path + targets[random.IntN(len(targets))],
		body: make([]byte, pick(0, 1, 999, 4095, 4096, 4097, 70_000, 900_000)), chunked: random.IntN(2) == 0, leaves: random.IntN(10) == 0,
		absolute: random.IntN(4) == 0, expects: random.IntN(4) == 0, trailed: random.IntN(4) == 0, follows: random.IntN(3) == 0,
		hurried: random.IntN(4) == 0, trickles: random.IntN(4) == 0, extended: random.IntN(4) == 0,
	}
	for i := range q.body {
		q.body[i] = byte(random.IntN(256))
	}
	q.torn = q.chunked && random.IntN(10) == 0
	return q
}

// drawConducts draws what upstreams do, with sends that have not begun before one that breaks off more often than by chance.
func drawConducts(random *rand.Rand) []conduct {
	var list []conduct
	for range random.IntN(6) {
		list = append(list, []conduct{closes, cuts, hangs, declines, declinesEarly, declinesLate}[random.IntN(6)])
	}
	for range 1 + random.IntN(4) {
		list = append(list, []conduct{fails, breaks, completes, declinesEarly, declinesLate, completesLate}[random.IntN(6)])
	}
	return list
}

// expectUnchanged sends the requests at once to a VM with an amount of memory, 0 for no limit, and expects every send to bear what its
// caller sent, and none to be made of a body that did not come to its end. It returns how many were sent on a kept connection, and how
// many were answered before they were in and have ended with a part of the body.
func expectUnchanged(conducts []conduct, memory int64, requests ...sentRequest) (reused, cut uint64) {
	GinkgoHelper()
	group, fake, pool := &recorder{conducts: conducts}, &fakePlacer{}, connection.NewPool(connection.WithDial(dialSmall))
	upstreams := []directory.Upstream{group.upstream(), group.upstream(), group.upstream()}
	for range 20 {
		// Upstreams that come again get requests on kept connections.
		fake.list = append(fake.list, upstreams...)
	}
	server, _ := newPooledServer(fake.place, pool, memory)
	sent, callers := map[string]sentRequest{}, sync.WaitGroup{}
	for i, q := range requests {
		sent[q.id] = q
		if i > 0 && q.follows {
			continue
		}
		end := i + 1
		for end < len(requests) && requests[end].follows {
			end++
		}
		callers.Go(func() { sendAll(server.Listener.Addr().String(), requests[i:end]) })
	}
	callers.Wait()
	server.Close()
	pool.Close()
	sends := group.recorded()
	Expect(group.malformed).To(BeEmpty())
	for i, send := range sends {
		if send.early && !send.whole {
			cut++
		}
		if send.method == "" && !send.whole {
			continue
		}
		q, ok := sent[send.id]
		Expect(ok).To(BeTrue(), "send %d has the ID %q", i+1, send.id)
		Expect(q.torn).To(BeFalse(), "send %d is of a body without its end", i+1)
		Expect(send.method+" "+send.target).To(Equal(q.method+" "+q.target), "send %d", i+1)
		Expect(send.header).NotTo(HaveKey("Expect"), "send %d", i+1)
		if send.whole {
			Expect(bytes.Equal(send.body, q.body)).To(BeTrue(), "send %d has %d bytes instead of the caller's %d, or others; upstreams %v", i+1, len(send.body), len(q.body), conducts)
		} else {
			Expect(bytes.HasPrefix(q.body, send.body)).To(BeTrue(), "the part of send %d", i+1)
		}
	}
	return pool.Counters().Reused, cut
}

// sendAll sends requests on one connection as their caller and reads the answers.
func sendAll(address string, requests []sentRequest) {
	conn, err := net.Dial("tcp", address)
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(5 * time.Second))
	read := make(chan struct{})
	go func() {
		defer close(read)
		_, _ = io.Copy(io.Discard, conn)
	}()
	for i, q := range requests {
		text := q.encode(i == len(requests)-1)
		if q.trickles {
			for ; len(text) > 20; time.Sleep(time.Millisecond) {
				n := max(10, len(text)/3)
				_, _ = io.WriteString(conn, text[:n])
				text = text[n:]
			}
		}
		// An error means that the VM refused the request before it was in.
		_, _ = io.WriteString(conn, text)
		if q.torn {
			_ = conn.(*net.TCPConn).CloseWrite()
		}
		if q.leaves {
			return
		}
		if q.torn {
			break
		}
	}
	<-read
}

// encode returns the bytes of the request; last ends its connection.
func (q sentRequest) encode(last bool) string {
	target := q.target
	if q.absolute {
		target = "http://h" + target
	}
	var text strings.Builder
	fmt.Fprintf(&text, "%s %s HTTP/1.1\r\nHost: h\r\nX-Id: %s\r\nX-Key: k\r\n", q.method, target, q.id)
	if last {
		text.WriteString("Connection: close\r\n")
	}
	if q.hurried {
		fmt.Fprintf(&text, "X-Wait: %d\r\n", (hangTime / 2).Milliseconds())
	}
	if q.expects {
		text.WriteString("Expect: 100-continue\r\n")
	}
	if !q.chunked {
		fmt.Fprintf(&text, "Content-Length: %d\r\n\r\n%s", len(q.body), q.body)
		return text.String()
	}
	text.WriteString("Transfer-Encoding: chunked\r\n\r\n")
	for rest := q.body; len(rest) > 0; {
		part, format := rest[:min(len(rest), 3000)], "%x\r\n%s\r\n"
		if q.extended {
			part, format = rest[:min(len(rest), 1+len(rest)/2)], "0%X;a=\"b\"\r\n%s\r\n"
		}
		rest = rest[len(part):]
		fmt.Fprintf(&text, format, len(part), part)
	}
	switch {
	case q.torn:
	case q.trailed:
		text.WriteString("0\r\nX-Sum: 1\r\n\r\n")
	default:
		text.WriteString("0\r\n\r\n")
	}
	return text.String()
}

// seeds returns the number of seeds: 20, or CHICORY_SEEDS.
func seeds() uint64 {
	if n, err := strconv.ParseUint(os.Getenv("CHICORY_SEEDS"), 10, 64); err == nil {
		return n
	}
	return 20
}

// Guards against requests that an upstream runs with another method, path, query or body than their caller's, whatever the sends before
// them came to.
var _ = Describe("each send of a request bears what its caller sent", func() {
	It("also if a stream breaks off after three sends that had not begun", func() {
		for _, before := range [][]conduct{{declines, declines, declines}, {closes, declines, closes}, {closes, closes, closes}} {
			for _, size := range []int{1, 999, 5000} {
				expectUnchanged(append(before, breaks, completes), 0, sentRequest{id: "1", method: "POST", target: "/note/", body: bytes.Repeat([]byte("x"), size)})
			}
		}
	})

	It("with drawn requests and upstreams", func() {
		reused, cut := uint64(0), uint64(0)
		for seed := range seeds() {
			By(fmt.Sprintf("seed %d", seed))
			random := rand.New(rand.NewPCG(seed, 45))
			for range 10 {
				memory := []int64{0, 2 << 20, 16 << 20}[random.IntN(3)]
				var requests []sentRequest
				for i := range 1 + random.IntN(4) {
					requests = append(requests, drawRequest(random, strconv.Itoa(i)))
				}
				kept, left := expectUnchanged(drawConducts(random), memory, requests...)
				reused, cut = reused+kept, cut+left
			}
		}
		AddReportEntry("sends", fmt.Sprintf("%d on kept connections, %d cut after an early answer", reused, cut))
		// Bytes that are left of one send can only get into another one on a kept connection.
		Expect(reused).To(BeNumerically(">", seeds()))
		Expect(cut).To(BeNumerically(">", 0))
	})
})
