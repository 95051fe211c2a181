package main

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"
)

// desk is a sound replica of a plain service.
type desk struct {
	id  string
	ran func(request, id string)
}

// ServeHTTP implements http.Handler.
func (d *desk) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Chicoryrelay-Attempt-Id")
	w.Header().Set("Chicoryrelay-Attempt-Id", id)
	w.Header().Set("Chicoryrelay-Replica-Id", d.id)
	w.Header().Set("Chicoryrelay-Replica-Load", "1,0,6")
	if wanted := r.Header.Get("Chicoryrelay-Expect-Instance"); wanted != "" && wanted != d.id {
		w.Header().Set("Chicoryrelay-Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if r.URL.Path == "/health" {
		return
	}
	_, _ = io.Copy(io.Discard, r.Body)
	d.ran(id, d.id)
	time.Sleep(30 * time.Millisecond)
	w.Header().Set("Chicoryrelay-Response-Stamp", "stamp."+d.id)
	fmt.Fprintf(w, "booked %s", id)
}

// stranger: the platform's list holds an entry of another writer, in which fields are missing. It names no replica to use. At its
// address a plain web server answers, which is no replica. No client may get a success that no replica gave.
func stranger(s *site) bool {
	var mu sync.Mutex
	ran := map[string]string{}
	add := func(entry map[string]any) {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.replicas = append(s.replicas, entry)
	}
	for n := range 3 {
		d := &desk{id: fmt.Sprintf("i-desk%d", n), ran: func(request, id string) {
			mu.Lock()
			defer mu.Unlock()
			ran[request] = id
			s.record.add("%s runs %s", id, request)
		}}
		address := fmt.Sprintf("%s.%d:8080", s.prefix, 100+n)
		add(map[string]any{
			"id": d.id, "service": "desk", "address": address, "zone": "zone-a", "version": "v1", "slots": 6, "state": "ready", "coldRemainingMs": 0, "born": time.Now().UnixMilli(),
		})
		serve(address, d)
	}
	if trouble() {
		address := fmt.Sprintf("%s.120:8080", s.prefix)
		add(map[string]any{"id": "web-7", "service": "desk", "address": address, "zone": "zone-a", "state": "ready"})
		serve(address, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			s.record.add("the web server that is no replica gets %s %s, request %s of tenant %s", r.Method, r.URL.Path, r.Header.Get("Chicoryrelay-Attempt-Id"), r.Header.Get("Chicoryrelay-Tenant"))
			_, _ = io.WriteString(w, "<html>welcome</html>\n")
		}))
	}
	s.boot(2)
	s.operate("/Config.Replace", map[string]any{
		"version": 3,
		"routes": []any{map[string]any{
			"name": "r-book", "host": "desk.example", "pathPrefix": "/book/", "kind": "non_idempotent", "timeoutMs": 3000, "targetLatencyMs": 300, "priority": 2,
			"service": "desk", "maxAttempts": 1, "public": false, "sticky": false, "resumable": false,
		}},
		"services": []any{map[string]any{"name": "desk", "healthPath": "/health", "maxConnections": 96, "protocol": "h1", "tls": false}},
		"limits":   map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants":  []any{map[string]any{"name": "tenant-a", "apiKeys": []string{"key-of-tenant-a-0001"}, "isolated": false}},
	})
	s.awaitReady()
	time.Sleep(3 * time.Second)
	served, foreign := 0, 0
	book := func(i int) {
		id := fmt.Sprintf("booking-%03d", i)
		request, _ := http.NewRequest(http.MethodPost, fmt.Sprintf("http://%s:%d/book/slot", s.front(i%2), frontPort), strings.NewReader("slot of "+id))
		request.Host = "desk.example"
		request.Header.Set("Chicoryrelay-Attempt-Id", id)
		request.Header.Set("Chicoryrelay-Key", "key-of-tenant-a-0001")
		request.Header.Set("Chicoryrelay-Deadline-Ms", "3000")
		response, err := s.client.Do(request)
		if err != nil {
			s.record.add("client: %s has no answer: %v", id, err)
			return
		}
		body, _ := io.ReadAll(response.Body)
		_ = response.Body.Close()
		stamp := response.Header.Get("Chicoryrelay-Response-Stamp")
		s.record.add("client: %s is answered %d, stamp %q, body %q", id, response.StatusCode, stamp, body)
		mu.Lock()
		defer mu.Unlock()
		switch by := ran[id]; {
		case response.StatusCode/100 == 2 && (stamp == "" || by == ""):
			foreign++
			s.record.add("MIXED: %s got a success that no replica gave; it ran at %q", id, by)
		case response.StatusCode == http.StatusOK:
			served++
		}
	}
	var group sync.WaitGroup
	for i := range 200 {
		group.Go(func() { book(i) })
		time.Sleep(50 * time.Millisecond)
	}
	group.Wait()
	s.record.add("%d of 200 bookings ran and were confirmed, %d were confirmed by the web server and never ran", served, foreign)
	if served+foreign < 100 {
		s.fail("the bookings are not served")
	}
	return foreign > 0
}
