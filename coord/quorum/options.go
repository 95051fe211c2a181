package quorum

import (
	"hash/fnv"
	"math/rand/v2"
	"time"
)

type settings struct {
	self      Identity
	cluster   string
	state     State
	peers     []string
	random    *rand.Rand
	heartbeat time.Duration
	election  time.Duration
	repair    time.Duration
	voters    int
	compact   uint64
	keep      uint64
	batch     int
	inflight  int
	pending   int
	entry     int
	chunk     int
	snapshot  uint64
}

// Option sets one property of a Core.
type Option func(*settings)

func defaults() settings {
	return settings{
		// Five heartbeats fit into an election timeout, so that four lost ones in a row start no election.
		heartbeat: 300 * time.Millisecond,
		election:  1500 * time.Millisecond,
		// A VM that restarts on its own folder is back within a few seconds and must not be replaced.
		repair:   10 * time.Second,
		compact:  500,
		keep:     100,
		batch:    128 << 10,
		inflight: 4,
		pending:  4 << 20,
		entry:    1 << 20,
		chunk:    64 << 10,
		snapshot: 256 << 20,
	}
}

// WithIdentity sets the core's own identity.
func WithIdentity(self Identity) Option { return func(s *settings) { s.self = self } }

// WithCluster sets the name of the group; messages of other groups are ignored.
func WithCluster(name string) Option { return func(s *settings) { s.cluster = name } }

// WithState starts the core from what the journal returned.
func WithState(state State) Option { return func(s *settings) { s.state = state } }

// WithPeers names the VMs to which a core outside the group announces itself.
func WithPeers(names []string) Option { return func(s *settings) { s.peers = names } }

// WithRandom sets the source of the election timeouts; the default is seeded from the identity.
func WithRandom(random *rand.Rand) Option { return func(s *settings) { s.random = random } }

// WithTimeouts sets the heartbeat interval and the least election timeout; elections start after one to two timeouts.
func WithTimeouts(heartbeat, election time.Duration) Option {
	return func(s *settings) { s.heartbeat, s.election = heartbeat, election }
}

// WithRepairAfter sets for how long an incarnation must be silent before the leader replaces it.
func WithRepairAfter(silence time.Duration) Option { return func(s *settings) { s.repair = silence } }

// WithVoters lets the leader admit VMs of any name: as learners first, which become voters while the group has fewer
// than this number of voters or in the place of a silent one. 0 admits only VMs that replace a member of the same name.
func WithVoters(target int) Option { return func(s *settings) { s.voters = target } }

// WithCompaction sets after how many applied entries a snapshot is asked for and how many of them stay in memory.
func WithCompaction(after, keep uint64) Option {
	return func(s *settings) { s.compact, s.keep = after, keep }
}

// WithFlow sets the bytes of entries per message and the unacknowledged messages per follower.
func WithFlow(batch, inflight int) Option {
	return func(s *settings) { s.batch, s.inflight = batch, inflight }
}

// WithLimits sets the largest entry and the largest sum of uncommitted entries, in bytes.
func WithLimits(entry, pending int) Option {
	return func(s *settings) { s.entry, s.pending = entry, pending }
}

// WithSnapshots sets the size of a snapshot's parts and the largest snapshot accepted, in bytes.
func WithSnapshots(chunk int, largest uint64) Option {
	return func(s *settings) { s.chunk, s.snapshot = chunk, largest }
}

func seeded(self Identity) *rand.Rand {
	hash := fnv.New64a()
	hash.Write([]byte(self.Name))
	return rand.New(rand.NewPCG(self.Incarnation, hash.Sum64()))
}
