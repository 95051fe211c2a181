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
	targetVoters      int
	compactAfter      uint64
	retainedEntries   uint64
	maxBatchBytes     int
	maxInflight       int
	maxPendingBytes   int
	maxEntryBytes     int
	chunkBytes        int
	maxSnapshotBytes  uint64
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
func WithState(state State) Option { return func(s *settings) { s.initialState = state } }

// WithPeers sets the names of the VMs to which a core outside the group announces itself.
func WithPeers(names []string) Option { return func(s *settings) { s.peers = names } }

// WithRandom sets the random source of election timeouts; the default is seeded from the identity.
func WithRandom(random *rand.Rand) Option { return func(s *settings) { s.random = random } }

// WithTimeouts sets the heartbeat interval and the minimum election timeout; elections start after one to two of these timeouts.
func WithTimeouts(heartbeat, election time.Duration) Option {
	return func(s *settings) { s.heartbeatInterval, s.electionTimeout = heartbeat, election }
}

// WithRepairAfter sets for how long an incarnation must be silent before the leader may replace it.
func WithRepairAfter(silence time.Duration) Option {
	return func(s *settings) { s.repairAfter = silence }
}

// WithVoters sets the target number of voters and lets the leader admit VMs of any name: as learners, which are promoted while
// the group has fewer voters or to replace a silent one. 0 admits only VMs that replace a member of the same name.
func WithVoters(target int) Option { return func(s *settings) { s.targetVoters = target } }

// WithCompaction sets after how many applied entries a snapshot is requested and how many of them stay in memory.
func WithCompaction(after, keep uint64) Option {
	return func(s *settings) { s.compactAfter, s.retainedEntries = after, keep }
}

// WithFlow limits the bytes of entries per message and the unacknowledged messages per follower.
func WithFlow(batch, inflight int) Option {
	return func(s *settings) { s.maxBatchBytes, s.maxInflight = batch, inflight }
}

// WithLimits limits the size of an entry and the total size of uncommitted entries, in bytes.
func WithLimits(entry, pending int) Option {
	return func(s *settings) { s.maxEntryBytes, s.maxPendingBytes = entry, pending }
}

// WithSnapshots sets the size of a snapshot's chunks and the largest accepted snapshot, in bytes.
func WithSnapshots(chunk int, largest uint64) Option {
	return func(s *settings) { s.chunkBytes, s.maxSnapshotBytes = chunk, largest }
}

func seededRandom(self Identity) *rand.Rand {
	hash := fnv.New64a()
	hash.Write([]byte(self.Name))
	return rand.New(rand.NewPCG(self.Incarnation, hash.Sum64()))
}
