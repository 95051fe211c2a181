package cache_test

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/chicoryrelay/chicoryrelay/relay/cache"
	"github.com/chicoryrelay/chicoryrelay/relay/prompt"
)

var (
	scope = cache.Scope{Account: "a", Model: "m", Adapter: "x", Weights: "1"}
	text  = []prompt.Level{{Hash: 1, Tokens: 300}, {Hash: 2, Tokens: 1000}}
)

func keyOf(k *cache.Knowledge, h cache.Handle, s cache.Scope) cache.Key {
	return cache.Key{Scope: s, Upstream: "u", Incarnation: k.Incarnation(h)}
}

func expectUsable(k *cache.Knowledge, now time.Duration, s cache.Scope, tokens int) {
	GinkgoHelper()
	found := make([]int32, k.Handles())
	k.Find(now, s, text, found)
	Expect(int(found[0])).To(Equal(tokens))
	Expect(k.Usable(now, keyOf(k, 0, s), text)).To(Equal(tokens))
}

func stored(sequence uint64, level prompt.Level) cache.Event {
	return cache.Event{Sequence: sequence, Change: cache.Stored, Scope: scope, Level: level}
}

var _ = Describe("the prefix cache index", func() {
	var k *cache.Knowledge
	var h cache.Handle

	BeforeEach(func() {
		k = cache.New(cache.WithLifetime(time.Minute))
		h = k.Attach("u", 5000)
		k.Observe(h, 7)
	})

	for name, other := range map[string]cache.Scope{
		"account": {Account: "b", Model: "m", Adapter: "x", Weights: "1"},
		"model":   {Account: "a", Model: "n", Adapter: "x", Weights: "1"},
		"adapter": {Account: "a", Model: "m", Adapter: "y", Weights: "1"},
		"weights": {Account: "a", Model: "m", Adapter: "x", Weights: "2"},
	} {
		It("does not reuse the prefixes of another "+name+", which would corrupt or leak answers", func() {
			k.Place(0, h, scope, text)
			expectUsable(k, 0, scope, 1000)
			expectUsable(k, 0, other, 0)
			Expect(func() { cache.Verify(keyOf(k, h, scope), keyOf(k, h, other)) }).To(PanicWith(HaveField("Field", name)))
		})
	}

	It("removes all entries of an upstream on a new incarnation and ignores late reports of the earlier one", func() {
		k.Place(0, h, scope, text)
		Expect(k.Observe(h, 8)).To(BeTrue())
		expectUsable(k, 0, scope, 0)
		Expect(k.Len()).To(BeZero())
		Expect(k.Observe(h, 7)).To(BeFalse())
		Expect(k.Events(0, h, 7, []cache.Event{stored(1, text[0])})).To(BeTrue())
		expectUsable(k, 0, scope, 0)
	})

	It("panics when an entry is used for another incarnation than its own", func() {
		k.Place(0, h, scope, text)
		stale := cache.Key{Scope: scope, Upstream: "u", Incarnation: 9}
		Expect(func() { k.Usable(0, stale, text) }).To(PanicWith(HaveField("Field", "incarnation")))
	})

	It("ignores entries known from events between a gap in the stream and the next snapshot, but not those of later placements", func() {
		Expect(k.Events(0, h, 7, []cache.Event{stored(1, text[0]), stored(2, text[1])})).To(BeTrue())
		expectUsable(k, 0, scope, 1000)
		Expect(k.Events(0, h, 7, []cache.Event{stored(4, prompt.Level{Hash: 9, Tokens: 400})})).To(BeFalse())
		expectUsable(k, 0, scope, 0)
		k.Place(0, h, scope, text[:1])
		expectUsable(k, 0, scope, 300)
		k.Snapshot(time.Second, h, 7, 4, []cache.Block{{Scope: scope, Level: text[0]}, {Scope: scope, Level: text[1]}})
		expectUsable(k, time.Second, scope, 1000)
	})

	It("ignores repeated events, which would undo later ones", func() {
		removed := cache.Event{Sequence: 2, Change: cache.Removed, Scope: scope, Level: text[0]}
		k.Events(0, h, 7, []cache.Event{stored(1, text[0])})
		k.Events(time.Second, h, 7, []cache.Event{removed, stored(3, text[0]), removed})
		expectUsable(k, time.Second, scope, 300)
	})

	It("removes entries that a snapshot doesn't list", func() {
		k.Place(0, h, scope, text)
		k.Snapshot(10*time.Second, h, 7, 5, []cache.Block{{Scope: scope, Level: text[0]}})
		expectUsable(k, 10*time.Second, scope, 300)
	})

	It("evicts the least recently used entries beyond the capacity of the engine's cache", func() {
		k.Place(0, h, scope, text)
		for i := range uint64(6) {
			k.Place(0, h, scope, []prompt.Level{{Hash: 100 + i, Tokens: 1000}})
		}
		expectUsable(k, 0, scope, 0)
	})

	It("shortens the eviction age after answers without the expected cached tokens", func() {
		k.Place(0, h, scope, text)
		expectUsable(k, 20*time.Second, scope, 1000)
		for range 6 {
			k.Answer(0, h, scope, text, cache.Expectation{Tokens: 1000, Idle: 3 * time.Second}, 0)
		}
		expectUsable(k, 20*time.Second, scope, 0)
		expectUsable(k, time.Second, scope, 1000)
	})

	It("accepts peers' hints for the current incarnation only", func() {
		k.Answer(0, h, scope, text, cache.Expectation{}, 0)
		hints := k.Hints(0, scope, text[1], nil)
		Expect(hints).To(HaveLen(1))
		for incarnation, tokens := range map[uint64]int{7: 1000, 8: 0} {
			other := cache.New()
			other.Observe(other.Attach("u", 5000), incarnation)
			other.Adopt(0, hints)
			expectUsable(other, 0, scope, tokens)
		}
	})

	It("limits the number of entries", func() {
		k = cache.New(cache.WithEntries(1000))
		h = k.Attach("u", 0)
		for i := range uint64(5000) {
			k.Place(0, h, scope, []prompt.Level{{Hash: i, Tokens: 1000}})
		}
		Expect(k.Len()).To(BeNumerically("<=", 1000))
	})
})

// BenchmarkEntry measures the memory per entry, and the time to fill an index with 200,000 entries.
func BenchmarkEntry(b *testing.B) {
	const entries = 200_000
	for b.Loop() {
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		k := cache.New(cache.WithEntries(entries))
		for u := range 100 {
			h := k.Attach(fmt.Sprint(u), 0)
			for i := range entries / 100 {
				k.Place(0, h, scope, []prompt.Level{{Hash: uint64(u%20)<<32 | uint64(i), Tokens: 1000}})
			}
		}
		runtime.GC()
		runtime.ReadMemStats(&after)
		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(k.Len()), "B/entry")
		runtime.KeepAlive(k)
	}
}
