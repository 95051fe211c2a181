package main

import (
	"fmt"
	"slices"
	"sync"
	"time"
)

// attempts: new weights are named while streams run. No request may run on more replicas than its route's maxAttempts.
func attempts(s *site) bool {
	const maxAttempts, allowed, pieces, requests = 2, 3, 100, 60
	var mu sync.Mutex
	runs := map[string][]string{}
	for n := range 4 {
		e := newEngine(s, n, "llm", "m0", pieces, 100*time.Millisecond)
		e.ran = func(request, engine string) {
			mu.Lock()
			defer mu.Unlock()
			if !slices.Contains(runs[request], engine) {
				runs[request] = append(runs[request], engine)
			}
		}
	}
	s.boot(2)
	s.operate("/Config.Replace", state(3, true, maxAttempts, []map[string]any{{"name": "tenant-a", "apiKeys": []string{"key-of-tenant-a-0001"}, "isolated": false}}))
	s.awaitReady()
	time.Sleep(3 * time.Second)
	var group sync.WaitGroup
	served := 0
	for i := range requests {
		group.Go(func() {
			id := fmt.Sprintf("note-%03d", i)
			prompt := fmt.Sprintf("b00c%04x:200,%08x:400", i%8, 0x2000+i)
			status, events, whole := s.ask(i%2, id, "notes.example", "/note/x", "key-of-tenant-a-0001", prompt, "600,100")
			mu.Lock()
			defer mu.Unlock()
			if status == 200 && whole && events == pieces {
				served++
			}
		})
		if trouble() && i == 25 {
			go func() {
				for version := range 3 {
					s.operate("/version-put", map[string]any{"model": "m0", "version": 2 + version})
					time.Sleep(3200 * time.Millisecond)
				}
			}()
		}
		time.Sleep(350 * time.Millisecond)
	}
	group.Wait()
	mu.Lock()
	defer mu.Unlock()
	over := 0
	for id, list := range runs {
		if len(list) > maxAttempts {
			over++
			s.record.add("BUDGET: %s ran on %d replicas: %v; its route's maxAttempts is %d", id, len(list), list, maxAttempts)
		}
	}
	s.record.add("%d of %d requests were served whole; %d ran on more than %d replicas, %d are allowed", served, requests, over, maxAttempts, allowed)
	return over > allowed
}
