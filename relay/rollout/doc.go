// Package rollout is the pure core that brings a service's engines to newly named weights, a few at a time.
//
// An engine first gets no new requests, so that runs that can't be repeated end; then it is ordered to load, which breaks off the
// runs that can go on at another engine. Engines drain while others load, so that the weight store is never idle. Only the
// holder of the order lease steps a core that sends; the caller makes the effects happen.
package rollout
