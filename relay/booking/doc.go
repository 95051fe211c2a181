// Package booking is the pure state machine of one non-idempotent call on the VM that received it: claim the key, dispatch once,
// complete or release.
//
// The host proposes the ledger commands to the control leader, dials upstreams, answers the caller, and reports what happened
// as events, in the order in which it happened and with times of one monotonic clock that advances while the process is suspended. A
// Core reads no clock, does no I/O and is not safe for concurrent use. It dispatches at most once, and it reports "not run" only if
// no byte of the call has been sent; it panics rather than break either rule. Once Done, it needs no more events.
package booking
