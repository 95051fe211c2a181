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
	// voters is the target number of voters; 0 admits no VMs of new names.
	voters       int
	compactAfter uint64
	// keep is the number of applied entries that a compaction leaves in memory.
	keep uint64
	// batch limits the bytes of entries in a message.
	batch int
	// inflight limits the unacknowledged messages per follower.
	inflight int
	// pending limits the bytes of uncommitted entries.
	pending int
	// entry limits the bytes of one entry.
	entry            int
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
		keep:             100,
		batch:            128 << 10,
		inflight:         4,
		pending:          4 << 20,
		entry:            1 << 20,
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
func WithTargetVoters(target int) Option { return func(s *settings) { s.voters = target } }

// WithCompaction sets after how many applied entries a snapshot is requested and how many of them stay in memory.
func WithCompaction(after, keep uint64) Option {
	return func(s *settings) { s.compactAfter, s.keep = after, keep }
}

// WithReplicationLimits limits the bytes of entries per message and the unacknowledged messages per follower.
func WithReplicationLimits(batch, inflight int) Option {
	return func(s *settings) { s.batch, s.inflight = batch, inflight }
}

// WithProposalLimits limits the size of an entry and the total size of uncommitted entries, in bytes.
func WithProposalLimits(entry, pending int) Option {
	return func(s *settings) { s.entry, s.pending = entry, pending }
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
