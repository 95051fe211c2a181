// Package membership maintains a VM's view of which other VMs are alive, suspected or leaving.
//
// Heartbeats are the primary source. The platform's list of VMs lags behind and is therefore a secondary one: it adds VMs from
// which no heartbeat has come yet and marks VMs as leaving, but it neither raises nor clears a suspicion.
// The package does no I/O and reads no clock: the embedding program passes heartbeats, lists and readings of its monotonic
// clock to a View from one goroutine, and calls View.Prune at intervals.
package membership
