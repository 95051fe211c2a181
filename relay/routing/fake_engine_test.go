package routing_test

import (
	"container/list"
	"slices"
	"time"

	"github.com/chicoryrelay/chicoryrelay/relay/cache"
	"github.com/chicoryrelay/chicoryrelay/relay/catalogue"
	"github.com/chicoryrelay/chicoryrelay/relay/prompt"
	"github.com/chicoryrelay/chicoryrelay/relay/routing"
)

// Performance figures of the users' engines, from their data sheets.
const (
	// prefillChunk is the maximum number of prompt tokens that one batch step computes.
	prefillChunk = 1024
	// baseStepTime is the fixed time of a batch step, stepTimePerRequest the time that each running request adds.
	baseStepTime       = 4630 * time.Microsecond
	stepTimePerRequest = 11600 * time.Nanosecond
	// prefillRate is the number of prompt tokens computed per second.
	prefillRate = 41_400
	// fetchSetup and fetchTimePerToken make up the time of a fetch of parts from another engine.
	fetchSetup        = 2700 * time.Microsecond
	fetchTimePerToken = 3813 * time.Nanosecond
	// partsReportDelay is the delay of a report of added and removed parts, partsReportInterval the time between two reports.
	partsReportDelay    = 80 * time.Millisecond
	partsReportInterval = 50 * time.Millisecond
	// digestInterval is the time between two digests of a VM in front of such engines.
	digestInterval = 150 * time.Millisecond
)

// fakeEngine runs as many requests as it has slots in one batch: a step computes one chunk of prompts by priority and one token
// of each answer. Running requests and cached prefixes share its memory. When memory is short, it evicts the least recently used
// prefix, then preempts the running request with the lowest priority.
type fakeEngine struct {
	sim         *simulation
	upstream    catalogue.Upstream
	incarnation uint64
	slowdown    float64
	waiting     []*attempt
	running     []*attempt
	stepping    bool
	lru         *list.List
	blocks      map[blockKey]*list.Element
	// tokens are the cached tokens, pinnedTokens those of them that running requests use, and reservedTokens the memory of running
	// requests outside the cache.
	tokens         int
	pinnedTokens   int
	reservedTokens int
	sequence       uint64
	eventLog       []cache.Event
	// addedParts and removedParts are the changes that have not been reported yet.
	addedParts, removedParts []uint64
}

type blockKey struct {
	scope cache.Scope
	hash  uint64
}

// cachedBlock is one cached prefix level; ownTokens are its tokens beyond the previous level.
type cachedBlock struct {
	blockKey  blockKey
	level     prompt.Level
	ownTokens int
	partKey   uint64
	// references is the number of running attempts that pin the block.
	references int
}

// attempt is one attempt of a call at one engine.
type attempt struct {
	engine       *fakeEngine
	call         *call
	priority     int
	cachedTokens int
	// promptTokensLeft are the prompt tokens to compute, stepTokens those of the current step, generated the answer tokens so far.
	promptTokensLeft int
	stepTokens       int
	generated        int
	reservedTokens   int
	pinned           []*cachedBlock
	started          bool
	firstTokenSent   bool
	ended            bool
}

func (e *fakeEngine) reset() {
	e.incarnation++
	e.lru, e.blocks = list.New(), map[blockKey]*list.Element{}
	e.tokens, e.pinnedTokens, e.reservedTokens = 0, 0, 0
	e.sequence, e.eventLog = 0, nil
	e.addedParts, e.removedParts = nil, nil
	e.waiting, e.running, e.stepping = nil, nil, false
}

func (e *fakeEngine) submit(a *attempt) {
	e.waiting = append(e.waiting, a)
	e.startStep()
}

// admit starts waiting attempts while there are slots and memory.
func (e *fakeEngine) admit() {
	for len(e.running) < e.upstream.Slots && len(e.waiting) > 0 {
		i := highestPriority(e.waiting)
		a := e.waiting[i]
		e.match(a)
		need := a.call.request.PromptTokens + a.generated - a.cachedTokens
		if len(e.running) > 0 && e.pinnedTokens+e.reservedTokens+need > e.upstream.Cache {
			e.unpin(a)
			return
		}
		e.waiting = append(e.waiting[:i:i], e.waiting[i+1:]...)
		a.started, a.promptTokensLeft = true, max(1, need)
		e.reserve(a, need)
		e.running = append(e.running, a)
	}
}

// startStep begins the next batch step.
func (e *fakeEngine) startStep() {
	if e.stepping {
		return
	}
	e.admit()
	if len(e.running) == 0 {
		return
	}
	budget := prefillChunk
	for priority := range priorityCount {
		for _, a := range e.running {
			if a.priority == priority {
				a.stepTokens = min(a.promptTokensLeft, budget)
				budget -= a.stepTokens
			}
		}
	}
	e.stepping = true
	incarnation := e.incarnation
	took := baseStepTime.Seconds() + stepTimePerRequest.Seconds()*float64(len(e.running)) + float64(prefillChunk-budget)/prefillRate
	e.sim.after(took*e.slowdown, func() {
		if e.incarnation == incarnation {
			// stepping stays set meanwhile: the end of a request may submit others, which join the next step.
			e.finishStep()
			e.stepping = false
			e.startStep()
		}
	})
}

// priorityCount is the number of priorities that the core assigns.
const priorityCount = 10

// finishStep updates the running attempts at the end of a step.
func (e *fakeEngine) finishStep() {
	for _, a := range slices.Clone(e.running) {
		switch {
		case !slices.Contains(e.running, a):
			// It was preempted, or cancelled because another attempt of its call sent the first token.
		case a.promptTokensLeft > 0:
			a.promptTokensLeft -= a.stepTokens
			if a.promptTokensLeft == 0 {
				e.finishPrefill(a)
			}
		default:
			a.generated++
			e.reserve(a, 1)
			if a.generated >= a.call.answerTokens && !a.ended {
				e.end(a)
				e.sim.handleFinished(a)
			}
		}
	}
}

// finishPrefill caches the prompt and sends the first token, unless the attempt sent it before it was preempted.
func (e *fakeEngine) finishPrefill(a *attempt) {
	e.storePrompt(a)
	if !a.firstTokenSent {
		a.firstTokenSent = true
		e.sim.handleFirstToken(a)
	}
}

// reserve reserves memory for an attempt; if there is too little, it evicts cached prefixes, then preempts attempts.
func (e *fakeEngine) reserve(a *attempt, tokens int) {
	a.reservedTokens += tokens
	e.reservedTokens += tokens
	for e.tokens+e.reservedTokens > e.upstream.Cache {
		if !e.evict() && !e.preempt() {
			return
		}
	}
}

// preempt returns the running attempt with the lowest priority to the queue, the last admitted among equals.
func (e *fakeEngine) preempt() bool {
	if len(e.running) < 2 {
		return false
	}
	victim := e.running[0]
	for _, a := range e.running {
		if a.priority >= victim.priority {
			victim = a
		}
	}
	e.release(victim)
	victim.started = false
	e.waiting = append([]*attempt{victim}, e.waiting...)
	return true
}

// highestPriority returns the index of the attempt with the lowest priority number, the oldest among equals.
func highestPriority(attempts []*attempt) int {
	best := 0
	for i, a := range attempts {
		if a.priority == 0 {
			return i
		}
		if a.priority < attempts[best].priority {
			best = i
		}
	}
	return best
}

// end frees the attempt's slot and memory when it finishes or is cancelled.
func (e *fakeEngine) end(a *attempt) {
	a.ended = true
	e.waiting = remove(e.waiting, a)
	if slices.Contains(e.running, a) {
		e.release(a)
	}
}

func (e *fakeEngine) release(a *attempt) {
	e.running = remove(e.running, a)
	e.reservedTokens -= a.reservedTokens
	a.reservedTokens = 0
	e.unpin(a)
}

func remove(attempts []*attempt, a *attempt) []*attempt {
	for i, other := range attempts {
		if other == a {
			return append(attempts[:i:i], attempts[i+1:]...)
		}
	}
	return attempts
}

func (e *fakeEngine) scope(a *attempt) cache.Scope {
	r := a.call.request
	return cache.Scope{Account: r.Account, Model: e.upstream.Model, Adapter: e.upstream.Adapter, Weights: e.upstream.Weights}
}

func (e *fakeEngine) pin(a *attempt, s *cachedBlock) {
	if s.references == 0 {
		e.pinnedTokens += s.ownTokens
	}
	s.references++
	a.pinned = append(a.pinned, s)
}

func (e *fakeEngine) unpin(a *attempt) {
	for _, s := range a.pinned {
		if s.references--; s.references == 0 {
			e.pinnedTokens -= s.ownTokens
		}
	}
	a.pinned = nil
}

// match finds and pins the cached prefix of an attempt's prompt.
func (e *fakeEngine) match(a *attempt) {
	a.cachedTokens = 0
	for _, level := range a.call.request.Levels {
		at, ok := e.blocks[blockKey{e.scope(a), level.Hash}]
		if !ok {
			return
		}
		e.lru.MoveToFront(at)
		e.pin(a, at.Value.(*cachedBlock))
		a.cachedTokens = level.Tokens
	}
}

// storePrompt moves the prompt's levels from the attempt's reserved memory to the cache and pins them.
func (e *fakeEngine) storePrompt(a *attempt) {
	levels := a.call.request.Levels
	for i := len(levels) - 1; i >= len(a.pinned); i-- {
		b := blockKey{e.scope(a), levels[i].Hash}
		ownTokens := levels[i].Tokens
		if i > 0 {
			ownTokens -= levels[i-1].Tokens
		}
		a.reservedTokens -= ownTokens
		e.reservedTokens -= ownTokens
		if at, ok := e.blocks[b]; ok {
			e.lru.MoveToFront(at)
			continue
		}
		e.insert(&cachedBlock{blockKey: b, level: levels[i], ownTokens: ownTokens, partKey: e.partKey(a, i)})
	}
	for i := len(a.pinned); i < len(levels); i++ {
		e.pin(a, e.blocks[blockKey{e.scope(a), levels[i].Hash}].Value.(*cachedBlock))
	}
	e.reserve(a, 0)
}

func (e *fakeEngine) insert(s *cachedBlock) {
	e.blocks[s.blockKey] = e.lru.PushFront(s)
	e.tokens += s.ownTokens
	e.addedParts = append(e.addedParts, s.partKey)
	e.record(cache.Stored, s.blockKey, s.level)
}

// partKey returns the key of part i of the prompt as the core computes it, 0 for prompts without parts.
func (e *fakeEngine) partKey(a *attempt, i int) uint64 {
	if len(a.call.request.Parts) == 0 {
		return 0
	}
	salt := saltFor(a.call.request.Account, routing.Version{Model: e.upstream.Model, Weights: e.upstream.Weights})
	return routing.PartKey(salt, a.call.segments[i].name())
}

// fetch copies the leading parts of the prompt that another engine still holds.
func (e *fakeEngine) fetch(a *attempt, from *fakeEngine) {
	for _, level := range a.call.request.Levels {
		b := blockKey{e.scope(a), level.Hash}
		at, ok := from.blocks[b]
		if !ok {
			break
		}
		if _, ok := e.blocks[b]; !ok {
			s := *at.Value.(*cachedBlock)
			s.references = 0
			e.insert(&s)
		}
	}
	e.reserve(a, 0)
}

// evict drops the least recently used prefix that no attempt uses, and reports whether there was one.
func (e *fakeEngine) evict() bool {
	for at := e.lru.Back(); at != nil; at = at.Prev() {
		s := at.Value.(*cachedBlock)
		if s.references > 0 {
			continue
		}
		e.lru.Remove(at)
		delete(e.blocks, s.blockKey)
		e.tokens -= s.ownTokens
		e.removedParts = append(e.removedParts, s.partKey)
		e.record(cache.Removed, s.blockKey, s.level)
		return true
	}
	return false
}

func (e *fakeEngine) record(change cache.EventKind, b blockKey, level prompt.Level) {
	e.sequence++
	if e.sim.events {
		e.eventLog = append(e.eventLog, cache.Event{Sequence: e.sequence, Kind: change, Scope: b.scope, Level: level})
	}
}

func (e *fakeEngine) snapshot() []cache.Block {
	var blocks []cache.Block
	for at := e.lru.Front(); at != nil; at = at.Next() {
		s := at.Value.(*cachedBlock)
		blocks = append(blocks, cache.Block{Scope: s.blockKey.scope, Level: s.level})
	}
	return blocks
}
