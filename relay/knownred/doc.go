// Package knownred tells the test suites which of their specs KNOWN-RED.txt lists, so that CI passes over these and no others.
package knownred
