// Package booking is the pure state machine of one non-idempotent call on the VM that received it: claim the key, dispatch once,
// complete or release.
//
// The host proposes the ledger commands to the control leader, dials upstreams, answers the caller, and reports what happened
// as events. A Core reads no clock and does no I/O. It dispatches at most once, and it reports "not run" only if no byte of
// the call has been sent; it panics rather than break either rule.
package booking
