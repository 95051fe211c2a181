package upstream_test

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
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

	"github.com/chicoryrelay/chicoryrelay/relay/catalogue"
	"github.com/chicoryrelay/chicoryrelay/relay/upstream"
)

// seeds returns the number of seeds: 5, or CHICORY_SEEDS.
func seeds() uint64 {
	if n, err := strconv.ParseUint(os.Getenv("CHICORY_SEEDS"), 10, 64); err == nil {
		return n
	}
	return 5
}

// recordingEngine is an engine that records what it gets on all its connections, and answers as drawn: once a request is in, or before
// that, after which it reads on a while later, or not at all.
type recordingEngine struct {
	address  netip.AddrPort
	listener net.Listener
	running  sync.WaitGroup

	mu     sync.Mutex
	random *rand.Rand
	// bundles are the exported texts by the salt of their request.
	bundles map[string][]byte
	// got are the lines and whole bodies of the requests, torn the number of bodies that ended early, malformed the errors of requests that
	// could not be parsed.
	got       []string
	torn      int
	malformed []string
}

func newRecordingEngine(random *rand.Rand) *recordingEngine {
	GinkgoHelper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	e := &recordingEngine{address: netip.MustParseAddrPort(listener.Addr().String()), listener: listener, random: random, bundles: map[string][]byte{}}
	e.running.Go(func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			// A body longer than the buffers is not written whole before the engine reads it.
			_ = conn.(*net.TCPConn).SetReadBuffer(64 << 10)
			e.running.Go(func() {
				defer func() { _ = conn.Close() }()
				reader := bufio.NewReader(conn)
				for more := true; more; {
					more = e.serve(conn, reader)
				}
			})
		}
	})
	DeferCleanup(func() { _ = listener.Close() })
	return e
}

// stop ends the engine once its connections have ended.
func (e *recordingEngine) stop() {
	_ = e.listener.Close()
	e.running.Wait()
}

// serve reads and answers one request; it reports whether the connection goes on.
func (e *recordingEngine) serve(conn net.Conn, reader *bufio.Reader) bool {
	r, err := http.ReadRequest(reader)
	var network *net.OpError
	if err != nil {
		if !errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF) && !errors.As(err, &network) {
			e.record(func() { e.malformed = append(e.malformed, err.Error()) })
		}
		return false
	}
	var early, cuts bool
	var late time.Duration
	e.record(func() {
		early, cuts = e.random.IntN(2) == 0, e.random.IntN(6) == 0
		// net/http waits 50 ms for the rest of a request before it gives up the connection.
		late = []time.Duration{5 * time.Millisecond, 80 * time.Millisecond}[min(1, e.random.IntN(3))]
	})
	if cuts {
		return false
	}
	export := strings.HasSuffix(r.URL.Path, "/export")
	if early && !export {
		_, _ = io.WriteString(conn, "HTTP/1.1 503 X\r\nContent-Length: 4\r\n\r\nfull")
		time.Sleep(late)
	}
	body, err := io.ReadAll(r.Body)
	e.record(func() {
		if err != nil {
			e.torn++
			return
		}
		e.got = append(e.got, r.Method+" "+r.RequestURI+" "+string(body))
	})
	answer := []byte("{}")
	if export {
		var request struct {
			Salt string `json:"salt"`
		}
		_ = json.Unmarshal(body, &request)
		e.record(func() { answer = e.bundles[request.Salt] })
	}
	if !early || export {
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(answer), answer)
	}
	return err == nil
}

func (e *recordingEngine) record(change func()) {
	e.mu.Lock()
	defer e.mu.Unlock()
	change()
}

// Guards against engines that import another text than the one that was exported, or run an order or a request that nobody sent, after an
// answer that came before the body was in.
var _ = It("exports, imports and orders bear what was sent, on connections that are used again", func() {
	torn, imports := 0, 0
	for seed := range seeds() {
		By(fmt.Sprintf("seed %d", seed))
		random := rand.New(rand.NewPCG(seed, 46))
		e, client := newRecordingEngine(rand.New(rand.NewPCG(seed, 47))), upstream.New(upstream.WithMemory(64<<20))
		allowed, sends := map[string]bool{}, sync.WaitGroup{}
		to := catalogue.Upstream{Address: e.address, Model: "m", Weights: "1"}
		for caller := range 4 {
			var list []func()
			for i := range 8 {
				salt, size := fmt.Sprintf("%d-%d", caller, i), []int{0, 4097, 70_000, 5_000_000, 5_000_000}[random.IntN(5)]
				// Copies that are moved by less than a period differ.
				period := make([]byte, 4099)
				for j := range period {
					period[j] = "0123456789abcdef"[random.IntN(16)]
				}
				text := bytes.Repeat(period, 1+size/len(period))[:size]
				bundle := fmt.Appendf(nil, `{"salt":%q,"model":"m","adapter":"","weights":"1","incarnation":1,"cache":%q}`, salt, text)
				e.record(func() { e.bundles[salt] = bundle })
				limit := []time.Duration{3 * time.Millisecond, time.Second}[random.IntN(2)]
				order := upstream.Order{Fencing: uint64(caller*100 + i), Kind: "load", Model: "m", Weights: string(text[:min(len(text), 10)])}
				encoded, err := json.Marshal(order)
				Expect(err).NotTo(HaveOccurred())
				allowed[fmt.Sprintf(`POST /kv/export {"salt":%q,"request":{"n":%d}}`, salt, i)] = true
				allowed["POST /kv/import "+string(bundle)] = true
				allowed["POST /order "+string(encoded)] = true
				list = append(list, func() {
					ctx, cancel := context.WithTimeout(context.Background(), limit)
					defer cancel()
					// Errors are those that the engine causes, and the end of the time.
					_ = client.Transfer(ctx, to, to, 1, salt, fmt.Appendf(nil, `{"n":%d}`, i))
					_ = client.Order(ctx, e.address, order, time.Second, func() bool { return true })
				})
			}
			sends.Go(func() {
				for _, send := range list {
					send()
				}
			})
		}
		sends.Wait()
		client.Close()
		e.stop()
		Expect(e.malformed).To(BeEmpty())
		for i, got := range e.got {
			Expect(allowed[got]).To(BeTrue(), "request %d: %.100s", i+1, got)
			if strings.HasPrefix(got, "POST /kv/import") {
				imports++
			}
		}
		torn += e.torn
	}
	AddReportEntry("sends", fmt.Sprintf("%d whole imports, %d bodies ended early", imports, torn))
	Expect(torn).To(BeNumerically(">", 0))
})
