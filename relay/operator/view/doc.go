// Package view evaluates the queries of operators on in-memory tables. The caller supplies a function for the rows of each table, which
// must be safe for concurrent use.
package view
