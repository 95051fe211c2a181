// Package rollout is the pure state machine that rolls a weights version out to a service's engines, a few at a time.
//
// An engine first drains: it gets no new requests, so that the requests in progress that can't move to another engine end. It is
// then ordered to load, which interrupts the requests that can move. Engines drain while others load, so that the weight store is
// never idle.
//
// A Core reads no clock, does no I/O and is not safe for concurrent use. Its host passes it the discovered engines, the state of
// the order lease, polled reports and the results of orders, then, while InProgress, a Tick at intervals shorter than pollInterval, all
// with times of one monotonic clock. The host carries out the effects, and checks immediately before sending an order that this VM still holds
// the order lease.
package rollout
