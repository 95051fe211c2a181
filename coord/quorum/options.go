package quorum

import (
	"hash/fnv"
	"math/rand/v2"
	"time"
)

type settings struct {
	self              Identity
	cluster           string
	initialState      State
	peers             []string
	random            *rand.Rand
	heartbeatInterval time.Duration
	electionTimeout   time.Duration
	repairAfter       time.Duration
	// targetVoters is the number of voters that the leader aims at; 0 admits no VMs of new names.
	targetVoters int
	compactAfter uint64
	// retainedEntries is the number of entries up to a snapshot's index that a compaction leaves in memory.
	retainedEntries uint64
	// maxBatchBytes limits the entries of one message.
	maxBatchBytes int
	// maxInflight limits the unacknowledged messages per follower.
	maxInflight int
	// maxPendingBytes limits the uncommitted entries.
	maxPendingBytes int
	// maxEntryBytes limits one entry.
	maxEntryBytes    int
	chunkBytes       int
	maxSnapshotBytes uint64
}

// Option sets one property of a Core.
type Option func(*settings)

func defaultSettings() settings {
	return settings{
		// An election timeout spans five heartbeats, so that four lost in a row start no election.
		heartbeatInterval: 300 * time.Millisecond,
		electionTimeout:   1500 * time.Millisecond,
		// A VM that restarts with its data folder is back within a few seconds and must not be replaced.
		repairAfter:      10 * time.Second,
		compactAfter:     500,
		retainedEntries:  100,
		maxBatchBytes:    128 << 10,
		maxInflight:      4,
		maxPendingBytes:  4 << 20,
		maxEntryBytes:    1 << 20,
		chunkBytes:       64 << 10,
		maxSnapshotBytes: 256 << 20,
	}
}

// WithIdentity sets the core's own identity.
func WithIdentity(self Identity) Option { return func(s *settings) { s.self = self } }

// WithCluster sets the name of the group; messages of other groups are ignored.
func WithCluster(name string) Option { return func(s *settings) { s.cluster = name } }

// WithState sets the initial state, as returned by the journal.
func WithState(initialState State) Option { return func(s *settings) { s.initialState = initialState } }

// WithPeers sets the names of the VMs to which a core outside the group announces itself.
func WithPeers(names []string) Option { return func(s *settings) { s.peers = names } }

// WithRandom sets the random source of election timeouts; the default is seeded from the identity.
func WithRandom(random *rand.Rand) Option { return func(s *settings) { s.random = random } }

// WithTimeouts sets the heartbeat interval and the minimum election timeout; elections start after one to two of these timeouts.
func WithTimeouts(heartbeatInterval, electionTimeout time.Duration) Option {
	return func(s *settings) { s.heartbeatInterval, s.electionTimeout = heartbeatInterval, electionTimeout }
}

// WithRepairAfter sets for how long an incarnation must be silent before the leader may replace it.
func WithRepairAfter(silence time.Duration) Option {
	return func(s *settings) { s.repairAfter = silence }
}

// WithTargetVoters sets the target number of voters and lets the leader admit VMs of any name: as learners, which are promoted
// while the group has fewer voters or to replace a silent one. 0 admits only VMs that replace a member of the same name.
func WithTargetVoters(target int) Option { return func(s *settings) { s.targetVoters = target } }

// WithCompaction sets after how many applied entries a snapshot is requested and how many of them stay in memory.
func WithCompaction(after, retained uint64) Option {
	return func(s *settings) { s.compactAfter, s.retainedEntries = after, retained }
}

// WithReplicationLimits limits the bytes of entries per message and the unacknowledged messages per follower.
func WithReplicationLimits(batchBytes, inflight int) Option {
	return func(s *settings) { s.maxBatchBytes, s.maxInflight = batchBytes, inflight }
}

// WithProposalLimits limits the size of an entry and the total size of uncommitted entries, in bytes.
func WithProposalLimits(entryBytes, pendingBytes int) Option {
	return func(s *settings) { s.maxEntryBytes, s.maxPendingBytes = entryBytes, pendingBytes }
}

// WithSnapshotLimits sets the size of a snapshot's chunks and the largest accepted snapshot, in bytes.
func WithSnapshotLimits(chunkBytes int, largest uint64) Option {
	return func(s *settings) { s.chunkBytes, s.maxSnapshotBytes = chunkBytes, largest }
}

func seededRandom(self Identity) *rand.Rand {
	hash := fnv.New64a()
	hash.Write([]byte(self.Name))
	return rand.New(rand.NewPCG(self.Incarnation, hash.Sum64()))
}
