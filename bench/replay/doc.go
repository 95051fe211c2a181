// Package replay sends the requests of a trace to relays or engines at their arrival times and checks every answer.
//
// It is an open-loop load generator: each request is sent at its time, however many others are in progress.
package replay
