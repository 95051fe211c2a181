package origin

import (
	"crypto/sha256"
	"fmt"
	"maps"
	"slices"
	"time"
)

// Key identifies the stream that a client account's attempt began.
type Key [16]byte

// NewKey returns the key of the stream that an attempt of a client account began. Another account can't name the stream.
func NewKey(account, attempt string) Key {
	sum := sha256.Sum256([]byte(fmt.Sprintf("%d:%s%s", len(account), account, attempt)))
	return Key(sum[:len(Key{})])
}

// Origin is where a stream began.
type Origin struct {
	Service string
	// Software is the version of the upstream's software.
	Software string
}

// Knowledge is what is known of a stream's origin; the zero value is Unknown.
type Knowledge uint8

const (
	// Unknown means that there is no record.
	Unknown Knowledge = iota
	// Known means that there is one origin.
	Known
	// Several means that streams of one key began at different origins, so that none may go on.
	Several
)

// Record is the record of one stream.
type Record struct {
	Key    Key
	Origin Origin
	// Several is set for a key with different origins.
	Several bool
	// Until is the time from which no caller takes the stream up any more.
	Until time.Duration
}

const (
	// slot is the resolution of the expiry of records.
	slot = time.Second
	// maxRemaining limits how long a record is kept.
	maxRemaining = 10 * time.Minute
	// maxOrigins limits the different origins that a registry has.
	maxOrigins = 4096
)

// entry is a record in memory; origin is an index of Registry.origins.
type entry struct {
	origin  uint32
	several bool
	slot    int64
}

// Registry has the records of the streams that began lately.
type Registry struct {
	limit   int
	entries map[Key]entry
	// expiring are the keys by the slot in which they expire. A key that was prolonged stands in its earlier slots too.
	expiring map[int64][]Key
	first    int64
	origins  []Origin
	indexes  map[Origin]uint32
}

// NewRegistry returns a registry of so many records at most; beyond these, the ones that expire first are dropped.
func NewRegistry(limit int) *Registry {
	return &Registry{limit: limit, entries: map[Key]entry{}, expiring: map[int64][]Key{}, indexes: map[Origin]uint32{}}
}

// Len returns the number of records.
func (r *Registry) Len() int { return len(r.entries) }

// Add adds a record, or prolongs the one with its key.
func (r *Registry) Add(now time.Duration, record Record) {
	r.prune(now)
	until := min(record.Until, now+maxRemaining)
	if until <= now {
		return
	}
	index, ok := r.index(record.Origin)
	if !ok {
		return
	}
	due := int64(until/slot) + 1
	e, known := r.entries[record.Key]
	switch {
	case !known:
		for len(r.entries) >= r.limit {
			r.drop(slices.Min(slices.Collect(maps.Keys(r.expiring))))
		}
		e = entry{origin: index}
	case e.origin != index:
		e.several = true
	}
	e.several = e.several || record.Several
	if due > e.slot {
		e.slot = due
		r.expiring[due] = append(r.expiring[due], record.Key)
	}
	r.entries[record.Key] = e
}

// index returns the index of an origin; false if there are too many.
func (r *Registry) index(o Origin) (uint32, bool) {
	if i, ok := r.indexes[o]; ok {
		return i, true
	}
	if len(r.origins) >= maxOrigins {
		if len(r.entries) > 0 {
			return 0, false
		}
		r.origins = r.origins[:0]
		clear(r.indexes)
	}
	i := uint32(len(r.origins))
	r.origins = append(r.origins, o)
	r.indexes[o] = i
	return i, true
}

// Find returns the origin of a stream; it is valid if it is Known.
func (r *Registry) Find(now time.Duration, key Key) (Origin, Knowledge) {
	r.prune(now)
	e, ok := r.entries[key]
	switch {
	case !ok:
		return Origin{}, Unknown
	case e.several:
		return Origin{}, Several
	}
	return r.origins[e.origin], Known
}

// Records returns all records in no particular order.
func (r *Registry) Records(now time.Duration) []Record {
	r.prune(now)
	records := make([]Record, 0, len(r.entries))
	for key, e := range r.entries {
		records = append(records, Record{Key: key, Origin: r.origins[e.origin], Several: e.several, Until: time.Duration(e.slot-1) * slot})
	}
	return records
}

// prune drops the records that have expired.
func (r *Registry) prune(now time.Duration) {
	for ; r.first <= int64(now/slot); r.first++ {
		r.drop(r.first)
	}
}

// drop drops the records that expire in a slot.
func (r *Registry) drop(due int64) {
	for _, key := range r.expiring[due] {
		if r.entries[key].slot == due {
			delete(r.entries, key)
		}
	}
	delete(r.expiring, due)
}
