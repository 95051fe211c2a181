// Package forward serves the requests of routes: it forwards their bodies byte for byte to an upstream of the route's service and
// returns the upstream's answer, without changes to its body or its end-to-end headers.
//
// A Forwarder is an HTTP handler for concurrent requests. It owns the attempts of a request, their retries and resumptions, the
// stall timeouts and the refusals; it does not queue requests. The caller supplies the routing table, the Dialect that reads and
// writes the headers, the connection pool and the PlaceFunc that chooses the upstream of each attempt. The clock is time.Now.
//
// A request that has not run is refused, with Retry-After if another attempt may succeed; a request that may have run and must
// not run twice is never sent again.
package forward
