// Package settings reads and validates the settings file of a VM, JSON with comments. It has no state and checks no other VM's file:
// settings that must be equal on all VMs are the operators' responsibility.
package settings
