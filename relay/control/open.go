package control

import (
	"math/rand/v2"
	"time"

	"github.com/chicoryrelay/chicoryrelay/coord/configuration"
	"github.com/chicoryrelay/chicoryrelay/coord/journal"
	"github.com/chicoryrelay/chicoryrelay/coord/lease"
	"github.com/chicoryrelay/chicoryrelay/coord/quorum"
)

// clusterName separates the relay's logs from those of other programs that use the library.
const clusterName = "chicoryrelay"

// heartbeatsPerElectionTimeout is the number of heartbeat intervals in the shortest election timeout.
const heartbeatsPerElectionTimeout = 5

// maxEntryBytes limits a command: a full desired state is as large as the largest body that operators may send. maxUncommittedBytes
// limits the sum of the uncommitted entries.
const (
	maxEntryBytes       = 5 << 20
	maxUncommittedBytes = 24 << 20
)

// Folder describes a control VM's data folder and the settings of its replicated log.
type Folder struct {
	Name string
	// Controls names all control VMs, this one included.
	Controls []string
	Disk     journal.Disk
	// Random returns the log member's incarnation for an empty folder; its values must not repeat.
	Random   func() uint64
	Election time.Duration
	Timing   lease.Timing
	Transit  time.Duration
	// Repair is how long a voter must be silent before a learner replaces it; 0 means the default.
	Repair time.Duration
	// Voters is the number of voters to which the group grows with VMs of any name; 0 admits only VMs with a founding name.
	Voters int
	// Compaction is the number of log entries after which a snapshot is taken; 0 means the default.
	Compaction uint64
	// History is the number of versions kept for deltas; 0 means the default.
	History int
	// Founding is the first configuration, proposed by a leader while none is committed.
	Founding *configuration.Command
}

// Found initialises the empty data folder of a founding control VM.
func Found(disk journal.Disk, name string, controls []string) error {
	return journal.Found(disk, clusterName, name, controls)
}

// Open opens a control VM's data folder; fresh reports that it was empty and that the VM must be readmitted before it votes.
func Open(f Folder) (voter *Voter, fresh bool, err error) {
	opened, stored, err := journal.Open(f.Disk, journal.WithCluster(clusterName), journal.WithName(f.Name), journal.WithRandom(f.Random))
	if err != nil {
		return nil, false, err
	}
	options := []quorum.Option{
		quorum.WithIdentity(stored.Identity), quorum.WithCluster(clusterName), quorum.WithState(stored.State), quorum.WithPeers(f.Controls),
		quorum.WithTimeouts(f.Election/heartbeatsPerElectionTimeout, f.Election), quorum.WithRandom(rand.New(rand.NewPCG(f.Random(), f.Random()))),
		quorum.WithVoters(f.Voters), quorum.WithLimits(maxEntryBytes, maxUncommittedBytes),
	}
	if f.Repair > 0 {
		options = append(options, quorum.WithRepairAfter(f.Repair))
	}
	if f.Compaction > 0 {
		options = append(options, quorum.WithCompaction(f.Compaction, f.Compaction/4))
	}
	core := quorum.New(options...)
	var machineOptions []configuration.Option
	if f.History > 0 {
		machineOptions = append(machineOptions, configuration.WithHistory(f.History))
	}
	machine := NewMachine(machineOptions...)
	if data := stored.State.Snapshot.Data; len(data) > 0 {
		if err := machine.Restore(data); err != nil {
			return nil, false, err
		}
	}
	voter = newVoter(core, machine, opened.Save)
	voter.applied = stored.State.Snapshot.Index
	voter.founding = f.Founding
	voter.granter = lease.NewGranter(lease.WithGranterTiming(f.Timing))
	voter.orders = lease.NewOrders(lease.WithOrdersTiming(f.Timing), lease.WithTransit(f.Transit))
	return voter, stored.Fresh, nil
}
