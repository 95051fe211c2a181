package routing

import "time"

// Silent reports that an upstream answers nothing, or that it answers again.
type Silent struct {
	Upstream string
	Silent   bool
}

func (m Silent) apply(c *Core, now time.Duration, effects *Effects) {
	u := c.byName[m.Upstream]
	if u == nil || u.silent == m.Silent {
		return
	}
	u.silent = m.Silent
	if !m.Silent {
		// The attempts that were given up at the silent upstream say nothing of one that answers.
		u.failures, u.ejectedUntil = 0, 0
	}
	c.dispatchQueue(now, effects)
}
