package quorum

import (
	"slices"
	"time"
)

// leaderAlive reports whether a leader was heard within the least election timeout; then no vote is
// given, so that a member that lost contact does not disturb the others.
func (c *Core) leaderAlive() bool {
	return c.role == Leader || c.heard && c.leader != Identity{} && c.now-c.contact < c.election
}

func (c *Core) upToDate(m Message) bool {
	last, term := c.Last()
	return m.LogTerm > term || m.LogTerm == term && m.Index >= last
}

func (c *Core) newerThanOwn(m Message) bool {
	last, term := c.Last()
	return m.LogTerm > term || m.LogTerm == term && m.Index > last
}

// askPreVotes asks the voters whether they would elect this core; no term is raised, so that
// a cut-off member does not end a working leadership when it returns.
func (c *Core) askPreVotes() {
	c.role, c.leader, c.votes = PreCandidate, Identity{}, []Identity{c.self}
	// The question raises no term, so that it may be repeated soon: after a herd restart the first one finds no connection.
	c.deadline = c.now + c.soon()
	if majority(c.members(), 1) {
		c.campaign(false)
		return
	}
	last, term := c.Last()
	c.sendVoters(Message{Kind: PreVote, Term: c.term + 1, Index: last, LogTerm: term})
}

// soon is the wait before votes are asked for once more by a core that has no leader to wait for.
func (c *Core) soon() time.Duration {
	return c.election/4 + time.Duration(c.random.Int64N(int64(c.election)/2))
}

func (c *Core) campaign(transfer bool) {
	c.setTerm(c.term+1, c.self)
	c.role, c.leader, c.votes = Candidate, Identity{}, []Identity{c.self}
	c.deadline = c.now + c.soon()
	if majority(c.members(), 1) {
		c.lead()
		return
	}
	last, term := c.Last()
	c.sendVoters(Message{Kind: Vote, Index: last, LogTerm: term, Transfer: transfer})
}

func (c *Core) sendVoters(m Message) {
	for _, id := range voters(c.members()) {
		if id != c.self {
			c.send(id, m)
		}
	}
}

func (c *Core) answerPreVote(m Message) {
	if m.Term > c.term && !c.leaderAlive() && c.upToDate(m) {
		if c.role == PreCandidate && m.From.Name < c.self.Name {
			// Of two that ask at once one steps back, or each would vote for itself.
			c.role, c.votes = Follower, nil
			c.deadline = c.now + c.soon()
		}
		c.send(m.From, Message{Kind: PreVoteReply, Term: m.Term})
		return
	}
	c.send(m.From, Message{Kind: PreVoteReply, Reject: true})
}

// answerVote also votes for a candidate when this core believes itself a learner: it may not know
// yet that it was promoted, and the candidate counts the vote only of a voter.
func (c *Core) answerVote(m Message) {
	free := c.vote == Identity{} || c.vote == m.From
	if c.role == Leader || !free || c.leader != (Identity{}) || !c.upToDate(m) {
		c.send(m.From, Message{Kind: VoteReply, Reject: true})
		return
	}
	c.setTerm(c.term, m.From)
	c.resetDeadline()
	c.send(m.From, Message{Kind: VoteReply})
}

func (c *Core) countVote(m Message) {
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
	c.lead()
}
