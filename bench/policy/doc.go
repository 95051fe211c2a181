// Package policy adapts the relay's routing core to the experiment's Router, to compare routing policies on equal traces.
package policy
