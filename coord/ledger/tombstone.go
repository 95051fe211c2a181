package ledger

import (
	"bytes"
	"cmp"
	"container/heap"
	"slices"

	"github.com/chicoryrelay/chicoryrelay/coord/wire"
)

type tombstone struct {
	attempt Attempt
	until   int64
}

// tombstones is the set of attempts that must not be granted, with their expiry in Unix milliseconds.
type tombstones struct {
	until      map[Attempt]int64
	expiryHeap *expiryHeap
}

func newTombstones() tombstones {
	return tombstones{until: map[Attempt]int64{}, expiryHeap: &expiryHeap{}}
}

func (t tombstones) len() int { return len(t.until) }

func (t tombstones) has(attempt Attempt) bool {
	_, ok := t.until[attempt]
	return ok
}

// add keeps the first expiry of an attempt, since all claims and releases of an attempt carry the same deadline.
func (t tombstones) add(attempt Attempt, until int64) {
	if !t.has(attempt) {
		t.until[attempt] = until
		heap.Push(t.expiryHeap, tombstone{attempt, until})
	}
}

func (t tombstones) expire(now int64) {
	for t.expiryHeap.Len() > 0 && (*t.expiryHeap)[0].until <= now {
		delete(t.until, heap.Pop(t.expiryHeap).(tombstone).attempt)
	}
}

func (t tombstones) encode() []*wire.RegistryTombstone {
	sorted := slices.Clone(*t.expiryHeap)
	slices.SortFunc(sorted, func(a, b tombstone) int {
		return cmp.Or(cmp.Compare(a.until, b.until), bytes.Compare(a.attempt[:], b.attempt[:]))
	})
	messages := make([]*wire.RegistryTombstone, 0, len(sorted))
	for _, entry := range sorted {
		messages = append(messages, &wire.RegistryTombstone{Attempt: entry.attempt[:], Until: entry.until})
	}
	return messages
}

// expiryHeap implements heap.Interface with the earliest expiry first.
type expiryHeap []tombstone

func (h expiryHeap) Len() int           { return len(h) }
func (h expiryHeap) Less(i, j int) bool { return h[i].until < h[j].until }
func (h expiryHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *expiryHeap) Push(x any)        { *h = append(*h, x.(tombstone)) }
func (h *expiryHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}
