// Package forward serves the requests of routes: it forwards them byte for byte to an upstream of the route's service and
// returns the upstream's answer unchanged.
//
// A Dialect defines the headers, and a placement function chooses the upstream of each request. A request that has not run is
// refused with Retry-After; a request that may have run and must not run twice is never sent again.
package forward
