package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// loadTime is how long a replica takes for new weights.
const loadTime = 380 * time.Millisecond

// run is a request that has begun at a replica.
type run struct {
	attempt, replica, front string
	version                 uint64
	at                      time.Time
}

// engines are the replicas of a model service.
type engines struct {
	f      *fleet
	stamps atomic.Int64
	mu     sync.Mutex
	runs   []run
}

// engine is one replica.
type engine struct {
	all  *engines
	id   string
	born int64
	// late is how long the replica leaves an order unanswered before it carries it out, 0 for a replica that answers at once.
	late time.Duration

	mu       sync.Mutex
	version  uint64
	sequence uint64
	fence    uint64
	busy     bool
	active   map[string]int
}

func newEngine(all *engines, id string) *engine {
	return &engine{all: all, id: id, born: time.Now().UnixMilli(), version: 1, active: map[string]int{}}
}

func (e *engine) models() []any {
	return []any{map[string]any{"name": "model", "version": e.version, "adapters": []any{}}}
}

func answerJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func (e *engine) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /health", func(w http.ResponseWriter, _ *http.Request) {
		w.Header()["Chicoryrelay-Replica-Id"] = []string{e.id}
	})
	mux.HandleFunc("GET /report", func(w http.ResponseWriter, _ *http.Request) {
		e.mu.Lock()
		defer e.mu.Unlock()
		runs := []any{}
		for id, priority := range e.active {
			runs = append(runs, []any{id, 100, 1, priority})
		}
		answerJSON(w, http.StatusOK, map[string]any{
			"stage": "unified", "models": e.models(), "busy": e.busy, "sequence": e.sequence, "queued": 0, "running": len(runs), "kvUsed": 100 * len(runs),
			"kvTotal": 81468, "handles": 0, "state": "ready", "next": 0, "runs": runs, "born": e.born,
		})
	})
	mux.HandleFunc("GET /kv-events", func(w http.ResponseWriter, r *http.Request) {
		wait, _ := strconv.Atoi(r.Header.Get("Wait-Ms"))
		select {
		case <-r.Context().Done():
		case <-time.After(time.Duration(wait) * time.Millisecond):
		}
		answerJSON(w, http.StatusOK, map[string]any{"bootEpoch": 1, "next": 0, "lost": false, "events": []any{}})
	})
	mux.HandleFunc("POST /order", e.order)
	mux.HandleFunc("/", e.serve)
	return mux
}

type order struct {
	Op      string  `json:"op"`
	Version uint64  `json:"version"`
	Mode    string  `json:"mode"`
	Holder  string  `json:"holder"`
	Fence   uint64  `json:"fence"`
	Expect  *uint64 `json:"expect"`
}

func (e *engine) order(w http.ResponseWriter, r *http.Request) {
	var o order
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil || o.Op != "version" || o.Holder == "" || o.Fence == 0 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if expected := r.Header.Get("Chicoryrelay-Expect-Instance"); expected != "" && expected != e.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if e.late > 0 {
		e.all.f.note("%s leaves the order for version %d unanswered", e.id, o.Version)
		time.AfterFunc(e.late, func() {
			status := e.accept(o)
			e.all.f.note("%s carries the order for version %d out late: %d", e.id, o.Version, status)
		})
		<-r.Context().Done()
		return
	}
	status := e.accept(o)
	e.all.f.note("%s answers the order for version %d with %d", e.id, o.Version, status)
	w.WriteHeader(status)
}

func (e *engine) accept(o order) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	switch {
	case o.Fence < e.fence:
		return http.StatusPreconditionFailed
	case e.busy || o.Expect != nil && *o.Expect != e.sequence:
		return http.StatusConflict
	case e.version >= o.Version:
		return http.StatusOK
	}
	e.fence, e.busy = o.Fence, true
	e.sequence++
	time.AfterFunc(loadTime, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		e.version, e.busy = o.Version, false
	})
	return http.StatusAccepted
}

// serve runs a request: eight events within 300 ms.
func (e *engine) serve(w http.ResponseWriter, r *http.Request) {
	h := w.Header()
	attempt := r.Header.Get("Chicoryrelay-Attempt-Id")
	h["Chicoryrelay-Attempt-Id"] = []string{attempt}
	h["Chicoryrelay-Replica-Id"] = []string{e.id}
	_, _ = io.Copy(io.Discard, r.Body)
	e.mu.Lock()
	version := e.version
	status := 0
	if expected := r.Header.Get("Chicoryrelay-Expect-Instance"); expected != "" && expected != e.id {
		status = http.StatusMisdirectedRequest
	}
	if expected := r.Header.Get("Chicoryrelay-Expect-Version"); expected != "" && expected != strconv.FormatUint(version, 10) {
		status = http.StatusMisdirectedRequest
	}
	if e.busy {
		status = http.StatusServiceUnavailable
	}
	h["Chicoryrelay-Replica-Load"] = []string{fmt.Sprintf("%d,0,96", len(e.active))}
	if status != 0 {
		e.mu.Unlock()
		h["Chicoryrelay-Not-Executed"] = []string{"1"}
		w.WriteHeader(status)
		return
	}
	priority, _ := strconv.Atoi(r.Header.Get("Chicoryrelay-Request-Priority"))
	e.active[attempt] = priority
	e.mu.Unlock()
	e.all.mu.Lock()
	e.all.runs = append(e.all.runs, run{attempt: attempt, replica: e.id, front: e.all.f.nodeAt(r.RemoteAddr), version: version, at: time.Now()})
	e.all.mu.Unlock()
	defer func() {
		e.mu.Lock()
		delete(e.active, attempt)
		e.mu.Unlock()
	}()
	h["Chicoryrelay-Response-Stamp"] = []string{"stamp." + strconv.FormatInt(e.all.stamps.Add(1), 10)}
	h["Chicoryrelay-Weight-Versions"] = []string{strconv.FormatUint(version, 10)}
	h["Content-Type"] = []string{"text/event-stream"}
	for i := range 8 {
		_, _ = fmt.Fprintf(w, "id: %d\ndata: token %d\n\n", i+1, i+1)
		_ = http.NewResponseController(w).Flush()
		time.Sleep(40 * time.Millisecond)
	}
}
