package control

import (
	"math/rand/v2"
	"time"

	"github.com/chicoryrelay/chicoryrelay/coord/configuration"
	"github.com/chicoryrelay/chicoryrelay/coord/journal"
	"github.com/chicoryrelay/chicoryrelay/coord/lease"
	"github.com/chicoryrelay/chicoryrelay/coord/quorum"
)

// clusterName keeps the logs of other programs that use the library apart.
const clusterName = "chicoryrelay"

// heartbeatShare is the number of the log's heartbeats that fit into the shortest election timeout.
const heartbeatShare = 5

// maxEntry bounds a command: a whole desired state is as large as the largest body that operators may send. maxPending bounds
// what waits to be committed, in bytes.
const (
	maxEntry   = 5 << 20
	maxPending = 24 << 20
)

// Folder is what a control VM needs to open its data folder.
type Folder struct {
	Name string
	// Controls names all control VMs, this one included.
	Controls []string
	Disk     journal.Disk
	// Random gives the incarnation of an empty folder; it must not repeat.
	Random   func() uint64
	Election time.Duration
	Timing   lease.Timing
	Transit  time.Duration
	// Repair is how long a voter must be silent before a VM that waits takes its place; 0 means the default.
	Repair time.Duration
	// Voters is the number of voters that the group grows to; 0 means that only VMs of the founding names are admitted.
	Voters int
	// Compaction is the number of log entries after which a snapshot is taken; 0 means the default.
	Compaction uint64
	// History is the number of versions kept for deltas; 0 means the default.
	History int
	// Founding is the first configuration; a leader that finds none proposes it.
	Founding *configuration.Command
}

// Found prepares the empty data folder of a founding control VM.
func Found(disk journal.Disk, name string, controls []string) error {
	return journal.Found(disk, clusterName, name, controls)
}

// Open opens a control VM's data folder; fresh reports that it was empty, so that the VM must be readmitted before it votes.
func Open(f Folder) (voter *Voter, fresh bool, err error) {
	opened, stored, err := journal.Open(f.Disk, journal.WithCluster(clusterName), journal.WithName(f.Name), journal.WithRandom(f.Random))
	if err != nil {
		return nil, false, err
	}
	options := []quorum.Option{
		quorum.WithIdentity(stored.Identity), quorum.WithCluster(clusterName), quorum.WithState(stored.State), quorum.WithPeers(f.Controls),
		quorum.WithTimeouts(f.Election/heartbeatShare, f.Election), quorum.WithRandom(rand.New(rand.NewPCG(f.Random(), f.Random()))),
		quorum.WithVoters(f.Voters), quorum.WithLimits(maxEntry, maxPending),
	}
	if f.Repair > 0 {
		options = append(options, quorum.WithRepairAfter(f.Repair))
	}
	if f.Compaction > 0 {
		options = append(options, quorum.WithCompaction(f.Compaction, f.Compaction/4))
	}
	core := quorum.New(options...)
	var history []configuration.Option
	if f.History > 0 {
		history = append(history, configuration.WithHistory(f.History))
	}
	machine := NewMachine(history...)
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
