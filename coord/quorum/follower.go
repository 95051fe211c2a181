package quorum

import (
	"fmt"
	"hash/crc32"
)

// incomingSnapshot is a partly received snapshot.
type incomingSnapshot struct {
	from     Identity
	index    uint64
	term     uint64
	total    uint64
	checksum uint32
	chainSum uint32
	data     []byte
}

func (i *incomingSnapshot) sameSnapshot(o incomingSnapshot) bool {
	return i.from == o.from && i.index == o.index && i.term == o.term && i.total == o.total && i.checksum == o.checksum && i.chainSum == o.chainSum
}

// handleLeaderMessage handles Append, Heartbeat and SnapshotChunk of the current term's leader.
func (c *Core) handleLeaderMessage(m Message) {
	if c.role == Leader || c.leader != (Identity{}) && c.leader != m.From {
		panic(fmt.Sprintf("quorum: term %d has two leaders, %s and %s: a voter's disk lost synced data; "+
			"remove the data folder of the affected VM so that it is readmitted", c.term, c.leader, m.From))
	}
	c.role, c.leader, c.votes = Follower, m.From, nil
	c.leaderContact, c.hasLeaderContact = c.now, true
	c.resetDeadline()
	switch m.Kind {
	case Append:
		c.handleAppend(m)
	case Heartbeat:
		c.handleHeartbeat(m)
	case SnapshotChunk:
		c.handleChunk(m)
	}
}

func (c *Core) handleHeartbeat(m Message) {
	if m.Commit > c.log.last() {
		panic(fmt.Sprintf("quorum: entries up to %d were acknowledged but the log ends at %d: the disk lost synced data; "+
			"remove the data folder so that the VM is readmitted", m.Commit, c.log.last()))
	}
	c.advanceCommit(m.Commit)
	c.verifyChainSum(m.Commit, m)
	if m.SentAt > 0 {
		c.send(m.From, Message{Kind: HeartbeatReply, SentAt: m.SentAt, Commit: c.commit})
	}
}

func (c *Core) handleAppend(m Message) {
	for i, sum := 0, m.ChainSum; i < len(m.Entries); i++ {
		// A corrupted message is dropped; the leader retransmits it.
		if entry := m.Entries[i]; entry.Index != m.Index+uint64(i)+1 || entry.ChainSum != entry.chainedSum(sum) {
			return
		}
		sum = m.Entries[i].ChainSum
	}
	reply := Message{Kind: AppendReply, SentAt: m.SentAt}
	last := c.log.last()
	if term, ok := c.log.term(m.Index); m.Index > last || ok && term != m.LogTerm {
		if m.Index <= c.commit {
			c.panicOnConflict(m.Index, m.From)
		}
		reply.Reject, reply.Index, reply.Commit = true, last, c.commit
		if m.Index <= last {
			// The committed prefix always matches, so one round trip finds the index to continue from.
			reply.Index = c.commit
		}
		c.send(m.From, reply)
		return
	}
	c.verifyChainSum(m.Index, m)
	for i, entry := range m.Entries {
		term, ok := c.log.term(entry.Index)
		if entry.Index <= c.log.base || ok && term == entry.Term {
			continue
		}
		if entry.Index <= c.commit {
			c.panicOnConflict(entry.Index, m.From)
		}
		c.appendEntries(m.Entries[i:]...)
		break
	}
	end := m.Index + uint64(len(m.Entries))
	if commit := min(m.Commit, end); commit > c.commit {
		c.advanceCommit(commit)
	}
	reply.Index, reply.Commit = max(end, c.commit), c.commit
	c.send(m.From, reply)
}

func (c *Core) panicOnConflict(index uint64, by Identity) {
	panic(fmt.Sprintf("quorum: leader %s of term %d contradicts the committed entry %d: a quorum of disks was lost; "+
		"found a new group from the member with the highest commit index", by, c.term, index))
}

// verifyChainSum panics if the log up to index differs from the leader's although index and term are the same.
func (c *Core) verifyChainSum(index uint64, m Message) {
	if own := c.log.chainSum(index); own != 0 && m.ChainSum != 0 && own != m.ChainSum {
		panic(fmt.Sprintf("quorum: the logs of %s and of leader %s differ at or before entry %d of the same term: a voter's disk lost "+
			"synced data; remove the data folder of the affected VM so that it is readmitted", c.self, m.From, index))
	}
}

func (c *Core) handleChunk(m Message) {
	if m.Index <= c.commit {
		if term, ok := c.log.term(m.Index); ok && term != m.LogTerm {
			c.panicOnConflict(m.Index, m.From)
		}
		c.send(m.From, Message{Kind: AppendReply, SentAt: m.SentAt, Index: c.commit, Commit: c.commit})
		return
	}
	if m.Total > c.maxSnapshotBytes {
		return
	}
	received := incomingSnapshot{from: m.From, index: m.Index, term: m.LogTerm, total: m.Total, checksum: m.Checksum, chainSum: m.ChainSum}
	in := &c.incomingSnapshot
	if !in.sameSnapshot(received) {
		*in = received
	}
	if m.Offset == uint64(len(in.data)) && m.Offset+uint64(len(m.Data)) <= in.total {
		in.data = append(in.data, m.Data...)
	}
	if uint64(len(in.data)) == in.total {
		data := in.data
		c.incomingSnapshot = incomingSnapshot{}
		if crc32.Checksum(data, castagnoli) == m.Checksum {
			c.installSnapshot(Snapshot{Index: m.Index, Term: m.LogTerm, Members: m.Members, ChainSum: m.ChainSum, Data: data})
			c.send(m.From, Message{Kind: AppendReply, SentAt: m.SentAt, Index: m.Index, Commit: c.commit})
			return
		}
	}
	c.send(m.From, Message{Kind: SnapshotChunkReply, SentAt: m.SentAt, Index: m.Index, Offset: uint64(len(c.incomingSnapshot.data)), Commit: c.commit})
}

// installSnapshot replaces the state machine and the log's prefix by the leader's snapshot. Entries after the snapshot are kept
// if the log contains an entry with the snapshot's index and term.
func (c *Core) installSnapshot(s Snapshot) {
	if s.Index <= c.applied {
		panic(fmt.Sprintf("quorum: snapshot at index %d is not newer than the applied entry %d", s.Index, c.applied))
	}
	if term, ok := c.log.term(s.Index); ok && term == s.Term {
		c.log.compact(s.Index)
	} else {
		c.log.reset(s)
	}
	c.lastSnapshot = s
	c.membershipHistory = []membership{{index: s.Index, members: s.Members}}
	if len(c.log.entries) > 0 {
		c.recordMemberships(c.log.entries)
	}
	c.advanceCommit(s.Index)
	c.effects.Restore = &s
	c.effects.Save.Snapshot = &s
}

// Compact records a snapshot of the host's state machine at an applied index and drops older entries from the journal.
// It ignores an index that is not newer than the last snapshot, and panics if the index is not applied.
func (c *Core) Compact(index uint64, data []byte) Effects {
	if index <= c.lastSnapshot.Index {
		return c.takeEffects()
	}
	term, ok := c.log.term(index)
	if !ok || index > c.applied {
		panic(fmt.Sprintf("quorum: no snapshot can be taken at index %d: entries up to %d are applied", index, c.applied))
	}
	c.lastSnapshot = Snapshot{Index: index, Term: term, Members: c.membersAt(index), ChainSum: c.log.chainSum(index), Data: data}
	membershipHistory := []membership{{index: index, members: c.lastSnapshot.Members}}
	for _, m := range c.membershipHistory {
		if m.index > index {
			membershipHistory = append(membershipHistory, m)
		}
	}
	c.membershipHistory = membershipHistory
	c.log.compact(max(c.log.base, c.compactionIndex(index)))
	s := c.lastSnapshot
	c.effects.Save.Snapshot = &s
	return c.takeEffects()
}

// compactionIndex returns the index up to which entries may be dropped from memory. Later ones are kept, so that a follower
// that is slightly behind or is receiving an older snapshot can continue with entries instead of a new snapshot.
func (c *Core) compactionIndex(index uint64) uint64 {
	keep := index - min(index, c.retainedEntries)
	for _, p := range c.followers {
		if p.snapshot != nil && index-min(index, p.snapshot.Index) < 4*c.compactAfter {
			keep = min(keep, p.snapshot.Index)
		}
	}
	return keep
}

// announce sends Join to all peers, for a core outside the group or without contact to a leader.
func (c *Core) announce() {
	c.deadline = c.now + c.electionTimeout
	for _, name := range c.peers {
		if name != c.self.Name {
			c.send(Identity{Name: name}, Message{Kind: Join})
		}
	}
}
