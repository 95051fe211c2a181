package quorum

import (
	"fmt"
	"hash/crc32"
	"slices"
	"time"
)

// inflightAppend is an unacknowledged Append message with the entries in the index range (after, to].
type inflightAppend struct{ after, to uint64 }

// progress is the replication state of another member as known to the leader.
type progress struct {
	id    Identity
	match uint64
	next  uint64
	// probing limits replication to one message in flight until the index to continue from is known.
	probing  bool
	inflight []inflightAppend
	// snapshot is the snapshot being sent, or nil; snapshotOffset is the offset of the chunk sent last.
	snapshot         *Snapshot
	snapshotOffset   uint64
	snapshotChecksum uint32
	// lastContact is the leader's sending time of the newest message that the member answered.
	lastContact time.Duration
	// lastProgress is when entries or a chunk were last sent to the member, or entries last acknowledged by it.
	lastProgress time.Duration
}

func (c *Core) becomeLeader() {
	c.role, c.leader, c.votes = Leader, c.self, nil
	c.nextHeartbeat = c.now
	c.transferee = Identity{}
	c.appendLeaderEntry(Entry{Kind: Empty})
	c.syncProgress()
	c.replicateAll()
	c.sendHeartbeats()
}

// syncProgress adapts followers to the membership: one progress per other member, of which a new one counts as in contact now.
func (c *Core) syncProgress() {
	var followers []*progress
	for _, member := range c.members() {
		if member.Identity == c.self {
			continue
		}
		p := c.progressOf(member.Identity)
		if p == nil {
			p = &progress{id: member.Identity, next: c.log.last(), probing: true, lastContact: c.now}
		}
		followers = append(followers, p)
	}
	c.followers = followers
}

func (c *Core) progressOf(id Identity) *progress {
	for _, p := range c.followers {
		if p.id == id {
			return p
		}
	}
	return nil
}

func (c *Core) recentlyActive(p *progress) bool { return c.now-p.lastContact < c.electionTimeout }

// activeVoters counts the voters, without except, that answered within an election timeout; this core counts if it is a voter.
func (c *Core) activeVoters(except Identity) int {
	count := 0
	if c.isVoter(c.self) {
		count++
	}
	for _, p := range c.followers {
		if p.id != except && c.isVoter(p.id) && c.recentlyActive(p) {
			count++
		}
	}
	return count
}

func (c *Core) appendLeaderEntry(entry Entry) {
	entry.Index, entry.Term = c.log.last()+1, c.term
	entry.ChainSum = entry.chainedSum(c.log.chainSum(c.log.last()))
	c.appendEntries(entry)
	c.commitMajority()
}

// commitMajority commits the entries that a majority of voters have stored. An entry of an older term is committed only
// together with one of the current term: a majority alone does not keep a later leader from replacing it.
func (c *Core) commitMajority() {
	var matches []uint64
	for _, id := range voters(c.members()) {
		if id == c.self {
			matches = append(matches, c.log.last())
		} else if p := c.progressOf(id); p != nil {
			matches = append(matches, p.match)
		} else {
			matches = append(matches, 0)
		}
	}
	slices.Sort(matches)
	index := matches[(len(matches)-1)/2]
	if term, ok := c.log.term(index); !ok || term != c.term || index <= c.commit {
		return
	}
	c.advanceCommit(index)
	for _, p := range c.followers {
		if p.match >= index && len(p.inflight) == 0 {
			c.send(p.id, Message{Kind: Heartbeat, Commit: c.commit, ChainSum: c.log.chainSum(c.commit)})
		}
	}
}

func (c *Core) replicateAll() {
	for _, p := range c.followers {
		c.replicate(p)
	}
}

// replicate sends entries within the limit of messages in flight, or starts to send a snapshot. A follower without contact gets
// heartbeats only: retransmitting entries or chunks to a VM that is down would cost up to 128 KiB every 600 ms on links billed
// by volume.
func (c *Core) replicate(p *progress) {
	if !c.recentlyActive(p) {
		return
	}
	limit := c.maxInflight
	if p.probing {
		limit = 1
	}
	for p.snapshot == nil && len(p.inflight) < limit && p.next <= c.log.last() {
		after := p.next - 1
		term, ok := c.log.term(after)
		if !ok {
			s := c.lastSnapshot
			p.snapshot, p.snapshotOffset, p.snapshotChecksum, p.inflight = &s, 0, crc32.Checksum(s.Data, castagnoli), nil
			c.sendChunk(p)
			return
		}
		entries := c.log.batch(after, c.maxBatchBytes)
		p.next = after + uint64(len(entries)) + 1
		p.inflight = append(p.inflight, inflightAppend{after, p.next - 1})
		p.lastProgress = c.now
		c.send(p.id, Message{Kind: Append, Index: after, LogTerm: term, ChainSum: c.log.chainSum(after), Entries: entries, Commit: c.commit, SentAt: c.now})
	}
}

func (c *Core) sendChunk(p *progress) {
	s := p.snapshot
	total := uint64(len(s.Data))
	p.lastProgress = c.now
	c.send(p.id, Message{
		Kind: SnapshotChunk, Index: s.Index, LogTerm: s.Term, ChainSum: s.ChainSum, Members: s.Members, SentAt: c.now, Checksum: p.snapshotChecksum,
		Offset: p.snapshotOffset, Total: total, Data: s.Data[p.snapshotOffset:min(total, p.snapshotOffset+uint64(c.chunkBytes))],
	})
}

func (c *Core) sendHeartbeats() {
	c.nextHeartbeat = c.now + c.heartbeatInterval
	for _, p := range c.followers {
		commit := min(c.commit, p.match)
		c.send(p.id, Message{Kind: Heartbeat, Commit: commit, ChainSum: c.log.chainSum(commit), SentAt: c.now})
		if c.now-p.lastProgress <= 2*c.heartbeatInterval || !c.recentlyActive(p) {
			continue
		}
		// Nothing was acknowledged for two heartbeat intervals: the message or its reply is lost.
		if p.snapshot != nil {
			c.sendChunk(p)
		} else if len(p.inflight) > 0 {
			p.next, p.inflight, p.probing = p.inflight[0].after+1, nil, true
			c.replicate(p)
		}
	}
	if c.transferee != (Identity{}) {
		c.continueTransfer()
	}
}

func (c *Core) handleFollowerReply(m Message) {
	p := c.progressOf(m.From)
	if c.role != Leader || p == nil {
		return
	}
	if m.Commit > c.log.last() || m.Kind == AppendReply && !m.Reject && m.Index > c.log.last() {
		panic(fmt.Sprintf("quorum: %s has committed entry %d but the log of leader %s ends at %d: a quorum of disks was lost; "+
			"found a new group from the member with the highest commit index", m.From, max(m.Commit, m.Index), c.self, c.log.last()))
	}
	p.lastContact = max(p.lastContact, m.SentAt)
	switch {
	case m.Kind == SnapshotChunkReply:
		c.continueSnapshot(p, m)
	case m.Kind == AppendReply && m.Reject:
		p.next, p.inflight, p.probing = max(m.Index, p.match)+1, nil, true
	case m.Kind == AppendReply:
		c.recordAcknowledgement(p, m.Index)
	}
	c.replicate(p)
}

func (c *Core) recordAcknowledgement(p *progress, index uint64) {
	p.match = max(p.match, index)
	p.next = max(p.next, p.match+1)
	p.probing = false
	p.lastProgress = c.now
	p.inflight = slices.DeleteFunc(p.inflight, func(a inflightAppend) bool { return a.to <= p.match })
	if p.snapshot != nil && p.match >= p.snapshot.Index {
		p.snapshot = nil
	}
	c.commitMajority()
	if p.id == c.transferee {
		c.continueTransfer()
	}
}

// continueSnapshot sends the chunk that the follower asks for. A duplicate reply is ignored, because each would start another
// stream of chunks.
func (c *Core) continueSnapshot(p *progress, m Message) {
	if p.snapshot == nil || m.Index != p.snapshot.Index || m.Offset > uint64(len(p.snapshot.Data)) {
		return
	}
	if m.Offset > p.snapshotOffset || m.Offset == 0 && p.snapshotOffset > 0 {
		p.snapshotOffset = m.Offset
		c.sendChunk(p)
	}
}

// TransferLeadership starts to hand the leadership over to the voter with the most complete log. Proposals are refused until the
// transfer ends or an election timeout has passed.
func (c *Core) TransferLeadership(now time.Duration) Effects {
	c.advanceClock(now)
	var best *progress
	for _, p := range c.followers {
		if c.isVoter(p.id) && c.recentlyActive(p) && (best == nil || p.match > best.match) {
			best = p
		}
	}
	if c.role == Leader && best != nil {
		c.transferee, c.transferDeadline = best.id, c.now+c.electionTimeout
		c.continueTransfer()
	}
	return c.takeEffects()
}

// continueTransfer lets the transferee start an election once it has the whole log.
func (c *Core) continueTransfer() {
	if p := c.progressOf(c.transferee); p != nil && p.match == c.log.last() {
		c.send(p.id, Message{Kind: TimeoutNow})
	}
}
