// Package upstream is the HTTP client for model engines and plain services, with timeouts for connections that stop responding.
package upstream
