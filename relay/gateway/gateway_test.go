package gateway_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/openai/openai-go/v3"
	"github.com/openai/openai-go/v3/option"

	"github.com/chicoryrelay/chicoryrelay/relay/catalogue"
	"github.com/chicoryrelay/chicoryrelay/relay/dispatch"
	"github.com/chicoryrelay/chicoryrelay/relay/gateway"
	"github.com/chicoryrelay/chicoryrelay/relay/order"
	"github.com/chicoryrelay/chicoryrelay/relay/outcome"
	"github.com/chicoryrelay/chicoryrelay/relay/routing"
	"github.com/chicoryrelay/chicoryrelay/relay/upstream"
)

// harness is a gateway, or several of them, with fake engines as its upstreams.
type harness struct {
	// server is the first of the gateways.
	server      *httptest.Server
	servers     []*httptest.Server
	dispatchers []*dispatch.Dispatcher
	// hedgeDelay is the time without an event after which a second attempt begins; 0 means never.
	hedgeDelay time.Duration
	// readTimeout is the time in which engines must send the next event.
	readTimeout time.Duration
	engines     []*fakeEngine
	records     chan gateway.RequestRecord
	catalogue   atomic.Pointer[catalogue.Catalogue]
	// reports are the engines' load reports as the gateways have them.
	reports map[string]order.Report
	newID   func() string
}

// engineVersion is what a fake engine serves.
type engineVersion struct{ weights, software string }

func newHarness(weights ...string) *harness {
	return newTimedHarness(50*time.Millisecond, weights...)
}

// newTimedHarness is newHarness with another time in which engines must send the next event.
func newTimedHarness(readTimeout time.Duration, weights ...string) *harness {
	var versions []engineVersion
	for _, w := range weights {
		versions = append(versions, engineVersion{weights: w})
	}
	return newTimedHarnessOf(readTimeout, 1, versions...)
}

// newHarnessOf returns a number of gateways with an engine for each version.
func newHarnessOf(gateways int, versions ...engineVersion) *harness {
	return newTimedHarnessOf(50*time.Millisecond, gateways, versions...)
}

func newTimedHarnessOf(readTimeout time.Duration, gateways int, versions ...engineVersion) *harness {
	h := &harness{records: make(chan gateway.RequestRecord, 16), readTimeout: readTimeout}
	key := catalogue.HashKey("secret")
	c, err := catalogue.New(1, []catalogue.Object{
		{Kind: "account", Name: "a", Value: json.RawMessage(fmt.Sprintf(`{"key":%q}`, key))},
		{Kind: "assistant", Name: "recipes", Value: json.RawMessage(`{"model":"m"}`)},
	})
	Expect(err).NotTo(HaveOccurred())
	for i, version := range versions {
		engine := newFakeEngine()
		engine.software = version.software
		h.engines = append(h.engines, engine)
		c.Upstreams = append(c.Upstreams, engine.upstream(fmt.Sprintf("u%d", i), version.weights))
	}
	h.catalogue.Store(c)
	var ids atomic.Int64
	h.newID = func() string { return fmt.Sprintf("req%d", ids.Add(1)) }
	for range gateways {
		h.startGateway(h.newID)
	}
	h.server = h.servers[0]
	DeferCleanup(h.close)
	return h
}

func (h *harness) startGateway(newID func() string) {
	d := newDispatcher(h.catalogue.Load())
	h.dispatchers = append(h.dispatchers, d)
	acquire := func(ctx context.Context, r dispatch.Request) (*dispatch.Ticket, error) {
		ticket, err := d.Acquire(ctx, r)
		if ticket != nil {
			ticket.HedgeDelay = h.hedgeDelay
		}
		return ticket, err
	}
	g := gateway.New(
		gateway.WithConfiguration(func() gateway.Configuration {
			return gateway.Configuration{Catalogue: h.catalogue.Load(), Leased: true}
		}),
		gateway.WithAcquire(acquire),
		gateway.WithClient(upstream.New(upstream.WithReadTimeout(h.readTimeout), upstream.WithHeaderTimeout(5*time.Second))),
		gateway.WithIDs(newID),
		gateway.WithRecorder(func(r gateway.RequestRecord) { h.records <- r }),
		gateway.WithLog(&log.Logger{Handler: discard.New(), Level: log.FatalLevel}),
		gateway.WithMaxBodyBytes(1<<16),
	)
	h.servers = append(h.servers, httptest.NewServer(g.Handler()))
}

// restartGateway replaces a gateway by a new one.
func (h *harness) restartGateway(i int) {
	h.servers[i].CloseClientConnections()
	h.servers[i].Close()
	h.dispatchers[i].Stop()
	h.startGateway(h.newID)
	last := len(h.servers) - 1
	h.servers[i], h.servers = h.servers[last], h.servers[:last]
	h.dispatchers[i], h.dispatchers = h.dispatchers[last], h.dispatchers[:last]
	h.publish()
}

// configure changes the configured upstreams of all gateways.
func (h *harness) configure(change func(upstreams []catalogue.Upstream)) {
	c := *h.catalogue.Load()
	c.Upstreams = slices.Clone(c.Upstreams)
	change(c.Upstreams)
	h.catalogue.Store(&c)
	h.publish()
}

// publish gives the dispatchers the upstreams as the configuration and the engines' reports have them.
func (h *harness) publish() {
	c := *h.catalogue.Load()
	c.Upstreams = order.Effective(c.Upstreams, h.reports)
	for _, d := range h.dispatchers {
		d.Configure(&c)
	}
}

// newDispatcher returns a dispatcher over the catalogue's upstreams.
func newDispatcher(c *catalogue.Catalogue) *dispatch.Dispatcher {
	d := dispatch.New(routing.New(routing.WithLocation("vm1", "c", "r"), routing.WithPolicy(routing.RoundRobin), routing.WithShares(func(s *routing.Shares) { s.Hedge = 10 })))
	d.Run()
	DeferCleanup(d.Stop)
	d.Configure(c)
	return d
}

func (h *harness) close() {
	for _, server := range h.servers {
		server.Close()
	}
	for _, e := range h.engines {
		close(e.release)
		e.server.Close()
	}
}

func (h *harness) post(body string, header map[string]string) *http.Response {
	GinkgoHelper()
	request, err := http.NewRequest(http.MethodPost, h.server.URL+"/v1/chat/completions", strings.NewReader(body))
	Expect(err).NotTo(HaveOccurred())
	request.Header.Set("Authorization", "Bearer secret")
	for name, value := range header {
		request.Header.Set(name, value)
	}
	response, err := http.DefaultClient.Do(request)
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(response.Body.Close)
	return response
}

const streamed = `{"model":"recipes","stream":true,"messages":[{"role":"user","content":"check the sheet"}]}`

func expectCompleteStream(h *harness) {
	GinkgoHelper()
	client := openai.NewClient(option.WithBaseURL(h.server.URL+"/v1"), option.WithAPIKey("secret"), option.WithMaxRetries(0))
	events := client.Chat.Completions.NewStreaming(context.Background(), openai.ChatCompletionNewParams{
		Model:    "recipes",
		Messages: []openai.ChatCompletionMessageParamUnion{openai.UserMessage("check the sheet")},
	})
	var text strings.Builder
	for events.Next() {
		text.WriteString(events.Current().Choices[0].Delta.Content)
	}
	Expect(events.Err()).NotTo(HaveOccurred())
	Expect(text.String()).To(Equal(completeText()))
}

func expectRefusal(response *http.Response, status int, field string, o outcome.Outcome) {
	GinkgoHelper()
	var body struct {
		Error struct{ Message, Param, Outcome string }
	}
	Expect(json.NewDecoder(response.Body).Decode(&body)).To(Succeed())
	Expect(response.StatusCode).To(Equal(status))
	Expect(body.Error.Param).To(Equal(field))
	Expect(body.Error.Outcome).To(Equal(o.String()))
	Expect(body.Error.Message).NotTo(BeEmpty())
}

var _ = Describe("text requests", func() {
	It("stream a complete answer to OpenAI's client library", func() {
		expectCompleteStream(newHarness("1"))
	})

	It("receive one complete JSON answer when the caller doesn't stream", func() {
		h := newHarness("1")
		response := h.post(strings.Replace(streamed, `"stream":true,`, "", 1), nil)
		text, err := io.ReadAll(response.Body)
		Expect(err).NotTo(HaveOccurred())
		Expect(string(text)).To(ContainSubstring(completeText()))
		Expect(string(text)).To(ContainSubstring(`"cached_tokens":5`))
	})

	faults := []struct {
		name  string
		apply func(*fakeEngine)
	}{
		{"the engine's connection breaks within the stream", func(e *fakeEngine) { e.breakAt = 5 }},
		{"the engine stops sending but keeps the connection open", func(e *fakeEngine) { e.silentAt = 5 }},
		{"the engine's connection breaks before the finish event", func(e *fakeEngine) { e.breakAt = answerTokens }},
		{"the engine skips an event", func(e *fakeEngine) { e.skipAt = 5 }},
		{"an event of another request arrives", func(e *fakeEngine) { e.foreignAt = 5 }},
		{"an event arrives twice", func(e *fakeEngine) { e.duplicateAt = 5 }},
	}
	for _, fault := range faults {
		It("receive the complete text in order when "+fault.name, func() {
			h := newHarness("1", "1")
			fault.apply(h.engines[0])
			expectCompleteStream(h)
		})
	}

	// Guards against an answer without a length or chunks that breaks off and reaches its caller as complete.
	It("receive the complete text or an error wherever an answer without a frame ends with its connection", func() {
		h := newHarness("1")
		for torn := 0; torn < 2600; torn += 13 {
			h.engines[0].mu.Lock()
			h.engines[0].tornAt = torn
			h.engines[0].mu.Unlock()
			for len(h.records) > 0 {
				<-h.records
			}
			whole := h.post(strings.Replace(streamed, `"stream":true,`, "", 1), nil)
			text, err := io.ReadAll(whole.Body)
			Expect(err).NotTo(HaveOccurred())
			Expect(whole.StatusCode != http.StatusOK || strings.Contains(string(text), completeText())).To(BeTrue(), "torn after %d bytes: %s", torn, text)
			text, err = io.ReadAll(h.post(streamed, nil).Body)
			Expect(err).NotTo(HaveOccurred())
			delivered := strings.Count(string(text), "\nid: ") + 1
			Expect(strings.Contains(string(text), "[DONE]")).To(Equal(delivered == answerTokens+1), "torn after %d bytes: %s", torn, text)
		}
	})

	// Guards against requests with one message in their prompts that end engine after engine.
	It("stop reaching engines once five have ended under one of their messages, while others are answered", func() {
		h := newHarness(slices.Repeat([]string{"1"}, 30)...)
		for _, e := range h.engines {
			e.crashOn = "torn page"
		}
		ask := func(system string, question int) *http.Response {
			for len(h.records) > 0 {
				<-h.records
			}
			return h.post(fmt.Sprintf(`{"model":"recipes","messages":[{"role":"system","content":%q},{"role":"user","content":"sheet %d"}]}`, system, question), nil)
		}
		for i := range 20 {
			_, _ = io.Copy(io.Discard, ask("torn page", i).Body)
		}
		arrivals := 0
		for _, e := range h.engines {
			arrivals += e.requestCount()
		}
		Expect(arrivals).To(BeNumerically("<=", 5+3))
		response := ask("torn page", 20)
		Expect(response.Header.Get("Retry-After")).To(MatchRegexp("^[0-9]{3}$"))
		expectRefusal(response, http.StatusServiceUnavailable, "", outcome.NotRun)
		Expect(ask("whole page", 21).StatusCode).To(Equal(http.StatusOK))
	})

	It("end with an error instead of a resume under another weights version, which would mix two models' texts", func() {
		h := newHarness("2", "1")
		h.engines[0].breakAt, h.engines[1].breakAt = 5, 5
		response := h.post(streamed, nil)
		text, err := io.ReadAll(response.Body)
		Expect(err).NotTo(HaveOccurred())
		Expect(string(text)).To(ContainSubstring("event: error"))
		Expect(string(text)).To(ContainSubstring(outcome.MayHaveRun.String()))
		Expect(string(text)).NotTo(ContainSubstring("[DONE]"))
		Expect([]int{h.engines[0].requestCount(), h.engines[1].requestCount()}).To(ContainElement(0))
	})

	It("resume a broken stream after the event in the caller's Last-Event-ID", func() {
		h := newHarness("1")
		response := h.post(streamed, map[string]string{"Last-Event-ID": "req9:1:4"})
		text, err := io.ReadAll(response.Body)
		Expect(err).NotTo(HaveOccurred())
		Expect(string(text)).To(HavePrefix("id: req1:1:5\n"))
		Expect(string(text)).To(HaveSuffix("data: [DONE]\n\n"))
	})

	It("are cancelled at the engine when the caller disconnects", func() {
		h := newHarness("1")
		h.engines[0].silentAt = 3
		ctx, cancel := context.WithCancel(context.Background())
		request, err := http.NewRequestWithContext(ctx, http.MethodPost, h.server.URL+"/v1/chat/completions", strings.NewReader(streamed))
		Expect(err).NotTo(HaveOccurred())
		request.Header.Set("Authorization", "Bearer secret")
		response, err := http.DefaultClient.Do(request)
		Expect(err).NotTo(HaveOccurred())
		_ = response.Body.Close()
		cancel()
		m := <-h.records
		Expect(m.Refusal.Kind).To(Equal(outcome.Cancelled))
		Eventually(func() int {
			h.engines[0].mu.Lock()
			defer h.engines[0].mu.Unlock()
			return h.engines[0].ended
		}).Should(Equal(1))
	})

	It("carry a cache salt, which separates the prefix caches of client accounts and weights versions", func() {
		h := newHarness("1")
		_, err := io.ReadAll(h.post(streamed, nil).Body)
		Expect(err).NotTo(HaveOccurred())
		Expect(h.engines[0].requests[0].Get("X-Cache-Salt")).To(HaveLen(32))
	})
})

var _ = Describe("refusals", func() {
	wrong := []struct {
		name, body string
		header     map[string]string
		status     int
		field      string
	}{
		{"a body that is not JSON", "{", nil, 400, "body"},
		{"a request without a model", `{"messages":[]}`, nil, 400, "model"},
		{"an unknown assistant", `{"model":"x","messages":[{"role":"user","content":"q"}]}`, nil, 404, "model"},
		{"a request without messages", `{"model":"recipes"}`, nil, 400, "messages"},
		{"a request for two answers", `{"model":"recipes","n":2,"messages":[{"role":"user","content":"q"}]}`, nil, 400, "n"},
		{"an image", `{"model":"recipes","messages":[{"role":"user","content":[{"type":"image_url"}]}]}`, nil, 400, "messages.content.type"},
		{"a negative max_tokens", `{"model":"recipes","max_tokens":-1,"messages":[{"role":"user","content":"q"}]}`, nil, 400, "max_tokens"},
		{"too large a body", `{"model":"` + strings.Repeat("x", 1<<17) + `"}`, nil, 413, "body"},
		{"a wrong key", streamed, map[string]string{"Authorization": "Bearer other"}, 401, "Authorization"},
		{"a deadline without a unit", streamed, map[string]string{"X-Deadline": "5"}, 400, "X-Deadline"},
		{"a malformed event ID", streamed, map[string]string{"Last-Event-ID": "5"}, 400, "Last-Event-ID"},
		{"an event ID with a part too many", streamed, map[string]string{"Last-Event-ID": "r:1:s0:x:4"}, 400, "Last-Event-ID"},
		{"an event ID without weights", streamed, map[string]string{"Last-Event-ID": "r::s0:4"}, 400, "Last-Event-ID"},
		{"an event ID whose number is too large", streamed, map[string]string{"Last-Event-ID": "r:1:s0:4294967296"}, 400, "Last-Event-ID"},
		{"an event ID with an incomplete escape", streamed, map[string]string{"Last-Event-ID": "r:1:s%2:4"}, 400, "Last-Event-ID"},
		{"an event ID with an escape that it isn't written with", streamed, map[string]string{"Last-Event-ID": "r:1:%730:4"}, 400, "Last-Event-ID"},
		{"an event ID with a line feed in its software version", streamed, map[string]string{"Last-Event-ID": "r:1:s0%0A:4"}, 400, "Last-Event-ID"},
		{"an event ID with too long a software version", streamed, map[string]string{"Last-Event-ID": "r:1:" + strings.Repeat("s", 129) + ":4"}, 400, "Last-Event-ID"},
		{"too long an event ID", streamed, map[string]string{"Last-Event-ID": strings.Repeat("r", 4096) + ":1:4"}, 400, "Last-Event-ID"},
		{"an event ID of a request that isn't streamed", strings.Replace(streamed, `"stream":true,`, "", 1), map[string]string{"Last-Event-ID": "r:1:4"}, 400, "Last-Event-ID"},
		{"an event ID of a software version that nothing runs", streamed, map[string]string{"Last-Event-ID": "r:1:s9:4"}, 503, ""},
	}
	for _, w := range wrong {
		It("answer "+w.name+" with the outcome 'not run' and the name of the field", func() {
			expectRefusal(newHarness("1").post(w.body, w.header), w.status, w.field, outcome.NotRun)
		})
	}

	It("state 'not run' when no engine accepts a connection, since nothing was sent", func() {
		h := newHarness("1", "1")
		for _, e := range h.engines {
			e.server.Close()
		}
		expectRefusal(h.post(streamed, nil), 502, "", outcome.NotRun)
	})

	It("state 'may have run' when an engine's connection breaks before its first event", func() {
		h := newHarness("1")
		h.engines[0].breakAt = 0
		expectRefusal(h.post(streamed, nil), 502, "", outcome.MayHaveRun)
	})

	It("state 'not run' when no upstream serves the assistant", func() {
		expectRefusal(newHarness().post(streamed, nil), 503, "", outcome.NotRun)
	})
})
