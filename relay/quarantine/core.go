package quarantine

import (
	"maps"
	"slices"
	"time"
)

const (
	// judgeCrashes is the number of engines that must have ended under a part before a judge asks about it; ownCrashes is the number
	// for a VM that has nothing but its own requests to go by.
	judgeCrashes = 3
	ownCrashes   = 5
	// minCrashInterval is the least time between two crashes that count unless the later request was sent after the earlier crash:
	// engines that end at the same moment have a common cause elsewhere, such as their rack.
	minCrashInterval = 250 * time.Millisecond
	// objectionTime is how long a judge waits for the VMs to report answers before it passes a verdict.
	objectionTime = 300 * time.Millisecond
	// suspicionLifetime is how long a part stays under suspicion after a crash.
	suspicionLifetime = 30 * time.Second
	// restartTime is less than an engine takes to come back: a crash that is reported again within it is the same one.
	restartTime = time.Second
	// verdictLifetime is how long a verdict lasts. firstTrial is the time until its first trial, which grows fourfold with each crash
	// under the part up to maxTrial; tiedTrial is that time if several parts came under verdicts for the same crashes; trialTimeout is the time after which another trial may replace one without an outcome.
	verdictLifetime = 10 * time.Minute
	firstTrial      = 30 * time.Second
	tiedTrial       = 2 * time.Second
	maxTrial        = 8 * time.Minute
	trialTimeout    = 30 * time.Second
	// repeatInterval is the interval at which verdicts are repeated, in case a message was lost. A VM that has started asks for them
	// each queryInterval until it has an answer, and goes without one after learningTime.
	repeatInterval = 10 * time.Second
	queryInterval  = 250 * time.Millisecond
	learningTime   = 3 * time.Second
	// maxSuspicions and maxVerdicts bound the memory of a core.
	maxSuspicions = 4096
	maxVerdicts   = 256
)

// suspicion is a part under which engines have ended since it was last answered.
type suspicion struct {
	first, last time.Duration
	// crashes is the number of crashes that count; crashedAt is when each engine last ended.
	crashes   int
	crashedAt map[string]time.Duration
	// reporter is the VM that reported the last crash, empty for this one.
	reporter string
	// due is when the part comes before the judge, 0 until enough engines have ended under it.
	due time.Duration
	// answeredAt is when the part was last answered before the first crash, if known reports that it was.
	answeredAt time.Duration
	known      bool
}

// recordAnswer records an answer from before the first crash.
func (s *suspicion) recordAnswer(at time.Duration) {
	if !s.known || at > s.answeredAt {
		s.answeredAt, s.known = at, true
	}
}

// lessLikely reports whether a part is a less likely cause of the crashes than another under which the same engines ended: it was
// answered later.
func (s *suspicion) lessLikely(other *suspicion) bool {
	return s.sharesCrashes(other) && s.known && (!other.known || other.answeredAt < s.answeredAt)
}

// sharesCrashes reports whether enough of the same engines ended under two parts that one of them explains the crashes of both.
func (s *suspicion) sharesCrashes(other *suspicion) bool {
	shared := 0
	for upstream := range s.crashedAt {
		if _, ok := other.crashedAt[upstream]; ok {
			shared++
		}
	}
	return shared >= judgeCrashes
}

// pendingCrash is a crash of this VM's requests and its time.
type pendingCrash struct {
	Crash
	at time.Duration
}

// verdict is a Verdict with its times on this VM's clock.
type verdict struct {
	Verdict
	since, until, trialAt time.Duration
}

func (v *verdict) export(now time.Duration) Verdict {
	out := v.Verdict
	out.Remaining, out.TrialIn = v.until-now, max(0, v.trialAt-now)
	return out
}

// Core is the state of one VM. It is not safe for concurrent use; the times passed to it come from one monotonic clock.
type Core struct {
	name  string
	judge bool

	suspicions map[uint64]*suspicion
	// answered is when the parts of recent requests were last answered.
	answered answers
	verdicts map[uint64]*verdict
	// crashes and answeredParts are not reported yet.
	crashes       []pendingCrash
	answeredParts []Answer
	// asking are the parts about which a judge is about to ask.
	asking []uint64
	// cleared are the parts of which a judge has heard an answer since the last tick.
	cleared    []Answer
	repeatedAt time.Duration
	// startedAt is the time of the first tick, and learned is set once the verdicts of other VMs are known.
	startedAt, queriedAt time.Duration
	learned              bool
	effects              Effects
}

// Option configures a Core.
type Option func(*Core)

// WithJudge makes the core pass verdicts on the reports of all VMs; it is for control VMs.
func WithJudge() Option { return func(c *Core) { c.judge = true } }

// New returns the core of the VM with a name.
func New(name string, options ...Option) *Core {
	c := &Core{name: name, suspicions: map[uint64]*suspicion{}, verdicts: map[uint64]*verdict{}}
	for _, option := range options {
		option(c)
	}
	return c
}

// Admit reports whether a request with the given parts may be sent, and if not, how long the verdict on one of them lasts. A request
// that is admitted on trial counts as this VM's trial of its part.
func (c *Core) Admit(now time.Duration, parts []uint64) (remaining time.Duration, admitted bool) {
	var trial *verdict
	for _, part := range parts {
		v := c.inForce(now, part)
		switch {
		case v == nil:
		case v.Trial == c.name && now >= v.trialAt && trial == nil:
			trial = v
		default:
			// A trial of several parts at once would not show which of them ends engines.
			return v.until - now, false
		}
	}
	if trial != nil {
		trial.trialAt = now + trialTimeout
	}
	return 0, true
}

// Quarantined reports whether one of the parts is in quarantine, without a trial.
func (c *Core) Quarantined(now time.Duration, parts []uint64) (remaining time.Duration, quarantined bool) {
	for _, part := range parts {
		if v := c.inForce(now, part); v != nil {
			return v.until - now, true
		}
	}
	return 0, false
}

// Count returns the number of parts in quarantine.
func (c *Core) Count(now time.Duration) int {
	count := 0
	for part := range c.verdicts {
		if c.inForce(now, part) != nil {
			count++
		}
	}
	return count
}

func (c *Core) inForce(now time.Duration, part uint64) *verdict {
	if v := c.verdicts[part]; v != nil && !v.Lifted && now < v.until {
		return v
	}
	return nil
}

// Crashed records that an engine ended under a request of this VM.
func (c *Core) Crashed(now time.Duration, crash Crash) {
	if len(crash.Parts) == 0 {
		return
	}
	c.crashes = append(c.crashes, pendingCrash{crash, now})
	c.suspect(now, crash, "")
}

// Answered records a complete answer to a request of this VM.
func (c *Core) Answered(now time.Duration, parts []uint64) {
	for _, part := range parts {
		c.answered.add(now, part)
		if c.suspicions[part] != nil || c.inForce(now, part) != nil {
			c.clear(now, part)
			c.answeredParts = append(c.answeredParts, Answer{Part: part})
		}
	}
}

// suspect records a crash; it counts once for each engine and part.
func (c *Core) suspect(now time.Duration, crash Crash, reporter string) {
	at := now - crash.Age
	for _, part := range crash.Parts {
		if v := c.inForce(now, part); v != nil {
			c.failTrial(now, v)
			continue
		}
		s := c.suspicions[part]
		if s == nil {
			if len(c.suspicions) >= maxSuspicions {
				continue
			}
			s = &suspicion{first: at, last: at - minCrashInterval, crashedAt: map[string]time.Duration{}}
			c.suspicions[part] = s
		}
		if before, known := s.crashedAt[crash.Upstream]; known && at-before < restartTime {
			continue
		}
		if at-s.last < minCrashInterval && at-crash.Running <= s.last {
			continue
		}
		s.crashedAt[crash.Upstream] = at
		s.last, s.reporter = at, reporter
		s.crashes++
		c.consider(now, part, s)
	}
	if !c.judge {
		c.judgeSuspicions(now)
	}
	if len(c.asking) > 0 {
		c.send(Everyone, Report{Suspects: c.asking})
		c.asking = nil
	}
}

// consider asks when a part was last answered, or has it come before this VM's own judgement, if enough engines have ended under it.
func (c *Core) consider(now time.Duration, part uint64, s *suspicion) {
	if s.due > 0 {
		return
	}
	if c.judge && s.crashes >= judgeCrashes {
		s.due = now + objectionTime
		c.asking = append(c.asking, part)
	}
	if !c.judge && s.crashes >= ownCrashes {
		s.due = now
	}
	if at, ok := c.answered.last(part); ok && s.due > 0 {
		s.recordAnswer(at)
	}
}

// judgeSuspicions puts the parts in quarantine that are due, but for those that are less likely causes than another one.
func (c *Core) judgeSuspicions(now time.Duration) {
	due := map[uint64]*suspicion{}
	for part, s := range c.suspicions {
		if s.due > 0 && now >= s.due {
			due[part] = s
		}
	}
	var condemned []uint64
	for part, s := range due {
		delete(c.suspicions, part)
		explained := false
		for _, other := range due {
			explained = explained || s.lessLikely(other)
		}
		if !explained {
			condemned = append(condemned, part)
		}
	}
	slices.Sort(condemned)
	for _, part := range condemned {
		c.condemn(now, part, due[part], len(condemned) > 1)
	}
}

// condemn puts a part in quarantine; tied reports that other parts are as likely the cause of the same crashes.
func (c *Core) condemn(now time.Duration, part uint64, s *suspicion, tied bool) {
	generation := uint32(1)
	if old := c.verdicts[part]; old != nil {
		generation = old.Generation + 1
	}
	trial, delay := s.reporter, trialDelay(generation)
	if trial == "" {
		trial = c.name
	}
	if tied {
		delay = tiedTrial
	}
	c.adopt(now, Verdict{Part: part, Generation: generation, Remaining: verdictLifetime, Trial: trial, TrialIn: delay}, slices.Sorted(maps.Keys(s.crashedAt)))
	c.send(c.audience(), Report{Verdicts: []Verdict{c.verdicts[part].export(now)}})
}

// audience is everyone for a judge, and the judges for other VMs.
func (c *Core) audience() Audience {
	if c.judge {
		return Everyone
	}
	return Judges
}

// trialDelay returns the time from a verdict to its trial.
func trialDelay(generation uint32) time.Duration {
	return min(maxTrial, firstTrial<<min(2*(generation-1), 8))
}

// failTrial renews a verdict after a crash under a part in quarantine. Crashes of requests that were sent before the verdict don't
// count, nor do those that several VMs report of one trial.
func (c *Core) failTrial(now time.Duration, v *verdict) {
	if !c.judge || now < v.trialAt {
		return
	}
	c.adopt(now, Verdict{Part: v.Part, Generation: v.Generation + 1, Remaining: verdictLifetime, Trial: v.Trial, TrialIn: trialDelay(v.Generation + 1)}, nil)
	c.send(Everyone, Report{Verdicts: []Verdict{c.verdicts[v.Part].export(now)}})
}

// clear ends a suspicion and lifts a verdict after an answer. A judge tells the VMs, which may suspect the part as well.
func (c *Core) clear(now time.Duration, part uint64) {
	if c.judge && c.suspicions[part] != nil {
		c.cleared = append(c.cleared, Answer{Part: part})
	}
	delete(c.suspicions, part)
	v := c.inForce(now, part)
	if v == nil {
		return
	}
	lifted := v.export(now)
	lifted.Lifted = true
	c.adopt(now, lifted, nil)
	c.send(c.audience(), Report{Verdicts: []Verdict{lifted}})
}

// adopt takes a verdict over if it is newer than the one known.
func (c *Core) adopt(now time.Duration, received Verdict, upstreams []string) bool {
	known := c.verdicts[received.Part]
	if known != nil && received.Generation == known.Generation && received.Lifted == known.Lifted && received.Trial < known.Trial {
		// Several judges passed the verdict; all VMs must name the same one for the trial.
		known.Trial = received.Trial
	}
	if known != nil && (received.Generation < known.Generation || received.Generation == known.Generation && (known.Lifted || !received.Lifted)) {
		return false
	}
	if known == nil && len(c.verdicts) >= maxVerdicts {
		c.dropNextExpiry()
	}
	received.Remaining = min(received.Remaining, verdictLifetime)
	c.verdicts[received.Part] = &verdict{Verdict: received, since: now, until: now + received.Remaining, trialAt: now + received.TrialIn}
	c.explain(received.Part)
	c.effects.Notices = append(c.effects.Notices, Notice{Verdict: received, Upstreams: upstreams})
	return true
}

// explain ends the suspicion of a part that is in quarantine now, and of those whose crashes it explains: another judge has compared them.
func (c *Core) explain(part uint64) {
	s := c.suspicions[part]
	delete(c.suspicions, part)
	if s == nil {
		return
	}
	for other, suspicion := range c.suspicions {
		if suspicion.sharesCrashes(s) {
			delete(c.suspicions, other)
		}
	}
}

func (c *Core) dropNextExpiry() {
	var next *verdict
	for _, v := range c.verdicts {
		if next == nil || v.until < next.until {
			next = v
		}
	}
	delete(c.verdicts, next.Part)
}

// Receive applies a report of another VM.
func (c *Core) Receive(now time.Duration, from string, r Report) {
	c.learned = c.learned || r.Reply
	if r.Query && c.learned {
		c.effects.Outgoing = append(c.effects.Outgoing, Outgoing{To: Sender, Name: from, Report: Report{Reply: true, Verdicts: c.exportVerdicts(now)}})
	}
	for _, v := range r.Verdicts {
		// A judge passes on what it hears from a VM; others hear it from the judges.
		if c.adopt(now, v, nil) && c.judge {
			c.send(Everyone, Report{Verdicts: []Verdict{v}})
		}
	}
	for _, part := range r.Suspects {
		if at, ok := c.answered.last(part); ok {
			c.answeredParts = append(c.answeredParts, Answer{Part: part, Age: now - at})
		}
	}
	for _, answer := range r.Answered {
		c.receiveAnswer(now, answer)
	}
	if !c.judge {
		return
	}
	for _, crash := range r.Crashes {
		c.suspect(now, crash, from)
	}
}

// receiveAnswer applies an answer that another VM has seen: one after the first crash ends a suspicion, one after a verdict lifts it.
func (c *Core) receiveAnswer(now time.Duration, answer Answer) {
	at := now - answer.Age
	if s := c.suspicions[answer.Part]; s != nil {
		if at < s.first {
			s.recordAnswer(at)
			return
		}
		if !c.judge {
			delete(c.suspicions, answer.Part)
			return
		}
		c.clear(now, answer.Part)
	}
	if v := c.inForce(now, answer.Part); v != nil && c.judge && at > v.since {
		c.clear(now, answer.Part)
	}
}

// Tick drives what depends on time and returns the effects of all calls since the last one; call it every 10 to 100 ms.
func (c *Core) Tick(now time.Duration) Effects {
	c.learn(now)
	c.expire(now)
	c.report(now)
	if len(c.cleared) > 0 {
		c.send(Everyone, Report{Answered: c.cleared})
		c.cleared = nil
	}
	c.repeat(now)
	effects := c.effects
	c.effects = Effects{}
	return effects
}

// report sends the judges what this VM has seen since the last tick.
func (c *Core) report(now time.Duration) {
	if len(c.crashes)+len(c.answeredParts) == 0 {
		return
	}
	r := Report{Answered: c.answeredParts}
	for _, crash := range c.crashes {
		crash.Age = now - crash.at
		r.Crashes = append(r.Crashes, crash.Crash)
	}
	c.crashes, c.answeredParts = nil, nil
	c.send(Judges, r)
}

// expire passes the verdicts that are due and drops what is outdated.
func (c *Core) expire(now time.Duration) {
	c.judgeSuspicions(now)
	for part, s := range c.suspicions {
		if now-s.last >= suspicionLifetime {
			delete(c.suspicions, part)
		}
	}
	for part, v := range c.verdicts {
		if now >= v.until {
			delete(c.verdicts, part)
		}
	}
}

// learn asks for the verdicts after a start: a judge asks everyone, as the other judges may have started too.
func (c *Core) learn(now time.Duration) {
	if c.startedAt == 0 {
		c.startedAt = now
	}
	if c.learned || now-c.startedAt >= learningTime {
		c.learned = true
		return
	}
	if c.queriedAt == 0 || now-c.queriedAt >= queryInterval {
		c.queriedAt = now
		c.send(c.audience(), Report{Query: true})
	}
}

// repeat sends the verdicts once more, in case a message was lost.
func (c *Core) repeat(now time.Duration) {
	if len(c.verdicts) > 0 && now-c.repeatedAt >= repeatInterval {
		c.repeatedAt = now
		c.send(c.audience(), Report{Verdicts: c.exportVerdicts(now)})
	}
}

func (c *Core) exportVerdicts(now time.Duration) []Verdict {
	var verdicts []Verdict
	for _, v := range c.verdicts {
		verdicts = append(verdicts, v.export(now))
	}
	return verdicts
}

func (c *Core) send(to Audience, r Report) {
	c.effects.Outgoing = append(c.effects.Outgoing, Outgoing{To: to, Report: r})
}
