// Package routing is the pure decision core: it sends each request to an upstream, queues it in the VM, or refuses it.
//
// The core is driven by messages alone and is deterministic for a given random source. It is not safe for concurrent use.
package routing
