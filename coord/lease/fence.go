package lease

import "time"

// Fence is the replicated state of the order lease: its fencing number and its holder.
type Fence struct {
	// Number is the current fencing number; 0 means that no VM has acquired the order lease yet.
	Number uint64
	Holder Incarnation
}

// Acquire applies a committed request for the order lease and returns the new state; the number increases only when the
// holder changes.
func (f *Fence) Acquire(incarnation Incarnation) Fence {
	if f.Holder != incarnation || f.Number == 0 {
		f.Number++
		f.Holder = incarnation
	}
	return *f
}

// OrderLease decides whether a VM may send orders to engines under the order lease.
type OrderLease struct {
	timing     Timing
	maxTransit time.Duration

	// number is the VM's fencing number; 0 means that it does not hold the lease.
	number uint64
	// proposedAt is when the VM proposed the request that acquired the lease.
	proposedAt time.Duration
	// confirmed is when the leader sent the newest message that a quorum has acknowledged.
	confirmed time.Duration
}

// OrderLeaseOption changes a setting of an OrderLease.
type OrderLeaseOption func(*OrderLease)

// WithOrderLeaseTiming sets the lease's timing; the default is DefaultTiming.
func WithOrderLeaseTiming(t Timing) OrderLeaseOption { return func(o *OrderLease) { o.timing = t } }

// WithMaxTransit sets the longest time that an order may be in transit; the default is 5 s.
func WithMaxTransit(d time.Duration) OrderLeaseOption {
	return func(o *OrderLease) { o.maxTransit = d }
}

// NewOrderLease returns the order lease of a VM that does not hold it.
func NewOrderLease(opts ...OrderLeaseOption) *OrderLease {
	o := &OrderLease{timing: DefaultTiming, maxTransit: 5 * time.Second}
	for _, opt := range opts {
		opt(o)
	}
	return o
}

// Acquired records that the request for the order lease that this VM proposed at the given time was applied with the fencing
// number; a number that is not higher than the current one is ignored.
func (o *OrderLease) Acquired(proposed time.Duration, number uint64) {
	if number > o.number {
		o.number, o.proposedAt, o.confirmed = number, proposed, max(o.confirmed, proposed)
	}
}

// Confirm records that a quorum acknowledged a heartbeat round that this leader sent at the given time.
func (o *OrderLease) Confirm(sent time.Duration) { o.confirmed = max(o.confirmed, sent) }

// Release releases the order lease; the VM calls it when it is no longer the leader.
func (o *OrderLease) Release() { o.number = 0 }

// FencingNumber returns the fencing number and whether an order may be sent now. An engine that does not reject old fencing
// numbers (fenced is false) gets no order until the previous holder's lease has expired and its last orders have arrived.
func (o *OrderLease) FencingNumber(now time.Duration, fenced bool) (uint64, bool) {
	// The margin is subtracted twice because this VM's clock may be slow while the next holder's is fast.
	if o.number == 0 || now >= o.confirmed+o.timing.subtractMargin(o.timing.subtractMargin(o.timing.Duration)) {
		return 0, false
	}
	if !fenced && now < o.proposedAt+o.timing.addMargin(o.timing.Duration+o.maxTransit) {
		return 0, false
	}
	return o.number, true
}
