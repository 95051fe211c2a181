package quorum

import (
	"slices"
	"time"
)

// QuorumContact returns the latest time at which this leader sent a message that a quorum of voters has answered, or 0 if this
// core does not lead. A voter that has not answered yet counts as in contact when this core became the leader. Once an entry of
// the leader's term is committed, no later leader was elected before the returned time, so that leases can count from it.
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
