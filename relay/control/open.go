package control

import (
	"math/rand/v2"
	"time"

	"github.com/chicoryrelay/chicoryrelay/coord/configuration"
	"github.com/chicoryrelay/chicoryrelay/coord/journal"
	"github.com/chicoryrelay/chicoryrelay/coord/lease"
	"github.com/chicoryrelay/chicoryrelay/coord/quorum"
)

// clusterName separates the relay's replicated logs from those of other programs that use the coord packages.
const clusterName = "chicoryrelay"

// heartbeatsPerElectionTimeout is the number of heartbeat intervals in the shortest election timeout.
const heartbeatsPerElectionTimeout = 5

// maxEntryBytes limits a command: a full desired state is as large as the largest body that operators may send. maxUncommittedBytes
// limits the sum of the uncommitted entries.
const (
	maxEntryBytes       = 5 << 20
	maxUncommittedBytes = 24 << 20
)

// OpenOptions describes a control VM's data folder and the settings of its replicated log.
type OpenOptions struct {
	Name string
	// Controls names all control VMs, this one included.
	Controls []string
	Disk     journal.Disk
	// Random returns the log member's incarnation for an empty folder; its values must not repeat.
	Random          func() uint64
	ElectionTimeout time.Duration
	LeaseTiming     lease.Timing
	OrderTransit    time.Duration
	// RepairAfter is how long a voter must be silent before a learner replaces it; 0 means the default.
	RepairAfter time.Duration
	// Voters is the number of voters to which the group grows with VMs of any name; 0 admits only VMs with a founding name.
	Voters int
	// CompactionEntries is the number of log entries after which a snapshot is taken; 0 means the default.
	CompactionEntries uint64
	// HistoryVersions is the number of versions kept for deltas; 0 means the default.
	HistoryVersions int
	// Founding is the first configuration, proposed by a leader while none is committed.
	Founding *configuration.Command
}

// Bootstrap initialises the empty data folder of a founding control VM.
func Bootstrap(disk journal.Disk, name string, controls []string) error {
	return journal.Bootstrap(disk, clusterName, name, controls)
}

// Open opens a control VM's data folder; fresh reports that it was empty, in which case the other voters must
// admit the VM before it votes.
func Open(o OpenOptions) (voter *Voter, fresh bool, err error) {
	opened, stored, err := journal.Open(o.Disk, journal.WithCluster(clusterName), journal.WithName(o.Name), journal.WithRandom(o.Random))
	if err != nil {
		return nil, false, err
	}
	options := []quorum.Option{
		quorum.WithIdentity(stored.Identity), quorum.WithCluster(clusterName), quorum.WithState(stored.State), quorum.WithPeers(o.Controls),
		quorum.WithTimeouts(o.ElectionTimeout/heartbeatsPerElectionTimeout, o.ElectionTimeout), quorum.WithRandom(rand.New(rand.NewPCG(o.Random(), o.Random()))),
		quorum.WithTargetVoters(o.Voters), quorum.WithProposalLimits(maxEntryBytes, maxUncommittedBytes),
	}
	if o.RepairAfter > 0 {
		options = append(options, quorum.WithRepairAfter(o.RepairAfter))
	}
	if o.CompactionEntries > 0 {
		options = append(options, quorum.WithCompaction(o.CompactionEntries, o.CompactionEntries/4))
	}
	core := quorum.New(options...)
	var machineOptions []configuration.Option
	if o.HistoryVersions > 0 {
		machineOptions = append(machineOptions, configuration.WithHistory(o.HistoryVersions))
	}
	machine := NewMachine(machineOptions...)
	if data := stored.State.Snapshot.Data; len(data) > 0 {
		if err := machine.Restore(data); err != nil {
			return nil, false, err
		}
	}
	voter = newVoter(core, machine, opened.Save)
	voter.applied = stored.State.Snapshot.Index
	voter.founding = o.Founding
	voter.granter = lease.NewGranter(lease.WithGranterTiming(o.LeaseTiming))
	voter.orders = lease.NewOrderLease(lease.WithOrderLeaseTiming(o.LeaseTiming), lease.WithMaxTransit(o.OrderTransit))
	return voter, stored.Fresh, nil
}
