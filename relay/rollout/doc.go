// Package rollout is the pure state machine that rolls a weights version out to a service's engines, a few at a time.
//
// An engine first drains: it gets no new requests, so that runs that can't move to another engine end. It is then ordered to load,
// which interrupts the runs that can move. Engines drain while others load, so that the weight store is never idle. Only the
// holder of the order lease sends orders; the host carries out the effects of a Core.
package rollout
