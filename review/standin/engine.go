package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// kvPart is a cached part of a prompt: the tenant that made it and the version of the weights.
type kvPart struct {
	tenant  string
	version uint64
}

// engine is a model replica as the users' pages describe it.
type engine struct {
	id, address, model string
	born               int64
	record             *record
	// pieces and pause are the number of events of an answer and the time between two of them.
	pieces int
	pause  time.Duration
	// used is called with the maker of each part that a run of a tenant finds in the cache; ran with each run.
	used func(request, tenant, part string, made kvPart)
	ran  func(request, engine string)
	// find returns the engine at an address.
	find func(address string) *engine

	mu      sync.Mutex
	version uint64
	// others are the versions of further models.
	others   map[string]uint64
	busy     bool
	sequence uint64
	fence    int64
	cache    map[string]kvPart
	events   []kvEvent
	changed  chan struct{}
	runs     map[string]*engineRun
}

type kvEvent struct {
	sign, salt, part string
	tokens           int
}

type engineRun struct {
	id     string
	reset  chan struct{}
	made   int
	urgent int
}

func newEngine(s *site, n int, service, model string, pieces int, pause time.Duration) *engine {
	e := &engine{
		id: fmt.Sprintf("i-engine%d", n), address: fmt.Sprintf("%s.%d:8080", s.prefix, 100+n), model: model, born: time.Now().UnixMilli(), record: s.record,
		pieces: pieces, pause: pause, version: 1, others: map[string]uint64{}, cache: map[string]kvPart{}, changed: make(chan struct{}), runs: map[string]*engineRun{},
		used: func(string, string, string, kvPart) {}, ran: func(string, string) {}, find: func(string) *engine { return nil },
	}
	entry := map[string]any{
		"id": e.id, "service": service, "address": e.address, "zone": "zone-a", "version": "v1", "slots": 96, "state": "ready", "coldRemainingMs": 0,
		"stage": "unified", "born": e.born, "models": []any{map[string]any{"name": model, "version": 1, "adapters": []any{}}},
	}
	s.mu.Lock()
	s.replicas = append(s.replicas, entry)
	s.mu.Unlock()
	go func() {
		// The list follows the replica's version with a lag.
		for range time.Tick(200 * time.Millisecond) {
			e.mu.Lock()
			models := e.models()
			e.mu.Unlock()
			time.AfterFunc(800*time.Millisecond, func() {
				s.mu.Lock()
				entry["models"] = models
				s.mu.Unlock()
			})
		}
	}()
	serve(e.address, e)
	return e
}

// addModel adds a further model, on version 1.
func (e *engine) addModel(name string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.others[name] = 1
}

// models is called with the lock held.
func (e *engine) models() []any {
	list := []any{map[string]any{"name": e.model, "version": e.version, "adapters": []any{}}}
	for name, version := range e.others {
		list = append(list, map[string]any{"name": name, "version": version, "adapters": []any{}})
	}
	return list
}

// ServeHTTP implements http.Handler.
func (e *engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if wanted := r.Header.Get("Chicoryrelay-Expect-Instance"); wanted != "" && wanted != e.id && r.URL.Path != "/kv-events" {
		e.refuse(w, r, http.StatusMisdirectedRequest)
		return
	}
	switch {
	case r.Method == http.MethodGet && r.URL.Path == "/report":
		e.report(w)
	case r.Method == http.MethodGet && r.URL.Path == "/kv-events":
		e.kvEvents(w, r)
	case r.Method == http.MethodPost && r.URL.Path == "/order":
		e.order(w, r)
	case r.Method == http.MethodGet && r.URL.Path == "/health":
		w.Header().Set("Chicoryrelay-Replica-Id", e.id)
	default:
		e.run(w, r)
	}
}

func (e *engine) refuse(w http.ResponseWriter, r *http.Request, status int) {
	w.Header().Set("Chicoryrelay-Attempt-Id", r.Header.Get("Chicoryrelay-Attempt-Id"))
	w.Header().Set("Chicoryrelay-Not-Executed", "1")
	w.Header().Set("Chicoryrelay-Replica-Id", e.id)
	w.WriteHeader(status)
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func (e *engine) report(w http.ResponseWriter) {
	e.mu.Lock()
	defer e.mu.Unlock()
	runs := [][]any{}
	for _, run := range e.runs {
		runs = append(runs, []any{run.id, 1000, run.made, run.urgent})
	}
	writeJSON(w, http.StatusOK, map[string]any{
		"stage": "unified", "models": e.models(), "busy": e.busy, "sequence": e.sequence,
		"queued": 0, "running": len(runs), "kvUsed": 1000 * len(runs), "kvTotal": 90000, "handles": 0, "born": e.born, "runs": runs,
	})
}

func (e *engine) kvEvents(w http.ResponseWriter, r *http.Request) {
	since, _ := strconv.Atoi(r.URL.Query().Get("since"))
	wait, _ := strconv.Atoi(r.Header.Get("Wait-Ms"))
	deadline := time.After(time.Duration(wait) * time.Millisecond)
	for waiting := true; waiting; {
		e.mu.Lock()
		changed, some := e.changed, len(e.events) > since
		e.mu.Unlock()
		if some {
			break
		}
		select {
		case <-changed:
		case <-deadline:
			waiting = false
		case <-r.Context().Done():
			return
		}
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	events := [][]any{}
	for i := min(since, len(e.events)); i < len(e.events); i++ {
		ev := e.events[i]
		events = append(events, []any{i + 1, ev.sign, ev.salt, ev.part, ev.tokens, e.model})
	}
	writeJSON(w, http.StatusOK, map[string]any{"bootEpoch": e.born, "next": len(e.events), "lost": false, "events": events})
}

// addEvent is called with the lock held.
func (e *engine) addEvent(ev kvEvent) {
	e.events = append(e.events, ev)
	close(e.changed)
	e.changed = make(chan struct{})
}

// order carries out an order of mode evict: the streams of the runs are reset and the cache is discarded.
func (e *engine) order(w http.ResponseWriter, r *http.Request) {
	var o struct {
		Op, Model, Mode, Holder string
		Version                 uint64
		Fence                   *int64
		Expect                  *uint64
	}
	if json.NewDecoder(r.Body).Decode(&o) != nil || o.Op != "version" || o.Holder == "" || o.Fence == nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	switch {
	case *o.Fence < e.fence:
		w.WriteHeader(http.StatusPreconditionFailed)
		return
	case e.busy || o.Expect != nil && *o.Expect != e.sequence:
		w.WriteHeader(http.StatusConflict)
		return
	case o.Model == e.model && o.Version == e.version, o.Model != e.model && o.Version == e.others[o.Model]:
		w.WriteHeader(http.StatusOK)
		return
	}
	e.fence, e.busy = *o.Fence, true
	e.sequence++
	if o.Model != e.model {
		// The runs and the cache are those of the first model, which an order for another one doesn't affect.
		time.AfterFunc(380*time.Millisecond, func() {
			e.mu.Lock()
			defer e.mu.Unlock()
			e.others[o.Model], e.busy = o.Version, false
			e.record.add("%s has version %d of %s", e.id, o.Version, o.Model)
		})
		w.WriteHeader(http.StatusAccepted)
		return
	}
	e.record.add("%s carries out the order for version %d, mode %s, with %d runs", e.id, o.Version, o.Mode, len(e.runs))
	for id, run := range e.runs {
		close(run.reset)
		delete(e.runs, id)
	}
	for key := range e.cache {
		salt, part, _ := strings.Cut(key, " ")
		e.addEvent(kvEvent{"-", salt, part, 0})
	}
	clear(e.cache)
	time.AfterFunc(380*time.Millisecond, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		e.version, e.busy = o.Version, false
		e.record.add("%s has version %d", e.id, o.Version)
	})
	w.WriteHeader(http.StatusAccepted)
}

// prefill reads the parts of a prompt: those that are cached, one after the other, are used, the others are made.
func (e *engine) prefill(id, tenant, salt, prompt string) {
	cached := true
	for _, entry := range strings.Split(prompt, ",") {
		part, text, _ := strings.Cut(entry, ":")
		tokens, _ := strconv.Atoi(text)
		made, ok := e.cache[salt+" "+part]
		if cached = cached && ok; cached {
			e.used(id, tenant, part, made)
			continue
		}
		e.cache[salt+" "+part] = kvPart{tenant, e.version}
		e.addEvent(kvEvent{"+", salt, part, tokens})
	}
}

// fetch copies the parts of a prompt that another engine holds under the same salt.
func (e *engine) fetch(from, salt, prompt string) {
	other := e.find(from)
	if other == nil || other == e {
		return
	}
	found := map[string]kvPart{}
	other.mu.Lock()
	for _, entry := range strings.Split(prompt, ",") {
		part, _, _ := strings.Cut(entry, ":")
		if made, ok := other.cache[salt+" "+part]; ok {
			found[salt+" "+part] = made
		}
	}
	other.mu.Unlock()
	e.mu.Lock()
	defer e.mu.Unlock()
	for key, made := range found {
		if _, ok := e.cache[key]; !ok {
			e.cache[key] = made
			_, part, _ := strings.Cut(key, " ")
			e.addEvent(kvEvent{"+", salt, part, 1000})
		}
	}
}

func (e *engine) run(w http.ResponseWriter, r *http.Request) {
	id, h := r.Header.Get("Chicoryrelay-Attempt-Id"), r.Header
	if id == "" {
		e.refuse(w, r, http.StatusBadRequest)
		return
	}
	if from := h.Get("Chicoryrelay-Kv-Fetch"); from != "" {
		e.fetch(from, h.Get("Chicoryrelay-Cache-Salt"), h.Get("Chicoryrelay-Prompt-Prefix"))
	}
	e.mu.Lock()
	version := e.version
	if e.busy {
		e.mu.Unlock()
		e.refuse(w, r, http.StatusServiceUnavailable)
		return
	}
	if wanted := h.Get("Chicoryrelay-Expect-Version"); wanted != "" && wanted != strconv.FormatUint(version, 10) {
		e.mu.Unlock()
		e.refuse(w, r, http.StatusMisdirectedRequest)
		return
	}
	urgent, err := strconv.Atoi(h.Get("Chicoryrelay-Request-Priority"))
	if err != nil {
		urgent = 5
	}
	last, _ := strconv.Atoi(h.Get("Last-Event-Id"))
	run := &engineRun{id: id, reset: make(chan struct{}), made: last, urgent: urgent}
	e.runs[id] = run
	e.prefill(id, h.Get("Chicoryrelay-Tenant"), h.Get("Chicoryrelay-Cache-Salt"), h.Get("Chicoryrelay-Prompt-Prefix"))
	e.mu.Unlock()
	e.record.add("%s accepts %s of tenant %s on version %d after event %d", e.id, id, h.Get("Chicoryrelay-Tenant"), version, last)
	defer func() {
		e.mu.Lock()
		if e.runs[id] == run {
			delete(e.runs, id)
		}
		e.mu.Unlock()
	}()
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("Chicoryrelay-Attempt-Id", id)
	w.Header().Set("Chicoryrelay-Response-Stamp", "stamp."+e.id)
	w.Header().Set("Chicoryrelay-Replica-Id", e.id)
	w.Header().Set("Chicoryrelay-Weight-Versions", strconv.FormatUint(version, 10))
	w.WriteHeader(http.StatusOK)
	for n := last + 1; n <= e.pieces; n++ {
		select {
		case <-run.reset:
			panic(http.ErrAbortHandler)
		case <-r.Context().Done():
			return
		case <-time.After(e.pause):
		}
		e.mu.Lock()
		run.made = n
		e.mu.Unlock()
		if n == last+1 {
			// "A request starts to run with its first token."
			e.record.add("%s begins %s", e.id, id)
			e.ran(id, e.id)
		}
		fmt.Fprintf(w, "id: %d\ndata: piece %d\n\n", n, n)
		_ = http.NewResponseController(w).Flush()
	}
	e.record.add("%s ends %s", e.id, id)
}
