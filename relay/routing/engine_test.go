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

// Figures of the users' engines, as their sheets state them.
const (
	// chunk is the number of prompt tokens that a batch step computes at most.
	chunk = 1024
	// stepTime is the time of a batch step, stepPerRunning what each running request adds; prompt tokens come on top.
	stepTime       = 4630 * time.Microsecond
	stepPerRunning = 11600 * time.Nanosecond
	// prefillRate is in prompt tokens per second.
	prefillRate = 41_400
	// fetchSetup and fetchPerToken are the time that a fetch of parts from another engine takes.
	fetchSetup    = 2700 * time.Microsecond
	fetchPerToken = 3813 * time.Nanosecond
	// partsLag is the age of news of parts, partsInterval the spacing at which the core hears of them.
	partsLag      = 80 * time.Millisecond
	partsInterval = 50 * time.Millisecond
	// digestInterval is how often VMs before such engines share their views.
	digestInterval = 150 * time.Millisecond
)

// fakeEngine batches up to its slots: a step computes one chunk of prompts by priority and one token of each answer. Running requests
// and cached prefixes share its memory; the least recently used prefixes yield first, then the least urgent request that runs.
type fakeEngine struct {
	w           *world
	info        catalogue.Upstream
	incarnation uint64
	slowdown    float64
	waiting     []*job
	running     []*job
	busy        bool
	lru         *list.List
	blocks      map[block]*list.Element
	// tokens are cached, pinned those of them that running requests use, held those that running requests have beside them.
	tokens   int
	pinned   int
	held     int
	sequence uint64
	log      []cache.Event
	// added and removed are news of parts that were not told yet.
	added, removed []uint64
}

type block struct {
	scope cache.Scope
	hash  uint64
}

type stored struct {
	block block
	level prompt.Level
	own   int
	part  uint64
	users int
}

// job is one attempt at one engine.
type job struct {
	engine   *fakeEngine
	call     *call
	priority int
	cached   int
	// left are the prompt tokens to compute, share those of the present step, made the tokens of the answer.
	left  int
	share int
	made  int
	held  int
	pins  []*stored
	begun bool
	first bool
	over  bool
}

func (e *fakeEngine) reset() {
	e.incarnation++
	e.lru, e.blocks = list.New(), map[block]*list.Element{}
	e.tokens, e.pinned, e.held = 0, 0, 0
	e.sequence, e.log = 0, nil
	e.added, e.removed = nil, nil
	e.waiting, e.running, e.busy = nil, nil, false
}

func (e *fakeEngine) submit(j *job) {
	e.waiting = append(e.waiting, j)
	e.advance()
}

// admit starts waiting jobs while there are slots and memory.
func (e *fakeEngine) admit() {
	for len(e.running) < e.info.Slots && len(e.waiting) > 0 {
		i := urgent(e.waiting)
		j := e.waiting[i]
		e.match(j)
		need := j.call.request.PromptTokens + j.made - j.cached
		if len(e.running) > 0 && e.pinned+e.held+need > e.info.Cache {
			e.unpin(j)
			return
		}
		e.waiting = append(e.waiting[:i:i], e.waiting[i+1:]...)
		j.begun, j.left = true, max(1, need)
		e.hold(j, need)
		e.running = append(e.running, j)
	}
}

// advance begins the next batch step.
func (e *fakeEngine) advance() {
	if e.busy {
		return
	}
	e.admit()
	if len(e.running) == 0 {
		return
	}
	budget := chunk
	for priority := range priorities {
		for _, j := range e.running {
			if j.priority == priority {
				j.share = min(j.left, budget)
				budget -= j.share
			}
		}
	}
	e.busy = true
	incarnation := e.incarnation
	took := stepTime.Seconds() + stepPerRunning.Seconds()*float64(len(e.running)) + float64(chunk-budget)/prefillRate
	e.w.after(took*e.slowdown, func() {
		if e.incarnation == incarnation {
			// What ends in this step may bring new jobs, which join the next one.
			e.stepped()
			e.busy = false
			e.advance()
		}
	})
}

// priorities is the number of priorities that the core gives.
const priorities = 10

// stepped accounts for the step that just ended.
func (e *fakeEngine) stepped() {
	for _, j := range slices.Clone(e.running) {
		switch {
		case !slices.Contains(e.running, j):
			// It was preempted, or cancelled by another one's first token.
		case j.left > 0:
			j.left -= j.share
			if j.left == 0 {
				e.read(j)
			}
		default:
			j.made++
			e.hold(j, 1)
			if j.made >= j.call.answer && !j.over {
				e.end(j)
				e.w.finished(j)
			}
		}
	}
}

// read ends the reading of a prompt, for which the first token comes.
func (e *fakeEngine) read(j *job) {
	e.store(j)
	if !j.first {
		j.first = true
		e.w.firstToken(j)
	}
}

// hold gives a job memory; where it runs short, cached prefixes yield, then jobs.
func (e *fakeEngine) hold(j *job, tokens int) {
	j.held += tokens
	e.held += tokens
	for e.tokens+e.held > e.info.Cache {
		if !e.evict() && !e.preempt() {
			return
		}
	}
}

// preempt sends the least urgent running job back to the queue, the youngest among equals.
func (e *fakeEngine) preempt() bool {
	if len(e.running) < 2 {
		return false
	}
	victim := e.running[0]
	for _, j := range e.running {
		if j.priority >= victim.priority {
			victim = j
		}
	}
	e.leave(victim)
	victim.begun = false
	e.waiting = append([]*job{victim}, e.waiting...)
	return true
}

// urgent returns the index of the job with the least priority number, the oldest among equals.
func urgent(jobs []*job) int {
	best := 0
	for i, j := range jobs {
		if j.priority == 0 {
			return i
		}
		if j.priority < jobs[best].priority {
			best = i
		}
	}
	return best
}

// end frees the job's place, at its end or when it is cancelled.
func (e *fakeEngine) end(j *job) {
	j.over = true
	e.waiting = without(e.waiting, j)
	if slices.Contains(e.running, j) {
		e.leave(j)
	}
}

func (e *fakeEngine) leave(j *job) {
	e.running = without(e.running, j)
	e.held -= j.held
	j.held = 0
	e.unpin(j)
}

func without(jobs []*job, j *job) []*job {
	for i, other := range jobs {
		if other == j {
			return append(jobs[:i:i], jobs[i+1:]...)
		}
	}
	return jobs
}

func (e *fakeEngine) scope(j *job) cache.Scope {
	r := j.call.request
	return cache.Scope{Account: r.Account, Model: e.info.Model, Adapter: e.info.Adapter, Weights: e.info.Weights}
}

func (e *fakeEngine) pin(j *job, s *stored) {
	if s.users == 0 {
		e.pinned += s.own
	}
	s.users++
	j.pins = append(j.pins, s)
}

func (e *fakeEngine) unpin(j *job) {
	for _, s := range j.pins {
		if s.users--; s.users == 0 {
			e.pinned -= s.own
		}
	}
	j.pins = nil
}

// match finds and pins the cached prefix of a job's prompt.
func (e *fakeEngine) match(j *job) {
	j.cached = 0
	for _, level := range j.call.request.Levels {
		at, ok := e.blocks[block{e.scope(j), level.Hash}]
		if !ok {
			return
		}
		e.lru.MoveToFront(at)
		e.pin(j, at.Value.(*stored))
		j.cached = level.Tokens
	}
}

// store makes the prompt's prefixes, which the job holds, cached ones.
func (e *fakeEngine) store(j *job) {
	levels := j.call.request.Levels
	for i := len(levels) - 1; i >= len(j.pins); i-- {
		b := block{e.scope(j), levels[i].Hash}
		own := levels[i].Tokens
		if i > 0 {
			own -= levels[i-1].Tokens
		}
		j.held -= own
		e.held -= own
		if at, ok := e.blocks[b]; ok {
			e.lru.MoveToFront(at)
			continue
		}
		e.insert(&stored{block: b, level: levels[i], own: own, part: e.part(j, i)})
	}
	for i := len(j.pins); i < len(levels); i++ {
		e.pin(j, e.blocks[block{e.scope(j), levels[i].Hash}].Value.(*stored))
	}
	e.hold(j, 0)
}

func (e *fakeEngine) insert(s *stored) {
	e.blocks[s.block] = e.lru.PushFront(s)
	e.tokens += s.own
	e.added = append(e.added, s.part)
	e.record(cache.Stored, s.block, s.level)
}

// part returns the key of a prompt's part as the core has it, 0 for prompts without parts.
func (e *fakeEngine) part(j *job, i int) uint64 {
	if len(j.call.request.Parts) == 0 {
		return 0
	}
	salt := saltFor(j.call.request.Account, routing.Version{Model: e.info.Model, Weights: e.info.Weights})
	return routing.PartKey(salt, j.call.segments[i].name())
}

// fetch copies the leading parts that another engine still holds.
func (e *fakeEngine) fetch(j *job, from *fakeEngine) {
	for _, level := range j.call.request.Levels {
		b := block{e.scope(j), level.Hash}
		at, ok := from.blocks[b]
		if !ok {
			break
		}
		if _, ok := e.blocks[b]; !ok {
			s := *at.Value.(*stored)
			s.users = 0
			e.insert(&s)
		}
	}
	e.hold(j, 0)
}

// evict drops the least recently used prefix that no job uses.
func (e *fakeEngine) evict() bool {
	for at := e.lru.Back(); at != nil; at = at.Prev() {
		s := at.Value.(*stored)
		if s.users > 0 {
			continue
		}
		e.lru.Remove(at)
		delete(e.blocks, s.block)
		e.tokens -= s.own
		e.removed = append(e.removed, s.part)
		e.record(cache.Removed, s.block, s.level)
		return true
	}
	return false
}

func (e *fakeEngine) record(change cache.Change, b block, level prompt.Level) {
	e.sequence++
	if e.w.events {
		e.log = append(e.log, cache.Event{Sequence: e.sequence, Change: change, Scope: b.scope, Level: level})
	}
}

func (e *fakeEngine) snapshot() []cache.Block {
	var blocks []cache.Block
	for at := e.lru.Front(); at != nil; at = at.Next() {
		s := at.Value.(*stored)
		blocks = append(blocks, cache.Block{Scope: s.block.scope, Level: s.level})
	}
	return blocks
}
