package lease

import "time"

// Holder is one VM's side of its lease.
type Holder struct {
	timing Timing
	vm     string
	boot   uint64

	expiry      time.Duration
	requestedAt time.Duration
	// renewNow requests a renewal before the renewal interval has passed.
	renewNow bool

	// registryTime is the registry's time in the reply to the request that was sent at registryTimeSent.
	registryTime     time.Time
	registryTimeSent time.Duration
	sequence         uint64
}

// HolderOption changes a setting of a Holder.
type HolderOption func(*Holder)

// WithHolderTiming sets the lease's timing; the default is DefaultTiming.
func WithHolderTiming(t Timing) HolderOption { return func(h *Holder) { h.timing = t } }

// NewHolder returns the holder of a VM without a lease; boot must increase with each start of the VM's process, such as
// the wall clock in nanoseconds.
func NewHolder(vm string, boot uint64, opts ...HolderOption) *Holder {
	h := &Holder{timing: DefaultTiming, vm: vm, boot: boot, renewNow: true}
	for _, opt := range opts {
		opt(h)
	}
	return h
}

// Incarnation returns the VM's name and its boot number.
func (h *Holder) Incarnation() Incarnation { return Incarnation{h.vm, h.boot} }

// Valid reports whether the VM holds the lease; the caller checks it before each operation that needs the lease.
func (h *Holder) Valid(now time.Duration) bool { return now < h.expiry }

// Expiry returns when the lease expires.
func (h *Holder) Expiry() time.Duration { return h.expiry }

// RenewalDue reports whether it is time to request the lease.
func (h *Holder) RenewalDue(now time.Duration) bool {
	return h.renewNow || now >= h.requestedAt+h.timing.Renewal
}

// Request returns the request to send now and restarts the renewal interval; installed is the version that the VM has
// installed.
func (h *Holder) Request(now time.Duration, installed uint64) Request {
	h.requestedAt, h.renewNow = now, false
	return Request{VM: h.vm, Boot: h.boot, Installed: installed, Sent: now}
}

// Receive processes a reply and reports whether it belongs to this incarnation. The lease counts from the time at which the
// request was sent, so that a delayed reply does not extend it beyond the granter's record.
func (h *Holder) Receive(reply Reply) bool {
	if reply.VM != h.vm {
		return false
	}
	if reply.Reason == StaleBoot {
		// A reply to a request that was sent before the boot number was raised must not raise it and drop the lease again.
		if reply.Boot <= h.boot {
			return false
		}
		h.boot, h.expiry, h.renewNow = reply.Boot+1, 0, true
		return true
	}
	if reply.Boot != h.boot {
		return false
	}
	h.sequence = max(h.sequence, reply.Sequence)
	// Only the leader's clock counts; that of another control VM may be ahead or behind.
	if reply.Reason != NotLeader && !reply.Time.IsZero() && reply.Sent >= h.registryTimeSent {
		h.registryTime, h.registryTimeSent = reply.Time, reply.Sent
	}
	if reply.Reason == Granted {
		h.expiry = max(h.expiry, reply.Sent+h.timing.subtractMargin(reply.Duration))
	}
	return true
}

// Time returns an upper bound of the leader's registry time, or the zero time before the first reply.
func (h *Holder) Time(now time.Duration) time.Time {
	if h.registryTime.IsZero() {
		return h.registryTime
	}
	return h.registryTime.Add(now - h.registryTimeSent)
}

// Sequence returns the highest ledger sequence number of the replies received.
func (h *Holder) Sequence() uint64 { return h.sequence }

// Release releases the lease; a VM calls it at shutdown.
func (h *Holder) Release() { h.expiry = 0 }
