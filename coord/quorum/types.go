package quorum

import (
	"encoding/binary"
	"fmt"
	"hash/crc32"
	"time"
)

// Identity identifies one incarnation of a VM; a restart of the process keeps it, and an empty data folder gets a new one.
type Identity struct {
	Name        string
	Incarnation uint64
}

// String returns the name and the incarnation in hexadecimal, for logs.
func (i Identity) String() string { return fmt.Sprintf("%s/%x", i.Name, i.Incarnation) }

// Member is an identity that belongs to the group.
type Member struct {
	Identity
	// Learner marks a member that receives the log without being counted in any quorum.
	Learner bool
	// Promote marks a learner that the leader makes a voter once it has caught up.
	Promote bool
}

// EntryKind is the kind of a log entry.
type EntryKind uint8

// The entry kinds.
const (
	// Empty is the first entry of each leader's term; the state machine skips it.
	Empty EntryKind = iota
	// Data is an entry proposed by the host.
	Data
	// MembershipChange is a membership change.
	MembershipChange
)

// Entry is an entry of the log; it must not be modified.
type Entry struct {
	Index uint64
	Term  uint64
	Kind  EntryKind
	// Data is the host's payload, which the core does not interpret.
	Data []byte
	// Members is the whole membership after a MembershipChange.
	Members []Member
	// Note is the reason for a membership change, for the audit trail.
	Note string
	// ChainSum is a CRC32C over this entry and the ChainSum of the previous one: equal sums mean equal logs up to this entry.
	ChainSum uint32
}

// chainedSum returns the ChainSum that the entry must have after an entry with the ChainSum previous.
func (e Entry) chainedSum(previous uint32) uint32 {
	updateUint64 := func(sum uint32, n uint64) uint32 {
		var bytes [8]byte
		binary.LittleEndian.PutUint64(bytes[:], n)
		return crc32.Update(sum, castagnoli, bytes[:])
	}
	sum := updateUint64(updateUint64(updateUint64(updateUint64(0, uint64(previous)), e.Index), e.Term), uint64(e.Kind))
	sum = crc32.Update(updateUint64(sum, uint64(len(e.Data))), castagnoli, e.Data)
	for _, m := range e.Members {
		sum = updateUint64(crc32.Update(sum, castagnoli, []byte(m.Name)), m.Incarnation)
		flags := uint64(0)
		if m.Learner {
			flags |= 1
		}
		if m.Promote {
			flags |= 2
		}
		sum = updateUint64(sum, flags)
	}
	return crc32.Update(sum, castagnoli, []byte(e.Note))
}

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// entryOverheadBytes is added to the variable parts of an entry in the sizes of batches and of uncommitted entries.
const entryOverheadBytes = 32

func (e Entry) size() int {
	size := entryOverheadBytes + len(e.Data) + len(e.Note)
	for _, member := range e.Members {
		size += len(member.Name) + entryOverheadBytes
	}
	return size
}

// HardState is the state besides the log that must survive a restart.
type HardState struct {
	Term uint64
	// Vote is the candidate that this core voted for in Term, or the zero identity.
	Vote Identity
}

// Snapshot replaces all entries up to and including Index.
type Snapshot struct {
	Index   uint64
	Term    uint64
	Members []Member
	// ChainSum is the ChainSum of the entry at Index.
	ChainSum uint32
	// Data is the host's serialised state machine; it is empty in the snapshot of FoundingState.
	Data []byte
}

// State is the stored state that a journal returns at start; a snapshot with Index 0 means that the data folder has no state.
type State struct {
	HardState HardState
	Snapshot  Snapshot
	Entries   []Entry
}

// FoundingState returns the initial state of every founding voter; each voter has incarnation 1.
func FoundingState(names []string) State {
	members := make([]Member, 0, len(names))
	for _, name := range names {
		members = append(members, Member{Identity: Identity{Name: name, Incarnation: 1}})
	}
	return State{HardState: HardState{Term: 1}, Snapshot: Snapshot{Index: 1, Term: 1, Members: sortedMembers(members)}}
}

// MessageKind is the kind of a message between cores.
type MessageKind uint8

// The message kinds.
const (
	// PreVote asks whether a vote would be granted in Term, without raising any term.
	PreVote MessageKind = iota + 1
	// PreVoteReply answers PreVote.
	PreVoteReply
	// Vote asks for a vote in Term.
	Vote
	// VoteReply answers Vote.
	VoteReply
	// Append carries the entries after Index.
	Append
	// AppendReply acknowledges the log up to Index, or rejects the entries and proposes Index to continue after.
	AppendReply
	// Heartbeat keeps followers from starting an election and carries the commit index.
	Heartbeat
	// HeartbeatReply answers Heartbeat.
	HeartbeatReply
	// SnapshotChunk carries a chunk of a snapshot.
	SnapshotChunk
	// SnapshotChunkReply asks for the chunk of the snapshot that begins at Offset.
	SnapshotChunkReply
	// TimeoutNow makes the receiver start an election at once, for a transfer of the leadership.
	TimeoutNow
	// Join announces an identity without contact to a leader; it is addressed to a name with incarnation 0.
	Join
	lastMessageKind = Join
)

// Valid reports whether the kind is defined.
func (k MessageKind) Valid() bool { return k >= PreVote && k <= lastMessageKind }

// Message is sent from one core to another; which fields are set depends on Kind.
type Message struct {
	Kind MessageKind
	// Cluster is the name of the group; messages of another group are ignored.
	Cluster  string
	From, To Identity
	Term     uint64
	// Index and LogTerm are those of the entry before Entries, of a candidate's last entry, or of a snapshot.
	Index   uint64
	LogTerm uint64
	// ChainSum is the ChainSum of the entry at Index, or at Commit in a heartbeat; 0 if unknown.
	ChainSum uint32
	// Commit is the sender's commit index; a heartbeat limits it to entries that the receiver is known to have.
	Commit uint64
	// SentAt is the leader's sending time, echoed by replies, so that a late reply does not count as recent contact.
	SentAt time.Duration
	Reject bool
	// Transfer marks a vote request of a leadership transfer, which the old leader asked for.
	Transfer bool
	Entries  []Entry
	// Members, Offset, Total, Checksum (CRC32C of the whole data) and Data belong to snapshots; Offset is 1 in a forwarded Join.
	Members  []Member
	Offset   uint64
	Total    uint64
	Checksum uint32
	Data     []byte
}

// Save is the state that must be durable before the other effects of the same call are carried out.
type Save struct {
	HardState *HardState
	// Snapshot replaces the stored snapshot and the whole stored log; Entries are then the remaining log.
	Snapshot *Snapshot
	// Entries replace the stored log from the index of the first one on.
	Entries []Entry
}

// Empty reports whether there is nothing to save.
func (s Save) Empty() bool { return s.HardState == nil && s.Snapshot == nil && len(s.Entries) == 0 }

// Effects are the actions that the host must take after a call; see the package comment for their order.
type Effects struct {
	Save Save
	Send []Message
	// Restore replaces the state machine; it is done before Committed is applied.
	Restore *Snapshot
	// Committed contains the committed entries of all kinds that follow the last applied one.
	Committed []Entry
	// SnapshotDue asks the host to call Core.Compact with a snapshot of its state machine; it stays set until that is done.
	SnapshotDue bool
	// Index and Term identify the entry that Propose or a membership change appended.
	Index, Term uint64
}

// Role is the Raft role of a core.
type Role uint8

// The roles.
const (
	Follower Role = iota
	PreCandidate
	Candidate
	Leader
)

// String returns the role in lower case.
func (r Role) String() string {
	return [...]string{"follower", "pre-candidate", "candidate", "leader"}[r]
}
