// Package settings reads and validates the settings file of a VM, JSON with comments. It has no state and checks no other VM's file:
// settings that must be equal on all VMs are the operators' responsibility.
//
// Some settings apply only to the VMs that package relay/vm assembles: store, the group discovered, the listeners ready, requests and
// metrics, routing.room, the times stop, orders, weights and repair, and the limits retries, slack and lines.
package settings
