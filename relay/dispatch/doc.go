// Package dispatch runs the routing core in one goroutine and passes its decisions to the goroutines that forward requests.
package dispatch
