// Package experiment simulates a trace with routers and engines on a virtual clock and reports the measurements.
//
// Run calls the routers and steps the engines from one goroutine, so neither needs locks. Calls to plain services are left out.
// Equal settings and routers give equal reports.
package experiment
