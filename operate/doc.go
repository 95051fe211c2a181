// Command chicoryctl sends operators' statements to a VM of the relay and prints the responses. It never retries a change itself: it
// prints the command ID first, with which the operator can send the same statement again safely.
package main
