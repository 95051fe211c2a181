// Package control implements a VM's control state: its lease and configuration, and on control VMs the replicated log.
//
// A Node is a state machine that one goroutine drives: Receive, Submit and Tick take the time and return Effects, so that a test
// process can run many nodes on one virtual clock. Its only I/O is the durable save of the replicated log and of the installed
// configuration, which a step finishes before it returns; an error of a step means that the process must exit. The driver
// publishes an installed configuration to the goroutines that serve requests before it sends the messages of the same Effects. A
// Voter is the part of a Node that exists on control VMs only, with the state that it needs while it leads.
//
// A Host runs a Node in a process: its methods may be called from any goroutine, and View gives request handlers a snapshot
// without waiting for the Node. Lease times are readings of the Host's monotonic clock, which starts with the Host. The caller
// makes the peer.Mesh and passes its messages to Deliver.
package control
