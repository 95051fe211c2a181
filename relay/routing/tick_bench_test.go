package routing_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/chicoryrelay/chicoryrelay/relay/catalogue"
	"github.com/chicoryrelay/chicoryrelay/relay/routing"
)

// peersUpstreams is the number of upstreams at which each peer of a benchmark has requests.
const peersUpstreams = 4

// newLargeCore returns a core of the policy Reuse with n upstreams and the digests of the given number of peers.
func newLargeCore(n, peers int) *routing.Core {
	core := newCore(newUpstreams(n, func(_ int, u *catalogue.Upstream) { u.Slots, u.Cache = 12, 1<<16 }), routing.WithPolicy(routing.Reuse))
	for peer := range peers {
		core.Step(0, peerDigest(n, peer))
	}
	return core
}

func peerDigest(n, peer int) routing.Digest {
	d := routing.Digest{VM: fmt.Sprint("peer", peer), Outstanding: map[string]int{}, PrefillTokens: map[string]int{}, MemoryTokens: map[string]int{}}
	for i := range peersUpstreams {
		name := fmt.Sprint("u", (peer*peersUpstreams+i)%n)
		d.Outstanding[name], d.PrefillTokens[name], d.MemoryTokens[name] = 1, 1000, 9000
	}
	return d
}

// BenchmarkTick measures the tick of a VM without requests, which each VM makes 20 times a second.
func BenchmarkTick(b *testing.B) {
	for _, size := range [][2]int{{163, 0}, {163, 33}, {1000, 0}, {1000, 100}} {
		b.Run(fmt.Sprintf("%d upstreams, %d peers", size[0], size[1]), func(b *testing.B) {
			core := newLargeCore(size[0], size[1])
			for b.Loop() {
				core.Step(time.Second, routing.Tick{})
			}
		})
	}
}

// BenchmarkDigest measures the receipt of one digest.
func BenchmarkDigest(b *testing.B) {
	for _, size := range [][2]int{{163, 33}, {1000, 100}} {
		b.Run(fmt.Sprintf("%d upstreams, %d peers", size[0], size[1]), func(b *testing.B) {
			core := newLargeCore(size[0], size[1])
			digest := peerDigest(size[0], 1)
			for b.Loop() {
				core.Step(time.Second, digest)
			}
		})
	}
}
