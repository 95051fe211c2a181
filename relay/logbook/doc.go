// Package logbook writes log lines of key=value pairs without ever blocking the caller: lines beyond a budget, or that a full
// pipe holds up, are dropped and counted.
package logbook
