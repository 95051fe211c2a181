// Package report aggregates the outcomes of a run into a report and compares reports.
//
// The measurements are in six groups: prefix hits, times to first token, wasted tokens, peak requests within their deadline, short
// requests beside long ones, and requests while some upstreams are slowed.
package report
