package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"
)

// The times of the case: traffic runs for wallLead before the cut, the change is sent wallChange after its begin, and the cut lasts wallCut.
const (
	wallLead   = 4 * time.Second
	wallChange = 300 * time.Millisecond
	wallCut    = 3500 * time.Millisecond
	wallTail   = 3 * time.Second
	// wallEvery is the time between two requests of a tenant.
	wallEvery = 40 * time.Millisecond
	// wallFronts is the number of fronts, of which one is cut off; wallBusy of them, the cut one among them, get the traffic.
	wallFronts = 10
	wallBusy   = 2
)

// wallNumber tells the last parts of the tenants' prompts apart.
var wallNumber = map[string]int{"ta": 1, "tb": 2}

func wallState(version int, isolated bool) []byte {
	return fmt.Appendf(nil, `{"version":%d,"routes":[{"name":"r","host":"llm.example","pathPrefix":"/ask/","kind":"streaming","timeoutMs":5000,"targetLatencyMs":600,"priority":1,"service":"llm","maxAttempts":1,"public":false,"sticky":true,"resumable":false,"gapAimMs":250}],`+
		`"services":[{"name":"llm","healthPath":"/health","maxConnections":500,"protocol":"h1","tls":false,"engine":{"slots":96,"kvCapacity":81468,"tokenKvBytes":262144,"linkMbps":550000.0,"moves":false,"backups":false,"stride":4,"maxConcurrency":12,"pinMs":4000.0,"holdMs":2000.0,"handle_s":5.0,"models":[{"name":"m"}]}}],`+
		`"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},`+
		`"tenants":[{"name":"ta","apiKeys":["key-of-ta"],"priority":1,"isolated":%t},{"name":"tb","apiKeys":["key-of-tb"],"priority":1,"isolated":false}]}`, version, isolated)
}

// wallCache is the KV cache of the engines: a part is found under the salt and ID with which a request has made it.
type wallCache struct {
	mu     sync.Mutex
	makers map[string]string
	// sent are the times at which clients have sent their requests, acked is when the tenant's isolation was acknowledged.
	sent   map[string]time.Time
	acked  time.Time
	broken int
	shared int
}

// wall cuts one front off from the control machines while a tenant becomes isolated.
func wall(s *site, trouble bool) (bool, error) {
	cache := &wallCache{makers: map[string]string{}, sent: map[string]time.Time{}}
	e := &engines{s: s, service: "llm", listed: func() []replica { return []replica{{software: "v1"}} }, count: 1, events: 3, pause: 2 * time.Millisecond, software: []string{"v1"}}
	e.onRequest = func(replica int, h http.Header) {
		tenant, salt, id := h.Get("Chicoryrelay-Tenant"), h.Get("Chicoryrelay-Cache-Salt"), h.Get("Chicoryrelay-Attempt-Id")
		cache.mu.Lock()
		defer cache.mu.Unlock()
		sent := cache.sent[id]
		go s.logf("engine %s runs %s of %s under salt %s", e.id(replica), id, tenant, salt)
		for _, part := range parts(h) {
			key := fmt.Sprint(replica, " ", salt, " ", part)
			maker, found := cache.makers[key]
			if !found {
				cache.makers[key] = tenant
				continue
			}
			if maker == tenant {
				continue
			}
			cache.shared++
			if !cache.acked.IsZero() && sent.After(cache.acked) {
				cache.broken++
				go s.logf("BROKEN: request %s of %s, sent %.3f s after ta was acknowledged as isolated, uses part %s of %s (salt %s, engine %s)", id, tenant, sent.Sub(cache.acked).Seconds(), part, maker, salt, e.id(replica))
			}
		}
	}
	e.start()
	if err := s.startControls("zone-a"); err != nil {
		return false, err
	}
	for i := range wallFronts {
		if _, err := s.startFront(i, "zone-a"); err != nil {
			return false, err
		}
	}
	ctx, cancel := context.WithTimeout(context.Background(), 100*time.Second)
	defer cancel()
	if _, err := s.operate(ctx, http.MethodPost, "/Config.Replace", wallState(1, false)); err != nil {
		return false, err
	}
	s.logf("version 1 acknowledged, no tenant is isolated")
	for i := range wallFronts {
		if err := s.awaitReady(i); err != nil {
			return false, err
		}
	}
	traffic, end := context.WithCancel(ctx)
	var group sync.WaitGroup
	statuses, statusesMu := map[int]int{}, sync.Mutex{}
	for _, tenant := range []string{"ta", "tb"} {
		for front := range wallBusy {
			group.Go(func() {
				client := &http.Client{Transport: &http.Transport{}, Timeout: 5 * time.Second}
				for n := 0; traffic.Err() == nil; n++ {
					id := fmt.Sprintf("%s-%d-%05d", tenant, front, n)
					request, _ := http.NewRequest(http.MethodPost, fmt.Sprintf("http://%s:%d/ask/1", boundIP(frontIP(front)), s.ports.front), bytes.NewReader([]byte("prompt "+id)))
					request.Host = "llm.example"
					for name, value := range map[string]string{
						"Chicoryrelay-Attempt-Id": id, "Chicoryrelay-Model": "m", "Chicoryrelay-Token-Count": "1460,3", "Chicoryrelay-Deadline-Ms": "5000",
						"Chicoryrelay-Prompt-Prefix": "5c1e07a2:800,91bd3f06:410," + fmt.Sprintf("%08x:250", n+1_000_000*(front+10*wallNumber[tenant])), "Chicoryrelay-Key": "key-of-" + tenant,
					} {
						request.Header.Set(name, value)
					}
					cache.mu.Lock()
					cache.sent[id] = time.Now()
					cache.mu.Unlock()
					response, err := client.Do(request)
					status := 0
					if err == nil {
						_, _ = io.Copy(io.Discard, response.Body)
						response.Body.Close()
						status = response.StatusCode
					}
					statusesMu.Lock()
					statuses[status]++
					statusesMu.Unlock()
					s.logf("request %s at front-%d: %d", id, front+1, status)
					time.Sleep(wallEvery)
				}
			})
		}
	}
	time.Sleep(wallLead)
	if trouble {
		s.logf("cut: front-1 reaches no control machine any more")
		s.network.cut(s.name(frontIP(0)))
	}
	cutAt := time.Now()
	time.Sleep(wallChange)
	sent := time.Now()
	if _, err := s.operate(ctx, http.MethodPost, "/Config.Replace", wallState(2, true)); err != nil {
		end()
		return false, err
	}
	cache.mu.Lock()
	cache.acked = time.Now()
	cache.mu.Unlock()
	s.logf("version 2 acknowledged after %.3f s: ta is isolated", time.Since(sent).Seconds())
	time.Sleep(time.Until(cutAt.Add(wallCut)))
	s.network.cut()
	s.logf("the cut has ended")
	time.Sleep(wallTail)
	end()
	group.Wait()
	cache.mu.Lock()
	defer cache.mu.Unlock()
	s.logf("statuses %v, parts shared between tenants %d, of these by requests sent after the acknowledgement %d", statuses, cache.shared, cache.broken)
	fmt.Printf("statuses %v, parts shared between tenants %d, of these by requests sent after the acknowledgement %d\n", statuses, cache.shared, cache.broken)
	if cache.shared == 0 || statuses[200] < 100 {
		return false, fmt.Errorf("%w: too little was served or shared for the case", errNoRun)
	}
	return cache.broken == 0, nil
}
