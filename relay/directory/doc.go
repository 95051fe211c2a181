// Package directory merges the platform's list of discovered upstreams with the upstreams' own reports, and encodes the result for
// other VMs.
//
// A Directory does no I/O, reads no clock and is not safe for concurrent use; its caller reads the list, receives the reports, and
// passes times of one clock that does not go back. A List is an immutable index of the merged upstreams, which goroutines may share.
package directory
