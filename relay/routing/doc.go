// Package routing is the decision core: it sends each request to an upstream, queues it in the VM, or refuses it.
//
// The core owns the VM's queue, the limits of the accounts, the retry and hedge budgets, and the estimates of the upstreams' load,
// speed and cached prefixes. It does no input or output: the caller sends the requests, acts on each Decision and on the Effects, and
// exchanges digests and placement notices with the peers.
//
// Under overload the policy Reuse bounds the queueing delay by each request's objective, as CoDel does, and serves late requests last,
// as adaptive LIFO does; see overload.go.
//
// The caller, usually package dispatch, passes Accounts and Upstreams to Step before the first Decide. It reports each attempt with
// FirstToken and ends it with Finished, Failed or Cancelled. A retry is another Decide with a higher Attempt, a hedge a call of
// StartHedge after the delay in the decision. Tick drives the timers.
//
// Each call passes the time since any fixed start of a monotonic clock. The core is deterministic for a given random source. It is not
// safe for concurrent use.
package routing
