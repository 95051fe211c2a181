package quarantine

import (
	"slices"
	"time"
)

const (
	// maxRequests bounds the requests under suspicion, and maxEndings the crashes that are kept of each.
	maxRequests = 4096
	maxEndings  = 16
	// claimInterval is the least time between two claims to one trial, and grantLifetime the time in which a granted trial is made.
	claimInterval = 200 * time.Millisecond
	grantLifetime = time.Second
)

// requestSuspicion is a request under which upstreams have ended since it was last answered.
type requestSuspicion struct {
	suspicion
	// inTurn is the number of crashes at which the request was sent after the crash before, or which came well after it: those of one
	// moment may have a common cause elsewhere.
	inTurn int
}

// bystander reports whether another request is the more likely cause of this one's crashes: it was there each time and at further ones,
// or at most of them and was answered longer ago.
func (s *requestSuspicion) bystander(other *requestSuspicion) bool {
	shared := sharedEndings(s.endings, other.endings)
	if shared == len(s.endings) && len(other.endings) > shared {
		return true
	}
	return other.crashes >= judgeCrashes-1 && 2*shared > len(s.endings) && s.known && (!other.known || other.answeredAt < s.answeredAt)
}

// bystanderOf reports whether a request in quarantine is the more likely cause of this one's crashes.
func (s *requestSuspicion) bystanderOf(v *verdict) bool {
	shared := sharedEndings(s.endings, v.endings)
	return shared == len(s.endings) || s.known && 2*shared > len(s.endings)
}

// suspectRequest records a crash under a request.
func (c *Core) suspectRequest(now time.Duration, request uint64, e ending) {
	if request == 0 {
		return
	}
	s := c.requests[request]
	if s == nil {
		c.makeRoom()
		s = &requestSuspicion{suspicion: suspicion{first: e.at, last: e.at - minCrashInterval}}
		c.requests[request] = s
	}
	if hasEnding(s.endings, e) || reported(s.endings, e) {
		return
	}
	if e.at-s.last >= minCrashInterval || e.sent > s.last {
		s.inTurn++
	}
	s.record(e)
	s.first, s.last, s.reporter = min(s.first, e.at), max(s.last, e.at), e.reporter
	c.consider(now, request, &s.suspicion)
}

// explainedByRequest reports whether one request was there at so many of a part's crashes that too few are left for the part.
func (c *Core) explainedByRequest(s *suspicion) bool {
	covered := 0
	for _, r := range c.requests {
		covered = max(covered, sharedEndings(s.endings, r.endings))
	}
	for _, v := range c.verdicts {
		covered = max(covered, sharedEndings(s.endings, v.endings))
	}
	return covered > 1 && len(s.endings)-covered < judgeCrashes
}

// makeRoom drops the request with the fewest crashes, of these the one whose last crash is longest ago, if there are too many.
func (c *Core) makeRoom() {
	if len(c.requests) < maxRequests {
		return
	}
	var drop uint64
	var least *requestSuspicion
	for request, s := range c.requests {
		if least == nil || s.crashes < least.crashes || s.crashes == least.crashes && (s.last < least.last || s.last == least.last && request < drop) {
			drop, least = request, s
		}
	}
	delete(c.requests, drop)
}

// judgeRequests puts the requests in quarantine that are due. A bystander comes up again with its next crash.
func (c *Core) judgeRequests(now time.Duration) {
	var due, condemned []uint64
	for request, s := range c.requests {
		if s.due > 0 && now >= s.due {
			due = append(due, request)
		}
	}
	slices.Sort(due)
	for _, request := range due {
		s := c.requests[request]
		s.due = 0
		excused := false
		for other, o := range c.requests {
			excused = excused || other != request && s.bystander(o)
		}
		for _, v := range c.verdicts {
			excused = excused || s.bystanderOf(v)
		}
		if !excused {
			condemned = append(condemned, request)
		}
	}
	// A verdict ends the suspicion of its request.
	endings := map[uint64][]ending{}
	for _, request := range condemned {
		endings[request] = c.requests[request].endings
	}
	for _, request := range condemned {
		s := c.requests[request]
		if s == nil {
			continue
		}
		tied := slices.ContainsFunc(condemned, func(other uint64) bool {
			return other != request && sharedEndings(s.endings, endings[other]) > 0
		})
		c.condemnRequest(now, request, s, tied || s.inTurn < judgeCrashes)
	}
}

// condemnRequest puts a request in quarantine; doubtful reports that the crashes may have another cause, so that it is tried at once.
func (c *Core) condemnRequest(now time.Duration, request uint64, s *requestSuspicion, doubtful bool) {
	// The trial is left to a judge, which all VMs have sessions with: each may ask it for the trial.
	v := Verdict{Part: request, Request: true, Generation: 1, Remaining: verdictLifetime, Trial: c.name}
	if old := c.verdicts[request]; old != nil {
		v.Generation = old.Generation + 1
	}
	if !doubtful {
		v.TrialIn = trialDelay(v.Generation)
	}
	var upstreams []string
	for _, e := range s.endings {
		upstreams = append(upstreams, e.upstream)
	}
	c.adopt(now, v, upstreams)
	c.verdicts[request].own = true
	c.send(c.audience(), Report{Verdicts: []Verdict{c.verdicts[request].export(now)}})
}

// explainRequests ends the suspicion of a request that is in quarantine now, and of those that were in progress at its crashes only.
func (c *Core) explainRequests(request uint64) {
	s := c.requests[request]
	delete(c.requests, request)
	if s == nil {
		return
	}
	c.verdicts[request].endings = s.endings
	for other, o := range c.requests {
		if len(o.endings) < len(s.endings) && sharedEndings(o.endings, s.endings) == len(o.endings) {
			delete(c.requests, other)
		}
	}
}

// Admission says whether a request may be sent now.
type Admission struct {
	Admitted bool
	// Wait is the time after which the request may be tried again, if it is not admitted.
	Wait time.Duration
	// Claimed reports that the VM which may try the request was asked to leave the trial to this one.
	Claimed bool
}

// AdmitRequest decides whether a request may be sent. A request that is admitted on trial counts as the trial of its verdict.
func (c *Core) AdmitRequest(now time.Duration, request uint64) Admission {
	v := c.inForce(now, request)
	if v != nil {
		c.postponeTrial(now, v)
	}
	switch {
	case v == nil:
		return Admission{Admitted: true}
	case now < v.trialAt && now >= v.grantedUntil:
		return Admission{Wait: v.trialAt - now}
	case v.Trial == c.name || now < v.grantedUntil:
		v.grantedUntil, v.trialAt, v.trying, v.tried = 0, now+trialTimeout, true, true
		return Admission{Admitted: true}
	case v.claimedAt == 0 || now-v.claimedAt >= claimInterval:
		v.claimedAt = now
		c.effects.Outgoing = append(c.effects.Outgoing, Outgoing{To: Sender, Name: v.Trial, Report: Report{Claims: []uint64{request}}})
	}
	return Admission{Wait: claimInterval, Claimed: true}
}

// postponeTrial puts off the trial of a request that this VM may try while another one is on trial which was there at the same crashes: if
// they met at one upstream, the end of it would count against both.
func (c *Core) postponeTrial(now time.Duration, v *verdict) {
	if v.Trial != c.name || now < v.trialAt {
		return
	}
	for _, other := range c.verdicts {
		if other != v && other.tried && now < other.trialAt-trialTimeout+tiedTrial && sharedEndings(v.endings, other.endings) > 0 {
			v.trialAt = now + tiedTrial
			return
		}
	}
}

// UnsentRequest records that a request of this VM was not run after all, so that its trial is still to be made.
func (c *Core) UnsentRequest(now time.Duration, request uint64) {
	v := c.inForce(now, request)
	if v == nil || !v.trying {
		return
	}
	v.trying = false
	if v.Trial == c.name {
		v.trialAt = now
	} else {
		v.grantedUntil = now + grantLifetime
	}
}

// AnsweredRequest records a complete answer to a request of this VM.
func (c *Core) AnsweredRequest(now time.Duration, request uint64) {
	if request != 0 {
		c.answeredRequests.add(now, request)
		c.recordAnswer(now, request)
	}
}

// receiveClaims lets another VM make the trials that this one may make, and takes over those that it was granted.
func (c *Core) receiveClaims(now time.Duration, from string, r Report) {
	for _, request := range r.Claims {
		v := c.inForce(now, request)
		if v == nil || v.Trial != c.name {
			continue
		}
		reply := Report{}
		if c.postponeTrial(now, v); now >= v.trialAt {
			v.trialAt, v.tried = now+trialTimeout, true
			reply.Grants = []uint64{request}
		} else {
			reply.Verdicts = []Verdict{v.export(now)}
		}
		c.effects.Outgoing = append(c.effects.Outgoing, Outgoing{To: Sender, Name: from, Report: reply})
	}
	for _, request := range r.Grants {
		if v := c.inForce(now, request); v != nil {
			v.grantedUntil = now + grantLifetime
		}
	}
}
