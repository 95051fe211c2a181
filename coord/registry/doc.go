// Package registry is the replicated state machine that combines the configuration, the ledger and the fencing number.
//
// Configuration changes and claims share one log, so a claim is checked against the newest committed configuration, pending
// or in force. The package does no I/O and reads no clock: the leader stamps each command with its wall clock, and the
// machine's time is the latest timestamp so far. Equal states have byte-identical snapshots. A Machine is not safe for
// concurrent use. The caller replicates the log, decides when a version may be declared in force (package lease), and sends
// updates to the VMs (package configuration).
//
// To embed it, propose the bytes of ChangeEntry, InForceEntry, LedgerEntry, ReadEntry and AcquireOrderLeaseEntry to the log, and
// pass each committed entry to Machine.Apply on each voter; see the package's example.
package registry
