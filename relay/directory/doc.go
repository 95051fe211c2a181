// Package directory merges the platform's list of discovered upstreams with the upstreams' own reports, and encodes the result for
// other VMs.
//
// A Directory does no I/O, reads no clock and is not safe for concurrent use; a List is immutable.
package directory
