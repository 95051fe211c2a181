package quorum

import (
	"slices"
	"time"
)

// leaderAlive reports whether there was contact with a leader within the minimum election timeout. No vote is granted then, so
// that a member that lost contact does not disturb the others.
func (c *Core) leaderAlive() bool {
	return c.role == Leader || c.hasLeaderContact && c.leader != Identity{} && c.now-c.leaderContact < c.electionTimeout
}

// senderUpToDate reports whether the sender's log is at least as up to date as the own log.
func (c *Core) senderUpToDate(m Message) bool {
	last, term := c.LastEntry()
	return m.LogTerm > term || m.LogTerm == term && m.Index >= last
}

// senderNewer reports whether the sender's log is more up to date than the own log.
func (c *Core) senderNewer(m Message) bool {
	last, term := c.LastEntry()
	return m.LogTerm > term || m.LogTerm == term && m.Index > last
}

// startPreVote asks the voters whether they would vote for this core. It raises no term, so that a member that was cut off does
// not depose a working leader when it returns.
func (c *Core) startPreVote() {
	c.role, c.leader, c.votes = PreCandidate, Identity{}, []Identity{c.self}
	// A pre-vote raises no term, so it can be repeated early: after a restart of all VMs the first one finds no connection.
	c.deadline = c.now + c.electionRetryDelay()
	if majority(c.members(), 1) {
		c.campaign(false)
		return
	}
	last, term := c.LastEntry()
	c.sendToVoters(Message{Kind: PreVote, Term: c.term + 1, Index: last, LogTerm: term})
}

// electionRetryDelay returns the randomised delay before a core without a leader asks for votes again.
func (c *Core) electionRetryDelay() time.Duration {
	return c.electionTimeout/4 + time.Duration(c.random.Int64N(int64(c.electionTimeout)/2))
}

func (c *Core) campaign(transfer bool) {
	c.setTerm(c.term+1, c.self)
	c.role, c.leader, c.votes = Candidate, Identity{}, []Identity{c.self}
	c.deadline = c.now + c.electionRetryDelay()
	if majority(c.members(), 1) {
		c.becomeLeader()
		return
	}
	last, term := c.LastEntry()
	c.sendToVoters(Message{Kind: Vote, Index: last, LogTerm: term, Transfer: transfer})
}

func (c *Core) sendToVoters(m Message) {
	for _, id := range voters(c.members()) {
		if id != c.self {
			c.send(id, m)
		}
	}
}

func (c *Core) handlePreVote(m Message) {
	if m.Term > c.term && !c.leaderAlive() && c.senderUpToDate(m) {
		if c.role == PreCandidate && m.From.Name < c.self.Name {
			// Of two concurrent pre-candidates the one with the greater name yields, which avoids a split vote.
			c.role, c.votes = Follower, nil
			c.deadline = c.now + c.electionRetryDelay()
		}
		c.send(m.From, Message{Kind: PreVoteReply, Term: m.Term})
		return
	}
	c.send(m.From, Message{Kind: PreVoteReply, Reject: true})
}

// handleVote also grants votes as a learner: this core may not know yet that it was promoted, and a candidate counts only the
// votes of voters.
func (c *Core) handleVote(m Message) {
	mayVote := c.vote == Identity{} || c.vote == m.From
	if c.role == Leader || !mayVote || c.leader != (Identity{}) || !c.senderUpToDate(m) {
		c.send(m.From, Message{Kind: VoteReply, Reject: true})
		return
	}
	c.setTerm(c.term, m.From)
	c.resetDeadline()
	c.send(m.From, Message{Kind: VoteReply})
}

func (c *Core) handleVoteReply(m Message) {
	wanted, term := Candidate, c.term
	if m.Kind == PreVoteReply {
		wanted, term = PreCandidate, c.term+1
	}
	if c.role != wanted || m.Reject || m.Term != term || !c.isVoter(m.From) || slices.Contains(c.votes, m.From) {
		return
	}
	c.votes = append(c.votes, m.From)
	if !majority(c.members(), len(c.votes)) {
		return
	}
	if wanted == PreCandidate {
		c.campaign(false)
		return
	}
	c.becomeLeader()
}
