package gateway_test

import (
	"bufio"
	"bytes"
	"context"
	"encoding/binary"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/tidwall/gjson"

	"github.com/chicoryrelay/chicoryrelay/coord/ledger"
	"github.com/chicoryrelay/chicoryrelay/coord/registry"
	"github.com/chicoryrelay/chicoryrelay/relay/catalogue"
	"github.com/chicoryrelay/chicoryrelay/relay/dispatch"
	"github.com/chicoryrelay/chicoryrelay/relay/gateway"
	"github.com/chicoryrelay/chicoryrelay/relay/prompt"
	"github.com/chicoryrelay/chicoryrelay/relay/routing"
	"github.com/chicoryrelay/chicoryrelay/relay/upstream"
)

// conduct is what an upstream does with one send.
type conduct int

const (
	// closes ends the connection once the request is in, cuts before that.
	closes conduct = iota
	cuts
	// declines declares the request not run once it is in, declinesEarly before that: it keeps the connection and reads on.
	declines
	declinesEarly
	// fails answers with an error, breaks with a part of the answer and the end of the connection.
	fails
	breaks
	// completes answers whole once the request is in, completesEarly before that: it keeps the connection and reads on, and
	// completesLate after a while in which a second attempt may begin.
	completes
	completesEarly
	completesLate
)

// received is one send as its upstream received it.
type received struct {
	id, method, target, tag string
	header                  http.Header
	body                    []byte
	// whole reports that as many bytes of the body came as the head announces.
	whole bool
}

// toEngine reports whether the send is a text request.
func (r received) toEngine() bool { return strings.HasPrefix(r.target, "/v1/") }

// recorder is a group of engines and services that records all sends. The sends of each request go through a list of conducts drawn
// for its ID; those behind the end of the list are answered whole.
type recorder struct {
	seed    uint64
	running atomic.Int64

	mu       sync.Mutex
	conducts map[string][]conduct
	sends    []received
	// malformed are the errors of requests that could not be parsed.
	malformed []string
}

// next returns the conduct and the number of a send.
func (c *recorder) next(id string) (conduct, int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sends = append(c.sends, received{})
	list, known := c.conducts[id]
	if !known {
		number, _ := strconv.ParseUint(strings.TrimPrefix(id, "req"), 10, 64)
		list = drawConducts(rand.New(rand.NewPCG(c.seed, number)))
	}
	next := completes
	if len(list) > 0 {
		next, list = list[0], list[1:]
	}
	c.conducts[id] = list
	return next, len(c.sends)
}

func (c *recorder) record(n int, r *http.Request, body []byte, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sends[n-1] = received{
		id: r.Header.Get("X-Request-Id"), method: r.Method, target: r.RequestURI, tag: r.Header.Get("Accept-Language"), header: r.Header, body: body, whole: err == nil,
	}
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

// start starts one more upstream and returns its address.
func (c *recorder) start() netip.AddrPort {
	GinkgoHelper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			c.running.Add(1)
			// A body longer than the buffers is not written whole before the upstream reads it.
			_ = conn.(*net.TCPConn).SetReadBuffer(256 << 10)
			go func() {
				defer c.running.Add(-1)
				defer func() { _ = conn.Close() }()
				reader := bufio.NewReader(conn)
				for more := true; more; {
					more = c.serve(conn, reader)
				}
			}()
		}
	}()
	return netip.MustParseAddrPort(listener.Addr().String())
}

// serve reads and answers one request; it reports whether the connection goes on.
func (c *recorder) serve(conn net.Conn, reader *bufio.Reader) bool {
	r, err := http.ReadRequest(reader)
	if err != nil {
		c.recordUnparsed(err)
		return false
	}
	next, n := c.next(r.Header.Get("X-Request-Id"))
	if next == cuts {
		c.record(n, r, nil, io.ErrUnexpectedEOF)
		return false
	}
	early := map[conduct]string{declinesEarly: declined(r), completesEarly: answered(r, false)}
	if _, _ = io.WriteString(conn, early[next]); early[next] != "" {
		// The system reads the answer while it still writes the body.
		time.Sleep(5 * time.Millisecond)
	}
	body, err := io.ReadAll(r.Body)
	c.record(n, r, body, err)
	if next == completesLate {
		time.Sleep(20 * time.Millisecond)
	}
	late := map[conduct]string{
		declines: declined(r), breaks: answered(r, true), completes: answered(r, false), completesLate: answered(r, false),
		fails: "HTTP/1.1 500 X\r\nContent-Length: 6\r\n\r\nfailed",
	}
	_, _ = io.WriteString(conn, late[next])
	return err == nil && next != closes && next != breaks
}

func declined(r *http.Request) string {
	text := `{"error":{"code":"loading"}}`
	return fmt.Sprintf("HTTP/1.1 503 X\r\nX-Request-Id: %s\r\nContent-Length: %d\r\n\r\n%s", r.Header.Get("X-Request-Id"), len(text), text)
}

// answered returns the answer to a request; a broken one ends before its end.
func answered(r *http.Request, broken bool) string {
	id := r.Header.Get("X-Request-Id")
	if !(received{target: r.RequestURI}).toEngine() {
		text := "HTTP/1.1 200 OK\r\nContent-Length: 8\r\n\r\nanswered"
		if broken {
			return text[:len(text)-3]
		}
		return text
	}
	from, _ := strconv.Atoi(r.Header.Get("X-Resume-From"))
	last := answerTokens
	if broken {
		last = min(from+2, answerTokens-1)
	}
	events := httptest.NewRecorder()
	for i := from; i <= last; i++ {
		event(events, id, i, "")
	}
	if !broken {
		_, _ = io.WriteString(events, "data: [DONE]\n\n")
	}
	text := fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Incarnation: 7\r\nX-Request-Id: %s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", id)
	if events.Body.Len() > 0 {
		text += fmt.Sprintf("%x\r\n%s\r\n", events.Body.Len(), events.Body)
	}
	if broken {
		return text
	}
	return text + "0\r\n\r\n"
}

// drawConducts draws what upstreams do, with sends that have not begun before one that breaks off more often than by chance.
func drawConducts(random *rand.Rand) []conduct {
	var list []conduct
	for range random.IntN(4) {
		list = append(list, []conduct{closes, cuts, declines, declinesEarly, completesLate}[random.IntN(5)])
	}
	for range random.IntN(4) {
		list = append(list, []conduct{fails, breaks, completes, completesEarly, completesLate, declinesEarly}[random.IntN(6)])
	}
	return list
}

// maxUnchangedBody is the largest body that the gateway of the drawn requests accepts.
const maxUnchangedBody = 950_000

// sentRequest is a caller's request.
type sentRequest struct {
	// tag names the request in what its upstream receives: a service in Accept-Language, an engine in the body's user.
	tag, method, path string
	header            string
	body              []byte
	// expected are the method, target and body of each of its sends.
	expectedLine string
	expectedBody []byte
	// once is set for a call that may run once at most.
	once bool
	// chunked sends the body in chunks, torn leaves it without its end.
	chunked, torn bool
	// leaves closes the connection without waiting for the answer, again sends the request a second time.
	leaves, again bool
	// expects announces the body with Expect: 100-continue and sends it at once, trickles sends it in pieces with pauses, extended has
	// extensions and zeros in the sizes of its chunks.
	expects, trickles, extended bool
}

// drawRequest draws a request with a body around the sizes at which its handling changes.
func drawRequest(random *rand.Rand, tag string) sentRequest {
	sizes := []int{0, 1, 999, 4095, 4096, 4097, 70_000, 900_000, maxUnchangedBody, maxUnchangedBody + 1}
	size := sizes[random.IntN(len(sizes))]
	q := sentRequest{
		tag: tag, chunked: random.IntN(2) == 0, leaves: random.IntN(10) == 0,
		expects: random.IntN(4) == 0, trickles: random.IntN(4) == 0, extended: random.IntN(4) == 0,
	}
	if random.IntN(2) == 0 {
		q.drawCall(random, size)
	} else {
		q.drawText(random, size)
	}
	q.torn = len(q.body) > 0 && random.IntN(8) == 0
	return q
}

// drawCall makes the request a call to a service.
func (q *sentRequest) drawCall(random *rand.Rand, size int) {
	path := []string{"/read/", "/book/"}[random.IntN(2)] + []string{"", "a%2Fb", "a//b", "?", "?x=1&x=%20;y", "%41~%7e?/?", "a|b{c}"}[random.IntN(7)]
	q.method, q.once = []string{"POST", "PUT", "DELETE", "GET"}[random.IntN(4)], strings.HasPrefix(path, "/book/")
	q.path = "/services/" + []string{"desk", "%64esk"}[random.IntN(2)] + path
	q.body = make([]byte, size)
	for part := range slices.Chunk(q.body, 8) {
		copy(part, binary.LittleEndian.AppendUint64(nil, random.Uint64()))
	}
	q.header = "Accept-Language: " + q.tag + "\r\n"
	if q.once && random.IntN(2) == 0 {
		q.header += "Idempotency-Key: key of " + q.tag + "\r\n"
		q.again = random.IntN(2) == 0
	}
	q.expectedLine, q.expectedBody = q.method+" "+path, q.body
}

// drawText makes the request one to an assistant.
func (q *sentRequest) drawText(random *rand.Rand, size int) {
	if size <= maxUnchangedBody {
		// Parsing longer prompts takes most of the test's time.
		size = min(size, 70_000)
	}
	text := make([]byte, size/2)
	for part := range slices.Chunk(text, 8) {
		copy(part, binary.LittleEndian.AppendUint64(nil, random.Uint64()))
	}
	kind, member, path := prompt.Chat, fmt.Sprintf(`"messages": [{"content":"%s %s\u00e9\/", "role":"user"}]`, q.tag, hex.EncodeToString(text)), "/v1/chat/completions"
	if random.IntN(2) == 0 {
		kind, member, path = prompt.Completion, fmt.Sprintf(`"prompt":"%s %s"`, q.tag, hex.EncodeToString(text)), "/v1/completions"
	}
	stream := random.IntN(2) == 0
	q.body = fmt.Appendf(nil, " {\"user\":%q,\n\"model\":\"recipes\", \"stream\":%v,\"temperature\":1.50e0,\"max_tokens\":%d,%s}\n", q.tag, stream, answerTokens, member)
	q.method, q.path = http.MethodPost, path+[]string{"", "?"}[random.IntN(2)]
	if stream && random.IntN(4) == 0 {
		q.header = fmt.Sprintf("Last-Event-ID: req9:1:%d\r\n", random.IntN(answerTokens))
	}
	if len(q.body) <= maxUnchangedBody {
		_, err := prompt.Parse(kind, q.body)
		Expect(err).NotTo(HaveOccurred())
	}
	q.expectedLine, q.expectedBody = "POST "+path, prompt.Rewrite(q.body, "m")
}

// text returns the head of the request, and the body as it is sent.
func (q sentRequest) text() (head string, body []byte) {
	head = fmt.Sprintf("%s %s HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer secret\r\n%s", q.method, q.path, q.header)
	if q.expects {
		head += "Expect: 100-continue\r\n"
	}
	if !q.chunked {
		body = q.body
		if q.torn {
			body = body[:len(body)/2]
		}
		return head + fmt.Sprintf("Content-Length: %d\r\n\r\n", len(q.body)), body
	}
	format := "%x\r\n%s\r\n"
	if q.extended {
		format = "0%X;a=\"b\"\r\n%s\r\n"
	}
	for part := range slices.Chunk(q.body, 3000) {
		body = fmt.Appendf(body, format, len(part), part)
	}
	if !q.torn {
		body = append(body, "0\r\n\r\n"...)
	}
	return head + "Transfer-Encoding: chunked\r\n\r\n", body
}

// callerConnection is a connection that a caller keeps while the gateway does.
type callerConnection struct {
	address string
	conn    net.Conn
	reader  *bufio.Reader
}

func (c *callerConnection) close() {
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
}

// send sends a request and reads its answer.
func (c *callerConnection) send(q sentRequest) {
	if c.conn == nil {
		conn, err := net.Dial("tcp", c.address)
		if err != nil {
			return
		}
		c.conn, c.reader = conn, bufio.NewReader(conn)
	}
	conn := c.conn
	_ = conn.SetDeadline(time.Now().Add(10 * time.Second))
	head, body := q.text()
	written := make(chan error, 1)
	go func() {
		// An error means that the gateway refused the request before it was in.
		text := append([]byte(head), body...)
		if q.trickles {
			for ; len(text) > 20; time.Sleep(time.Millisecond) {
				n := max(10, len(text)/3)
				_, _ = conn.Write(text[:n])
				text = text[n:]
			}
		}
		_, err := conn.Write(text)
		if err == nil && q.torn {
			err = conn.(*net.TCPConn).CloseWrite()
		}
		written <- err
	}()
	if q.leaves {
		<-written
		c.close()
		return
	}
	response, err := http.ReadResponse(c.reader, &http.Request{Method: q.method})
	for err == nil && response.StatusCode == http.StatusContinue {
		response, err = http.ReadResponse(c.reader, &http.Request{Method: q.method})
	}
	if err != nil {
		c.close()
		<-written
		return
	}
	_, err = io.Copy(io.Discard, response.Body)
	select {
	case writeErr := <-written:
		if err != nil || writeErr != nil || response.Close || q.torn {
			c.close()
		}
	default:
		c.close()
		<-written
	}
}

// newRecordedGateway starts a gateway whose engines and services are those of a recorder, and returns the function that stops it once
// all its sends have ended.
func newRecordedGateway(c *recorder) (server *httptest.Server, stop func()) {
	GinkgoHelper()
	objects, err := catalogue.New(1, []catalogue.Object{
		{Kind: "account", Name: "a", Value: json.RawMessage(fmt.Sprintf(`{"key":%q}`, catalogue.HashKey("secret")))},
		{Kind: "assistant", Name: "recipes", Value: json.RawMessage(`{"model":"m"}`)},
		{Kind: "rule", Name: "read", Value: json.RawMessage(`{"service":"desk","path":"/read/","idempotent":true}`)},
	})
	Expect(err).NotTo(HaveOccurred())
	for i := range 4 {
		objects.Upstreams = append(objects.Upstreams, catalogue.Upstream{
			Name: fmt.Sprint("engine", i), Address: c.start(), DataCentre: "c", Region: "r", Kind: catalogue.Engine, Model: "m", Weights: "1", Slots: 8, State: catalogue.Active,
		}, catalogue.Upstream{Name: fmt.Sprint("desk", i), Address: c.start(), Kind: catalogue.Service, Service: "desk", State: catalogue.Active})
	}
	d := dispatch.New(routing.New(routing.WithLocation("vm1", "c", "r"), routing.WithTimes(func(t *routing.Times) {
		t.MinHedgeDelay, t.BaseBackoff, t.MaxBackoff = time.Millisecond, time.Millisecond, 2*time.Millisecond
	}), routing.WithShares(func(s *routing.Shares) { s.Retry, s.Hedge = 10, 10 })))
	d.Run()
	DeferCleanup(d.Stop)
	d.Configure(objects)
	acquire := func(ctx context.Context, r dispatch.Request) (*dispatch.Ticket, error) {
		ticket, err := d.Acquire(ctx, r)
		if ticket != nil {
			// A second attempt begins before a late answer.
			ticket.HedgeDelay = 2 * time.Millisecond
		}
		return ticket, err
	}
	configuration := func() gateway.Configuration { return gateway.Configuration{Catalogue: objects, Leased: true} }
	client, quiet := upstream.New(), &log.Logger{Handler: discard.New(), Level: log.FatalLevel}
	var ids, attempts, index atomic.Uint64
	var mu sync.Mutex
	machine := registry.New()
	booker := gateway.NewBooker(
		gateway.WithSubmit(func(_ context.Context, entry []byte) (ledger.Reply, error) {
			mu.Lock()
			defer mu.Unlock()
			reply := machine.Apply(index.Add(1), entry)
			return *reply.Ledger, reply.Err
		}),
		gateway.WithLease(func() time.Duration { return 0 }, func() ledger.Owner { return ledger.Owner{VM: "vm1", Boot: 1} }, func(time.Duration) bool { return true }),
		gateway.WithRegistry(func(time.Duration) (time.Time, uint64) { return time.Time{}, 0 }),
		gateway.WithTimeouts(time.Hour, time.Hour),
		gateway.WithServices(client, configuration, 1<<10),
		gateway.WithAttemptIDs(func() ledger.Attempt {
			return ledger.Attempt(binary.BigEndian.AppendUint64(make([]byte, len(ledger.Attempt{})-8), attempts.Add(1)))
		}),
		gateway.WithBookerLog(quiet),
	)
	server = httptest.NewServer(gateway.New(
		gateway.WithConfiguration(configuration), gateway.WithAcquire(acquire), gateway.WithBook(booker.Book), gateway.WithClient(client),
		gateway.WithIDs(func() string { return fmt.Sprint("req", ids.Add(1)) }), gateway.WithLog(quiet), gateway.WithMaxBodyBytes(maxUnchangedBody),
	).Handler())
	stop = sync.OnceFunc(func() {
		server.Close()
		booker.Close()
		Eventually(func() int64 {
			client.Close()
			return c.running.Load()
		}, "20s").Should(BeZero())
	})
	DeferCleanup(stop)
	return server, stop
}

// expectUnchanged expects that every send bears what its caller sent, and that none was made of a body that did not come to its end or
// is too long.
func (c *recorder) expectUnchanged(sent map[string]sentRequest) (sends, repeated int) {
	GinkgoHelper()
	Expect(c.malformed).To(BeEmpty())
	// sentUnder are the IDs under which the calls that may run once were sent, tags the text requests of the IDs.
	sentUnder, tags, perRequest := map[string][]string{}, map[string]string{}, map[string]int{}
	for i, send := range c.sends {
		if send.method == "" {
			continue
		}
		Expect(send.header).NotTo(HaveKey("Expect"), "send %d", i+1)
		tag := send.tag
		if send.toEngine() {
			tag = gjson.GetBytes(send.body, "user").Str
		}
		if send.toEngine() && !send.whole {
			Expect(slices.ContainsFunc(slices.Collect(maps.Values(sent)), func(q sentRequest) bool { return bytes.HasPrefix(q.expectedBody, send.body) })).To(BeTrue(), "the part of send %d", i+1)
			continue
		}
		q, ok := sent[tag]
		Expect(ok).To(BeTrue(), "send %d has the tag %q", i+1, tag)
		Expect(q.torn).To(BeFalse(), "send %d of %s is of a body without its end", i+1, tag)
		Expect(len(q.body)).To(BeNumerically("<=", maxUnchangedBody), "send %d of %s", i+1, tag)
		Expect(send.method+" "+send.target).To(Equal(q.expectedLine), "send %d of %s", i+1, tag)
		if send.whole {
			Expect(bytes.Equal(send.body, q.expectedBody)).To(BeTrue(), "send %d of %s has %d bytes instead of the caller's %d, or others", i+1, tag, len(send.body), len(q.expectedBody))
		} else {
			Expect(bytes.HasPrefix(q.expectedBody, send.body)).To(BeTrue(), "the part of send %d of %s", i+1, tag)
		}
		if q.once {
			sentUnder[tag] = append(sentUnder[tag], send.id)
			Expect(sentUnder[tag]).To(HaveLen(1), "send %d of %s, which may run once", i+1, tag)
		}
		if send.toEngine() && tags[send.id] != "" {
			Expect(tag).To(Equal(tags[send.id]), "send %d under the ID %s", i+1, send.id)
		}
		tags[send.id] = tag
		if perRequest[tag]++; perRequest[tag] > 1 {
			repeated++
		}
	}
	return len(c.sends), repeated
}

// seeds returns the number of seeds: 3, or CHICORY_SEEDS.
func seeds() uint64 {
	if n, err := strconv.ParseUint(os.Getenv("CHICORY_SEEDS"), 10, 64); err == nil {
		return n
	}
	return 3
}

// Guards against requests that an engine or a service runs with another method, path, query or body than their caller's, whatever the
// sends before them came to, and against calls that run twice.
var _ = Describe("each send of a request through a gateway bears what its caller sent", func() {
	It("with drawn requests and upstreams", func() {
		sends, repeated := 0, 0
		for seed := range seeds() {
			By(fmt.Sprintf("seed %d", seed))
			c := &recorder{seed: seed, conducts: map[string][]conduct{}}
			server, stop := newRecordedGateway(c)
			sent := map[string]sentRequest{}
			var callers sync.WaitGroup
			for i := range 6 {
				random := rand.New(rand.NewPCG(seed, uint64(i)))
				var list []sentRequest
				for j := range 8 {
					q := drawRequest(random, fmt.Sprintf("t%d-%d", i, j))
					list, sent[q.tag] = append(list, q), q
				}
				callers.Go(func() {
					connection := &callerConnection{address: server.Listener.Addr().String()}
					defer connection.close()
					for _, q := range list {
						connection.send(q)
						if q.again {
							connection.send(q)
						}
					}
				})
			}
			callers.Wait()
			stop()
			n, again := c.expectUnchanged(sent)
			sends, repeated = sends+n, repeated+again
		}
		AddReportEntry("sends", fmt.Sprintf("%d sends, %d of them repeated", sends, repeated))
		Expect(repeated).To(BeNumerically(">", 0), "requests that were sent more than once")
	})

	DescribeTable("also if a call's target has", func(service, path string) {
		c := &recorder{conducts: map[string][]conduct{}}
		server, stop := newRecordedGateway(c)
		sent := map[string]sentRequest{}
		connection := &callerConnection{address: server.Listener.Addr().String()}
		defer connection.close()
		for _, prefix := range []string{"/read/", "/book/"} {
			q := sentRequest{tag: "t" + prefix, method: "POST", path: "/services/" + service + prefix + path, once: prefix == "/book/", body: []byte("body")}
			q.header, q.expectedLine, q.expectedBody = "Accept-Language: "+q.tag+"\r\n", q.method+" "+prefix+path, q.body
			sent[q.tag] = q
			connection.send(q)
		}
		stop()
		sends, _ := c.expectUnchanged(sent)
		Expect(sends).To(BeNumerically(">=", len(sent)))
	},
		Entry("an empty query", "desk", "x?"),
		Entry("an escaped slash", "desk", "a%2Fb"),
		Entry("escapes that are not needed", "desk", "%41~%7e"),
		Entry("bytes that should be escaped", "desk", "a|b{c}?x=|#y"),
		Entry("an escaped byte in the service's name", "%64esk", "x"),
	)
})
