// Package forward serves the requests of routes: it forwards them byte for byte to an upstream of the route's service and
// returns the upstream's answer unchanged.
//
// Which headers say what is a Dialect's matter; where a request goes is asked of a placement function. A request that has not run
// is refused at once with the time to come back; one that may have run and can't be repeated is never sent again.
package forward
