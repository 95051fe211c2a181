// Command chicoryctl sends operators' statements to a VM of the relay and prints the responses.
package main
