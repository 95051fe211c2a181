package engine

import (
	"math/rand/v2"
	"slices"
	"sort"
	"time"

	"github.com/samber/oops"
)

// Request is one request as the engine sees it.
type Request struct {
	ID string
	// Salt keys the prefix cache; Chain holds the hash of each prompt prefix that ends at a block boundary.
	Salt  string
	Chain []uint64
	// Prompt and Answer are lengths in tokens; From is the number of answer tokens that the caller already has.
	Prompt int
	Answer int
	From   int
	// Priority orders waiting requests; lower numbers start sooner.
	Priority int
}

// EventKind is the kind of an event of an answer.
type EventKind uint8

// The kinds of event.
const (
	// Word is one token of the answer.
	Word EventKind = iota
	// Finish follows the last token.
	Finish
	// Broken ends a request that the engine lost by a restart.
	Broken
)

// Event is one event of an answer.
type Event struct {
	At      time.Duration
	Request string
	Kind    EventKind
	// Seq is the token's index; a finish has the next one.
	Seq int
	// Cached is the number of prompt tokens found in the cache; Computed the number of tokens prefilled.
	Cached   int
	Computed int
}

// Totals count an engine's work since its first start, in tokens.
type Totals struct {
	Prompt   int
	Cached   int
	Computed int
	Decoded  int
	// Preempted counts requests that gave their memory back and were read in again.
	Preempted int
}

type sequence struct {
	Request
	order    uint64
	cached   int
	todo     int
	share    int
	computed int
	next     int
	blocks   []*block
	full     bool
	// held is the memory in blocks beside the cached ones, length the tokens to be in memory before the next one of the answer.
	held   int
	length int
}

// Engine is one replica of a model; it is not safe for concurrent use and its times must not decrease.
type Engine struct {
	settings    Settings
	incarnation uint64
	cache       *cache
	log         changeLog
	reports     []Report
	waiting     []*sequence
	running     []*sequence
	byID        map[string]*sequence
	order       uint64
	now         time.Duration
	step        step
	out         []Event
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
	e.log = changeLog{
		keep: settings.EventKeep, lag: settings.EventLag, loss: settings.EventLoss,
		random: rand.New(rand.NewPCG(settings.Seed, 0)),
	}
	e.cache = newCache(settings.Cache, settings.Block, e.changed)
	e.record()
	return e
}

func (e *Engine) changed(kind ChangeKind, salt string, b *block) {
	e.log.add(e.now, kind, Block{Salt: salt, Hash: b.key.hash, Parent: b.parent, Tokens: b.tokens})
}

// Version returns what the engine serves.
func (e *Engine) Version() Version { return e.settings.Version }

// Incarnation returns the number of the present start.
func (e *Engine) Incarnation() uint64 { return e.incarnation }

// BlockTokens returns the length of a cache block in tokens.
func (e *Engine) BlockTokens() int { return e.settings.Block }

// Totals returns the work done so far.
func (e *Engine) Totals() Totals { return e.totals }

// Leaving reports whether the engine takes no new requests.
func (e *Engine) Leaving() bool { return e.leaving }

// Submit queues a request; the error says why it was not taken.
func (e *Engine) Submit(now time.Duration, r Request) error {
	e.advance(now)
	switch {
	case e.leaving:
		return oops.Code("leaving").Errorf("the engine is leaving; send the request to another replica")
	case e.orders.loading != nil:
		return oops.Code("loading").Errorf("the engine is loading; send the request to another replica")
	case e.byID[r.ID] != nil:
		return oops.Code("duplicate").Errorf("request %s is already running; use a new request id", r.ID)
	case r.From < 0 || r.From > r.Answer:
		return oops.Code("resume").Errorf("the answer has %d tokens; resume from at most that", r.Answer)
	}
	s := &sequence{Request: r, order: e.order, next: r.From}
	e.order++
	e.byID[r.ID] = s
	at := sort.Search(len(e.waiting), func(i int) bool { return e.waiting[i].Priority > r.Priority })
	e.waiting = slices.Insert(e.waiting, at, s)
	e.interrupt()
	e.begin(e.now)
	e.record()
	return nil
}

// Cancel drops a request and returns the number of tokens prefilled for it; the prompt blocks that it computed stay in the cache.
func (e *Engine) Cancel(now time.Duration, id string) int {
	e.advance(now)
	s := e.byID[id]
	if s == nil {
		return 0
	}
	e.interrupt()
	e.drop(s)
	e.record()
	return s.computed
}

func (e *Engine) drop(s *sequence) {
	delete(e.byID, s.ID)
	e.stop(s)
	same := func(other *sequence) bool { return other == s }
	e.waiting = slices.DeleteFunc(e.waiting, same)
	e.running = slices.DeleteFunc(e.running, same)
}

// Step advances to the given time and returns the events up to it.
func (e *Engine) Step(now time.Duration) []Event {
	e.advance(now)
	out := e.out
	e.out = nil
	return out
}

// Next returns the time of the next change, if one is due.
func (e *Engine) Next() (time.Duration, bool) {
	due, ok := e.step.end, e.step.busy
	if len(e.out) > 0 {
		return e.now, true
	}
	if e.orders.loading != nil && e.orders.idle && (!ok || e.orders.ready < due) {
		return e.orders.ready, true
	}
	return due, ok
}

// Restart empties the engine under a new incarnation; running requests end in Broken.
func (e *Engine) Restart(now time.Duration, incarnation uint64) {
	e.advance(now)
	e.interrupt()
	for _, s := range append(e.running, e.waiting...) {
		e.out = append(e.out, Event{At: now, Request: s.ID, Kind: Broken, Seq: s.next, Cached: s.cached, Computed: s.computed})
	}
	e.waiting, e.running, e.byID = nil, nil, map[string]*sequence{}
	e.step, e.imports, e.orders.loading, e.leaving = step{}, nil, nil, false
	e.incarnation = incarnation
	e.cache = newCache(e.settings.Cache, e.settings.Block, e.changed)
	e.log.kept, e.log.next = nil, 0
	e.reports = nil
	e.record()
}

// Leave sets whether the engine refuses new requests; running ones go on.
func (e *Engine) Leave(now time.Duration, leaving bool) {
	e.advance(now)
	e.leaving = leaving
	e.record()
}

// Slow adds a window of slow batch steps; it takes effect with the next step.
func (e *Engine) Slow(now time.Duration, slow Slow) {
	e.advance(now)
	e.interrupt()
	e.settings.Slow = append(e.settings.Slow, slow)
}

// Changes returns up to limit cache events from the given number on that readers can see.
func (e *Engine) Changes(now time.Duration, from uint64, limit int) []Change {
	e.advance(now)
	return e.log.after(now, from, limit)
}

// Snapshot returns the whole cache.
func (e *Engine) Snapshot(now time.Duration) Snapshot {
	e.advance(now)
	return Snapshot{Incarnation: e.incarnation, Seq: e.log.next, Blocks: e.cache.list()}
}
