// Package quorum implements the deterministic core of the replicated log: elections, replication, snapshots, membership
// changes and repair.
//
// A Core does no I/O and reads no clock. The host calls Step, Tick, Propose and the other methods from one goroutine, and
// after each call, in this order:
//
//  1. makes Effects.Save durable; if that fails, it stops the core and restarts it from the journal;
//  2. restores its state machine from Effects.Restore, if set;
//  3. applies Effects.Committed in order;
//  4. sends Effects.Send, which may be lost, repeated, delayed or reordered;
//  5. calls Compact with a snapshot of its state machine, if Effects.SnapshotDue is set.
//
// Times are readings of the host's monotonic clock, which may differ between VMs; one before an earlier reading counts as the
// earlier one. The host owns the network, the journal, the state machine and the timer for NextDeadline.
//
// Committed entries survive as long as a majority of the voters keep their disks; during a repair this must hold for the
// membership before the repair and for the one after it. An incarnation in this package lasts as long as a VM's data folder
// and survives restarts of the process, unlike one in package lease. A VM that lost its data folder returns with its name and
// a new incarnation. The leader readmits it after the lost incarnation was silent for the time set by WithRepairAfter: it
// adds the new incarnation as a learner, removes the lost one when the learner has caught up, and then promotes the learner.
// Entry.Note records each step for the audit trail.
//
// An idle group sends one heartbeat and one reply per follower and heartbeat interval, about 75 bytes each.
//
// The algorithm is Raft with pre-vote, leaders that step down without contact to a quorum, and single-server membership
// changes. A core panics if an invariant is broken, because going on could contradict a committed entry.
package quorum
