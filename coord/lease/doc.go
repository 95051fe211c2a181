// Package lease grants leases to VMs and decides when a configuration version may be declared in force.
//
// The Granter runs on the leader of the replicated log and a Holder on each VM. A VM with a valid lease has installed
// every version that is in force: the granter renews a lease only for a VM that has installed the newest version, and
// allows a version to be declared in force only after every other lease has expired. The rate of each clock may deviate
// by Timing.Margin. The package does no I/O. Times are readings of the local monotonic clock, which must keep advancing
// while the process is suspended.
//
// The order lease is a second lease, which belongs to the VM that acquired it last: Fence is its replicated state, and
// OrderLease decides on the leader whether an order may be sent to an engine under the fencing number. An incarnation in this
// package is one start of a VM's process, identified by its boot number; one in package quorum survives restarts.
//
// The embedding program sends the messages and proposes the log entries. It calls Granter.StartGranting after it has applied
// the first log entry of the leader's own term, Granter.StopGranting when the VM no longer leads, Granter.Confirm for each
// heartbeat round that a quorum has acknowledged, and Holder.Valid before each operation that needs the lease; see the
// package's example. No type is safe for concurrent use.
package lease
