package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// ledger is a booking service with several replicas. A booking that is run is written down before the answer is made.
type ledger struct {
	f *fleet
	// failing is set while one replica fails a share of its requests.
	failing atomic.Bool
	// count is the number of bookings that the failing replica has run.
	count  atomic.Int64
	stamps atomic.Int64
	mu     sync.Mutex
	// runs has the runs of each attempt, bookings those of each booking.
	runs, bookings map[string]int
}

// failedStatuses are those with which a replica fails a booking that it has run, in turn.
var failedStatuses = []int{http.StatusInternalServerError, http.StatusServiceUnavailable}

// bookings take less than the 6.5 s for which a replica may fail.
const bookings = 160

// replicas is the number of replicas, of which one is an eighth.
const replicas = 8

const failingReplica = "i-ledger1"

// failEvery makes the replica fail two in five of its bookings.
var failEvery = [5]bool{true, false, true, false, false}

func (l *ledger) handler(id string) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		h := w.Header()
		h["Chicoryrelay-Replica-Id"] = []string{id}
		h["Chicoryrelay-Replica-Load"] = []string{"1,0,6"}
		if r.URL.Path == "/health" {
			return
		}
		attempt := r.Header.Get("Chicoryrelay-Attempt-Id")
		h["Chicoryrelay-Attempt-Id"] = []string{attempt}
		if expected := r.Header.Get("Chicoryrelay-Expect-Instance"); expected != "" && expected != id {
			h["Chicoryrelay-Not-Executed"] = []string{"1"}
			w.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		l.mu.Lock()
		l.runs[attempt]++
		l.bookings[string(body)]++
		l.mu.Unlock()
		time.Sleep(30 * time.Millisecond)
		status := http.StatusOK
		if id == failingReplica && l.failing.Load() {
			if n := l.count.Add(1); failEvery[n%5] {
				status = failedStatuses[n%int64(len(failedStatuses))]
			}
		}
		l.f.note("replica %s ran attempt %s of %s and answers %d without Chicoryrelay-Not-Executed", id, attempt, body, status)
		h["Chicoryrelay-Response-Stamp"] = []string{"stamp." + strconv.FormatInt(l.stamps.Add(1), 10)}
		w.WriteHeader(status)
		_, _ = io.WriteString(w, strings.Repeat("x", 800))
	})
}

// runRefused shows that a booking which a replica has run is answered 503.
func runRefused(root, dir string, trouble bool) (bool, error) {
	f, err := newFleet(root, dir, 2)
	if err != nil {
		return false, err
	}
	defer f.stop()
	l := &ledger{f: f, runs: map[string]int{}, bookings: map[string]int{}}
	for i := range replicas {
		id := fmt.Sprintf("i-ledger%d", i+1)
		address, err := f.listen(l.handler(id))
		if err != nil {
			return false, err
		}
		f.cloud.add(map[string]any{
			"service": "ledger", "address": address, "zone": zones[i%len(zones)], "version": "v1", "slots": 6, "state": "ready", "coldRemainingMs": 0,
			"id": id, "born": time.Now().UnixMilli(),
		}, nil)
	}
	if err := f.startAll(); err != nil {
		return false, err
	}
	if _, err := f.order("/Config.Replace", map[string]any{
		"version": 7, "limits": limits(),
		"routes": []any{map[string]any{
			"name": "draw", "host": "ledger.example", "pathPrefix": "/draw/", "kind": "non_idempotent", "timeoutMs": 1200, "targetLatencyMs": 200,
			"priority": 2, "service": "ledger", "maxAttempts": 1, "public": false, "sticky": false, "resumable": false,
		}},
		"services": []any{map[string]any{"name": "ledger", "healthPath": "/health", "maxConnections": 110, "protocol": "h1", "tls": false}},
	}, 20*time.Second); err != nil {
		return false, err
	}
	for _, n := range f.byClass("front") {
		if err := f.awaitReady(n, 20*time.Second); err != nil {
			return false, err
		}
	}
	time.Sleep(4 * time.Second)
	l.failing.Store(trouble)
	f.note("%s fails a share of its bookings: %t", failingReplica, trouble)
	broken := false
	answers := map[int]int{}
	for i := range bookings {
		n := f.byClass("front")[i%2]
		booking := fmt.Sprintf("booking-%02d", i)
		// A client has one retry, which it uses only after a promise that the booking has not run and never will.
		for try := range 2 {
			attempt := fmt.Sprintf("%s-try-%d", booking, try+1)
			status, err := f.book(n, attempt, booking)
			l.mu.Lock()
			runs := l.runs[attempt]
			l.mu.Unlock()
			f.note("client: attempt %s is answered %d (%v), it ran %d times", attempt, status, err, runs)
			answers[status]++
			promised := status == 429 || status == 503 || status == 408 || status == 421
			if promised && runs > 0 {
				broken = true
				f.note("BROKEN: attempt %s was answered %d, which promises that it has not run, and has run", attempt, status)
			}
			if !promised {
				break
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
	twice := 0
	l.mu.Lock()
	for _, n := range l.bookings {
		if n > 1 {
			twice++
		}
	}
	l.mu.Unlock()
	f.note("answers by status: %v; %d of %d bookings were made twice, since their clients believed the promise", answers, twice, bookings)
	return broken, nil
}

// book sends a booking on a new channel.
func (f *fleet) book(n *node, attempt, booking string) (int, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 1200*time.Millisecond)
	defer cancel()
	return f.bookWithin(ctx, n, attempt, booking)
}

// bookWithin sends a booking on a new channel, which is closed when the context ends.
func (f *fleet) bookWithin(ctx context.Context, n *node, attempt, booking string) (int, error) {
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+n.front+"/draw/", strings.NewReader(booking))
	if err != nil {
		return 0, err
	}
	r.Host = "ledger.example"
	r.Header["Chicoryrelay-Attempt-Id"] = []string{attempt}
	r.Header["Chicoryrelay-Deadline-Ms"] = []string{"1200"}
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	answer, err := client.Do(r)
	if err != nil {
		return 0, err
	}
	defer func() { _ = answer.Body.Close() }()
	_, err = io.Copy(io.Discard, answer.Body)
	return answer.StatusCode, err
}
