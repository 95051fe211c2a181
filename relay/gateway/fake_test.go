package gateway_test

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/chicoryrelay/chicoryrelay/relay/catalogue"
)

// answerTokens is the number of tokens in a fake engine's answer.
const answerTokens = 12

// fakeEngine streams the answer t0 t1 ... and injects a fault at each event number that is not negative.
type fakeEngine struct {
	server *httptest.Server

	mu sync.Mutex
	// software is the version that each event shows; it is told in the header of answers unless untold is set.
	software string
	untold   bool
	// late is the time before an answer begins.
	late time.Duration
	// restartAs, if it isn't nil, is the version with which the engine goes on after it has broken off once.
	restartAs *string
	// breakFresh limits breakAt to requests that resume nothing.
	breakFresh  bool
	breakAt     int
	foreignAt   int
	duplicateAt int
	skipAt      int
	silentAt    int
	// tornAt is the number of bytes after which an answer without a length or chunks ends with its connection.
	tornAt int
	// crashOn is a text; the answer to a request that contains it breaks off after its first event.
	crashOn  string
	release  chan struct{}
	requests []http.Header
	ended    int
	rounds   *rounds
}

func newFakeEngine() *fakeEngine {
	e := &fakeEngine{breakAt: -1, foreignAt: -1, duplicateAt: -1, skipAt: -1, silentAt: -1, tornAt: -1, release: make(chan struct{}), rounds: newRounds()}
	e.server = httptest.NewServer(e)
	return e
}

// requestCount returns the number of requests that the engine has received.
func (e *fakeEngine) requestCount() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.requests)
}

func (e *fakeEngine) upstream(name, weights string) catalogue.Upstream {
	return catalogue.Upstream{
		Name: name, Address: netip.MustParseAddrPort(e.server.Listener.Addr().String()), DataCentre: "c", Region: "r",
		Kind: catalogue.Engine, Model: "m", Weights: weights, Software: e.software, Slots: 8, State: catalogue.Active,
	}
}

func (e *fakeEngine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	e.requests = append(e.requests, r.Header.Clone())
	tornAt, crashOn := e.tornAt, e.crashOn
	e.mu.Unlock()
	body, _ := io.ReadAll(r.Body)
	if crashOn != "" && strings.Contains(string(body), crashOn) {
		e.event(w, r.Header.Get("X-Request-Id"), 0)
		panic(http.ErrAbortHandler)
	}
	if strings.Contains(string(body), endlessPrompt) {
		e.answerEndlessly(w, r)
		return
	}
	if tornAt >= 0 {
		e.answerTorn(w, r, tornAt)
		return
	}
	e.answer(w, r)
}

// endlessPrompt is a text; the answer to a request that contains it never ends.
const endlessPrompt = "without end"

// roundTokens is the number of tokens, of 4 KiB each, that an endless answer sends in a round.
const roundTokens = 8

// rounds lets endless answers go on by a round at a time, so that a test can measure what they occupy in between.
type rounds struct {
	mu   sync.Mutex
	next chan struct{}
}

func newRounds() *rounds { return &rounds{next: make(chan struct{})} }

// begin returns a channel that is closed when the next round begins.
func (r *rounds) begin() <-chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.next
}

// advance begins the next round of the answers that have ended theirs.
func (r *rounds) advance() {
	r.mu.Lock()
	defer r.mu.Unlock()
	close(r.next)
	r.next = make(chan struct{})
}

// answerEndlessly sends numbered tokens in rounds until the connection is closed. It formats the number alone, since buffers of whole events would
// add to the heap that tests measure.
func (e *fakeEngine) answerEndlessly(w http.ResponseWriter, r *http.Request) {
	id := "id: " + r.Header.Get("X-Request-Id") + ":"
	data := []byte("\ndata: {\"choices\":[{\"index\":0,\"delta\":{\"content\":\"" + strings.Repeat("x", 4096) + "\"}}]}\n\n")
	for i := 0; ; i++ {
		if i%roundTokens == 0 {
			w.(http.Flusher).Flush()
			select {
			case <-e.rounds.begin():
			case <-r.Context().Done():
				return
			}
		}
		_, _ = io.WriteString(w, id+strconv.Itoa(i))
		if _, err := w.Write(data); err != nil {
			return
		}
	}
}

// answerTorn sends the first bytes of an answer without a length or chunks and closes the connection.
func (e *fakeEngine) answerTorn(w http.ResponseWriter, r *http.Request, bytes int) {
	whole := httptest.NewRecorder()
	e.answer(whole, r)
	conn, _, err := w.(http.Hijacker).Hijack()
	if err != nil {
		panic(err)
	}
	defer func() { _ = conn.Close() }()
	text := whole.Body.String()
	_, _ = conn.Write([]byte("HTTP/1.1 200 OK\r\nX-Incarnation: 7\r\nContent-Type: text/event-stream\r\n\r\n" + text[:min(bytes, len(text))]))
}

func (e *fakeEngine) answer(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	breakAt, foreignAt, duplicateAt, skipAt, silentAt := e.breakAt, e.foreignAt, e.duplicateAt, e.skipAt, e.silentAt
	e.mu.Unlock()
	time.Sleep(e.late)
	id := r.Header.Get("X-Request-Id")
	from, _ := strconv.Atoi(r.Header.Get("X-Resume-From"))
	e.mu.Lock()
	if from > 0 && e.breakFresh {
		breakAt = -1
	}
	if e.software != "" && !e.untold {
		w.Header().Set("X-Software", e.software)
	}
	e.mu.Unlock()
	w.Header().Set("X-Incarnation", "7")
	w.Header().Set("Content-Type", "text/event-stream")
	flusher := w.(http.Flusher)
	for i := from; i <= answerTokens; i++ {
		switch i {
		case breakAt:
			e.restart()
			panic(http.ErrAbortHandler)
		case silentAt:
			flusher.Flush()
			select {
			case <-r.Context().Done():
			case <-e.release:
			}
			e.mu.Lock()
			e.ended++
			e.mu.Unlock()
			panic(http.ErrAbortHandler)
		case foreignAt:
			e.event(w, "another-request", i)
		case duplicateAt:
			e.event(w, id, i)
		case skipAt:
			continue
		}
		e.event(w, id, i)
	}
	_, _ = fmt.Fprintf(w, "data: {\"id\":%q,\"choices\":[],\"usage\":{\"prompt_tokens\":9,\"completion_tokens\":%d,\"prompt_tokens_details\":{\"cached_tokens\":5}}}\n\n", id, answerTokens)
	_, _ = fmt.Fprint(w, "data: [DONE]\n\n")
}

// restart goes on with the version of restartAs, and breaks off no more.
func (e *fakeEngine) restart() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.restartAs != nil {
		e.software, e.restartAs, e.breakAt = *e.restartAs, nil, -1
	}
}

// event sends an event that shows the engine's software version.
func (e *fakeEngine) event(w http.ResponseWriter, id string, i int) {
	e.mu.Lock()
	software := e.software
	e.mu.Unlock()
	event(w, id, i, software)
}

func event(w http.ResponseWriter, id string, i int, software string) {
	delta, reason := fmt.Sprintf(`{"content":"t%d "}`, i), "null"
	if i == answerTokens {
		delta, reason = "{}", `"stop"`
	}
	_, _ = fmt.Fprintf(w, "id: %s:%d\ndata: {\"id\":%q,\"object\":\"chat.completion.chunk\",\"created\":1,\"model\":\"m\",\"system_fingerprint\":%q,\"choices\":[{\"index\":0,\"delta\":%s,\"finish_reason\":%s}]}\n\n", id, i, id, software, delta, reason)
	w.(http.Flusher).Flush()
}

func completeText() string {
	var text strings.Builder
	for i := range answerTokens {
		_, _ = fmt.Fprintf(&text, "t%d ", i)
	}
	return text.String()
}
