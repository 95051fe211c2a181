package quarantine

import (
	"slices"
	"time"
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
	// endings are the last crashes that count.
	endings []ending
}

// ending is the end of an upstream's process under a request of the VM that reported it, empty for this one.
type ending struct {
	upstream, reporter string
	// id is the crash's ID at its reporter, by which a report that is repeated is known however late it comes.
	id uint64
	// sent is when the request was sent, at when the upstream ended.
	sent, at time.Duration
}

// same reports whether two requests were in progress at one end. The times that one VM reports are exact to each other.
func (e ending) same(other ending) bool {
	return e.upstream == other.upstream && (e.at-other.at).Abs() < restartTime &&
		(e.reporter != other.reporter || e.sent <= other.at && other.sent <= e.at)
}

// record adds a crash.
func (s *suspicion) record(e ending) {
	s.endings = appendEnding(s.endings, e)
	s.crashes++
}

// appendEnding adds a crash to the last ones.
func appendEnding(list []ending, e ending) []ending {
	return append(list[max(0, len(list)-maxEndings+1):], e)
}

// sharedEndings returns how many crashes of one list are in another one too.
func sharedEndings(list, other []ending) (count int) {
	for _, e := range list {
		if hasEnding(other, e) {
			count++
		}
	}
	return count
}

// hasEnding reports whether an upstream's end is in a list.
func hasEnding(list []ending, e ending) bool {
	return slices.ContainsFunc(list, e.same)
}

// reported reports whether a crash is in a list because it was reported before.
func reported(list []ending, e ending) bool {
	return e.id > 0 && slices.ContainsFunc(list, func(other ending) bool { return e.id == other.id && e.reporter == other.reporter })
}

// recordAnswer records an answer from before the first crash.
func (s *suspicion) recordAnswer(at time.Duration) {
	if !s.known || at > s.answeredAt {
		s.answeredAt, s.known = at, true
	}
}

// lessLikely reports whether a part is a less likely cause of its crashes than another one, which was answered longer ago.
func (s *suspicion) lessLikely(other *suspicion) bool {
	return other.crashes >= judgeCrashes-1 && s.explainedBy(other) && s.known && (!other.known || other.answeredAt < s.answeredAt)
}

// explainedBy reports whether most of the engines that ended under a part ended under another one as well.
func (s *suspicion) explainedBy(other *suspicion) bool {
	shared := 0
	for upstream := range s.crashedAt {
		if _, ok := other.crashedAt[upstream]; ok {
			shared++
		}
	}
	return 2*shared > len(s.crashedAt)
}

// suspect records a crash; it counts once for each engine and part. A part in quarantine explains the crash, so that the others don't
// come under suspicion.
func (c *Core) suspect(now time.Duration, crash Crash, reporter string) {
	at := now - crash.Age
	e := ending{upstream: crash.Upstream, reporter: reporter, id: crash.ID, sent: at - crash.Running, at: at}
	if v := c.inForce(now, crash.Request); v != nil {
		if reported(v.endings, e) {
			return
		}
		v.trying = false
		v.endings = appendEnding(v.endings, e)
		// Requests that were sent before the verdict are no trial of it.
		if at-crash.Running >= v.since {
			c.failTrial(now, v)
		}
		return
	}
	for _, part := range crash.Parts {
		if v := c.inForce(now, part); v != nil {
			c.failTrial(now, v)
			return
		}
	}
	c.suspectRequest(now, crash.Request, e)
	for _, part := range crash.Parts {
		s := c.suspicions[part]
		if s == nil {
			if len(c.suspicions) >= maxSuspicions {
				continue
			}
			s = &suspicion{first: at, last: at - minCrashInterval, crashedAt: map[string]time.Duration{}}
			c.suspicions[part] = s
		}
		if hasEnding(s.endings, e) || reported(s.endings, e) {
			continue
		}
		if at-s.last < minCrashInterval && at-crash.Running <= s.last {
			continue
		}
		s.crashedAt[crash.Upstream] = at
		s.last, s.reporter = at, reporter
		s.record(e)
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
	if at, ok := c.answeredAt(part); ok && s.due > 0 {
		s.recordAnswer(at)
	}
}

// judgeSuspicions puts the parts in quarantine that are due. One that is a less likely cause than another comes up again with the next
// crash under it.
func (c *Core) judgeSuspicions(now time.Duration) {
	due := map[uint64]*suspicion{}
	for part, s := range c.suspicions {
		if s.due > 0 && now >= s.due {
			due[part] = s
		}
	}
	var condemned []uint64
	for part, s := range due {
		// A request is the narrower cause of the crashes at which it was there: the part comes up again with the next one.
		explained := c.explainedByRequest(s)
		for _, other := range c.suspicions {
			explained = explained || s.lessLikely(other)
		}
		if !explained {
			condemned = append(condemned, part)
		}
	}
	for _, s := range due {
		s.due = 0
	}
	slices.Sort(condemned)
	for _, part := range condemned {
		// Each of them was judged beside the others, so that none explains another one.
		c.condemn(now, part, due[part], len(condemned) > 1)
	}
}
