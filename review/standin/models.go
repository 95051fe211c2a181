package main

import (
	"fmt"
	"time"
)

// models: the engines serve two models. New weights are named for the second model, then for the first one. All replicas must have
// them within the bounds, and requests for the first model must be served.
func models(s *site) bool {
	const versionMs = 8 * time.Second
	var engines []*engine
	for n := range 4 {
		engines = append(engines, newEngine(s, n, "llm", "m0", 10, 10*time.Millisecond))
		engines[n].addModel("m1")
	}
	s.boot(2)
	desired := state(3, true, 2, []map[string]any{{"name": "tenant-a", "apiKeys": []string{"key-of-tenant-a-0001"}, "isolated": false}})
	engineOf(desired)["models"] = []any{map[string]any{"name": "m0"}, map[string]any{"name": "m1"}}
	s.operate("/Config.Replace", desired)
	s.awaitReady()
	time.Sleep(3 * time.Second)
	ask := func(name string, count int) (served int) {
		for i := range count {
			id := fmt.Sprintf("%s-%03d", name, i)
			if status, _, whole := s.ask(i%2, id, "notes.example", "/note/x", "key-of-tenant-a-0001", fmt.Sprintf("b00c0001:2000,%08x:400", i), "2400,10"); status == 200 && whole {
				served++
			}
			time.Sleep(20 * time.Millisecond)
		}
		return served
	}
	before := ask("before", 40)
	if before < 30 {
		s.fail("the requests are not served")
	}
	if trouble() {
		s.operate("/version-put", map[string]any{"model": "m1", "version": 2})
		time.Sleep(versionMs)
	}
	s.operate("/version-put", map[string]any{"model": "m0", "version": 2})
	time.Sleep(versionMs * 2)
	after := ask("after", 40)
	time.Sleep(2 * time.Second)
	older := 0
	for _, e := range engines {
		e.mu.Lock()
		s.record.add("%s has version %d of m0, others %v, after %d orders", e.id, e.version, e.others, e.sequence)
		if e.version < 2 {
			older++
		}
		e.mu.Unlock()
	}
	s.record.add("%d of 40 requests were served before, %d of 40 after; %d of %d replicas have the older version 18 s after the newer one was acknowledged", before, after, older, len(engines))
	return older > 1
}
