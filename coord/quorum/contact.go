package quorum

import (
	"slices"
	"time"
)

// QuorumContact returns the latest sending time that a quorum of voters has acknowledged to this leader, or 0 if it does not lead.
// No other leader was elected before that time, so a lease granted by this leader can be based on it.
func (c *Core) QuorumContact() time.Duration {
	if c.role != Leader {
		return 0
	}
	var contacts []time.Duration
	for _, id := range voters(c.members()) {
		if id == c.self {
			contacts = append(contacts, c.now)
		} else if p := c.progressOf(id); p != nil {
			contacts = append(contacts, p.lastContact)
		} else {
			contacts = append(contacts, 0)
		}
	}
	slices.Sort(contacts)
	return contacts[(len(contacts)-1)/2]
}
