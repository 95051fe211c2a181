package main

import (
	"fmt"
	"sync"
	"time"
)

// wall: a tenant becomes isolated by a new desired state. Afterwards no request of another tenant may use what it had made.
func wall(s *site) bool {
	var mu sync.Mutex
	isolated := map[string]bool{}
	var isolatedSince time.Time
	broken, walled := 0, 0
	var engines []*engine
	for n := range 3 {
		e := newEngine(s, n, "llm", "m0", 10, 10*time.Millisecond)
		e.find = func(address string) *engine {
			for _, other := range engines {
				if other.address == address {
					return other
				}
			}
			return nil
		}
		e.used = func(request, tenant, part string, made kvPart) {
			mu.Lock()
			defer mu.Unlock()
			if made.tenant == tenant {
				return
			}
			s.record.add("%s: %s of tenant %s uses part %s, which a request of tenant %s made on version %d", e.id, request, tenant, part, made.tenant, made.version)
			if isolated[tenant] || isolated[made.tenant] {
				s.record.add("WALL: one of the two has been isolated for %.1f s", time.Since(isolatedSince).Seconds())
				broken++
			} else {
				walled++
			}
		}
		engines = append(engines, e)
	}
	tenants := func(isolate bool) []map[string]any {
		return []map[string]any{
			{"name": "tenant-a", "apiKeys": []string{"key-of-tenant-a-0001"}, "isolated": isolate},
			{"name": "tenant-b", "apiKeys": []string{"key-of-tenant-b-0001"}, "isolated": false},
		}
	}
	s.boot(2)
	s.operate("/Config.Replace", state(3, true, 2, tenants(false)))
	s.awaitReady()
	time.Sleep(3 * time.Second)
	ask := func(tenant string, from, to int) (served int) {
		for i := from; i < to; i++ {
			id := fmt.Sprintf("%s-%03d", tenant, i)
			prompt := fmt.Sprintf("b00c0001:6300,%08x:400", 0x1000*int(tenant[len(tenant)-1])+i)
			if status, _, whole := s.ask(i%2, id, "notes.example", "/note/x", "key-of-"+tenant+"-0001", prompt, "6700,10"); status == 200 && whole {
				served++
			}
			time.Sleep(20 * time.Millisecond)
		}
		return served
	}
	if ask("tenant-a", 0, 30) < 20 {
		s.fail("the requests of tenant-a are not served")
	}
	s.record.add("desired state 5 names tenant-a as isolated: %v", trouble())
	s.operate("/Config.Replace", state(5, true, 2, tenants(trouble())))
	mu.Lock()
	isolated["tenant-a"], isolatedSince = trouble(), time.Now()
	mu.Unlock()
	// Longer than configApplyMs.
	time.Sleep(4 * time.Second)
	if ask("tenant-b", 0, 30) < 20 {
		s.fail("the requests of tenant-b are not served")
	}
	mu.Lock()
	defer mu.Unlock()
	s.record.add("%d uses of KV cache across the wall, %d uses by another tenant while neither was isolated", broken, walled)
	return broken > 0
}
