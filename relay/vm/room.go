package vm

import (
	"time"

	"github.com/apex/log"

	"github.com/chicoryrelay/chicoryrelay/relay/dispatch"
)

// roomLogInterval is the least time between two log lines on the room at engines: under load, single requests wait again and again.
const roomLogInterval = time.Second

// roomLog logs when requests begin to wait for room at engines, and when none does any more.
type roomLog struct {
	waits    bool
	loggedAt time.Duration
	// waitedAt is the count of waits at the last line.
	waitedAt uint64
}

func (r *roomLog) update(now time.Duration, d *dispatch.Dispatcher, logger log.Interface) {
	waiting, waited := d.Room()
	if waits := waiting > 0; waits == r.waits || r.loggedAt > 0 && now-r.loggedAt < roomLogInterval {
		return
	}
	r.waits, r.loggedAt = !r.waits, now
	entry := logger.WithFields(log.Fields{"waiting": waiting, "waits": waited - r.waitedAt})
	r.waitedAt = waited
	if r.waits {
		entry.Info("engines lack room")
		return
	}
	entry.Info("engines have room")
}
