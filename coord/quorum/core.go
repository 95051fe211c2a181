package quorum

import (
	"fmt"
	"math"
	"slices"
	"time"
)

// Core is the consensus state of one member of the group, or of a VM that waits to be admitted to it.
type Core struct {
	settings
	now  time.Duration
	term uint64
	vote Identity
	log  log
	// lastSnapshot is sent to followers that lack compacted entries.
	lastSnapshot Snapshot
	// membershipHistory contains the memberships from the last snapshot's on, in order of index.
	membershipHistory []membership
	commit            uint64
	applied           uint64

	role   Role
	leader Identity
	// leaderContact is when the last message of the leader arrived; it is valid only if hasLeaderContact is set.
	leaderContact    time.Duration
	hasLeaderContact bool
	// deadline is when a core that does not lead asks for votes or announces itself.
	deadline         time.Duration
	votes            []Identity
	incomingSnapshot incomingSnapshot

	followers        []*progress
	nextHeartbeat    time.Duration
	transferee       Identity
	transferDeadline time.Duration
	nonMembers       []nonMember

	effects        Effects
	hardStateDirty bool
	// firstUnsaved is the index of the first entry to be saved, or math.MaxUint64 if there is none.
	firstUnsaved uint64
}

// New returns a core that starts as a follower; it panics if the initial state is inconsistent.
func New(opts ...Option) *Core {
	c := &Core{settings: defaultSettings()}
	for _, opt := range opts {
		opt(&c.settings)
	}
	if c.random == nil {
		c.random = seededRandom(c.self)
	}
	initialState := c.initialState
	c.initialState = State{}
	c.term, c.vote, c.lastSnapshot = initialState.HardState.Term, initialState.HardState.Vote, initialState.Snapshot
	c.log.reset(initialState.Snapshot)
	c.membershipHistory = []membership{{index: initialState.Snapshot.Index, members: initialState.Snapshot.Members}}
	c.commit, c.applied = initialState.Snapshot.Index, initialState.Snapshot.Index
	if len(initialState.Entries) > 0 {
		c.log.append(initialState.Entries...)
		c.recordMemberships(initialState.Entries)
	}
	c.firstUnsaved = math.MaxUint64
	// The first pre-vote comes early, since a group that starts as a whole has no leader. It does not disturb an existing
	// leader, whose followers grant no votes.
	c.deadline = c.electionTimeout/4 + time.Duration(c.random.Int64N(int64(c.electionTimeout)/2))
	return c
}

// Step handles a message from another core.
func (c *Core) Step(now time.Duration, m Message) Effects {
	c.advanceClock(now)
	if c.accepts(m) {
		c.dispatch(m)
	}
	return c.takeEffects()
}

// Tick handles the timers that are due; the host calls it at NextDeadline at the latest.
func (c *Core) Tick(now time.Duration) Effects {
	c.advanceClock(now)
	switch {
	case c.role == Leader:
		if c.now >= c.nextHeartbeat {
			c.sendHeartbeats()
			c.repairMembers()
		}
	case c.now < c.deadline:
	case c.isVoter(c.self):
		// A voter that wins no pre-vote may have been removed without knowing it, so it also announces itself.
		if c.role == PreCandidate {
			c.announce()
		}
		c.startPreVote()
	default:
		c.announce()
	}
	return c.takeEffects()
}

// Propose appends data to the log, or returns NotLeader, Busy or TooLarge.
// Effects.Index and Effects.Term identify the entry in a later Effects.Committed.
func (c *Core) Propose(now time.Duration, data []byte) (Effects, error) {
	c.advanceClock(now)
	entry := Entry{Kind: Data, Data: data}
	switch pending := c.pendingBytes(); {
	case c.role != Leader:
		return c.takeEffects(), &NotLeader{Leader: c.leader}
	case c.transferee != Identity{}:
		return c.takeEffects(), &NotLeader{}
	case entry.size() > c.maxEntryBytes:
		return c.takeEffects(), &TooLarge{Size: entry.size(), Limit: c.maxEntryBytes}
	case pending+entry.size() > c.maxPendingBytes:
		return c.takeEffects(), &Busy{Pending: pending}
	}
	c.appendLeaderEntry(entry)
	c.replicateAll()
	return c.takeAppendEffects(), nil
}

// NextDeadline returns the time at which Tick must be called next, which is never before now.
func (c *Core) NextDeadline(now time.Duration) time.Duration {
	if c.role == Leader {
		return max(now, c.nextHeartbeat)
	}
	return max(now, c.deadline)
}

// SetPeers replaces the names of the VMs to which a core outside the group announces itself.
func (c *Core) SetPeers(names []string) { c.peers = names }

// Leader returns the known leader, or the zero identity.
func (c *Core) Leader() Identity { return c.leader }

// Identity returns the core's own identity.
func (c *Core) Identity() Identity { return c.self }

// Term returns the current term.
func (c *Core) Term() uint64 { return c.term }

// Role returns the role as of the last call; a host that may have been frozen calls Tick before it relies on the role.
func (c *Core) Role() Role { return c.role }

// CommitIndex returns the highest log index that this core knows to be committed.
func (c *Core) CommitIndex() uint64 { return c.commit }

// LastEntry returns the index and term of the newest entry in the log, committed or not.
func (c *Core) LastEntry() (index, term uint64) { return c.log.last(), c.log.lastTerm() }

func (c *Core) pendingBytes() int {
	size := 0
	if c.role == Leader {
		for _, entry := range c.log.slice(c.commit, c.log.last()) {
			size += entry.size()
		}
	}
	return size
}

// advanceClock sets the current time. A leader without contact to a quorum steps down before anything else is done, so that
// one that was frozen does nothing more under its old role.
func (c *Core) advanceClock(now time.Duration) {
	c.now = max(c.now, now)
	if c.role != Leader {
		return
	}
	if !majority(c.members(), c.activeVoters(Identity{})) {
		c.becomeFollower(c.term)
		return
	}
	if c.now >= c.transferDeadline {
		c.transferee = Identity{}
	}
}

// accepts reports whether a message is to be handled; those of non-members are not. A lagging member may not know the newest
// membership: it follows any elected leader, and answers an unknown candidate only if the candidate's log is newer, because
// its own membership may then be outdated.
func (c *Core) accepts(m Message) bool {
	if !m.Kind.Valid() || m.Cluster != c.cluster || m.From == c.self {
		return false
	}
	if m.Kind == Join {
		return m.To.Name == c.self.Name
	}
	if m.To != c.self {
		return false
	}
	_, known := findMember(c.members(), m.From)
	switch m.Kind {
	case Append, Heartbeat, SnapshotChunk, TimeoutNow:
		return true
	case Vote, PreVote:
		return c.log.last() > 0 && (known || c.senderNewer(m))
	default:
		return known
	}
}

func (c *Core) dispatch(m Message) {
	if m.Kind == Join {
		c.handleJoin(m)
		return
	}
	if m.Term < c.term {
		c.rejectOldTerm(m)
		return
	}
	if m.Term > c.term {
		switch {
		case m.Kind == PreVote, m.Kind == PreVoteReply && !m.Reject:
		case m.Kind == Vote && !m.Transfer && c.leaderAlive():
			return
		default:
			c.becomeFollower(m.Term)
		}
	}
	switch m.Kind {
	case PreVote:
		c.handlePreVote(m)
	case Vote:
		c.handleVote(m)
	case PreVoteReply, VoteReply:
		c.handleVoteReply(m)
	case Append, Heartbeat, SnapshotChunk:
		c.handleLeaderMessage(m)
	case AppendReply, HeartbeatReply, SnapshotChunkReply:
		c.handleFollowerReply(m)
	case TimeoutNow:
		if m.Term == c.term && c.isVoter(c.self) && c.role != Leader {
			c.campaign(true)
		}
	}
}

// rejectOldTerm answers an outdated leader or candidate with the current term.
func (c *Core) rejectOldTerm(m Message) {
	switch m.Kind {
	case Append, Heartbeat, SnapshotChunk:
		c.send(m.From, Message{Kind: AppendReply, Reject: true, Index: c.log.last(), Commit: c.commit})
	case PreVote:
		c.send(m.From, Message{Kind: PreVoteReply, Reject: true})
	}
}

func (c *Core) send(to Identity, m Message) {
	m.Cluster, m.From, m.To = c.cluster, c.self, to
	if m.Term == 0 {
		m.Term = c.term
	}
	c.effects.Send = append(c.effects.Send, m)
}

func (c *Core) setTerm(term uint64, vote Identity) {
	if term == c.term && vote == c.vote {
		return
	}
	if term < c.term || term == c.term && c.vote != (Identity{}) {
		panic(fmt.Sprintf("quorum: %s would change its vote in term %d", c.self, c.term))
	}
	c.term, c.vote, c.hardStateDirty = term, vote, true
}

// becomeFollower enters the given term, or stays in the current one, as a follower without a known leader.
func (c *Core) becomeFollower(term uint64) {
	if term > c.term {
		c.setTerm(term, Identity{})
	}
	c.role, c.leader, c.hasLeaderContact = Follower, Identity{}, false
	c.followers, c.nonMembers, c.votes = nil, nil, nil
	c.transferee = Identity{}
	c.resetDeadline()
}

func (c *Core) resetDeadline() {
	c.deadline = c.now + c.electionTimeout + time.Duration(c.random.Int64N(int64(c.electionTimeout)))
}

// appendEntries appends entries to the log and marks them to be saved.
func (c *Core) appendEntries(entries ...Entry) {
	if entries[0].Index <= c.commit {
		panic(fmt.Sprintf("quorum: entry %d would be replaced although entries up to %d are committed", entries[0].Index, c.commit))
	}
	c.log.append(entries...)
	c.recordMemberships(entries)
	c.firstUnsaved = min(c.firstUnsaved, entries[0].Index)
}

func (c *Core) advanceCommit(index uint64) {
	if index > c.log.last() {
		panic(fmt.Sprintf("quorum: commit index %d lies beyond the log's end %d", index, c.log.last()))
	}
	c.commit = max(c.commit, index)
}

func (c *Core) takeAppendEffects() Effects {
	index, term := c.LastEntry()
	effects := c.takeEffects()
	effects.Index, effects.Term = index, term
	return effects
}

// takeEffects returns the effects collected since its last call.
func (c *Core) takeEffects() Effects {
	effects := c.effects
	c.effects = Effects{}
	if effects.Save.Snapshot != nil {
		c.firstUnsaved = effects.Save.Snapshot.Index + 1
		c.hardStateDirty = true
	}
	if c.firstUnsaved <= c.log.last() {
		effects.Save.Entries = slices.Clone(c.log.slice(c.firstUnsaved-1, c.log.last()))
	}
	if c.hardStateDirty {
		effects.Save.HardState = &HardState{Term: c.term, Vote: c.vote}
	}
	c.firstUnsaved, c.hardStateDirty = math.MaxUint64, false
	if effects.Restore != nil {
		c.applied = effects.Restore.Index
	}
	effects.Committed = slices.Clone(c.log.slice(c.applied, c.commit))
	for _, entry := range effects.Committed {
		if entry.Index != c.applied+1 {
			panic(fmt.Sprintf("quorum: entry %d would be applied after entry %d", entry.Index, c.applied))
		}
		c.applied = entry.Index
	}
	effects.SnapshotDue = c.applied-c.lastSnapshot.Index >= c.compactAfter
	return effects
}
