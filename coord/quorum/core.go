package quorum

import (
	"fmt"
	"math"
	"slices"
	"time"
)

// Core is the state of one member of the group, or of a VM that waits to be admitted.
type Core struct {
	settings
	now  time.Duration
	term uint64
	vote Identity
	log  log
	// newest is the newest snapshot; its data is sent to followers that lack compacted entries.
	newest  Snapshot
	history []membership
	commit  uint64
	applied uint64

	role   Role
	leader Identity
	// contact is when the leader was last heard; heard tells it from the zero time.
	contact  time.Duration
	heard    bool
	deadline time.Duration
	votes    []Identity
	incoming incoming

	followers     []*progress
	heartbeatAt   time.Duration
	transferee    Identity
	transferUntil time.Duration
	strangers     []stranger

	out       Effects
	hardDirty bool
	unsaved   uint64
}

// New returns a core that starts as a follower; a state that contradicts itself panics.
func New(opts ...Option) *Core {
	c := &Core{settings: defaults()}
	for _, opt := range opts {
		opt(&c.settings)
	}
	if c.random == nil {
		c.random = seeded(c.self)
	}
	state := c.state
	c.state = State{}
	c.term, c.vote, c.newest = state.Hard.Term, state.Hard.Vote, state.Snapshot
	c.log.reset(state.Snapshot)
	c.history = []membership{{index: state.Snapshot.Index, members: state.Snapshot.Members}}
	c.commit, c.applied = state.Snapshot.Index, state.Snapshot.Index
	if len(state.Entries) > 0 {
		c.log.append(state.Entries...)
		c.adoptMembers(state.Entries)
	}
	c.unsaved = math.MaxUint64
	// A group that starts together has no leader to wait for; where there is one, no vote is given against it.
	c.deadline = c.election/4 + time.Duration(c.random.Int64N(int64(c.election)/2))
	return c
}

// Step takes a message from another core.
func (c *Core) Step(now time.Duration, m Message) Effects {
	c.expire(now)
	if c.accepts(m) {
		c.dispatch(m)
	}
	return c.take()
}

// Tick lets due timers act; the host calls it at NextDeadline at the latest.
func (c *Core) Tick(now time.Duration) Effects {
	c.expire(now)
	switch {
	case c.role == Leader:
		if c.now >= c.heartbeatAt {
			c.heartbeatAll()
			c.repairMembers()
		}
	case c.now < c.deadline:
	case c.isVoter(c.self):
		// A voter that nobody elects may have been removed while it was away, and does not know it.
		if c.role == PreCandidate {
			c.announce()
		}
		c.askPreVotes()
	default:
		c.announce()
	}
	return c.take()
}

// Propose appends data to the log; NotLeader, Busy or TooLarge say why not.
// Effects.Index and Effects.Term identify the entry when it appears in a later Commit.
func (c *Core) Propose(now time.Duration, data []byte) (Effects, error) {
	c.expire(now)
	entry := Entry{Kind: Data, Data: data}
	switch pending := c.pendingBytes(); {
	case c.role != Leader:
		return c.take(), &NotLeader{Leader: c.leader}
	case c.transferee != Identity{}:
		return c.take(), &NotLeader{}
	case entry.size() > c.entry:
		return c.take(), &TooLarge{Size: entry.size(), Limit: c.entry}
	case pending+entry.size() > c.pending:
		return c.take(), &Busy{Pending: pending}
	}
	c.appendOwn(entry)
	c.replicateAll()
	return c.takeProposed(), nil
}

// NextDeadline returns when Tick must be called next; it is never before now.
func (c *Core) NextDeadline(now time.Duration) time.Duration {
	if c.role == Leader {
		return max(now, c.heartbeatAt)
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

// Role returns what the core does as of the last call; a host that may have been frozen calls Tick before it relies on it.
func (c *Core) Role() Role { return c.role }

// Committed returns the index up to which entries are committed as far as this core knows.
func (c *Core) Committed() uint64 { return c.commit }

// Last returns the index and term of the newest entry in the log, committed or not.
func (c *Core) Last() (index, term uint64) { return c.log.last(), c.log.lastTerm() }

func (c *Core) pendingBytes() int {
	size := 0
	if c.role == Leader {
		for _, entry := range c.log.slice(c.commit, c.log.last()) {
			size += entry.size()
		}
	}
	return size
}

// expire moves the clock and ends a leadership without contact to a quorum before anything else
// is done, so that a leader that was frozen acts on nothing under its old role.
func (c *Core) expire(now time.Duration) {
	c.now = max(c.now, now)
	if c.role != Leader {
		return
	}
	if !majority(c.members(), c.inContact(Identity{})) {
		c.follow(c.term)
		return
	}
	if c.now >= c.transferUntil {
		c.transferee = Identity{}
	}
}

// accepts drops messages of strangers. A lagging member may not know the newest members: it follows
// any leader that a quorum elected, and answers a candidate it does not know only when the
// candidate's log is newer, since then its own membership may be the outdated one.
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
	_, known := find(c.members(), m.From)
	switch m.Kind {
	case Append, Heartbeat, Chunk, CampaignNow:
		return true
	case Vote, PreVote:
		return c.log.last() > 0 && (known || c.newerThanOwn(m))
	default:
		return known
	}
}

func (c *Core) dispatch(m Message) {
	if m.Kind == Join {
		c.hearJoin(m)
		return
	}
	if m.Term < c.term {
		c.refuseOldTerm(m)
		return
	}
	if m.Term > c.term {
		switch {
		case m.Kind == PreVote, m.Kind == PreVoteReply && !m.Reject:
		case m.Kind == Vote && !m.Transfer && c.leaderAlive():
			return
		default:
			c.follow(m.Term)
		}
	}
	switch m.Kind {
	case PreVote:
		c.answerPreVote(m)
	case Vote:
		c.answerVote(m)
	case PreVoteReply, VoteReply:
		c.countVote(m)
	case Append, Heartbeat, Chunk:
		c.obey(m)
	case AppendReply, HeartbeatReply, ChunkReply:
		c.hearFollower(m)
	case CampaignNow:
		if m.Term == c.term && c.isVoter(c.self) && c.role != Leader {
			c.campaign(true)
		}
	}
}

// refuseOldTerm tells an outdated leader or candidate the newer term.
func (c *Core) refuseOldTerm(m Message) {
	switch m.Kind {
	case Append, Heartbeat, Chunk:
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
	c.out.Send = append(c.out.Send, m)
}

func (c *Core) setTerm(term uint64, vote Identity) {
	if term == c.term && vote == c.vote {
		return
	}
	if term < c.term || term == c.term && c.vote != (Identity{}) {
		panic(fmt.Sprintf("quorum: %s would change its vote in term %d", c.self, c.term))
	}
	c.term, c.vote, c.hardDirty = term, vote, true
}

// follow takes on a term, or stays in the current one, without a known leader.
func (c *Core) follow(term uint64) {
	if term > c.term {
		c.setTerm(term, Identity{})
	}
	c.role, c.leader, c.heard = Follower, Identity{}, false
	c.followers, c.strangers, c.votes = nil, nil, nil
	c.transferee = Identity{}
	c.resetDeadline()
}

func (c *Core) resetDeadline() {
	c.deadline = c.now + c.election + time.Duration(c.random.Int64N(int64(c.election)))
}

// record appends entries to the log and marks them to be saved.
func (c *Core) record(entries ...Entry) {
	if entries[0].Index <= c.commit {
		panic(fmt.Sprintf("quorum: entry %d would be replaced below the commit index %d", entries[0].Index, c.commit))
	}
	c.log.append(entries...)
	c.adoptMembers(entries)
	c.unsaved = min(c.unsaved, entries[0].Index)
}

func (c *Core) advanceCommit(index uint64) {
	if index > c.log.last() {
		panic(fmt.Sprintf("quorum: commit index %d lies beyond the log's end %d", index, c.log.last()))
	}
	c.commit = max(c.commit, index)
}

func (c *Core) takeProposed() Effects {
	index, term := c.Last()
	out := c.take()
	out.Index, out.Term = index, term
	return out
}

// take returns the effects collected since the last call.
func (c *Core) take() Effects {
	out := c.out
	c.out = Effects{}
	if out.Save.Snapshot != nil {
		c.unsaved = out.Save.Snapshot.Index + 1
		c.hardDirty = true
	}
	if c.unsaved <= c.log.last() {
		out.Save.Entries = slices.Clone(c.log.slice(c.unsaved-1, c.log.last()))
	}
	if c.hardDirty {
		out.Save.Hard = &Hard{Term: c.term, Vote: c.vote}
	}
	c.unsaved, c.hardDirty = math.MaxUint64, false
	if out.Restore != nil {
		c.applied = out.Restore.Index
	}
	out.Commit = slices.Clone(c.log.slice(c.applied, c.commit))
	for _, entry := range out.Commit {
		if entry.Index != c.applied+1 {
			panic(fmt.Sprintf("quorum: entry %d would be applied after %d", entry.Index, c.applied))
		}
		c.applied = entry.Index
	}
	out.Compact = c.applied-c.newest.Index >= c.compact
	return out
}
