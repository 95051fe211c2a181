//go:build !linux

package control

import "time"

var processStart = time.Now()

// bootClock returns the time since the process started.
func bootClock() time.Duration { return time.Since(processStart) }
