// Package balance chooses among the replicas of plain services by expected time to answer.
//
// The core does no input or output and reads no clock: each call passes the time. It is not safe for concurrent use.
package balance
