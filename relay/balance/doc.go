// Package balance chooses among the replicas of plain services by expected time to answer.
//
// The core is pure and not safe for concurrent use: the time comes with each call.
package balance
