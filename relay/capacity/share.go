package capacity

import (
	"math"
	"time"
)

// MaxReported bounds the entries of a report, maxReminders those without new observations.
const (
	MaxReported  = 32
	maxReminders = 2
)

// sumUnit is the unit of reported sums and factors: a 64th of a logarithm.
const sumUnit = 1.0 / 64

// Report is an entry of a report to other VMs: the observations of one server at one level since the last report.
type Report struct {
	// Server is a hash of the server and its group.
	Server uint32
	Level  int
	Count  int
	// Sum is the sum of the logarithms and Factor the logarithm of the factor in force, both in 64ths.
	Sum    int
	Factor int
}

// Report returns what this VM has observed since its last reports, at most MaxReported entries, the servers in turn. Servers with a
// verdict are reported without new observations too, a few at a time, so that VMs that have just started adopt it.
func (c *Core) Report() []Report {
	var list []Report
	reminders := 0
	for range c.names {
		if len(list)+overfull >= MaxReported {
			break
		}
		c.next %= len(c.names)
		s := c.servers[c.names[c.next]]
		c.next++
		before := len(list)
		list = s.report(list, reminders < maxReminders)
		if len(list) == before+1 && list[before].Count == 0 {
			reminders++
		}
	}
	return list
}

// report appends the entries of a server; remind allows one without an observation.
func (s *server) report(list []Report, remind bool) []Report {
	factor := 0
	if !s.adopted && len(s.closed) >= minWindows {
		factor = int(math.Round(s.logFactor / sumUnit))
	}
	before := len(list)
	for level := range s.pending {
		p := &s.pending[level]
		if p.count == 0 {
			continue
		}
		units := int(math.Round(p.total / sumUnit))
		list = append(list, Report{Server: s.hash, Level: level, Count: p.count, Sum: units, Factor: factor})
		*p = sum{}
	}
	if len(list) == before && factor != 0 && remind {
		list = append(list, Report{Server: s.hash, Factor: factor})
	}
	return list
}

// Receive adds another VM's report; entries of unknown servers and with values out of range are ignored.
func (c *Core) Receive(now time.Duration, reports []Report) {
	for _, r := range reports {
		s := c.byHash[r.Server]
		if s == nil || r.Level < 0 || r.Level > overfull || r.Count < 0 || r.Count > maxPending {
			continue
		}
		total, factor := float64(r.Sum)*sumUnit, float64(r.Factor)*sumUnit
		if math.Abs(total) > float64(r.Count)*2*math.Log(maxRatio) || math.Abs(factor) > math.Log(MaxFactor)+sumUnit {
			continue
		}
		if r.Count > 0 {
			s.add(now, r.Level, sum{r.Count, total})
		}
		if r.Factor != 0 && len(s.closed) < minWindows && (s.adopted || s.logFactor == 0) {
			s.logFactor, s.adopted, s.observedAt = factor, true, now
		}
	}
}
