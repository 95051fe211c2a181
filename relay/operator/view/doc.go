// Package view evaluates the queries of operators on in-memory tables.
package view
