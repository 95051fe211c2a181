package quarantine

import (
	"maps"
	"slices"
	"time"
)

// verdict is a Verdict with its times on this VM's clock.
type verdict struct {
	Verdict
	since, until, trialAt time.Duration
	// claimedAt is when this VM last asked for the trial, and grantedUntil the time until which it may make the trial of another one.
	claimedAt, grantedUntil time.Duration
	// trying is set from this VM's trial until its outcome, tried once a trial was made or left to another VM by this one.
	trying, tried bool
	// own is set on a verdict that this VM passed.
	own bool
	// endings are the last crashes under a request in quarantine.
	endings []ending
}

func (v *verdict) export(now time.Duration) Verdict {
	out := v.Verdict
	out.Remaining, out.TrialIn = v.until-now, max(0, v.trialAt-now)
	return out
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
	c.verdicts[part].own = true
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
// count, nor do those that several VMs report of one trial. The time of the next trial shows that there was none yet, except on the VM
// that has made the trial or given it away.
func (c *Core) failTrial(now time.Duration, v *verdict) {
	if !c.judge || now < v.trialAt && !v.tried {
		return
	}
	c.adopt(now, Verdict{Part: v.Part, Request: v.Request, Generation: v.Generation + 1, Remaining: verdictLifetime, Trial: v.Trial, TrialIn: trialDelay(v.Generation + 1)}, nil)
	c.send(Everyone, Report{Verdicts: []Verdict{c.verdicts[v.Part].export(now)}})
}

// clear ends a suspicion and lifts a verdict after an answer. A judge tells the VMs, which may suspect the part as well.
func (c *Core) clear(now time.Duration, part uint64) {
	if c.judge && c.suspicionOf(part) != nil {
		c.cleared = append(c.cleared, Answer{Part: part})
	}
	delete(c.suspicions, part)
	delete(c.requests, part)
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
	v := &verdict{Verdict: received, since: now, until: now + received.Remaining, trialAt: now + received.TrialIn}
	if known != nil && !received.Lifted {
		v.endings, v.own = known.endings, known.own
	}
	c.verdicts[received.Part] = v
	c.explain(received.Part)
	c.effects.Notices = append(c.effects.Notices, Notice{Verdict: received, Upstreams: upstreams})
	return true
}

// explain ends the suspicion of a part that is in quarantine now, and of those whose crashes it explains: a judge has compared them.
func (c *Core) explain(part uint64) {
	s := c.suspicions[part]
	delete(c.suspicions, part)
	c.explainRequests(part)
	if s == nil {
		return
	}
	for other, suspicion := range c.suspicions {
		if suspicion.explainedBy(s) {
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
