package quorum

import (
	"slices"
	"time"
)

// maxStrangers bounds the identities kept from Join messages.
const maxStrangers = 16

// stranger is an identity outside the group that announced itself.
type stranger struct {
	id   Identity
	seen time.Duration
}

// hearJoin notes a stranger on the leader; another member passes the announcement on, once, since a VM that has just
// started may not know the leader's name. Offset counts the forwarding.
func (c *Core) hearJoin(m Message) {
	switch {
	case c.role == Leader:
		c.meet(m.From)
	case c.leader != (Identity{}) && c.leader != m.From && m.Offset == 0:
		c.out.Send = append(c.out.Send, Message{
			Kind: Join, Cluster: c.cluster, From: m.From, To: Identity{Name: c.leader.Name}, Term: c.term, Offset: 1,
		})
	}
}

// meet notes a stranger; the newest incarnation of a name replaces older ones.
func (c *Core) meet(id Identity) {
	c.strangers = slices.DeleteFunc(c.strangers, func(s stranger) bool {
		return s.id.Name == id.Name || c.now-s.seen > 4*c.election
	})
	if len(c.strangers) < maxStrangers {
		c.strangers = append(c.strangers, stranger{id, c.now})
	}
}

// Joining returns the identities outside the group that announced themselves to this leader lately.
func (c *Core) Joining() []Identity {
	var ids []Identity
	for _, s := range c.strangers {
		if _, known := find(c.members(), s.id); !known && c.now-s.seen <= 4*c.election {
			ids = append(ids, s.id)
		}
	}
	return ids
}

func (c *Core) silent(id Identity) bool {
	p := c.progressOf(id)
	return p != nil && c.now-p.contact >= c.repair
}

func (c *Core) caughtUp(id Identity) bool {
	p := c.progressOf(id)
	return p != nil && c.fresh(p) && p.match >= c.commit
}

// repairMembers makes the next step of a repair, if one is due. The steps follow from the membership
// alone, so that a new leader goes on where the old one stopped.
func (c *Core) repairMembers() {
	if c.changeable() != nil {
		return
	}
	for _, member := range c.members() {
		if member.Promote && c.caughtUp(member.Identity) && c.settle(member) {
			return
		}
	}
	for _, id := range c.Joining() {
		if c.readmit(id) || c.admit(id) {
			return
		}
	}
	c.dropLearner()
}

// settle removes the lost incarnation that a caught-up learner replaces, and promotes the learner
// after that is committed. The removal commits under the smaller set of voters, so that every
// voter needed for its quorum holds all entries that the lost incarnation had acknowledged.
func (c *Core) settle(learner Member) bool {
	for _, old := range c.members() {
		if old.Name != learner.Name || old.Learner {
			continue
		}
		rest := without(c.members(), old.Identity)
		if !c.silent(old.Identity) || !majority(rest, c.inContact(old.Identity)) {
			return false
		}
		c.change(rest, "repair: removed lost "+old.String())
		return true
	}
	if c.voters > 0 && len(voters(c.members())) >= c.voters {
		return c.removeSilent()
	}
	members := append(without(c.members(), learner.Identity), Member{Identity: learner.Identity})
	c.change(members, "repair: promoted "+learner.String())
	return true
}

// removeSilent removes a voter that was silent for the repair time, for a caught-up learner of another name. It commits under
// the smaller set, as for a lost incarnation.
func (c *Core) removeSilent() bool {
	for _, old := range voters(c.members()) {
		rest := without(c.members(), old)
		if old != c.self && c.silent(old) && majority(rest, c.inContact(old)) {
			c.change(rest, "repair: removed silent "+old.String())
			return true
		}
	}
	return false
}

// spareLearners bounds the learners that wait to become voters.
const spareLearners = 4

// admit adds a VM of a name that the group does not know as a learner, if the group admits any.
func (c *Core) admit(id Identity) bool {
	if c.voters == 0 || len(c.members()) >= c.voters+spareLearners {
		return false
	}
	for _, member := range c.members() {
		if member.Name == id.Name {
			return false
		}
	}
	added := Member{Identity: id, Learner: true, Promote: true}
	c.change(append(slices.Clone(c.members()), added), "repair: added learner "+id.String())
	return true
}

// learnerSilence is for how many repair times a learner must be silent before it is dropped; it announces itself when it is back.
const learnerSilence = 4

// dropLearner removes a learner that is gone, so that VMs that were replaced don't add up.
func (c *Core) dropLearner() {
	if c.voters == 0 {
		return
	}
	for _, member := range c.members() {
		p := c.progressOf(member.Identity)
		if member.Learner && p != nil && c.now-p.contact >= learnerSilence*c.repair {
			c.change(without(c.members(), member.Identity), "repair: dropped silent learner "+member.String())
			return
		}
	}
}

// readmit adds a new incarnation of a silent member as a learner. A silent learner of the same name
// is replaced at once, because learners are in no quorum.
func (c *Core) readmit(id Identity) bool {
	var lost *Member
	for _, member := range c.members() {
		if member.Name == id.Name && (lost == nil || member.Learner) {
			lost = &member
		}
	}
	if lost == nil || !c.silent(lost.Identity) {
		return false
	}
	added := Member{Identity: id, Learner: true, Promote: lost.Promote || !lost.Learner}
	members := c.members()
	if lost.Learner {
		members = without(members, lost.Identity)
	}
	c.change(append(slices.Clone(members), added), "repair: added learner "+id.String()+" for lost "+lost.String())
	return true
}
