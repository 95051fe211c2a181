package quota

import (
	"math"
	"time"
)

// Limit is the limit of one account, in units: tokens or requests. Accounts without a limit are left out of Limits.
type Limit struct {
	// Rate is in units per second.
	Rate  float64
	Burst float64
}

// Limits are the limits by the account's name. A Limits is not changed once it is in use.
type Limits map[string]Limit

// Rules are the settings that all VMs share.
type Rules struct {
	// Window, Overage and Slack bound what is sent in any window: (rate x window + burst) x (1 + overage) + slack.
	Window  time.Duration
	Overage float64
	Slack   float64
	// Validity is how long held tokens are valid after the VM sent the last request that the leader answered.
	Validity time.Duration
	// Margin is the largest deviation of a clock's rate, in parts per thousand.
	Margin int64
}

const (
	// capacityShare, interimShare and floorShare divide what the overage adds to the rate in one window: the capacity beyond the burst,
	// what a new leader grants while VMs may hold the burst of the leader before it, and what VMs without a leader send. They sum to 1.
	capacityShare = 0.5
	interimShare  = 0.25
	floorShare    = 0.25
	// floorWindows is the capacity of a VM's floor in windows. What it sends in a window is at most its capacity and its rate for the
	// window, so that its rate is floorShare / (1 + floorWindows).
	floorWindows = 0.25
	// urgencyReserve is the share of the burst reserved against each of the first maxReserves steps of urgency.
	urgencyReserve = 0.25
	maxReserves    = 2
)

// windowOverage is what the overage adds to the rate in one window.
func (r Rules) windowOverage(l Limit) float64 { return r.Overage * l.Rate * r.Window.Seconds() }

// capacity is the most that the level of a bucket and the tokens held by VMs come to.
func (r Rules) capacity(l Limit) float64 { return l.Burst + capacityShare*r.windowOverage(l) }

// interim is the capacity of a leader's bucket while VMs may hold tokens of an earlier leader.
func (r Rules) interim(l Limit) float64 {
	return interimShare*r.windowOverage(l) + r.Overage*l.Burst/2 + r.Slack/4
}

// debt returns how far a grant may overdraw a bucket: below a level that is not full, and below a full one. An earlier leader's debt is
// forgotten, so a leader makes half of it until no window has tokens of an earlier one.
func (r Rules) debt(l Limit, age time.Duration) (partial, full float64) {
	if age < r.Window+r.expiry() {
		return r.Slack / 4, r.Slack / 4
	}
	return r.Slack / 2, r.Slack/2 + r.Overage*l.Burst/2
}

// maxCost is the cost of the largest request that can be granted.
func (r Rules) maxCost(l Limit) float64 {
	_, full := r.debt(l, r.Window+r.expiry())
	return r.capacity(l) + full
}

// floor returns the rate and the capacity of the bucket that one of a number of VMs has without a leader.
func (r Rules) floor(l Limit, vms int) (rate, capacity float64) {
	rate = floorShare / (1 + floorWindows) * r.Overage * l.Rate / float64(vms)
	return rate, rate * floorWindows * r.Window.Seconds()
}

// expiry is the time on the leader's clock after which a VM's tokens are no longer valid on its own.
func (r Rules) expiry() time.Duration {
	return r.Validity + 2*r.Validity*time.Duration(r.Margin)/1000
}

// kept returns the share of the tokens that stays valid under a changed limit.
func kept(before, after Limit) float64 {
	share := 1.0
	if after.Rate < before.Rate {
		share = min(share, after.Rate/before.Rate)
	}
	if after.Burst < before.Burst {
		share = min(share, after.Burst/before.Burst)
	}
	return share
}

// whole returns the whole tokens of an amount that is not negative.
func whole(amount float64) uint64 {
	if amount <= 0 {
		return 0
	}
	return uint64(math.Floor(amount))
}
