// Package logbook writes log entries as lines of key=value pairs and never blocks its callers: lines over a rate limit, and lines
// that a slow output cannot take, are dropped and counted.
package logbook
