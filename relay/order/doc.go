// Package order decides which orders bring engines to their configured model version and role. Only the holder of the order lease
// sends them; the package does no I/O.
package order
