// Package directory knows the discovered upstreams: what the platform's list says, corrected by the upstreams' own reports, and
// how that is told to other VMs.
//
// A Directory is pure and not safe for concurrent use; a List is immutable.
package directory
