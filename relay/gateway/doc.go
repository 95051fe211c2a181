// Package gateway is the HTTP API for callers: it relays text requests to engines and calls to plain services.
//
// A Gateway serves concurrent requests. It owns the authentication of callers, the attempts and resumptions of text requests, the
// answers and the refusals. Its caller supplies the configuration, the function that admits each attempt and chooses its upstream,
// the function that runs non-idempotent calls, and the upstream client.
//
// A Booker is that function's implementation: it drives one booking.Core for each attempt of a call, with the VM's monotonic clock,
// and submits the core's commands to the ledger. At shutdown its Close follows the last request.
package gateway
