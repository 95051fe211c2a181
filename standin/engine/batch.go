package engine

import (
	"slices"
	"sort"
	"time"
)

// step is the batch step in progress; with Settings.Quiet it stands for count equal decode steps of duration stepTime.
type step struct {
	busy     bool
	start    time.Duration
	end      time.Duration
	stepTime time.Duration
	count    int
}

// advance completes all batch steps and loads that end by the given time.
func (e *Engine) advance(now time.Duration) {
	for {
		if e.step.busy && e.step.end <= now {
			e.now = e.step.end
			e.step.busy = false
			e.completeStep()
			e.startStep(e.now)
			e.recordReport()
			continue
		}
		if !e.step.busy && e.finishLoading(now) {
			continue
		}
		break
	}
	e.now = max(e.now, now)
	e.admitImports()
}

// startStep admits waiting requests and starts the next batch step, unless one is in progress.
func (e *Engine) startStep(at time.Duration) {
	if e.step.busy {
		return
	}
	e.now = at
	e.admitImports()
	for len(e.waiting) > 0 && len(e.running) < e.settings.Slots {
		s := e.waiting[0]
		e.start(s)
		if e.settings.Shared && len(e.running) > 0 && e.blockCount(s.length)-len(s.blocks) > e.cache.freeBlocks() {
			e.freeMemory(s)
			break
		}
		e.waiting = e.waiting[1:]
		e.totals.Prompt += s.Prompt
		e.totals.Cached += s.cached
		// The prefill budget of a step goes to running requests in this order.
		at := sort.Search(len(e.running), func(i int) bool { return e.running[i].Priority > s.Priority })
		e.running = slices.Insert(e.running, at, s)
	}
	if len(e.running) == 0 {
		e.startLoading(at)
		return
	}
	budget, decoding, shortest := e.settings.Chunk, 0, 0
	for _, s := range e.running {
		s.chunk = min(s.uncomputed, budget)
		budget -= s.chunk
		if s.uncomputed == 0 {
			decoding++
			if remaining := s.Answer - s.nextSeq; shortest == 0 || remaining < shortest {
				shortest = remaining
			}
		}
	}
	prefilled := e.settings.Chunk - budget
	length := float64(prefilled)/e.settings.Prefill + 1/e.settings.Decode + e.settings.PerRunning.Seconds()*float64(len(e.running))
	slowdown, nextChange := e.slowdown(at)
	stepTime := max(time.Microsecond, time.Duration(length*slowdown*float64(time.Second)))
	count := 1
	if e.settings.Quiet && prefilled == 0 && shortest > 1 {
		count = shortest
		if nextChange > 0 {
			count = min(count, int((nextChange-at+stepTime-1)/stepTime))
		}
		if e.settings.Shared {
			count = min(count, max(1, e.cache.freeBlocks()*e.settings.Block/decoding))
		}
	}
	e.step = step{busy: true, start: at, end: at + time.Duration(count)*stepTime, stepTime: stepTime, count: count}
}

// splitStep shortens merged steps to the one in progress and emits the tokens of those that are complete.
func (e *Engine) splitStep() {
	if !e.step.busy || e.step.count == 1 {
		return
	}
	done := int((e.now - e.step.start) / e.step.stepTime)
	for _, s := range slices.Clone(e.running) {
		if done > 0 && slices.Contains(e.running, s) {
			e.emit(s, done)
		}
	}
	e.step.start += time.Duration(done) * e.step.stepTime
	e.step.count = 1
	e.step.end = e.step.start + e.step.stepTime
}

// start looks up the prompt in the cache; at least one token is always computed.
func (e *Engine) start(s *sequence) {
	salt := e.cache.salt(s.Salt)
	s.blocks = e.cache.match(salt, s.Chain)
	s.cached = min(len(s.blocks)*e.settings.Block, s.Prompt-1)
	// The output of a preempted request is prefilled again after its prompt.
	s.length = s.Prompt + s.nextSeq
	s.uncomputed = s.length - s.cached
}

// freeMemory releases the cached and private blocks of a request.
func (e *Engine) freeMemory(s *sequence) {
	e.cache.release(s.blocks)
	e.cache.privateBlocks -= s.privateBlocks
	s.blocks, s.privateBlocks = nil, 0
}

func (e *Engine) blockCount(tokens int) int {
	return (tokens + e.settings.Block - 1) / e.settings.Block
}

// reserveMemory reserves memory for the tokens of a running request so far. If it runs out, the running request of the lowest
// priority, the newest among equals, is preempted and returns to the queue.
func (e *Engine) reserveMemory(s *sequence, tokens int) {
	if !e.settings.Shared {
		return
	}
	more := e.blockCount(tokens) - len(s.blocks) - s.privateBlocks
	s.privateBlocks += more
	e.cache.privateBlocks += more
	for !e.cache.makeRoom(0) && len(e.running) > 1 {
		victim := e.running[len(e.running)-1]
		e.freeMemory(victim)
		victim.cacheFull = false
		e.running = e.running[:len(e.running)-1]
		index := sort.Search(len(e.waiting), func(i int) bool { return e.waiting[i].Priority >= victim.Priority })
		e.waiting = slices.Insert(e.waiting, index, victim)
		e.totals.Preempted++
	}
}

// completeStep accounts for the prefill and emits the tokens of the step that just ended.
func (e *Engine) completeStep() {
	var finished []*sequence
	for _, s := range slices.Clone(e.running) {
		if !slices.Contains(e.running, s) {
			// It was preempted earlier in this loop to free memory.
			continue
		}
		if s.uncomputed > 0 {
			if s.chunk == 0 {
				continue
			}
			e.recordPrefill(s)
			if s.uncomputed > 0 {
				continue
			}
			if s.nextSeq < s.Answer {
				e.emit(s, 1)
			}
		} else {
			e.emit(s, e.step.count)
		}
		if s.nextSeq >= s.Answer {
			finished = append(finished, s)
		}
	}
	for _, s := range finished {
		e.events = append(e.events, Event{At: e.now, Request: s.ID, Kind: Finish, Seq: s.Answer, Cached: s.cached, Computed: s.computed})
		e.drop(s)
	}
}

// recordPrefill accounts for the tokens prefilled in one step and caches the prompt blocks that they complete.
func (e *Engine) recordPrefill(s *sequence) {
	s.uncomputed -= s.chunk
	s.computed += s.chunk
	e.totals.Computed += s.chunk
	position := s.length - s.uncomputed
	salt := e.cache.salt(s.Salt)
	for !s.cacheFull && len(s.blocks) < len(s.Chain) && (len(s.blocks)+1)*e.settings.Block <= position {
		b := e.cache.store(salt, s.Chain, len(s.blocks))
		if b == nil {
			s.cacheFull = true
			break
		}
		s.blocks = append(s.blocks, b)
	}
	e.reserveMemory(s, position)
}

func (e *Engine) emit(s *sequence, tokens int) {
	e.totals.Decoded += tokens
	if !e.settings.Quiet || s.nextSeq == s.From {
		e.events = append(e.events, Event{At: e.now, Request: s.ID, Kind: Word, Seq: s.nextSeq, Cached: s.cached, Computed: s.computed})
	}
	s.nextSeq += tokens
	if s.nextSeq < s.Answer {
		e.reserveMemory(s, s.Prompt+s.nextSeq)
	}
}

// slowdown returns the factor by which batch steps take longer at a time, and the time at which it next changes, 0 for never.
func (e *Engine) slowdown(at time.Duration) (float64, time.Duration) {
	slowdown, nextChange := 1.0, time.Duration(0)
	noteChange := func(t time.Duration) {
		if t > at && (nextChange == 0 || t < nextChange) {
			nextChange = t
		}
	}
	for _, slow := range e.settings.Slow {
		noteChange(slow.From)
		noteChange(slow.Until)
		if slow.From <= at && at < slow.Until && slow.Factor > slowdown {
			slowdown = slow.Factor
		}
	}
	return slowdown, nextChange
}
