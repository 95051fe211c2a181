// Package experiment simulates a trace with routers and engines on a virtual clock and reports the measurements.
//
// Equal settings and routers give equal reports.
package experiment
