// Package order decides which orders bring engines to their configured model version and role, for engines that the configuration
// lists by name. Package rollout does so for discovered engines.
//
// A Core is a state machine without I/O or a clock and is not safe for concurrent use. Its host runs it on each control VM and
// passes it the configuration in force, the engines' reports, the results of orders, and the state of the order lease before each
// Tick, with times of one monotonic clock. Only the holder of the order lease gets orders to send. The host checks Order.MaySend
// immediately before the first byte and reports the result with SendResult.
package order
