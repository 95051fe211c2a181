// Package control implements a VM's control state: its lease and configuration, and on control VMs the replicated log.
//
// A Node is a state machine without I/O that one goroutine drives: Receive, Submit and Tick take the time and return Effects,
// so that a test process can run many nodes on one virtual clock. A Host runs a Node in a process.
package control
