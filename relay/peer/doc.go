// Package peer sends messages between VMs over yamux sessions and replaces sessions whose heartbeats time out.
package peer
