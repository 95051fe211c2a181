// Package policy adapts the relay's routing core to the experiment's Router, to compare routing policies on equal traces.
//
// It has one core for each VM and passes the digests and notices between them without delay; the experiment provides the clock.
package policy
