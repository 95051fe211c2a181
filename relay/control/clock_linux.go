package control

import (
	"time"

	"golang.org/x/sys/unix"
)

// bootClock returns the time since the machine started. Unlike Go's monotonic clock it continues while the machine is suspended, so that
// no lease outlasts that.
func bootClock() time.Duration {
	var t unix.Timespec
	// The clock exists since Linux 2.6.39, so that the call does not fail.
	_ = unix.ClockGettime(unix.CLOCK_BOOTTIME, &t)
	return time.Duration(t.Nano())
}
