package engine

import (
	"math/rand/v2"
	"slices"
	"sort"
	"time"

	"github.com/samber/oops"
)

// Request is one request as submitted to the engine.
type Request struct {
	ID string
	// Salt separates the prefix cache by client account; Chain lists the hash of each prompt prefix that ends at a block boundary.
	Salt  string
	Chain []uint64
	// Prompt and Answer are the lengths of the prompt and the output in tokens; From is the number of output tokens that the caller
	// already has.
	Prompt int
	Answer int
	From   int
	// Priority orders waiting requests; lower numbers start sooner.
	Priority int
}

// EventKind is the kind of an output event.
type EventKind uint8

// The kinds of output event.
const (
	// Word is one output token.
	Word EventKind = iota
	// Finish follows the last token.
	Finish
	// Broken ends a request that was lost in a restart.
	Broken
)

// Event is one output event of a request.
type Event struct {
	At      time.Duration
	Request string
	Kind    EventKind
	// Seq is the index of the token; for Finish it is the length of the output.
	Seq int
	// Cached is the number of prompt tokens found in the cache; Computed is the number of tokens prefilled.
	Cached   int
	Computed int
}

// Totals count the tokens that an engine processed since New; a restart does not reset them.
type Totals struct {
	Prompt   int
	Cached   int
	Computed int
	Decoded  int
	// Preempted counts preemptions: requests whose memory was freed for others and that are prefilled again.
	Preempted int
}

type sequence struct {
	Request
	arrivalSeq uint64
	cached     int
	uncomputed int
	chunk      int
	computed   int
	nextSeq    int
	blocks     []*block
	cacheFull  bool
	// privateBlocks is the number of blocks outside the prefix cache; length is the number of tokens that must be in memory before
	// the next output token.
	privateBlocks int
	length        int
}

// Engine is one replica of a model. It is not safe for concurrent use, and the times passed to it must not decrease.
type Engine struct {
	settings    Settings
	incarnation uint64
	cache       *cache
	cacheEvents eventLog
	reports     []Report
	waiting     []*sequence
	running     []*sequence
	byID        map[string]*sequence
	arrivalSeq  uint64
	now         time.Duration
	step        step
	events      []Event
	totals      Totals
	leaving     bool
	orders      orders
	imports     []pendingImport
}

// New returns an engine that starts at time 0.
func New(opts ...Option) *Engine {
	settings := Default()
	for _, opt := range opts {
		opt(&settings)
	}
	e := &Engine{settings: settings, incarnation: settings.Incarnation, byID: map[string]*sequence{}}
	e.cacheEvents = eventLog{
		capacity: settings.EventKeep, lag: settings.EventLag, loss: settings.EventLoss,
		random: rand.New(rand.NewPCG(settings.Seed, 0)),
	}
	e.cache = newCache(settings.Cache, settings.Block, e.recordCacheEvent)
	e.recordReport()
	return e
}

func (e *Engine) recordCacheEvent(kind ChangeKind, salt string, b *block) {
	e.cacheEvents.add(e.now, kind, Block{Salt: salt, Hash: b.key.hash, Parent: b.parent, Tokens: b.tokens})
}

// Version returns the version that the engine serves.
func (e *Engine) Version() Version { return e.settings.Version }

// Software returns the software version that the engine tells; empty tells none.
func (e *Engine) Software() string { return e.settings.Software }

// Incarnation returns the incarnation of the current start.
func (e *Engine) Incarnation() uint64 { return e.incarnation }

// BlockTokens returns the length of a cache block in tokens.
func (e *Engine) BlockTokens() int { return e.settings.Block }

// Totals returns the tokens processed so far.
func (e *Engine) Totals() Totals { return e.totals }

// Leaving reports whether the engine rejects new requests.
func (e *Engine) Leaving() bool { return e.leaving }

// Submit queues a request; the error gives the reason for a rejection.
func (e *Engine) Submit(now time.Duration, r Request) error {
	e.advance(now)
	switch {
	case e.leaving:
		return oops.Code("leaving").Errorf("the engine is leaving and rejects new requests; send the request to another replica")
	case e.orders.loading != nil:
		return oops.Code("loading").Errorf("the engine is loading weights; send the request to another replica")
	case e.byID[r.ID] != nil:
		return oops.Code("duplicate").Errorf("request %s is already running; use a new request id", r.ID)
	case r.From < 0 || r.From > r.Answer:
		return oops.Code("resume").Errorf("the output has %d tokens; resume at a position from 0 to that number", r.Answer)
	}
	s := &sequence{Request: r, arrivalSeq: e.arrivalSeq, nextSeq: r.From}
	e.arrivalSeq++
	e.byID[r.ID] = s
	index := sort.Search(len(e.waiting), func(i int) bool { return e.waiting[i].Priority > r.Priority })
	e.waiting = slices.Insert(e.waiting, index, s)
	e.splitStep()
	e.startStep(e.now)
	e.recordReport()
	return nil
}

// Cancel removes a request and returns the number of tokens prefilled for it; the prompt blocks that it computed stay cached.
func (e *Engine) Cancel(now time.Duration, id string) int {
	e.advance(now)
	s := e.byID[id]
	if s == nil {
		return 0
	}
	e.splitStep()
	e.drop(s)
	e.recordReport()
	return s.computed
}

func (e *Engine) drop(s *sequence) {
	delete(e.byID, s.ID)
	e.freeMemory(s)
	same := func(other *sequence) bool { return other == s }
	e.waiting = slices.DeleteFunc(e.waiting, same)
	e.running = slices.DeleteFunc(e.running, same)
}

// Step advances to the given time and returns the output events up to it.
func (e *Engine) Step(now time.Duration) []Event {
	e.advance(now)
	events := e.events
	e.events = nil
	return events
}

// Next returns the time of the next change, and false if none is scheduled.
func (e *Engine) Next() (time.Duration, bool) {
	due, ok := e.step.end, e.step.busy
	if len(e.events) > 0 {
		return e.now, true
	}
	if e.orders.loading != nil && e.orders.drained && (!ok || e.orders.loadedAt < due) {
		return e.orders.loadedAt, true
	}
	return due, ok
}

// Restart empties the engine under a new incarnation; running and waiting requests end with Broken.
func (e *Engine) Restart(now time.Duration, incarnation uint64) {
	e.advance(now)
	e.splitStep()
	for _, s := range append(e.running, e.waiting...) {
		e.events = append(e.events, Event{At: now, Request: s.ID, Kind: Broken, Seq: s.nextSeq, Cached: s.cached, Computed: s.computed})
	}
	e.waiting, e.running, e.byID = nil, nil, map[string]*sequence{}
	e.step, e.imports, e.orders.loading, e.leaving = step{}, nil, nil, false
	e.incarnation = incarnation
	e.cache = newCache(e.settings.Cache, e.settings.Block, e.recordCacheEvent)
	e.cacheEvents.retained, e.cacheEvents.nextSeq = nil, 0
	e.reports = nil
	e.recordReport()
}

// Leave sets whether the engine rejects new requests; requests already accepted continue.
func (e *Engine) Leave(now time.Duration, leaving bool) {
	e.advance(now)
	e.leaving = leaving
	e.recordReport()
}

// Slow adds a window of slow batch steps, in effect from the next step on.
func (e *Engine) Slow(now time.Duration, slow Slow) {
	e.advance(now)
	e.splitStep()
	e.settings.Slow = append(e.settings.Slow, slow)
}

// Changes returns up to limit cache events whose lag has passed, beginning at the sequence number from.
func (e *Engine) Changes(now time.Duration, from uint64, limit int) []Change {
	e.advance(now)
	return e.cacheEvents.visible(now, from, limit)
}

// Snapshot returns the current content of the cache, without the lag of cache events.
func (e *Engine) Snapshot(now time.Duration) Snapshot {
	e.advance(now)
	return Snapshot{Incarnation: e.incarnation, Seq: e.cacheEvents.nextSeq, Blocks: e.cache.list()}
}
