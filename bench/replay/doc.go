// Package replay sends the requests of a trace to relays or engines at their arrival times and checks every answer.
package replay
