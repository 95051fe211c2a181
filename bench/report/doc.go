// Package report aggregates the outcomes of a run into a report of six groups of measurements and compares reports.
package report
