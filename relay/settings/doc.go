// Package settings reads and validates the settings file of a VM, JSON with comments.
package settings
