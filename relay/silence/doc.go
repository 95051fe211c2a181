// Package silence detects upstreams that accept connections and answer nothing.
//
// The core answers the pattern of a failure detector: it suspects an upstream at which a request is overdue while no byte comes, has the
// caller ask it for something that takes no slot, and counts it as silent if that is not answered either. A byte on any connection ends
// the verdict. It does no input or output: the caller passes what it sent and received as messages with the time since any fixed start of
// a monotonic clock, and acts on the effects. The core is not safe for concurrent use.
package silence
