// Package ledger is the replicated state machine that lets a non-idempotent call run at most once.
//
// A VM claims an idempotency key before it dispatches the call, completes the claim after the answer, and releases it if no
// byte of the call was sent. When a VM's lease expires, its open claims become "may have run". Only the VM that made an
// attempt may dispatch it, and no attempt is granted after another one of the same key was granted and not released.
// The package does no I/O and reads no clock: each command carries the time, which never goes back.
//
// To embed it, apply committed commands to a Machine on each voter; see the package's example.
package ledger
