package engine

import (
	"slices"
	"sort"
	"time"
)

// step is the batch step in progress; Quiet engines join equal steps into one of several rounds.
type step struct {
	busy   bool
	start  time.Duration
	end    time.Duration
	round  time.Duration
	rounds int
}

// advance completes all batch steps that end by the given time.
func (e *Engine) advance(now time.Duration) {
	for {
		if e.step.busy && e.step.end <= now {
			e.now = e.step.end
			e.step.busy = false
			e.complete()
			e.begin(e.now)
			e.record()
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

// begin admits waiting requests and starts the next batch step.
func (e *Engine) begin(at time.Duration) {
	if e.step.busy {
		return
	}
	e.now = at
	e.admitImports()
	for len(e.waiting) > 0 && len(e.running) < e.settings.Slots {
		s := e.waiting[0]
		e.start(s)
		if e.settings.Shared && len(e.running) > 0 && e.blocksOf(s.length)-len(s.blocks) > e.cache.free() {
			e.stop(s)
			break
		}
		e.waiting = e.waiting[1:]
		e.totals.Prompt += s.Prompt
		e.totals.Cached += s.cached
		// The prompt chunk of a step goes to running requests in this order.
		at := sort.Search(len(e.running), func(i int) bool { return e.running[i].Priority > s.Priority })
		e.running = slices.Insert(e.running, at, s)
	}
	if len(e.running) == 0 {
		e.startLoading(at)
		return
	}
	budget, decoding, shortest := e.settings.Chunk, 0, 0
	for _, s := range e.running {
		s.share = min(s.todo, budget)
		budget -= s.share
		if s.todo == 0 {
			decoding++
			if left := s.Answer - s.next; shortest == 0 || left < shortest {
				shortest = left
			}
		}
	}
	prefilled := e.settings.Chunk - budget
	length := float64(prefilled)/e.settings.Prefill + 1/e.settings.Decode + e.settings.PerRunning.Seconds()*float64(len(e.running))
	factor, until := e.factor(at)
	round := max(time.Microsecond, time.Duration(length*factor*float64(time.Second)))
	rounds := 1
	if e.settings.Quiet && prefilled == 0 && shortest > 1 {
		rounds = shortest
		if until > 0 {
			rounds = min(rounds, int((until-at+round-1)/round))
		}
		if e.settings.Shared {
			rounds = min(rounds, max(1, e.cache.free()*e.settings.Block/decoding))
		}
	}
	e.step = step{busy: true, start: at, end: at + time.Duration(rounds)*round, round: round, rounds: rounds}
}

// interrupt ends a joined step after the round in progress; the rounds before it are accounted for.
func (e *Engine) interrupt() {
	if !e.step.busy || e.step.rounds == 1 {
		return
	}
	done := int((e.now - e.step.start) / e.step.round)
	for _, s := range slices.Clone(e.running) {
		if done > 0 && slices.Contains(e.running, s) {
			e.emit(s, done)
		}
	}
	e.step.start += time.Duration(done) * e.step.round
	e.step.rounds = 1
	e.step.end = e.step.start + e.step.round
}

// start looks the prompt up in the cache; at least one token is always computed.
func (e *Engine) start(s *sequence) {
	salt := e.cache.salt(s.Salt)
	s.blocks = e.cache.match(salt, s.Chain)
	s.cached = min(len(s.blocks)*e.settings.Block, s.Prompt-1)
	// What a preempted request has made is read in again.
	s.length = s.Prompt + s.next
	s.todo = s.length - s.cached
}

// stop takes a request's memory.
func (e *Engine) stop(s *sequence) {
	e.cache.release(s.blocks)
	e.cache.held -= s.held
	s.blocks, s.held = nil, 0
}

func (e *Engine) blocksOf(tokens int) int { return (tokens + e.settings.Block - 1) / e.settings.Block }

// hold gives a running request the memory for its tokens so far; where it runs short, the least urgent one that runs goes back to the
// queue, the newest among equals.
func (e *Engine) hold(s *sequence, tokens int) {
	if !e.settings.Shared {
		return
	}
	more := e.blocksOf(tokens) - len(s.blocks) - s.held
	s.held += more
	e.cache.held += more
	for !e.cache.room(0) && len(e.running) > 1 {
		victim := e.running[len(e.running)-1]
		e.stop(victim)
		victim.full = false
		e.running = e.running[:len(e.running)-1]
		at := sort.Search(len(e.waiting), func(i int) bool { return e.waiting[i].Priority >= victim.Priority })
		e.waiting = slices.Insert(e.waiting, at, victim)
		e.totals.Preempted++
	}
}

// complete emits the tokens of the step that just ended.
func (e *Engine) complete() {
	var ended []*sequence
	for _, s := range slices.Clone(e.running) {
		if !slices.Contains(e.running, s) {
			// It was preempted for another one's memory.
			continue
		}
		if s.todo > 0 {
			if s.share == 0 {
				continue
			}
			e.prefilled(s)
			if s.todo > 0 {
				continue
			}
			if s.next < s.Answer {
				e.emit(s, 1)
			}
		} else {
			e.emit(s, e.step.rounds)
		}
		if s.next >= s.Answer {
			ended = append(ended, s)
		}
	}
	for _, s := range ended {
		e.out = append(e.out, Event{At: e.now, Request: s.ID, Kind: Finish, Seq: s.Answer, Cached: s.cached, Computed: s.computed})
		e.drop(s)
	}
}

// prefilled accounts for the prompt tokens of one step and caches the blocks that they complete.
func (e *Engine) prefilled(s *sequence) {
	s.todo -= s.share
	s.computed += s.share
	e.totals.Computed += s.share
	position := s.length - s.todo
	salt := e.cache.salt(s.Salt)
	for !s.full && len(s.blocks) < len(s.Chain) && (len(s.blocks)+1)*e.settings.Block <= position {
		b := e.cache.store(salt, s.Chain, len(s.blocks))
		if b == nil {
			s.full = true
			break
		}
		s.blocks = append(s.blocks, b)
	}
	e.hold(s, position)
}

func (e *Engine) emit(s *sequence, tokens int) {
	e.totals.Decoded += tokens
	if !e.settings.Quiet || s.next == s.From {
		e.out = append(e.out, Event{At: e.now, Request: s.ID, Kind: Word, Seq: s.next, Cached: s.cached, Computed: s.computed})
	}
	s.next += tokens
	if s.next < s.Answer {
		e.hold(s, s.Prompt+s.next)
	}
}

// factor returns the slow-down at a time and when it next changes, 0 for never.
func (e *Engine) factor(at time.Duration) (float64, time.Duration) {
	factor, until := 1.0, time.Duration(0)
	sooner := func(t time.Duration) {
		if t > at && (until == 0 || t < until) {
			until = t
		}
	}
	for _, slow := range e.settings.Slow {
		sooner(slow.From)
		sooner(slow.Until)
		if slow.From <= at && at < slow.Until && slow.Factor > factor {
			factor = slow.Factor
		}
	}
	return factor, until
}
