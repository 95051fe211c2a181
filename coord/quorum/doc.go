// Package quorum implements the deterministic core of the replicated log: elections, replication, snapshots, membership
// changes and repair.
//
// A Core does no I/O and reads no clock. The host calls Step, Tick, Propose and the other methods
// from one goroutine, and after each call, in this order:
//
//  1. makes Effects.Save durable; if that fails, it stops the core and restarts it from the journal;
//  2. restores its state machine from Effects.Restore, if set;
//  3. applies Effects.Committed in order;
//  4. sends Effects.Send, which may be lost, repeated, delayed or reordered.
//
// Committed entries survive as long as a majority of the voters keep their disks, in each membership in effect before and
// after a repair in progress. The leader readmits a VM that returns under a known name with another incarnation: it adds the
// new incarnation as a learner, removes the lost one once that was silent for the time set by WithRepairAfter, and promotes
// the learner. Entry.Note records each step for the audit trail.
//
// An idle group sends one heartbeat and one reply per follower and heartbeat interval, about 75 bytes each.
//
// The algorithm is Raft with pre-vote, leaders that step down without contact to a quorum, and single-server membership
// changes. A core panics if an invariant is broken, because going on could contradict a committed entry.
package quorum
