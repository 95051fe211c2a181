// Package upstream is the HTTP client for model engines and plain services, with timeouts for connections that stop responding.
//
// A Client is safe for concurrent use. It leaves the choice of upstreams and all retries to its caller, except those that net/http
// makes by itself on a reused connection. Text requests, idempotent calls, load reports and KV cache transfers use pooled
// connections. Calls that run at most once and orders each use a new connection, so that an error states whether a byte may have
// been sent. It does not use package connection, the pool for package forward.
package upstream
