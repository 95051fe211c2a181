// Package metrics collects the metrics of one VM: prefix cache hits, wasted prefill, latencies, deadlines, refusals by kind, streams,
// connections, leases, peer traffic and configuration versions.
package metrics
