package quorum

import (
	"slices"
	"time"
)

// maxNonMembers limits the identities kept from Join messages.
const maxNonMembers = 16

// nonMember is an identity outside the group that announced itself.
type nonMember struct {
	id       Identity
	lastSeen time.Duration
}

// handleJoin records a non-member on the leader. Another member forwards the announcement once, since a VM that has just
// started may not know the leader's name; Offset is 1 in a forwarded message.
func (c *Core) handleJoin(m Message) {
	switch {
	case c.role == Leader:
		c.recordNonMember(m.From)
	case c.leader != (Identity{}) && c.leader != m.From && m.Offset == 0:
		c.effects.Send = append(c.effects.Send, Message{
			Kind: Join, Cluster: c.cluster, From: m.From, To: Identity{Name: c.leader.Name}, Term: c.term, Offset: 1,
		})
	}
}

// recordNonMember records an announced identity, which replaces other incarnations of its name.
func (c *Core) recordNonMember(id Identity) {
	c.nonMembers = slices.DeleteFunc(c.nonMembers, func(n nonMember) bool {
		return n.id.Name == id.Name || c.now-n.lastSeen > 4*c.electionTimeout
	})
	if len(c.nonMembers) < maxNonMembers {
		c.nonMembers = append(c.nonMembers, nonMember{id, c.now})
	}
}

// NonMembers returns the identities outside the group that announced themselves to this leader within four election timeouts.
func (c *Core) NonMembers() []Identity {
	var ids []Identity
	for _, n := range c.nonMembers {
		if _, known := findMember(c.members(), n.id); !known && c.now-n.lastSeen <= 4*c.electionTimeout {
			ids = append(ids, n.id)
		}
	}
	return ids
}

// isSilent reports whether a member has not answered this leader for the time set by WithRepairAfter.
func (c *Core) isSilent(id Identity) bool {
	p := c.progressOf(id)
	return p != nil && c.now-p.lastContact >= c.repairAfter
}

func (c *Core) isCaughtUp(id Identity) bool {
	p := c.progressOf(id)
	return p != nil && c.recentlyActive(p) && p.match >= c.commit
}

// repairMembers makes the next membership change of a repair, if one is due. The order of changes follows from the membership
// alone, so that a new leader continues where the old one stopped.
func (c *Core) repairMembers() {
	if c.checkChangeAllowed() != nil {
		return
	}
	for _, member := range c.members() {
		if member.Promote && c.isCaughtUp(member.Identity) && c.advanceLearner(member) {
			return
		}
	}
	for _, id := range c.NonMembers() {
		if c.readmit(id) || c.admit(id) {
			return
		}
	}
	c.removeSilentLearner()
}

// advanceLearner removes the lost incarnation that a caught-up learner replaces, and promotes the learner once the removal is
// committed. The removal commits under the smaller set of voters, so that every voter needed for its quorum has all entries
// that the lost incarnation had acknowledged.
func (c *Core) advanceLearner(learner Member) bool {
	for _, old := range c.members() {
		if old.Name != learner.Name || old.Learner {
			continue
		}
		rest := withoutMember(c.members(), old.Identity)
		if !c.isSilent(old.Identity) || !majority(rest, c.activeVoters(old.Identity)) {
			return false
		}
		c.changeMembers(rest, "repair: removed lost "+old.String())
		return true
	}
	if c.targetVoters > 0 && len(voters(c.members())) >= c.targetVoters {
		return c.removeSilentVoter()
	}
	members := append(withoutMember(c.members(), learner.Identity), Member{Identity: learner.Identity})
	c.changeMembers(members, "repair: promoted "+learner.String())
	return true
}

// removeSilentVoter removes a silent voter in favour of a caught-up learner of another name. The removal commits under the
// smaller set of voters, as for a lost incarnation.
func (c *Core) removeSilentVoter() bool {
	for _, old := range voters(c.members()) {
		rest := withoutMember(c.members(), old)
		if old != c.self && c.isSilent(old) && majority(rest, c.activeVoters(old)) {
			c.changeMembers(rest, "repair: removed silent "+old.String())
			return true
		}
	}
	return false
}

// maxSpareLearners limits the members beyond the target number of voters, which wait as learners to replace a voter.
const maxSpareLearners = 4

// admit adds a VM of a name unknown to the group as a learner, if WithTargetVoters permits new names.
func (c *Core) admit(id Identity) bool {
	if c.targetVoters == 0 || len(c.members()) >= c.targetVoters+maxSpareLearners {
		return false
	}
	for _, member := range c.members() {
		if member.Name == id.Name {
			return false
		}
	}
	added := Member{Identity: id, Learner: true, Promote: true}
	c.changeMembers(append(slices.Clone(c.members()), added), "repair: added learner "+id.String())
	return true
}

// learnerSilenceFactor is the multiple of the WithRepairAfter time after which a silent learner is removed; it announces itself
// when it is back.
const learnerSilenceFactor = 4

// removeSilentLearner removes a learner that is gone, so that replaced VMs do not accumulate.
func (c *Core) removeSilentLearner() {
	if c.targetVoters == 0 {
		return
	}
	for _, member := range c.members() {
		p := c.progressOf(member.Identity)
		if member.Learner && p != nil && c.now-p.lastContact >= learnerSilenceFactor*c.repairAfter {
			c.changeMembers(withoutMember(c.members(), member.Identity), "repair: dropped silent learner "+member.String())
			return
		}
	}
}

// readmit adds a new incarnation of a silent member as a learner. A silent learner of the same name is removed in the same
// change, because learners are in no quorum.
func (c *Core) readmit(id Identity) bool {
	var lost *Member
	for _, member := range c.members() {
		if member.Name == id.Name && (lost == nil || member.Learner) {
			lost = &member
		}
	}
	if lost == nil || !c.isSilent(lost.Identity) {
		return false
	}
	added := Member{Identity: id, Learner: true, Promote: lost.Promote || !lost.Learner}
	members := c.members()
	if lost.Learner {
		members = withoutMember(members, lost.Identity)
	}
	c.changeMembers(append(slices.Clone(members), added), "repair: added learner "+id.String()+" for lost "+lost.String())
	return true
}
