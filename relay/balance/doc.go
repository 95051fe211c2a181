// Package balance chooses among the replicas of plain services by expected time to answer.
//
// For each request the caller calls Choose, sends the request, and reports it with Sent and then with exactly one of Completed,
// Failed, Refused and Cancelled. Prune frees the state of replicas that are no longer used.
//
// The core does no input or output and reads no clock: each call passes the time. It is not safe for concurrent use.
package balance
