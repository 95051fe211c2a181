package lease

import "time"

// Request asks for a lease or its renewal and acknowledges the installed version.
type Request struct {
	VM string
	// Boot increases with each start of the VM's process, so that messages of earlier incarnations are recognised.
	Boot      uint64
	Installed uint64
	// Sent is the holder's clock when it sent the request; the reply returns it.
	Sent time.Duration
}

// Reason is the result of a lease request: granted, or why not.
type Reason uint8

// The results of a lease request.
const (
	// Granted means that the lease was granted.
	Granted Reason = iota
	// NotLeader means that the VM is not the leader, or that no quorum has confirmed it recently: ask another control VM.
	NotLeader
	// Outdated means that a newer version must be installed first.
	Outdated
	// StaleBoot means that a newer incarnation of the VM has sent a request: use a boot number above the one in the reply.
	StaleBoot
)

// Reply is the leader's answer to a Request.
type Reply struct {
	VM   string
	Boot uint64
	Sent time.Duration
	// Reason is Granted, or why no lease was granted.
	Reason Reason
	// Duration is the length of the granted lease, counted from Sent.
	Duration time.Duration
	// Newest is the newest committed version.
	Newest uint64
	// Time is the time of the leader's registry, set by the caller of Grant; holders compute deadlines of claims from it.
	Time time.Time
	// Sequence is the leader's ledger.Machine.Sequence, set by the caller of Grant.
	Sequence uint64
}

// Incarnation identifies one start of a VM's process.
type Incarnation struct {
	VM   string
	Boot uint64
}

// Timing is the lease's duration, renewal interval and clock margin; it must be equal on granters and holders.
type Timing struct {
	// Duration is the length of a lease.
	Duration time.Duration
	// Renewal is the interval at which a holder requests renewal.
	Renewal time.Duration
	// Margin is the largest deviation of a clock's rate, in parts per thousand.
	Margin int64
}

// DefaultTiming is a lease of 6 s, renewed every 2 s, for clocks whose rate deviates by up to 1%.
var DefaultTiming = Timing{Duration: 6 * time.Second, Renewal: 2 * time.Second, Margin: 10}

// addMargin returns the time that must elapse on a clock that may be fast for at least d to have passed in true time.
func (t Timing) addMargin(d time.Duration) time.Duration {
	return d + d*time.Duration(t.Margin)/1000
}

// subtractMargin returns the time that may elapse on a clock that may be slow while at most d passes in true time.
func (t Timing) subtractMargin(d time.Duration) time.Duration {
	return d - d*time.Duration(t.Margin)/1000
}
