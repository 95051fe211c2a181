package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"
)

const (
	// budgetLead is longer than the window of retries, so that each front has its usual part of the slack.
	budgetLead = 12 * time.Second
	// budgetWait is how long after the begin of the cut the burst comes, in which budgetRequests are sent within budgetBurst: 1.7 times the rate of the plain service on the sheet.
	budgetWait     = 2500 * time.Millisecond
	budgetBurst    = 3 * time.Second
	budgetRequests = 96
	budgetFronts   = 8
	budgetNear     = 3
	budgetReplicas = 3
	budgetSlots    = 2
	budgetWork     = 800 * time.Millisecond
	// The limits of the sheet: ratio, slack and window.
	budgetRatio  = 0.2
	budgetSlack  = 56
	budgetWindow = 10 * time.Second
)

func budgetState(version int) []byte {
	return fmt.Appendf(nil, `{"version":%d,"routes":[{"name":"r","host":"desk.example","pathPrefix":"/view/","kind":"idempotent","timeoutMs":3000,"targetLatencyMs":1000,"priority":2,"service":"desk","maxAttempts":2,"public":true,"sticky":false,"resumable":false}],`+
		`"services":[{"name":"desk","healthPath":"/health","maxConnections":96,"protocol":"h1","tls":false}],`+
		`"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}`, version)
}

// arrivals counts the arrivals of requests at the replicas of a service.
type arrivals struct {
	mu    sync.Mutex
	seen  map[string]bool
	again []time.Time
	sent  []time.Time
	runs  int
}

// most returns the most arrivals beyond the first of each request in any window, and what was allowed in it.
func (a *arrivals) most() (most int, allowed float64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	within := func(list []time.Time, from time.Time) (n int) {
		for _, at := range list {
			if !at.Before(from) && at.Before(from.Add(budgetWindow)) {
				n++
			}
		}
		return n
	}
	worst := 0.0
	for _, from := range a.again {
		n := within(a.again, from)
		requests := max(within(a.sent, from), within(a.sent, from.Add(-budgetWindow)), within(a.sent, from.Add(-budgetWindow/2)))
		limit := budgetRatio*float64(requests) + budgetSlack
		if over := float64(n) - limit; most == 0 || over > worst {
			most, allowed, worst = n, limit, over
		}
	}
	return most, allowed
}

// budget cuts a data centre with five of the eight fronts off before many users come at once.
func budget(s *site, trouble bool) (bool, error) {
	a := &arrivals{seen: map[string]bool{}}
	list := http.NewServeMux()
	list.HandleFunc("GET /replicas", func(w http.ResponseWriter, r *http.Request) {
		var instances []map[string]any
		for i := range budgetReplicas {
			instances = append(instances, map[string]any{
				"id": fmt.Sprintf("i-%08d", i+1), "service": "desk", "address": fmt.Sprintf("%s:%d", replicaIP(i), s.ports.replica), "zone": "zone-a", "version": "v1",
				"slots": budgetSlots, "state": "ready", "coldRemainingMs": 0,
			})
		}
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(map[string]any{"instances": instances, "next": nil})
	})
	go serve(fmt.Sprintf("%s:%d", platformIP, s.ports.platform), list)
	for i := range budgetReplicas {
		busy := make(chan struct{}, budgetSlots)
		go serve(fmt.Sprintf("%s:%d", replicaIP(i), s.ports.replica), http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			id := r.Header.Get("Chicoryrelay-Attempt-Id")
			h := w.Header()
			h.Set("Chicoryrelay-Replica-Id", fmt.Sprintf("i-%08d", i+1))
			if id == "" {
				return
			}
			h.Set("Chicoryrelay-Attempt-Id", id)
			a.mu.Lock()
			if a.seen[id] {
				a.again = append(a.again, time.Now())
			}
			a.seen[id] = true
			a.mu.Unlock()
			select {
			case busy <- struct{}{}:
			default:
				s.logf("replica %d is full and does not run %s", i+1, id)
				h.Set("Chicoryrelay-Not-Executed", "1")
				h.Set("Chicoryrelay-Replica-Load", fmt.Sprintf("%d,0,%d", budgetSlots, budgetSlots))
				w.WriteHeader(http.StatusServiceUnavailable)
				return
			}
			s.logf("replica %d runs %s", i+1, id)
			time.Sleep(budgetWork)
			<-busy
			a.mu.Lock()
			a.runs++
			h.Set("Chicoryrelay-Response-Stamp", fmt.Sprintf("3e1b.%02d.%d", i, a.runs))
			a.mu.Unlock()
			_, _ = w.Write([]byte("slots"))
		}))
	}
	if err := s.startControls("zone-a", "zone-a", "zone-b"); err != nil {
		return false, err
	}
	for i := range budgetFronts {
		zone := "zone-a"
		if i >= budgetNear {
			zone = "zone-b"
		}
		if _, err := s.startFront(i, zone); err != nil {
			return false, err
		}
	}
	ctx, cancel := context.WithTimeout(context.Background(), 100*time.Second)
	defer cancel()
	if _, err := s.operate(ctx, http.MethodPost, "/Config.Replace", budgetState(1)); err != nil {
		return false, err
	}
	for i := range budgetFronts {
		if err := s.awaitReady(i); err != nil {
			return false, err
		}
	}
	time.Sleep(budgetLead)
	if err := s.moveLead(2); err != nil {
		return false, err
	}
	if trouble {
		names := []string{s.name(controlIP(2))}
		for i := budgetNear; i < budgetFronts; i++ {
			names = append(names, s.name(frontIP(i)))
		}
		s.network.cut(names...)
		s.logf("cut: core-3 and front-%d to front-%d (zone-b) reach the others no more; core-%d leads", budgetNear+1, budgetFronts, s.leader()+1)
	}
	time.Sleep(budgetWait)
	var group sync.WaitGroup
	statuses, mu := map[int]int{}, sync.Mutex{}
	for n := range budgetRequests {
		time.Sleep(budgetBurst / budgetRequests)
		group.Go(func() {
			id, front := fmt.Sprintf("view-%03d", n), n%budgetFronts
			request, _ := http.NewRequest(http.MethodGet, fmt.Sprintf("http://%s:%d/view/%d", boundIP(frontIP(front)), s.ports.front, n), nil)
			request.Host = "desk.example"
			request.Header.Set("Chicoryrelay-Attempt-Id", id)
			request.Header.Set("Chicoryrelay-Deadline-Ms", "3000")
			a.mu.Lock()
			a.sent = append(a.sent, time.Now())
			a.mu.Unlock()
			status := 0
			if response, err := (&http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: 3 * time.Second}).Do(request); err == nil {
				_, _ = io.Copy(io.Discard, response.Body)
				response.Body.Close()
				status = response.StatusCode
			}
			s.logf("request %s at front-%d: %d", id, front+1, status)
			mu.Lock()
			statuses[status]++
			mu.Unlock()
		})
	}
	group.Wait()
	s.network.cut()
	most, allowed := a.most()
	text := fmt.Sprintf("%d requests, statuses %v; most arrivals beyond the first in %v: %d, allowed %.1f", budgetRequests, statuses, budgetWindow, most, allowed)
	s.logf("%s", text)
	fmt.Println(text)
	return float64(most) <= allowed, nil
}
