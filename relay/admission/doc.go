// Package admission limits work: weighted fair queueing between accounts, account limits across a data centre's VMs, deadline
// checks, and budgets for retries and hedges.
//
// It does no input or output, contains no queue and reads no clock: the caller queues the work, passes the time and exchanges the
// peers' digests. Its types are not safe for concurrent use.
package admission
