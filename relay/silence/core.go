package silence

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// TickInterval is the interval of Tick.
	TickInterval = 50 * time.Millisecond
	// AskTimeout is how long an upstream may take to answer a question: a round trip between regions takes less than a tenth of it.
	AskTimeout = 200 * time.Millisecond
	// minOverdue and overdueFactor bound the time of a request from which it is overdue; see Overdue.
	minOverdue    = 250 * time.Millisecond
	overdueFactor = 2
	// maxTickGap is the time between two ticks from which this process was stopped itself: what it has not read proves nothing.
	maxTickGap = 4 * TickInterval
	// firstAsk is the time from a verdict to the next question; it doubles with each one up to maxAsk.
	firstAsk = 400 * time.Millisecond
	maxAsk   = 3200 * time.Millisecond
	// reportedAsk is that time after a verdict by report, whose reporter asks meanwhile.
	reportedAsk = 2 * time.Second
	// contradictInterval is the least time between two messages that an upstream answers although others report it as silent.
	contradictInterval = 500 * time.Millisecond
	// never is the time of the last byte of an upstream that has sent none: before all evidence, also that from before this VM's start.
	never = -time.Duration(math.MaxInt64 / 4)
)

// Overdue returns the time from which a request is overdue whose first byte is expected after the given time.
func Overdue(expected time.Duration) time.Duration {
	return minOverdue + overdueFactor*max(0, expected)
}

// verdict says why an upstream counts as silent.
type verdict int

const (
	answers verdict = iota
	// own rests on evidence of this VM, reported on that of another.
	own
	reported
)

// waitingRequest is a request without a byte of its answer.
type waitingRequest struct {
	sent, limit time.Duration
	answers     bool
}

// upstream is the state of one upstream.
type upstream struct {
	waiting  map[uint64]waitingRequest
	lastByte time.Duration
	verdict  verdict
	// since is the beginning of the evidence for the verdict or the suspicion, cause its kind.
	since time.Duration
	cause string
	// asking reports a question without an answer yet; nextAsk is the time of the next one while the upstream is silent.
	asking      bool
	nextAsk     time.Duration
	askInterval time.Duration
	// askable reports that the upstream can be asked; otherwise nextAsk is the time from which a request may be sent on trial.
	askable       bool
	contradicted  time.Duration
	contradicting bool
}

// Core has the verdicts of one VM on its upstreams.
type Core struct {
	random    *rand.Rand
	upstreams map[string]*upstream
	lastTick  time.Duration
	// resumed is the time from which evidence counts.
	resumed time.Duration
}

// New returns a core without verdicts; random spreads the questions of several VMs.
func New(random *rand.Rand) *Core {
	return &Core{random: random, upstreams: map[string]*upstream{}}
}

// Step applies a message and returns its effects.
func (c *Core) Step(now time.Duration, message Message) Effects {
	var effects Effects
	message.apply(c, now, &effects)
	return effects
}

// Silent reports whether an upstream counts as silent.
func (c *Core) Silent(name string) bool {
	u := c.upstreams[name]
	return u != nil && u.verdict != answers
}

// Count returns the number of silent upstreams.
func (c *Core) Count() int {
	n := 0
	for _, u := range c.upstreams {
		if u.verdict != answers {
			n++
		}
	}
	return n
}

// Trial reports whether a request may be sent to a silent upstream that can't be asked, and counts it if so.
func (c *Core) Trial(now time.Duration, name string) bool {
	u := c.upstreams[name]
	if u == nil || u.verdict == answers || u.askable || now < u.nextAsk {
		return false
	}
	c.schedule(now, u)
	return true
}

// Due returns the upstreams whose last byte Tick needs to know, in order of their names.
func (c *Core) Due(now time.Duration) []string {
	var names []string
	for name, u := range c.upstreams {
		if u.verdict != answers || u.overdue(now, c.resumed) != nil {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

func (c *Core) upstream(name string) *upstream {
	u := c.upstreams[name]
	if u == nil {
		u = &upstream{waiting: map[uint64]waitingRequest{}, lastByte: never}
		c.upstreams[name] = u
	}
	return u
}

// overdue returns an overdue request, or nil. A request's time counts from the last byte of the upstream, which was busy until then.
func (u *upstream) overdue(now, resumed time.Duration) *waitingRequest {
	for _, r := range u.waiting {
		if now-max(r.sent, u.lastByte, resumed) >= r.limit {
			return &r
		}
	}
	return nil
}

// oldest returns when the oldest request without an answer was sent.
func (u *upstream) oldest(now time.Duration) time.Duration {
	for _, r := range u.waiting {
		now = min(now, r.sent)
	}
	return now
}

// schedule sets the time of the next question or trial.
func (c *Core) schedule(now time.Duration, u *upstream) {
	u.nextAsk = now + u.askInterval + time.Duration(c.random.Int64N(int64(u.askInterval)/4+1))
	u.askInterval = min(maxAsk, 2*u.askInterval)
}

// ask emits a question unless one is under way.
func (u *upstream) ask(name string, effects *Effects) {
	if !u.asking {
		u.asking = true
		effects.Ask = append(effects.Ask, name)
	}
}

// condemn passes a verdict from evidence of this VM.
func (c *Core) condemn(now time.Duration, name string, u *upstream, effects *Effects) {
	if u.verdict != answers {
		u.verdict = own
		effects.Unanswered = append(effects.Unanswered, name)
		return
	}
	u.verdict, u.askInterval = own, firstAsk
	c.schedule(now, u)
	effects.Changes = append(effects.Changes, Change{Upstream: name, Silent: true, Cause: u.cause, Lasted: now - u.since})
	effects.Reports = append(effects.Reports, Report{Upstream: name, Silent: true, Age: now - u.since})
}

// acquit ends a verdict.
func (u *upstream) acquit(now time.Duration, name, cause string, effects *Effects) {
	u.verdict = answers
	effects.Changes = append(effects.Changes, Change{Upstream: name, Cause: cause, Lasted: now - u.since})
}

func (m Sent) apply(c *Core, now time.Duration, _ *Effects) {
	u := c.upstream(m.Upstream)
	u.askable = m.Answers
	u.waiting[m.Request] = waitingRequest{sent: now, limit: m.Limit, answers: m.Answers}
}

func (m Ended) apply(c *Core, _ time.Duration, _ *Effects) {
	if u := c.upstreams[m.Upstream]; u != nil {
		delete(u.waiting, m.Request)
	}
}

func (m Received) apply(c *Core, now time.Duration, effects *Effects) {
	u := c.upstream(m.Upstream)
	u.lastByte = max(u.lastByte, now-max(0, m.Age))
	if u.lastByte <= u.since && u.cause != "" {
		return
	}
	u.asking, u.cause = false, ""
	if u.verdict != answers {
		u.acquit(now, m.Upstream, "byte", effects)
		effects.Reports = append(effects.Reports, Report{Upstream: m.Upstream})
	}
}

// suspect begins to ask an upstream, with the time since which it is silent.
func (c *Core) suspect(name string, u *upstream, since time.Duration, cause string, effects *Effects) {
	if u.verdict == answers && !u.asking {
		u.since, u.cause = max(since, c.resumed), cause
		u.ask(name, effects)
	}
}

func (m Overlong) apply(c *Core, now time.Duration, effects *Effects) {
	u := c.upstream(m.Upstream)
	u.askable = true
	if sent := now - m.Age; sent > u.lastByte && sent >= c.resumed {
		c.suspect(m.Upstream, u, sent, "poll", effects)
	}
}

func (m Unanswered) apply(c *Core, now time.Duration, effects *Effects) {
	u := c.upstream(m.Upstream)
	u.asking = false
	if asked := now - m.Age; asked <= u.lastByte || asked < c.resumed || u.cause == "" {
		return
	}
	c.condemn(now, m.Upstream, u, effects)
}

func (m Unasked) apply(c *Core, _ time.Duration, _ *Effects) {
	if u := c.upstreams[m.Upstream]; u != nil {
		u.asking = false
	}
}

func (m Report) apply(c *Core, now time.Duration, effects *Effects) {
	u := c.upstream(m.Upstream)
	u.askable = m.Answers
	switch {
	case m.Silent && u.lastByte > now-m.Age:
		if !u.contradicting || now-u.contradicted >= contradictInterval {
			u.contradicting, u.contradicted = true, now
			effects.Reports = append(effects.Reports, Report{Upstream: m.Upstream})
		}
	case m.Silent && u.verdict == answers:
		u.verdict, u.since, u.cause, u.askInterval = reported, now-m.Age, "report", firstAsk
		u.nextAsk = now + reportedAsk + time.Duration(c.random.Int64N(int64(reportedAsk)))
		effects.Changes = append(effects.Changes, Change{Upstream: m.Upstream, Silent: true, Cause: "report", Lasted: m.Age})
	case !m.Silent && u.verdict == reported:
		u.acquit(now, m.Upstream, "report", effects)
		u.cause = ""
	case !m.Silent && u.verdict == own:
		// Only the link from here may be cut, so that the own verdict stays until an own byte.
		u.nextAsk = now
		if u.askable {
			u.ask(m.Upstream, effects)
		}
	}
}

func (m Known) apply(c *Core, _ time.Duration, _ *Effects) {
	for name, u := range c.upstreams {
		if !m.Upstreams[name] && len(u.waiting) == 0 {
			delete(c.upstreams, name)
		}
	}
}

func (Tick) apply(c *Core, now time.Duration, effects *Effects) {
	if now-c.lastTick > maxTickGap {
		c.resumed = now
	}
	c.lastTick = now
	names := make([]string, 0, len(c.upstreams))
	for name := range c.upstreams {
		names = append(names, name)
	}
	// The order of the effects must not depend on that of a map.
	slices.Sort(names)
	for _, name := range names {
		c.check(now, name, c.upstreams[name], effects)
	}
}

// check judges one upstream at a tick.
func (c *Core) check(now time.Duration, name string, u *upstream, effects *Effects) {
	if u.verdict != answers {
		if u.askable && now >= u.nextAsk {
			c.schedule(now, u)
			u.ask(name, effects)
		}
		return
	}
	r := u.overdue(now, c.resumed)
	switch {
	case r == nil:
	case r.answers:
		c.suspect(name, u, max(u.oldest(now), u.lastByte), "request", effects)
	default:
		u.since, u.cause = max(u.oldest(now), u.lastByte, c.resumed), "request"
		c.condemn(now, name, u, effects)
	}
}
