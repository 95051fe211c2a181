package replica_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/chicoryrelay/chicoryrelay/standin/engine"
	"github.com/chicoryrelay/chicoryrelay/standin/replica"
)

const chat = `{"model":"a","stream":%t,"stream_options":{"include_usage":true},"max_tokens":%d,"messages":[{"role":"user","content":"is tank four ready?"}]}`

// testServer is a simulated engine that is served over HTTP.
type testServer struct {
	url string
}

func start(opts ...replica.Option) testServer { return startWith(func(*engine.Settings) {}, opts...) }

// startWith starts an engine whose settings are changed first.
func startWith(change func(*engine.Settings), opts ...replica.Option) testServer {
	opts = append(opts, replica.WithLogger(&log.Logger{Handler: discard.New()}), replica.WithReset(true))
	settings := engine.Default()
	settings.Slots, settings.Prefill, settings.Decode, settings.Loading, settings.Fetched = 8, 1e6, 2000, time.Millisecond, true
	change(&settings)
	server := replica.New(engine.New(engine.WithSettings(settings)), opts...)
	httpServer := httptest.NewUnstartedServer(nil)
	httpServer.Config = server.HTTP()
	httpServer.Start()
	DeferCleanup(func() {
		httpServer.CloseClientConnections()
		httpServer.Close()
		server.Close()
	})
	return testServer{url: httpServer.URL}
}

// post sends one request on a new connection.
func (s testServer) post(ctx context.Context, path, body string, headers ...string) *http.Response {
	GinkgoHelper()
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, s.url+path, strings.NewReader(body))
	Expect(err).NotTo(HaveOccurred())
	for i := 0; i < len(headers); i += 2 {
		r.Header.Set(headers[i], headers[i+1])
	}
	r.Close = true
	response, err := http.DefaultClient.Do(r)
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(response.Body.Close)
	return response
}

func (s testServer) arm(ctx context.Context, fault string) {
	GinkgoHelper()
	Expect(s.post(ctx, "/fault", fault).StatusCode).To(Equal(http.StatusNoContent))
}

// readStream returns the event IDs of a stream, whether it ended with [DONE], and the read error.
func readStream(response *http.Response) (ids []string, done bool, err error) {
	scanner := bufio.NewScanner(response.Body)
	for scanner.Scan() {
		if id, ok := strings.CutPrefix(scanner.Text(), "id: "); ok {
			ids = append(ids, id)
		}
		done = done || scanner.Text() == "data: [DONE]"
	}
	return ids, done, scanner.Err()
}

func eventIDs(id string, from, to int) (ids []string) {
	for i := from; i <= to; i++ {
		ids = append(ids, fmt.Sprintf("%s:%d", id, i))
	}
	return ids
}

var _ = Describe("engine over HTTP", func() {
	var s testServer
	body := fmt.Sprintf(chat, true, 4)

	BeforeEach(func() { s = start() })

	It("streams every token with its number, then the finish event and the end marker", func(ctx SpecContext) {
		response := s.post(ctx, "/v1/chat/completions", body, "X-Request-Id", "r")
		Expect(response.Header.Get("X-Incarnation")).NotTo(BeEmpty())
		ids, done, err := readStream(response)
		Expect(err).NotTo(HaveOccurred())
		Expect(ids).To(Equal(eventIDs("r", 0, 4)))
		Expect(done).To(BeTrue())
	})

	It("continues a stream at the requested token", func(ctx SpecContext) {
		ids, done, err := readStream(s.post(ctx, "/v1/chat/completions", body, "X-Request-Id", "r", "X-Resume-From", "2"))
		Expect(err).NotTo(HaveOccurred())
		Expect(ids).To(Equal(eventIDs("r", 2, 4)))
		Expect(done).To(BeTrue())
	})

	It("returns the same text without streaming", func(ctx SpecContext) {
		raw, err := io.ReadAll(s.post(ctx, "/v1/chat/completions", fmt.Sprintf(chat, false, 4)).Body)
		Expect(err).NotTo(HaveOccurred())
		prompt, err := replica.ParsePrompt(true, []byte(body))
		Expect(err).NotTo(HaveOccurred())
		text := ""
		for i := range 4 {
			text += engine.Token(prompt.Body, engine.Default().Version, i)
		}
		Expect(string(raw)).To(ContainSubstring(text))
	})

	DescribeTable("rejects a request", func(ctx SpecContext, fault, header, value string, status int, part string) {
		s.arm(ctx, fault)
		response := s.post(ctx, "/v1/chat/completions", body, header, value)
		Expect(response.StatusCode).To(Equal(status))
		raw, err := io.ReadAll(response.Body)
		Expect(err).NotTo(HaveOccurred())
		Expect(string(raw)).To(ContainSubstring(part))
	},
		Entry("for other weights", `{}`, "X-Weights", "9", http.StatusConflict, `"version"`),
		Entry("while it is leaving", `{"leave":true}`, "X-Priority", "1", http.StatusServiceUnavailable, `"leaving":true`),
		Entry("that resumes past the end of the output", `{}`, "X-Resume-From", "5", http.StatusBadRequest, `"resume"`),
		Entry("whose priority header is not a number", `{}`, "X-Priority", "high", http.StatusBadRequest, "X-Priority"),
	)

	It("sends an event of another request and a duplicate event when these faults are armed", func(ctx SpecContext) {
		s.arm(ctx, `{"cross":1,"duplicate":2}`)
		ids, _, _ := readStream(s.post(ctx, "/v1/chat/completions", body, "X-Request-Id", "r"))
		Expect(ids).To(Equal([]string{"r:0", "crossed-r:1", "r:1", "r:2", "r:2", "r:3", "r:4"}))
	})

	It("serves ordered weights once they are fetched from the store", func(ctx SpecContext) {
		requested := make(chan string, 1)
		store := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) { requested <- r.URL.Path }))
		DeferCleanup(store.Close)
		s = start(replica.WithStore(netip.MustParseAddrPort(strings.TrimPrefix(store.URL, "http://"))))
		Expect(s.post(ctx, "/order", `{"fencing":1,"kind":"load","model":"m","weights":"2"}`).StatusCode).To(Equal(http.StatusOK))
		Expect(<-requested).To(Equal("/weights/m/2"))
		Eventually(func() int {
			return s.post(ctx, "/v1/chat/completions", body, "X-Weights", "2").StatusCode
		}).WithContext(ctx).WithTimeout(time.Minute).Should(Equal(http.StatusOK))
	})

	It("breaks the stream in a crash and restarts under a new incarnation", func(ctx SpecContext) {
		before := s.post(ctx, "/v1/chat/completions", body).Header.Get("X-Incarnation")
		s.arm(ctx, `{"crash":2}`)
		ids, done, err := readStream(s.post(ctx, "/v1/chat/completions", fmt.Sprintf(chat, true, 1000), "X-Request-Id", "r"))
		Expect(err).To(HaveOccurred())
		Expect(done).To(BeFalse())
		Expect(ids).NotTo(BeEmpty())
		Expect(s.post(ctx, "/v1/chat/completions", body).Header.Get("X-Incarnation")).NotTo(Equal(before))
	})

	It("goes silent on open connections while new connections work", func(ctx SpecContext) {
		s.arm(ctx, `{"silent":2}`)
		openCtx, cancel := context.WithCancel(ctx)
		response := s.post(openCtx, "/v1/chat/completions", body, "X-Request-Id", "r")
		scanner := bufio.NewScanner(response.Body)
		for scanner.Scan() {
			if scanner.Text() == "id: r:1" {
				break
			}
		}
		_, done, err := readStream(s.post(ctx, "/v1/chat/completions", body, "X-Request-Id", "q"))
		Expect(err).NotTo(HaveOccurred())
		Expect(done).To(BeTrue())
		cancel()
		ids, done, err := readStream(response)
		Expect(err).To(HaveOccurred())
		Expect(done).To(BeFalse())
		Expect(ids).To(BeEmpty())
	})
})
