// Package ledger is the replicated state machine that lets a non-idempotent call run at most once.
//
// A VM claims an idempotency key before it dispatches the call, completes the claim after the answer, and releases it if no
// byte of the call was sent. Only the VM that made an attempt may dispatch it, and no attempt is granted after another one
// of the same key was granted and not released. The leader proposes a LostOwner command for each of Machine.Owners whose lease
// has expired; the owner's open claims then count as "may have run".
//
// A record is kept for the retention and then replaced by a fingerprint, by which a resent key is still recognised. A
// tombstone refuses one attempt and a barrier the earlier claims of a key, so that a command that was delayed in transit
// cannot run a call that its caller was told has not run.
//
// The package does no I/O and reads no clock: Apply gets the time of the command's log entry. A Machine is not safe for
// concurrent use. To embed it, apply committed commands to a Machine on each voter; see the package's example.
package ledger
