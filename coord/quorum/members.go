package quorum

import (
	"cmp"
	"fmt"
	"slices"
	"time"
)

// membership is the member list in effect from a log index on.
type membership struct {
	index   uint64
	members []Member
}

func sortedMembers(members []Member) []Member {
	out := slices.Clone(members)
	slices.SortFunc(out, func(a, b Member) int {
		return cmp.Or(cmp.Compare(a.Name, b.Name), cmp.Compare(a.Incarnation, b.Incarnation))
	})
	return out
}

func findMember(members []Member, id Identity) (Member, bool) {
	for _, member := range members {
		if member.Identity == id {
			return member, true
		}
	}
	return Member{}, false
}

func voters(members []Member) []Identity {
	var out []Identity
	for _, member := range members {
		if !member.Learner {
			out = append(out, member.Identity)
		}
	}
	return out
}

func withoutMember(members []Member, id Identity) []Member {
	return slices.DeleteFunc(slices.Clone(members), func(m Member) bool { return m.Identity == id })
}

// majority reports whether count is more than half of the voters.
func majority(members []Member, count int) bool { return count > len(voters(members))/2 }

// votersChanged returns the number of voters that are in only one of the lists.
func votersChanged(a, b []Member) int {
	before, after, changed := voters(a), voters(b), 0
	for _, id := range before {
		if !slices.Contains(after, id) {
			changed++
		}
	}
	for _, id := range after {
		if !slices.Contains(before, id) {
			changed++
		}
	}
	return changed
}

// members returns the newest membership in the log, committed or not; it is in effect as soon as it is appended.
func (c *Core) members() []Member { return c.membershipHistory[len(c.membershipHistory)-1].members }

func (c *Core) changePending() bool {
	return c.membershipHistory[len(c.membershipHistory)-1].index > c.commit
}

func (c *Core) isVoter(id Identity) bool {
	member, ok := findMember(c.members(), id)
	return ok && !member.Learner
}

// recordMemberships replaces the memberships from the first entry's index on by those in entries.
func (c *Core) recordMemberships(entries []Entry) {
	from := entries[0].Index
	for len(c.membershipHistory) > 1 && c.membershipHistory[len(c.membershipHistory)-1].index >= from {
		c.membershipHistory = c.membershipHistory[:len(c.membershipHistory)-1]
	}
	for _, entry := range entries {
		if entry.Kind != MembershipChange {
			continue
		}
		if changed := votersChanged(c.members(), entry.Members); changed > 1 {
			panic(fmt.Sprintf("quorum: entry %d changes %d voters at once: quorums might not overlap", entry.Index, changed))
		}
		c.membershipHistory = append(c.membershipHistory, membership{index: entry.Index, members: entry.Members})
	}
}

// membersAt returns the membership in effect at index.
func (c *Core) membersAt(index uint64) []Member {
	found := c.membershipHistory[0].members
	for _, m := range c.membershipHistory {
		if m.index <= index {
			found = m.members
		}
	}
	return found
}

// Members returns the newest membership in the log, sorted by name and incarnation.
func (c *Core) Members() []Member { return slices.Clone(c.members()) }

// checkChangeAllowed returns why the membership can't be changed at present, or nil.
func (c *Core) checkChangeAllowed() error {
	switch term, _ := c.log.term(c.commit); {
	case c.role != Leader || c.transferee != Identity{}:
		return &NotLeader{Leader: c.leader}
	case term != c.term:
		// Otherwise two leaders could each commit a membership change that the other does not know.
		return &ChangeRefused{"the leader has not committed an entry of its own term yet", "retry shortly"}
	case c.changePending():
		return &ChangeRefused{"another membership change is in progress", "retry once it is committed"}
	}
	return nil
}

func (c *Core) changeMembers(members []Member, note string) {
	c.appendLeaderEntry(Entry{Kind: MembershipChange, Members: sortedMembers(members), Note: note})
	c.syncProgress()
	c.replicateAll()
}

// AddMember adds an identity as a learner; with promote, the leader makes it a voter once it has caught up.
func (c *Core) AddMember(now time.Duration, id Identity, promote bool) (Effects, error) {
	c.advanceClock(now)
	if err := c.checkChangeAllowed(); err != nil {
		return c.takeEffects(), err
	}
	for _, member := range c.members() {
		if member.Name == id.Name {
			return c.takeEffects(), &ChangeRefused{"the group already has the member " + member.String(), "remove it first"}
		}
	}
	member := Member{Identity: id, Learner: true, Promote: promote}
	c.changeMembers(append(slices.Clone(c.members()), member), "operator: added learner "+id.String())
	return c.takeAppendEffects(), nil
}

// RemoveMember removes an identity. It refuses to remove the leader itself, or a member without which no majority of voters is
// in contact with the leader.
func (c *Core) RemoveMember(now time.Duration, id Identity) (Effects, error) {
	c.advanceClock(now)
	if err := c.checkChangeAllowed(); err != nil {
		return c.takeEffects(), err
	}
	if _, ok := findMember(c.members(), id); !ok {
		return c.takeEffects(), &ChangeRefused{id.String() + " is not a member", "query the members and use a listed identity"}
	}
	if id == c.self {
		return c.takeEffects(), &ChangeRefused{"the leader does not remove itself", "transfer the leadership first"}
	}
	rest := withoutMember(c.members(), id)
	if !majority(rest, c.activeVoters(id)) {
		return c.takeEffects(), &ChangeRefused{"no majority of the remaining voters is in contact", "wait for their repair or restart them first"}
	}
	c.changeMembers(rest, "operator: removed "+id.String())
	return c.takeAppendEffects(), nil
}
