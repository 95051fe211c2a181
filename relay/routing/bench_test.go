package routing_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/chicoryrelay/chicoryrelay/relay/catalogue"
	"github.com/chicoryrelay/chicoryrelay/relay/routing"
)

// BenchmarkDecide measures a decision and the messages that end its request, with shared prompts and with uncached ones.
func BenchmarkDecide(b *testing.B) {
	for _, n := range []int{10, 100, 600} {
		b.Run(fmt.Sprint(n), func(b *testing.B) { benchmarkDecide(b, n, false) })
		b.Run(fmt.Sprint(n, "cold"), func(b *testing.B) { benchmarkDecide(b, n, true) })
	}
}

// benchmarkDecide uses 64 shared prompts or, when cold, only prompts that no upstream has cached.
func benchmarkDecide(b *testing.B, n int, cold bool) {
	core := newCore(newUpstreams(n, func(_ int, u *catalogue.Upstream) { u.Slots, u.Cache = 64, 1<<20 }))
	requests := make([]routing.Request, 64)
	for i := range requests {
		requests[i] = newRequest(i, uint64(i%8), uint64(i%16), uint64(i), 1, 2, 3, 4, 5)
	}
	var total time.Duration
	now := time.Duration(0)
	b.ReportAllocs()
	b.ResetTimer()
	for i := range b.N {
		now += time.Millisecond
		r := requests[i%len(requests)]
		if cold {
			r = newRequest(i, uint64(i)<<8)
		}
		start := time.Now()
		d := core.Decide(now, r)
		total += time.Since(start)
		serve(core, now+100*time.Microsecond, r, d)
	}
	b.ReportMetric(float64(total.Nanoseconds())/float64(b.N), "ns/decide")
}
