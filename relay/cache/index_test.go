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

func bindingOf(index *cache.Index, h cache.Handle, s cache.Scope) cache.Binding {
	return cache.Binding{Scope: s, Upstream: "u", Incarnation: index.Incarnation(h)}
}

func expectUsable(index *cache.Index, now time.Duration, s cache.Scope, tokens int) {
	GinkgoHelper()
	found := make([]int32, index.HandleLimit())
	index.EstimateCached(now, s, text, found)
	Expect(int(found[0])).To(Equal(tokens))
	Expect(index.UsableTokens(now, bindingOf(index, 0, s), text)).To(Equal(tokens))
}

func stored(sequence uint64, level prompt.Level) cache.Event {
	return cache.Event{Sequence: sequence, Kind: cache.Stored, Scope: scope, Level: level}
}

var _ = Describe("the prefix cache index", func() {
	var index *cache.Index
	var h cache.Handle

	BeforeEach(func() {
		index = cache.New(cache.WithLifetime(time.Minute))
		h = index.Attach("u", 5000)
		index.Observe(h, 7)
	})

	for name, other := range map[string]cache.Scope{
		"account": {Account: "b", Model: "m", Adapter: "x", Weights: "1"},
		"model":   {Account: "a", Model: "n", Adapter: "x", Weights: "1"},
		"adapter": {Account: "a", Model: "m", Adapter: "y", Weights: "1"},
		"weights": {Account: "a", Model: "m", Adapter: "x", Weights: "2"},
	} {
		It("does not reuse the prefixes of another "+name+", which would corrupt or leak answers", func() {
			index.RecordPlacement(0, h, scope, text)
			expectUsable(index, 0, scope, 1000)
			expectUsable(index, 0, other, 0)
			Expect(func() { cache.Verify(bindingOf(index, h, scope), bindingOf(index, h, other)) }).To(PanicWith(HaveField("Field", name)))
		})
	}

	It("removes all entries of an upstream on a new incarnation and ignores late reports of the earlier one", func() {
		index.RecordPlacement(0, h, scope, text)
		Expect(index.Observe(h, 8)).To(BeTrue())
		expectUsable(index, 0, scope, 0)
		Expect(index.Len()).To(BeZero())
		Expect(index.Observe(h, 7)).To(BeFalse())
		Expect(index.ApplyEvents(0, h, 7, []cache.Event{stored(1, text[0])})).To(BeTrue())
		expectUsable(index, 0, scope, 0)
	})

	It("panics when an entry is used for another incarnation than its own", func() {
		index.RecordPlacement(0, h, scope, text)
		stale := cache.Binding{Scope: scope, Upstream: "u", Incarnation: 9}
		Expect(func() { index.UsableTokens(0, stale, text) }).To(PanicWith(HaveField("Field", "incarnation")))
	})

	It("ignores entries known from events between a gap in the stream and the next snapshot, but not those of later placements", func() {
		Expect(index.ApplyEvents(0, h, 7, []cache.Event{stored(1, text[0]), stored(2, text[1])})).To(BeTrue())
		expectUsable(index, 0, scope, 1000)
		Expect(index.ApplyEvents(0, h, 7, []cache.Event{stored(4, prompt.Level{Hash: 9, Tokens: 400})})).To(BeFalse())
		expectUsable(index, 0, scope, 0)
		index.RecordPlacement(0, h, scope, text[:1])
		expectUsable(index, 0, scope, 300)
		index.ApplySnapshot(time.Second, h, 7, 4, []cache.Block{{Scope: scope, Level: text[0]}, {Scope: scope, Level: text[1]}})
		expectUsable(index, time.Second, scope, 1000)
	})

	It("ignores repeated events, which would undo later ones", func() {
		removed := cache.Event{Sequence: 2, Kind: cache.Removed, Scope: scope, Level: text[0]}
		index.ApplyEvents(0, h, 7, []cache.Event{stored(1, text[0])})
		index.ApplyEvents(time.Second, h, 7, []cache.Event{removed, stored(3, text[0]), removed})
		expectUsable(index, time.Second, scope, 300)
	})

	It("removes entries that a snapshot doesn't list", func() {
		index.RecordPlacement(0, h, scope, text)
		index.ApplySnapshot(10*time.Second, h, 7, 5, []cache.Block{{Scope: scope, Level: text[0]}})
		expectUsable(index, 10*time.Second, scope, 300)
	})

	It("evicts the least recently used entries beyond the capacity of the engine's cache", func() {
		index.RecordPlacement(0, h, scope, text)
		for i := range uint64(6) {
			index.RecordPlacement(0, h, scope, []prompt.Level{{Hash: 100 + i, Tokens: 1000}})
		}
		expectUsable(index, 0, scope, 0)
	})

	It("shortens the eviction age after answers without the expected cached tokens", func() {
		index.RecordPlacement(0, h, scope, text)
		expectUsable(index, 20*time.Second, scope, 1000)
		for range 6 {
			index.RecordAnswer(0, h, scope, text, cache.ExpectedHit{Tokens: 1000, Idle: 3 * time.Second}, 0)
		}
		expectUsable(index, 20*time.Second, scope, 0)
		expectUsable(index, time.Second, scope, 1000)
	})

	It("accepts peers' hints for the current incarnation only", func() {
		index.RecordAnswer(0, h, scope, text, cache.ExpectedHit{}, 0)
		hints := index.Hints(0, scope, text[1], nil)
		Expect(hints).To(HaveLen(1))
		for incarnation, tokens := range map[uint64]int{7: 1000, 8: 0} {
			other := cache.New()
			other.Observe(other.Attach("u", 5000), incarnation)
			other.AddHints(0, hints)
			expectUsable(other, 0, scope, tokens)
		}
	})

	It("limits the number of entries", func() {
		index = cache.New(cache.WithMaxEntries(1000))
		h = index.Attach("u", 0)
		for i := range uint64(5000) {
			index.RecordPlacement(0, h, scope, []prompt.Level{{Hash: i, Tokens: 1000}})
		}
		Expect(index.Len()).To(BeNumerically("<=", 1000))
	})
})

// BenchmarkEntry measures the memory per entry, and the time to fill an index with 200,000 entries.
func BenchmarkEntry(b *testing.B) {
	const entries = 200_000
	for b.Loop() {
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		index := cache.New(cache.WithMaxEntries(entries))
		for u := range 100 {
			h := index.Attach(fmt.Sprint(u), 0)
			for i := range entries / 100 {
				index.RecordPlacement(0, h, scope, []prompt.Level{{Hash: uint64(u%20)<<32 | uint64(i), Tokens: 1000}})
			}
		}
		runtime.GC()
		runtime.ReadMemStats(&after)
		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(index.Len()), "B/entry")
		runtime.KeepAlive(index)
	}
}
