package engine

import (
	"math/rand/v2"
	"sort"
	"time"
)

// ChangeKind is the kind of a cache event.
type ChangeKind string

// The kinds of cache event; Cleared means that the whole cache was emptied.
const (
	Stored  ChangeKind = "stored"
	Removed ChangeKind = "removed"
	Cleared ChangeKind = "cleared"
)

// Block is one cached block: Hash covers the prefix of Tokens tokens, Parent the prefix without this block, 0
// for the first block.
type Block struct {
	Salt   string `json:"salt,omitempty"`
	Hash   uint64 `json:"hash,omitempty"`
	Parent uint64 `json:"parent,omitempty"`
	Tokens int    `json:"tokens,omitempty"`
}

// Change is one cache event; a gap in Seq means that events were lost.
type Change struct {
	Seq  uint64     `json:"seq"`
	Kind ChangeKind `json:"kind"`
	Block
	at time.Duration
}

// Snapshot is the content of the cache before event Seq.
type Snapshot struct {
	Incarnation uint64  `json:"incarnation"`
	Seq         uint64  `json:"seq"`
	Blocks      []Block `json:"blocks"`
}

// eventLog retains the latest cache events.
type eventLog struct {
	nextSeq  uint64
	capacity int
	lag      time.Duration
	loss     float64
	random   *rand.Rand
	retained []Change
}

func (l *eventLog) add(now time.Duration, kind ChangeKind, b Block) {
	seq := l.nextSeq
	l.nextSeq++
	if l.capacity == 0 || l.loss > 0 && l.random.Float64() < l.loss {
		return
	}
	l.retained = append(l.retained, Change{Seq: seq, Kind: kind, Block: b, at: now})
	if len(l.retained) > 2*l.capacity {
		l.retained = append(l.retained[:0], l.retained[len(l.retained)-l.capacity:]...)
	}
}

// visible returns up to limit events whose lag has passed, beginning at the sequence number from.
func (l *eventLog) visible(now time.Duration, from uint64, limit int) []Change {
	start := sort.Search(len(l.retained), func(i int) bool { return l.retained[i].Seq >= from })
	end := start
	for end < len(l.retained) && end-start < limit && l.retained[end].at+l.lag <= now {
		end++
	}
	return append([]Change(nil), l.retained[start:end]...)
}
