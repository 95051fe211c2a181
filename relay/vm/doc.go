// Package vm assembles a VM that finds control VMs through seeds and upstreams through the platform's list, and serves the routes
// of the desired state. An Adapter defines the wire formats towards callers, upstreams, operators and the platform. A VM whose
// configuration lists its upstreams is assembled by the relay's package main instead.
//
// The package owns the listeners, goroutines and timers of a VM and passes the events between the packages that decide: control
// (lease, configuration), directory (discovered upstreams), rollout (weights orders), dispatch and balance (placement). The caller
// provides a settings file and an Adapter, and calls Start and Stop, or Run.
//
// A VM that serves callers exchanges its requests in progress and the cache contents of engines with the other VMs of its cell: all
// VMs with callers of a small system, and those of one region or data centre of a large one.
//
// There are two monotonic clocks, which start a moment apart: that of the control state (control.Host.Now), to which the times of
// leases, orders and list readings belong, and that of the directory and the balance core (state.now).
package vm
