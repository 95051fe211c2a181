package cache

import "time"

// maxPastIncarnations limits the ended incarnations remembered per upstream, which are needed to recognise late reports.
const maxPastIncarnations = 4

type upstreamState struct {
	name        string
	incarnation uint64
	// past is a ring of the last ended incarnations; pastCount counts all that have ended.
	past      [maxPastIncarnations]uint64
	pastCount int
	// capacity is the size of the engine's cache in tokens, 0 if unknown.
	capacity int64
	// evictionAge is the learned idle time after which the engine is assumed to have evicted an entry.
	evictionAge time.Duration
	// tokens and count are the totals over the entries; newest and oldest are the ends of the LRU list, -1 if it is empty.
	tokens int64
	count  int
	newest int32
	oldest int32
	// generation increases with each gap, snapshot and incarnation, which invalidates entries confirmed by earlier events only;
	// nextSequence is the next event expected; synced is false from a gap until the next snapshot.
	generation   uint32
	nextSequence uint64
	synced       bool
}

func newUpstreamState(name string, capacity int, evictionAge time.Duration) upstreamState {
	return upstreamState{name: name, capacity: int64(capacity), evictionAge: evictionAge, newest: -1, oldest: -1, nextSequence: 1, synced: true}
}

func (s *upstreamState) isPast(incarnation uint64) bool {
	for _, past := range s.past {
		if past == incarnation {
			return true
		}
	}
	return false
}

func (s *upstreamState) endIncarnation() {
	s.past[s.pastCount%maxPastIncarnations] = s.incarnation
	s.pastCount++
}

// startIncarnation resets the event stream: a new incarnation has an empty cache and numbers its events from 1.
func (s *upstreamState) startIncarnation(incarnation uint64) {
	s.incarnation = incarnation
	s.generation++
	s.nextSequence = 1
	s.synced = true
}

// Parameters of the learned eviction age.
const (
	// A miss earlier than the eviction age reduces it by this share of the difference; a hit later than half of it raises it by
	// evictionAgeGrowth.
	evictionAgeReduction = 0.2
	evictionAgeGrowth    = 1.03
	minEvictionAge       = 2 * time.Second
)

// adjustEvictionAge updates the eviction age after a prefix that had been idle for the given time was a cache hit or a miss.
// Learning it accounts for the requests of other VMs, which this VM doesn't see.
func (s *upstreamState) adjustEvictionAge(idle time.Duration, hit bool, maxAge time.Duration) {
	switch {
	case idle < minEvictionAge:
		// A miss says nothing: the prefix may not have been prefilled yet when the next request for it began.
	case !hit && idle < s.evictionAge:
		s.evictionAge = max(minEvictionAge, s.evictionAge-time.Duration(evictionAgeReduction*float64(s.evictionAge-idle)))
	case hit && idle > s.evictionAge/2:
		s.evictionAge = min(maxAge, time.Duration(evictionAgeGrowth*float64(s.evictionAge)))
	}
}
