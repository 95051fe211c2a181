// Command chicoryrelay routes language-model requests and calls to plain services from callers to upstreams. It assembles a VM whose
// settings name the control VMs and whose configuration lists the upstreams; package relay/vm assembles one that discovers both.
//
// The package owns the listeners and the polling of upstreams, and passes events between the packages that decide. The components
// start in the order control plane, orders, polling, metrics, operators, callers, and stop in the reverse order, so that everything
// that serves a request in progress runs until the request ends. Lease times, report times and order times are readings of the
// monotonic clock of control.Host.
package main
