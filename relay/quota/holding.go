package quota

import (
	"math"
	"time"

	"github.com/chicoryrelay/chicoryrelay/relay/peer"
)

// Clock is one reading of a VM's clocks. The monotonic one may stand still while the machine is suspended, the wall clock may be set.
type Clock struct {
	Now  time.Duration
	Wall time.Time
}

// add returns the reading after a duration.
func (c Clock) add(d time.Duration) Clock { return Clock{Now: c.Now + d, Wall: c.Wall.Add(d)} }

// reached reports whether one of the clocks shows that a time has come.
func (c Clock) reached(t Clock) bool { return c.Now >= t.Now || !c.Wall.Before(t.Wall) }

// holding has a VM's tokens of an account in one session of a leader.
type holding struct {
	granted, spent, released, refunded uint64
	// reserved is the part of what is held that waiting requests will spend.
	reserved uint64
	// epoch grows when the reservations made so far become void.
	epoch int
	// acknowledged are the counters that the leader has answered, reported those that it will have with the answer to a request.
	acknowledged, reported counters
	// reportedIn is the number of that request; 0 if none is awaited.
	reportedIn uint64
	// refundFrom is when the oldest charge among the refunds that are not acknowledged was made, unreportedFrom the one among those since
	// the counters in reported; zero without one.
	refundFrom, unreportedFrom time.Duration
}

type counters struct{ spent, released, refunded uint64 }

func (h *holding) counters() counters { return counters{h.spent, h.released, h.refunded} }

// report notes that a request has the counters.
func (h *holding) report(sequence uint64) {
	if h.reportedIn == 0 {
		h.reported, h.reportedIn, h.unreportedFrom = h.counters(), sequence, 0
	}
}

// acknowledge notes that a request with the account was answered; those after the one in reportedIn have its counters or higher ones.
func (h *holding) acknowledge(sequence uint64) {
	if h.reportedIn > 0 && sequence >= h.reportedIn {
		h.acknowledged, h.refundFrom, h.reportedIn = h.reported, h.unreportedFrom, 0
	}
}

// refund counts a charge that was reported and is returned.
func (h *holding) refund(cost uint64, chargedAt time.Duration) {
	h.refunded += cost
	if h.refundFrom == 0 || chargedAt < h.refundFrom {
		h.refundFrom = chargedAt
	}
	if h.unreportedFrom == 0 || chargedAt < h.unreportedFrom {
		h.unreportedFrom = chargedAt
	}
}

// free is what is held and not reserved.
func (h *holding) free() uint64 { return h.granted - h.spent - h.released - h.reserved }

// void makes the reservations void and gives back all that is held.
func (h *holding) void() (tokens uint64) {
	h.reserved = 0
	h.epoch++
	tokens = h.free()
	h.released += tokens
	return tokens
}

// keep makes the reservations void and drops all but a share of what is held, which the account does not get back.
func (h *holding) keep(share float64) {
	h.reserved = 0
	h.epoch++
	dropped := h.free() - whole(float64(h.free())*share)
	h.spent += dropped
}

// demand measures the tokens of the requests that arrived within demandSpan.
type demand struct {
	slots [demandSlots]uint64
	slot  int64
}

// demandSpan is the time whose demand a VM may hold tokens for.
const (
	demandSlots = 5
	demandSlot  = 100 * time.Millisecond
	demandSpan  = demandSlots * demandSlot
)

func (d *demand) advance(now time.Duration) {
	slot := int64(now / demandSlot)
	for n := max(d.slot+1, slot-demandSlots+1); n <= slot; n++ {
		d.slots[n%demandSlots] = 0
	}
	d.slot = max(d.slot, slot)
}

func (d *demand) add(now time.Duration, cost uint64) {
	d.advance(now)
	d.slots[d.slot%demandSlots] += cost
}

func (d *demand) sum(now time.Duration) (tokens uint64) {
	d.advance(now)
	for _, n := range d.slots {
		tokens += n
	}
	return tokens
}

// floor is the bucket that an account has on a VM without a leader.
type floor struct {
	level float64
	at    time.Duration
	// reserved are the tokens taken from it that have not been spent.
	reserved uint64
}

// account is a VM's state of one limited account.
type account struct {
	name  string
	limit Limit
	// limited is false once the account has no limit any more.
	limited  bool
	current  holding
	previous holding
	floor    floor
	demand   demand
	waiting  []*Reservation
	denials  map[int]denial
	// reportedAt is when a request to the leader last named the account.
	reportedAt time.Duration
	// refusedAt is when a request was last refused, atLimit is set until that has been long ago.
	refusedAt time.Duration
	atLimit   bool
}

// denial is a need that the leader did not grant.
type denial struct {
	cost  uint64
	until time.Duration
}

// deniedUntil returns until when requests of the cost and urgency would get nothing; 0 if they may.
func (a *account) deniedUntil(now time.Duration, cost uint64, urgency int) time.Duration {
	var until time.Duration
	for u, d := range a.denials {
		if u <= urgency && cost >= d.cost && now < d.until {
			until = max(until, d.until)
		}
	}
	return until
}

// setLimit changes the limit and lowers what is held in proportion.
func (a *account) setLimit(limit Limit, limited bool) {
	share := 0.0
	if limited {
		share = kept(a.limit, limit)
	}
	if share < 1 {
		a.current.keep(share)
		a.previous.keep(share)
		a.floor.level = math.Min(a.floor.level, a.floor.level*share)
	}
	a.limit, a.limited = limit, limited
	clear(a.denials)
}

// active reports whether the leader must hear of the account. It does not answer for one without a limit; the counters are reported once
// the account has a limit again.
func (a *account) active() bool {
	h := &a.current
	return a.limited && (h.granted > h.spent+h.released || h.counters() != h.acknowledged)
}

// unused reports whether the account has no state that Tick and Poll must look at.
func (a *account) unused(now time.Duration) bool {
	return len(a.waiting) == 0 && !a.atLimit && !a.active() && a.previous.granted == 0 && a.floor.reserved == 0 && a.demand.sum(now) == 0
}

// use builds the account's part of a request. What is held beyond the recent demand is given back.
func (a *account) use(now time.Duration, sequence uint64) *peer.QuotaUse {
	h := &a.current
	a.reportedAt = now
	demanded := a.demand.sum(now)
	use := &peer.QuotaUse{Account: a.name}
	if free := h.free(); free > demanded {
		h.released += free - demanded
	} else if a.limited {
		use.Want = demanded - free
	}
	if h.refundFrom > 0 {
		use.RefundAge = uint32((now - h.refundFrom).Milliseconds()) + 1
	}
	h.report(sequence)
	use.Granted, use.Spent, use.Released, use.Refunded = h.granted, h.spent, h.released, h.refunded
	for i, r := range a.waiting {
		if i == 0 || a.waiting[i-1].urgency != r.urgency {
			use.Needs = append(use.Needs, &peer.QuotaNeed{Urgency: uint32(r.urgency)})
		}
		need := use.Needs[len(use.Needs)-1]
		need.Costs = append(need.Costs, r.cost)
		r.asked = true
	}
	// What waits is asked for as a need.
	use.Want -= min(use.Want, a.waitingCost())
	return use
}

func (a *account) waitingCost() (cost uint64) {
	for _, r := range a.waiting {
		cost += r.cost
	}
	return cost
}
