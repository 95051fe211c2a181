// Package stream decides for each event of a relayed stream whether to deliver it, to drop it or to resume from another upstream.
//
// A Core tracks the position and the version of one stream; it has no clock, does no I/O and is not safe for concurrent use. Its
// caller calls Resume when an attempt begins, the first one included, then Accept for each event. After a Gap or a failed attempt
// it requests the events from Next from another upstream.
package stream
