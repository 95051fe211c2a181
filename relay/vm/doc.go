// Package vm assembles a VM that finds control VMs through seeds and upstreams through the platform's list, and serves the routes
// of the desired state. An Adapter defines the wire formats towards callers, upstreams, operators and the platform.
package vm
