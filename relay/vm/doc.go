// Package vm puts a VM together that finds control VMs through seeds and upstreams through the platform's list, and serves the
// routes of the desired state. What callers, upstreams, operators and the platform say on the wire is an Adapter's matter.
package vm
