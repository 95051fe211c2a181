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

// engines are the stand-ins of an engine service and of the platform's list.
type engines struct {
	s       *site
	service string
	// count is the number of replicas, listed returns those that the platform's list shows, from the first one on.
	count  int
	listed func() []replica
	// onRequest is called with the header of each request that runs.
	onRequest func(replica int, h http.Header)

	// A stream has so many events, with a pause after each; they name the software of the replica that makes them.
	events   int
	pause    time.Duration
	software []string

	mu   sync.Mutex
	runs int
}

// replica is a replica on the platform's list.
type replica struct{ software string }

func (e *engines) id(i int) string { return fmt.Sprintf("i-%08d", i+1) }

// start serves the list and the engines.
func (e *engines) start() {
	born := time.Now().UnixMilli()
	list := http.NewServeMux()
	list.HandleFunc("GET /replicas", func(w http.ResponseWriter, r *http.Request) {
		var instances []map[string]any
		for i, listed := range e.listed() {
			instances = append(instances, map[string]any{
				"id": e.id(i), "service": e.service, "address": fmt.Sprintf("%s:%d", replicaIP(i), e.s.ports.replica), "zone": "zone-a", "version": listed.software,
				"slots": 96, "state": "ready", "coldRemainingMs": 0, "stage": "unified", "models": e.models(), "born": born,
			})
		}
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(map[string]any{"instances": instances, "next": nil})
	})
	go serve(fmt.Sprintf("%s:%d", platformIP, e.s.ports.platform), list)
	for i := range e.count {
		go serve(fmt.Sprintf("%s:%d", replicaIP(i), e.s.ports.replica), e.engine(i, born))
	}
}

func (e *engines) models() any {
	return []map[string]any{{"name": "m", "version": 1, "adapters": []string{}}}
}

func serve(address string, handler http.Handler) {
	if err := http.ListenAndServe(address, handler); err != nil {
		panic(err)
	}
}

func (e *engines) engine(i int, born int64) http.Handler {
	mux := http.NewServeMux()
	answer := func(w http.ResponseWriter, value any) {
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(value)
	}
	wrong := func(w http.ResponseWriter, r *http.Request) bool {
		expected := r.Header.Get("Chicoryrelay-Expect-Instance")
		if expected == "" || expected == e.id(i) {
			return false
		}
		w.Header().Set("Chicoryrelay-Not-Executed", "1")
		w.Header().Set("Chicoryrelay-Replica-Id", e.id(i))
		w.WriteHeader(http.StatusMisdirectedRequest)
		return true
	}
	mux.HandleFunc("GET /report", func(w http.ResponseWriter, r *http.Request) {
		if !wrong(w, r) {
			answer(w, map[string]any{"stage": "unified", "models": e.models(), "busy": false, "sequence": 0, "queued": 0, "running": 0, "kvUsed": 0, "kvTotal": 90000, "handles": 0, "runs": []any{}, "born": born})
		}
	})
	mux.HandleFunc("GET /kv-events", func(w http.ResponseWriter, r *http.Request) {
		wait, _ := strconv.Atoi(r.Header.Get("Wait-Ms"))
		time.Sleep(time.Duration(min(wait, 1000)) * time.Millisecond)
		answer(w, map[string]any{"bootEpoch": born, "next": 0, "lost": false, "events": []any{}})
	})
	mux.HandleFunc("GET /health", func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Chicoryrelay-Replica-Id", e.id(i))
	})
	mux.HandleFunc("/", func(w http.ResponseWriter, r *http.Request) {
		if wrong(w, r) {
			return
		}
		if version := r.Header.Get("Chicoryrelay-Expect-Version"); version != "" && version != "1" {
			w.Header().Set("Chicoryrelay-Not-Executed", "1")
			w.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		e.onRequest(i, r.Header)
		e.mu.Lock()
		e.runs++
		stamp := fmt.Sprintf("3e1b.%02d.%d", i, e.runs)
		e.mu.Unlock()
		h := w.Header()
		h.Set("Chicoryrelay-Attempt-Id", r.Header.Get("Chicoryrelay-Attempt-Id"))
		h.Set("Chicoryrelay-Response-Stamp", stamp)
		h.Set("Chicoryrelay-Weight-Versions", "1")
		h.Set("Chicoryrelay-Replica-Id", e.id(i))
		h.Set("Content-Type", "text/event-stream")
		last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
		for n := last + 1; n <= e.events && r.Context().Err() == nil; n++ {
			fmt.Fprintf(w, "id: %d\ndata: %s\n\n", n, e.software[i])
			w.(http.Flusher).Flush()
			time.Sleep(e.pause)
		}
	})
	return mux
}

// parts returns the IDs of the parts of a prompt.
func parts(h http.Header) (ids []string) {
	for _, entry := range strings.Split(h.Get("Chicoryrelay-Prompt-Prefix"), ",") {
		id, _, _ := strings.Cut(entry, ":")
		ids = append(ids, id)
	}
	return ids
}
