package quarantine

import (
	"encoding/binary"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
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
	// suspicionLifetime is how long a part stays under suspicion after a crash. A request, which is one of its kind, stays so for
	// requestLifetime, as it may come again after a pause.
	suspicionLifetime = 30 * time.Second
	requestLifetime   = 10 * time.Minute
	// restartTime is less than an engine takes to come back: a crash that is reported again within it is the same one.
	restartTime = time.Second
	// verdictLifetime is how long a verdict lasts. firstTrial is the time until its first trial, which grows fourfold with each crash
	// under the part up to maxTrial; tiedTrial is that time if several parts came under verdicts for the same crashes; trialTimeout is
	// the time after which another trial may replace one without an outcome.
	verdictLifetime = 10 * time.Minute
	firstTrial      = 30 * time.Second
	tiedTrial       = 2 * time.Second
	maxTrial        = 8 * time.Minute
	trialTimeout    = 30 * time.Second
	// checksumInterval is the interval at which judges tell the checksum of their verdicts, and that at which a VM asks again about one
	// that still differs, and reports crashes again that no judge has acknowledged: the messages may have been lost. repeatInterval is that
	// at which a VM tells the verdicts that it passed itself. A VM that has started asks for them each queryInterval until it has an
	// answer, and goes without one after learningTime.
	checksumInterval = time.Second
	repeatInterval   = 10 * time.Second
	queryInterval    = 250 * time.Millisecond
	learningTime     = 3 * time.Second
	// maxSuspicions, maxVerdicts and maxUnacknowledged bound the memory of a core, the last one also its reports.
	maxSuspicions     = 4096
	maxVerdicts       = 256
	maxUnacknowledged = 64
	// maxTickInterval is the longest time between two ticks of a VM that has not stood still.
	maxTickInterval = time.Second
)

// pendingCrash is a crash of this VM's requests and its time, until a judge has acknowledged it.
type pendingCrash struct {
	Crash
	at time.Duration
}

// Core is the state of one VM. It is not safe for concurrent use; the times passed to it come from one monotonic clock.
type Core struct {
	name  string
	judge bool

	// suspicions are those of parts, requests those of requests by their fingerprints.
	suspicions map[uint64]*suspicion
	requests   map[uint64]*requestSuspicion
	// answeredRequests is when recent requests were last answered, by their fingerprints.
	answeredRequests answers
	// answered is when the parts of recent requests were last answered.
	answered answers
	verdicts map[uint64]*verdict
	// crashes are not acknowledged by a judge yet, and unreported is set while one of them was not reported either; reportedAt is when
	// they were last, lastCrash the ID of the last one. answeredParts are not reported yet.
	crashes       []pendingCrash
	unreported    bool
	reportedAt    time.Duration
	lastCrash     uint64
	answeredParts []Answer
	// asking are the parts and requests about which a judge is about to ask.
	asking []uint64
	// cleared are the parts of which a judge has heard an answer since the last tick.
	cleared    []Answer
	repeatedAt time.Duration
	// tickedAt is the time of the last tick. askedChecksum is the last one that differed from this VM's, and askedAt when it was asked about.
	tickedAt      time.Duration
	askedChecksum uint64
	askedAt       time.Duration
	// startedAt is the time of the first tick, and learned is set once the verdicts of other VMs are known.
	startedAt, queriedAt time.Duration
	learned              bool
	effects              Effects
}

// Option configures a Core.
type Option func(*Core)

// WithJudge makes the core pass verdicts on the reports of all VMs; it is for control VMs.
func WithJudge() Option { return func(c *Core) { c.judge = true } }

// WithVerdicts gives the core the verdicts that were in force before its start.
func WithVerdicts(verdicts []Verdict) Option {
	return func(c *Core) {
		for _, v := range verdicts {
			c.adopt(0, v, nil)
		}
	}
}

// New returns the core of the VM with a name.
func New(name string, options ...Option) *Core {
	c := &Core{name: name, suspicions: map[uint64]*suspicion{}, requests: map[uint64]*requestSuspicion{}, verdicts: map[uint64]*verdict{}}
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
		trial.trialAt, trial.tried = now+trialTimeout, true
	}
	return 0, true
}

// Quarantined reports whether one of the parts or requests is in quarantine, without a trial.
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
	if len(crash.Parts) == 0 && crash.Request == 0 {
		return
	}
	// The IDs begin with the time, so that those after a restart differ from those before it.
	c.lastCrash = max(c.lastCrash+1, uint64(now))
	crash.ID = c.lastCrash
	c.crashes, c.unreported = append(c.crashes, pendingCrash{crash, now}), true
	c.suspect(now, crash, "")
}

// Answered records a complete answer to a request of this VM.
func (c *Core) Answered(now time.Duration, parts []uint64) {
	for _, part := range parts {
		c.answered.add(now, part)
		c.recordAnswer(now, part)
	}
}

// recordAnswer ends the suspicion or the verdict of a part or request that was answered, and reports it.
func (c *Core) recordAnswer(now time.Duration, part uint64) {
	if c.suspicionOf(part) != nil || c.inForce(now, part) != nil {
		c.clear(now, part)
		c.answeredParts = append(c.answeredParts, Answer{Part: part})
	}
}

// suspicionOf returns the suspicion of a part or request, or nil.
func (c *Core) suspicionOf(part uint64) *suspicion {
	if r := c.requests[part]; r != nil {
		return &r.suspicion
	}
	return c.suspicions[part]
}

// answeredAt returns when a part or request was last answered, as far as it is known.
func (c *Core) answeredAt(part uint64) (time.Duration, bool) {
	if at, ok := c.answeredRequests.last(part); ok {
		return at, true
	}
	return c.answered.last(part)
}

// Receive applies a report of another VM.
func (c *Core) Receive(now time.Duration, from string, r Report) {
	c.learned = c.learned || r.Reply
	if r.Query && (c.learned || len(c.verdicts) > 0) {
		c.effects.Outgoing = append(c.effects.Outgoing, Outgoing{To: Sender, Name: from, Report: Report{Reply: true, Verdicts: c.Verdicts(now)}})
	}
	for _, v := range r.Verdicts {
		// A judge passes on what it hears from a VM; others hear it from the judges.
		if c.adopt(now, v, nil) && c.judge {
			c.send(Everyone, Report{Verdicts: []Verdict{v}})
		}
		if known := c.verdicts[v.Part]; v.Request && known != nil && known.Trial == from && known.Generation == v.Generation {
			// The VM that may make the trial knows when the next one is due.
			known.trialAt = now + v.TrialIn
		}
	}
	for _, part := range r.Suspects {
		if at, ok := c.answeredAt(part); ok {
			c.answeredParts = append(c.answeredParts, Answer{Part: part, Age: now - at})
		}
	}
	for _, answer := range r.Answered {
		c.receiveAnswer(now, answer)
	}
	c.receiveClaims(now, from, r)
	c.compare(now, from, r.Checksum)
	c.acknowledged(r.Acknowledged)
	if !c.judge || len(r.Crashes) == 0 {
		return
	}
	last := uint64(0)
	for _, crash := range r.Crashes {
		c.suspect(now, crash, from)
		last = max(last, crash.ID)
	}
	c.effects.Outgoing = append(c.effects.Outgoing, Outgoing{To: Sender, Name: from, Report: Report{Acknowledged: last}})
}

// acknowledged forgets the crashes up to an ID, which a judge has received.
func (c *Core) acknowledged(id uint64) {
	c.crashes = slices.DeleteFunc(c.crashes, func(crash pendingCrash) bool { return crash.ID <= id })
}

// receiveAnswer applies an answer that another VM has seen: one after the first crash ends a suspicion, one after a verdict lifts it.
func (c *Core) receiveAnswer(now time.Duration, answer Answer) {
	at := now - answer.Age
	if s := c.suspicionOf(answer.Part); s != nil {
		if at < s.first {
			s.recordAnswer(at)
			return
		}
		if !c.judge {
			delete(c.suspicions, answer.Part)
			delete(c.requests, answer.Part)
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
	if c.tickedAt > 0 && now-c.tickedAt > maxTickInterval {
		// Messages of the time in which this VM stood still may have been dropped.
		c.learned, c.startedAt = false, now
	}
	c.tickedAt = now
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

// report sends the judges what this VM has seen since the last tick, and again the crashes that none of them has acknowledged.
func (c *Core) report(now time.Duration) {
	c.crashes = slices.DeleteFunc(c.crashes, func(crash pendingCrash) bool { return now-crash.at >= requestLifetime })
	due := c.unreported || len(c.crashes) > 0 && now-c.reportedAt >= checksumInterval
	if !due && len(c.answeredParts) == 0 {
		return
	}
	r := Report{Answered: c.answeredParts}
	if due {
		for _, crash := range c.crashes {
			crash.Age = now - crash.at
			r.Crashes = append(r.Crashes, crash.Crash)
		}
		c.unreported, c.reportedAt = false, now
	}
	c.answeredParts, c.crashes = nil, c.crashes[max(0, len(c.crashes)-maxUnacknowledged):]
	if c.judge {
		// A judge goes by its own crashes itself.
		c.crashes = nil
	}
	c.send(Judges, r)
}

// expire passes the verdicts that are due and drops what is outdated.
func (c *Core) expire(now time.Duration) {
	c.judgeSuspicions(now)
	c.judgeRequests(now)
	for part, s := range c.suspicions {
		if now-s.last >= suspicionLifetime {
			delete(c.suspicions, part)
		}
	}
	for request, s := range c.requests {
		if now-s.last >= requestLifetime {
			delete(c.requests, request)
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

// repeat tells everyone the checksum of a judge's verdicts, in case a message was lost or a VM was cut off. Other VMs repeat the verdicts
// that they passed by themselves.
func (c *Core) repeat(now time.Duration) {
	if c.judge {
		if len(c.verdicts) > 0 && now-c.repeatedAt >= checksumInterval {
			c.repeatedAt = now
			c.send(Everyone, Report{Checksum: c.checksum()})
		}
		return
	}
	var own []uint64
	for part, v := range c.verdicts {
		if v.own {
			own = append(own, part)
		}
	}
	if len(own) > 0 && now-c.repeatedAt >= repeatInterval {
		c.repeatedAt = now
		slices.Sort(own)
		c.send(Judges, Report{Verdicts: c.exportVerdicts(now, own)})
	}
}

// checksum returns the checksum of the verdicts that this VM knows, in any order.
func (c *Core) checksum() (sum uint64) {
	for part, v := range c.verdicts {
		var text [13]byte
		binary.LittleEndian.PutUint64(text[:], part)
		binary.LittleEndian.PutUint32(text[8:], v.Generation)
		if v.Lifted {
			text[12] = 1
		}
		sum += xxhash.Sum64(text[:])
	}
	return sum
}

// compare asks a judge for its verdicts if their checksum differs from that of this VM's.
func (c *Core) compare(now time.Duration, from string, checksum uint64) {
	if checksum == 0 || checksum == c.checksum() || checksum == c.askedChecksum && now-c.askedAt < checksumInterval {
		return
	}
	c.askedChecksum, c.askedAt = checksum, now
	c.effects.Outgoing = append(c.effects.Outgoing, Outgoing{To: Sender, Name: from, Report: Report{Query: true}})
}

// Verdicts returns all verdicts, in the order of their parts and requests.
func (c *Core) Verdicts(now time.Duration) []Verdict {
	return c.exportVerdicts(now, slices.Sorted(maps.Keys(c.verdicts)))
}

func (c *Core) exportVerdicts(now time.Duration, parts []uint64) []Verdict {
	verdicts := make([]Verdict, 0, len(parts))
	for _, part := range parts {
		verdicts = append(verdicts, c.verdicts[part].export(now))
	}
	return verdicts
}

func (c *Core) send(to Audience, r Report) {
	c.effects.Outgoing = append(c.effects.Outgoing, Outgoing{To: to, Report: r})
}
