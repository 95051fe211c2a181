// Package dispatch runs the routing core in one goroutine and passes its decisions to the goroutines that forward requests.
//
// The dispatcher owns the core, its clock and its ticks. It sends nothing: the caller forwards the request of each Ticket, ends the
// ticket, and exchanges digests and placements with the peers. It also drives the quarantine of prompt parts, whose messages go to the
// callback set with OnQuarantine; QuarantineSender returns one for a mesh. Before Configure every request is refused for lack of an upstream.
// After Run, all methods but OnPlacement, OnSpeeds and Run are safe for concurrent use.
package dispatch
