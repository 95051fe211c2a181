// Package gateway is the HTTP API for callers: it relays text requests to engines and calls to plain services.
package gateway
