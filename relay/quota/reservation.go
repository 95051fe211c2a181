package quota

import (
	"math"
	"slices"
	"time"
)

// State is the state of a reservation.
type State uint8

// The states.
const (
	// Waiting means that the leader has been asked for the tokens.
	Waiting State = iota
	// Reserved means that the request may be sent as far as its account's rate is concerned.
	Reserved
	// Refused means that the request must not be sent.
	Refused
	// Spent means that the request was sent.
	Spent
	// Ended means that the reservation was returned, or that its request has run.
	Ended
)

// source is where the tokens of a reservation come from.
type source uint8

const (
	fromCurrent source = iota
	fromPrevious
	fromFloor
)

// Reservation is the reservation of one request.
type Reservation struct {
	State State
	// Wait is, once refused, the time until the request fits into the rate.
	Wait time.Duration

	account *account
	cost    uint64
	urgency int
	giveUp  time.Duration
	// asked is set once a request to the leader has named the reservation as a need.
	asked  bool
	source source
	// session and epoch are those of the holding that the tokens came from.
	session sessionID
	epoch   int
	// spentAt and sequence are the time of the charge and the number of the last request sent to the leader before.
	spentAt  time.Duration
	sequence uint64
}

// Cost returns the tokens of the request.
func (r *Reservation) Cost() uint64 { return r.cost }

// Urgency returns the urgency of the request; 0 is the most urgent.
func (r *Reservation) Urgency() int { return r.urgency }

const (
	// leaderSilence is the time without an answer after which a VM uses its floor.
	leaderSilence = time.Second
	// unknownWait is the Retry-After of a refusal without an answer of the leader: an election takes about as long.
	unknownWait = time.Second
)

// Reserve takes the tokens of a request at once if the VM holds them, refuses it if it does not fit into the rate, or else lets it wait
// for the leader's answer at most for the given time.
func (h *Holder) Reserve(at Clock, name string, cost uint64, urgency int, wait time.Duration) *Reservation {
	a := h.accounts[name]
	r := &Reservation{account: a, cost: cost, urgency: max(0, urgency), giveUp: at.Now + wait, State: Reserved}
	if a == nil || !a.limited || cost == 0 {
		r.cost = 0
		return r
	}
	h.prepare(at, a)
	r.State = Waiting
	if float64(cost) > h.rules.maxCost(a.limit) {
		h.refuse(at, r, maxWait)
		return r
	}
	a.demand.add(at.Now, cost)
	blocked := len(a.waiting) > 0 && a.waiting[0].urgency <= r.urgency
	if !blocked && h.take(at, r) {
		return r
	}
	if until := a.deniedUntil(at.Now, cost, r.urgency); until > 0 {
		h.refuse(at, r, until-at.Now)
		return r
	}
	if h.leaderless(at.Now) && len(a.waiting) > 0 {
		// One request asks whether there is a leader again.
		h.refuse(at, r, unknownWait)
		return r
	}
	i, _ := slices.BinarySearchFunc(a.waiting, r.urgency+1, func(w *Reservation, urgency int) int { return w.urgency - urgency })
	a.waiting = slices.Insert(a.waiting, i, r)
	return r
}

// take reserves the tokens from what the VM holds, and without a leader from its floor.
func (h *Holder) take(at Clock, r *Reservation) bool {
	a := r.account
	switch {
	case h.previous.valid(at) && a.previous.free() >= r.cost:
		a.previous.reserved += r.cost
		r.source, r.session, r.epoch = fromPrevious, h.previous.id, a.previous.epoch
	case h.current.valid(at) && a.current.free() >= r.cost:
		a.current.reserved += r.cost
		r.source, r.session, r.epoch = fromCurrent, h.current.id, a.current.epoch
	case h.leaderless(at.Now) && a.floor.level >= float64(r.cost):
		a.floor.level -= float64(r.cost)
		a.floor.reserved += r.cost
		r.source = fromFloor
	default:
		return false
	}
	r.State = Reserved
	return true
}

// holding returns the holding that a reservation's tokens came from; nil if they are void.
func (h *Holder) holding(at Clock, r *Reservation) *holding {
	for _, candidate := range []struct {
		session *sessionState
		holding *holding
	}{{&h.current, &r.account.current}, {&h.previous, &r.account.previous}} {
		if candidate.session.id == r.session && candidate.holding.epoch == r.epoch && candidate.session.valid(at) {
			return candidate.holding
		}
	}
	return nil
}

// Spend charges the request, which is about to be sent, and reports whether it may be. Tokens that have become void meanwhile are taken
// again if the VM holds enough. A request is charged once, however often it is sent.
func (h *Holder) Spend(at Clock, r *Reservation) bool {
	if r.State == Spent {
		return true
	}
	if r.State != Reserved {
		return false
	}
	if r.cost == 0 {
		r.State = Spent
		return true
	}
	h.prepare(at, r.account)
	from := h.reservedFrom(at, r)
	if from == nil && r.source != fromFloor {
		r.State = Waiting
		if !r.account.limited {
			r.State, r.cost = Spent, 0
			return true
		}
		if !h.take(at, r) {
			h.refuse(at, r, unknownWait)
			return false
		}
		from = h.reservedFrom(at, r)
	}
	if from == nil {
		r.account.floor.reserved -= r.cost
	} else {
		from.reserved -= r.cost
		from.spent += r.cost
	}
	r.State, r.spentAt, r.sequence = Spent, at.Now, h.sequence
	h.counts.Spent += r.cost
	return true
}

func (h *Holder) reservedFrom(at Clock, r *Reservation) *holding {
	if r.source == fromFloor {
		return nil
	}
	return h.holding(at, r)
}

// Return ends a reservation whose request has not run: it was never sent, or every upstream that got it declared so. Tokens charged before
// the leader's last request are reported, since the bucket may have filled up meanwhile.
func (h *Holder) Return(at Clock, r *Reservation) {
	state := r.State
	r.State = Ended
	if r.cost == 0 {
		return
	}
	a := r.account
	h.prepare(at, a)
	switch {
	case state == Waiting:
		a.waiting = slices.DeleteFunc(a.waiting, func(w *Reservation) bool { return w == r })
	case r.source == fromFloor:
		// A charge to the floor stays, since its bucket may have filled up meanwhile.
		if state == Reserved {
			a.floor.reserved -= r.cost
			a.floor.level += float64(r.cost)
		}
	case state == Reserved:
		if from := h.holding(at, r); from != nil {
			from.reserved -= r.cost
		}
	case state == Spent:
		h.refund(at, r)
	}
	h.assign(at, a)
}

func (h *Holder) refund(at Clock, r *Reservation) {
	from := h.holding(at, r)
	switch {
	case from == nil:
	case r.sequence == h.sequence:
		// The charge has not been reported.
		from.spent -= r.cost
		h.counts.Returned += r.cost
	case from == &r.account.current:
		from.refund(r.cost, r.spentAt)
		h.counts.Returned += r.cost
	}
}

// End ends a reservation whose request has run, or may have.
func (h *Holder) End(r *Reservation) { r.State = Ended }

// assign gives waiting requests the tokens that the VM holds, by urgency and arrival. It stops at the first that gets none.
func (h *Holder) assign(at Clock, a *account) {
	for len(a.waiting) > 0 && h.take(at, a.waiting[0]) {
		h.resolve(a.waiting[0])
	}
}

// resolve removes a reservation from those that wait.
func (h *Holder) resolve(r *Reservation) {
	a := r.account
	a.waiting = slices.DeleteFunc(a.waiting, func(w *Reservation) bool { return w == r })
	h.resolved = append(h.resolved, r)
}

func (h *Holder) refuse(at Clock, r *Reservation, wait time.Duration) {
	r.State, r.Wait = Refused, max(minWait, wait)
	h.counts.Refused++
	a := r.account
	a.refusedAt = at.Now
	if !a.atLimit {
		a.atLimit = true
		h.events = append(h.events, Event{Account: a.name, Limited: true})
	}
}

// advanceFloor lets the floor grow; without a leader only, from nothing each time the leader falls silent.
func (h *Holder) advanceFloor(now time.Duration, a *account) {
	if !h.leaderless(now) || h.vms == 0 || !a.limited {
		a.floor.level, a.floor.at = 0, now
		return
	}
	rate, capacity := h.rules.floor(a.limit, h.vms)
	room := math.Max(0, capacity-float64(a.floor.reserved))
	a.floor.level = math.Min(a.floor.level+rate*max(0, now-a.floor.at).Seconds(), room)
	a.floor.at = max(a.floor.at, now)
}
