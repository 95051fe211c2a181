// Package peer sends messages between VMs over yamux sessions and replaces sessions whose heartbeats time out.
//
// The mesh owns its listener, its dialling and its goroutines; the caller decides which VMs to dial. Delivery is at most once: a
// message is dropped if no session is open, the queue is full or the session ends, and the caller must resend what matters. Messages
// of one session arrive in order; those of two sessions with the same peer can be received concurrently. All methods are safe for
// concurrent use.
package peer
