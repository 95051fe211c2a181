package quorum

import "fmt"

// log contains the entries in memory, which follow a compacted prefix that ends at base.
type log struct {
	base         uint64
	baseTerm     uint64
	baseChainSum uint32
	entries      []Entry
}

func (l *log) last() uint64 { return l.base + uint64(len(l.entries)) }

func (l *log) lastTerm() uint64 {
	if len(l.entries) == 0 {
		return l.baseTerm
	}
	return l.entries[len(l.entries)-1].Term
}

// term returns the term of the entry at index, or false if the index is outside the log.
func (l *log) term(index uint64) (uint64, bool) {
	switch {
	case index < l.base || index > l.last():
		return 0, false
	case index == l.base:
		return l.baseTerm, true
	}
	return l.entries[index-l.base-1].Term, true
}

// chainSum returns the ChainSum of the entry at index, or 0 if the index is outside the log.
func (l *log) chainSum(index uint64) uint32 {
	switch {
	case index < l.base || index > l.last():
		return 0
	case index == l.base:
		return l.baseChainSum
	}
	return l.entries[index-l.base-1].ChainSum
}

// slice returns the entries in the index range (after, to]; they share memory with the log.
func (l *log) slice(after, to uint64) []Entry {
	if to <= after {
		return nil
	}
	return l.entries[after-l.base : to-l.base : to-l.base]
}

// batch returns the entries that follow index after: as many as fit into limit bytes, but at least one.
func (l *log) batch(after uint64, limit int) []Entry {
	size, to := 0, after
	for to < l.last() {
		size += l.entries[to-l.base].size()
		if size > limit && to > after {
			break
		}
		to++
	}
	return l.slice(after, to)
}

// append replaces the log from the first entry's index on. It does not overwrite replaced entries in place, because messages in
// transit share them.
func (l *log) append(entries ...Entry) {
	first := entries[0].Index
	if first <= l.base || first > l.last()+1 {
		panic(fmt.Sprintf("quorum: entry %d does not follow the log %d..%d", first, l.base, l.last()))
	}
	if first == l.last()+1 {
		l.entries = append(l.entries, entries...)
		return
	}
	kept := l.entries[: first-l.base-1 : first-l.base-1]
	l.entries = append(kept, entries...)
}

// compact drops the entries up to and including index from memory.
func (l *log) compact(index uint64) {
	if index <= l.base {
		return
	}
	term, ok := l.term(index)
	if !ok {
		panic(fmt.Sprintf("quorum: compaction index %d lies beyond the log's end %d", index, l.last()))
	}
	sum := l.chainSum(index)
	l.entries = append([]Entry(nil), l.entries[index-l.base:]...)
	l.base, l.baseTerm, l.baseChainSum = index, term, sum
}

// reset drops all entries and moves the base of the log to the snapshot.
func (l *log) reset(s Snapshot) {
	l.base, l.baseTerm, l.baseChainSum, l.entries = s.Index, s.Term, s.ChainSum, nil
}
