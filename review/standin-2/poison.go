package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// crashDelay is the time from the start of a crashing run to the end of its replica, downTime the time until the replica is back.
	crashDelay = 80 * time.Millisecond
	downTime   = 1500 * time.Millisecond
	// patience is when a client leaves that gives up early, within half of the objective of 200 ms; it does so for giveUpTime.
	patience   = 60 * time.Millisecond
	giveUpTime = 5500 * time.Millisecond
	// poisonInterval is the time between two of its requests.
	poisonInterval = 500 * time.Millisecond
	// poison is the body of the request that crashes each replica which begins to run it.
	poison = "poison"
)

// member is a replica of a plain service that a request can crash.
type member struct {
	f       *fleet
	address string
	stamps  *atomic.Int64
	// ran is called when a run begins, ended when it has crashed the replica.
	ran, ended func(attempt, body string)

	mu      sync.Mutex
	id      string
	born    int64
	starts  int
	server  *http.Server
	crashed bool
	entry   string
}

// start starts the replica anew at its address, with an ID of its own.
func (m *member) start() error {
	listener, err := net.Listen("tcp", m.address)
	if err != nil {
		return err
	}
	m.mu.Lock()
	m.starts++
	m.id, m.born, m.crashed = fmt.Sprintf("%s-%d", m.entry, m.starts), time.Now().UnixMilli(), false
	m.server = &http.Server{Handler: m.handler(m.id), ConnContext: func(ctx context.Context, c net.Conn) context.Context {
		// A process that is killed resets its channels.
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		return ctx
	}}
	server := m.server
	m.mu.Unlock()
	go func() { _ = server.Serve(listener) }()
	return nil
}

// crash ends the replica with all its requests, and starts it again later.
func (m *member) crash() {
	m.mu.Lock()
	if m.crashed {
		m.mu.Unlock()
		return
	}
	m.crashed = true
	server := m.server
	m.mu.Unlock()
	_ = server.Close()
	time.AfterFunc(downTime, func() {
		if err := m.start(); err != nil {
			m.f.note("%s can't start again: %v", m.entry, err)
		}
	})
}

func (m *member) handler(id string) http.Handler {
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
		m.ran(attempt, string(body))
		if string(body) == poison {
			time.Sleep(crashDelay)
			m.ended(attempt, string(body))
			m.crash()
			panic(http.ErrAbortHandler)
		}
		time.Sleep(30 * time.Millisecond)
		h["Chicoryrelay-Response-Stamp"] = []string{"stamp." + strconv.FormatInt(m.stamps.Add(1), 10)}
		_, _ = io.WriteString(w, strings.Repeat("x", 800))
	})
}

// runPoison shows that a request which crashes each replica goes on to reach replicas if its clients leave early.
func runPoison(root, dir string, trouble bool) (bool, error) {
	f, err := newFleet(root, dir, 2)
	if err != nil {
		return false, err
	}
	defer f.stop()
	var mu sync.Mutex
	var stamps atomic.Int64
	var arrivals, crashes []time.Time
	lost := 0
	for i, zone := range zones {
		m := &member{f: f, address: f.address() + ":0", stamps: &stamps, entry: fmt.Sprintf("i-ledger%d", i+1)}
		port, err := freePort(strings.TrimSuffix(m.address, ":0"))
		if err != nil {
			return false, err
		}
		m.address = strings.TrimSuffix(m.address, "0") + port
		m.ran = func(attempt, body string) {
			if body != poison {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			arrivals = append(arrivals, time.Now())
			f.note("%s begins to run the crashing request, attempt %s", m.entry, attempt)
		}
		m.ended = func(attempt, _ string) {
			mu.Lock()
			defer mu.Unlock()
			crashes = append(crashes, time.Now())
			f.note("%s ends under attempt %s, crash %d", m.entry, attempt, len(crashes))
		}
		if err := m.start(); err != nil {
			return false, err
		}
		f.cloud.add(map[string]any{
			"service": "ledger", "address": m.address, "zone": zone, "version": "v1", "slots": 6, "state": "ready", "coldRemainingMs": 0,
		}, func(entry map[string]any) {
			m.mu.Lock()
			defer m.mu.Unlock()
			entry["id"], entry["born"] = m.id, m.born
		})
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
	began := time.Now()
	end := began.Add(20 * time.Second)
	var wait sync.WaitGroup
	// Bookings of other clients, which are in progress at the replicas that end.
	for c := range 4 {
		wait.Go(func() {
			for i := 0; time.Now().Before(end); i++ {
				status, err := f.book(f.byClass("front")[(c+i)%2], fmt.Sprintf("booking-%d-%d", c, i), fmt.Sprintf("booking-%d-%d", c, i))
				if status == http.StatusBadGateway || err != nil {
					mu.Lock()
					lost++
					mu.Unlock()
				}
				time.Sleep(50 * time.Millisecond)
			}
		})
	}
	wait.Go(func() {
		for i := 0; time.Now().Before(end); i++ {
			n := f.byClass("front")[i%2]
			attempt := fmt.Sprintf("poison-%d", i)
			limit := 1200 * time.Millisecond
			if trouble && time.Since(began) < giveUpTime {
				limit = patience
			}
			ctx, cancel := context.WithTimeout(context.Background(), limit)
			status, err := f.bookWithin(ctx, n, attempt, poison)
			cancel()
			left := errors.Is(err, context.DeadlineExceeded)
			f.note("client: attempt %s of the crashing request at %s: answered %d, left early %t", attempt, n.name, status, left)
			time.Sleep(poisonInterval)
		}
	})
	wait.Wait()
	mu.Lock()
	defer mu.Unlock()
	if len(crashes) < 3 {
		return false, errors.New("fewer than three replicas ended")
	}
	later := 0
	for _, at := range arrivals {
		if at.After(crashes[2].Add(contactTime)) {
			later++
		}
	}
	f.note("%d replicas ended; the request reached replicas %d times later than contactMs after the third had; 3 are allowed; %d bookings of others failed", len(crashes), later, lost)
	if later > 3 {
		f.note("BROKEN: a request under which three replicas had ended was sent to replicas %d times more", later)
	}
	return later > 3, nil
}
