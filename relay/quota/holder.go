package quota

import (
	"maps"
	"slices"
	"time"

	"github.com/chicoryrelay/chicoryrelay/relay/peer"
)

const (
	// minSendInterval is the least time between two requests to the leader, resendInterval the time after which one without an answer is
	// sent again while requests wait for it.
	minSendInterval = 10 * time.Millisecond
	resendInterval  = 100 * time.Millisecond
	// minReportInterval is the least interval at which a VM reports an account of which it holds or spends tokens; it grows by
	// reportIntervalPerVM, so that the leader's work does not grow with the number of VMs.
	minReportInterval   = 200 * time.Millisecond
	reportIntervalPerVM = 2 * time.Millisecond
	// maxDenial limits how long a denial holds on a VM: other VMs may give tokens back meanwhile.
	maxDenial = time.Second
)

// Counts are the totals of a VM since its start, in tokens but for Refused and Messages.
type Counts struct {
	Granted, Spent, Returned, Expired uint64
	// Refused is the number of refused requests, Messages the number of requests sent to the leader.
	Refused, Messages uint64
}

type sessionID struct{ term, session uint64 }

func (s sessionID) before(other sessionID) bool {
	return s.term < other.term || s.term == other.term && s.session < other.session
}

// sessionState is a session with a leader.
type sessionState struct {
	id sessionID
	// expiry is when the tokens of the session cease to be valid.
	expiry  Clock
	expired bool
}

func (s *sessionState) valid(at Clock) bool { return s.id.session > 0 && !at.reached(s.expiry) }

// sent is a request to the leader that was not answered yet.
type sent struct {
	sequence uint64
	at       Clock
}

// Holder is a VM's side. It is driven under one lock.
type Holder struct {
	rules    Rules
	boot     uint64
	vms      int
	accounts map[string]*account
	// live are the accounts with requests, tokens or counters that the leader must hear of.
	live     map[string]*account
	current  sessionState
	previous sessionState
	sequence uint64
	sentAt   time.Duration
	// unanswered are the requests since the last answer, in order; silentSince is the time of the first of them.
	unanswered  []sent
	silentSince time.Duration
	silent      bool
	resolved    []*Reservation
	events      []Event
	counts      Counts
}

// NewHolder returns the holder of a VM's boot, without limits.
func NewHolder(rules Rules, boot uint64) *Holder {
	return &Holder{rules: rules, boot: boot, accounts: map[string]*account{}, live: map[string]*account{}}
}

// SetLimits replaces the limits. What is held of an account whose limit is lowered is lowered in proportion.
func (h *Holder) SetLimits(at Clock, limits Limits) {
	h.Tick(at)
	for name, limit := range limits {
		a := h.accounts[name]
		if a == nil {
			a = &account{name: name, limit: limit, limited: true, denials: map[int]denial{}}
			h.accounts[name] = a
		}
		if a.limit != limit || !a.limited {
			a.setLimit(limit, true)
			h.track(at.Now, a)
		}
	}
	for name, a := range h.accounts {
		if _, ok := limits[name]; !ok && a.limited {
			a.setLimit(a.limit, false)
			for len(a.waiting) > 0 {
				r := a.waiting[0]
				r.State, r.cost = Reserved, 0
				h.resolve(r)
			}
		}
	}
}

// SetVMs sets the number of VMs with callers. The largest number so far counts: VMs that are cut off leave the roster and have a floor
// too. Without a number there is no floor.
func (h *Holder) SetVMs(vms int) { h.vms = max(h.vms, vms) }

// leaderless reports whether no request has been answered for some time.
func (h *Holder) leaderless(now time.Duration) bool {
	return h.Unanswered(now, leaderSilence)
}

// Unanswered reports whether requests to the leader have gone unanswered for a time.
func (h *Holder) Unanswered(now, d time.Duration) bool { return h.silent && now >= h.silentSince+d }

// prepare brings the state of an account that a call is about up to date.
func (h *Holder) prepare(at Clock, a *account) {
	if h.silent && at.Now >= h.sentAt+h.rules.Validity {
		// The leader was not asked for so long that its silence says nothing about now.
		h.silent, h.unanswered = false, nil
	}
	h.expire(at)
	h.track(at.Now, a)
	h.advanceFloor(at.Now, a)
}

// track adds an account to the live ones, with an empty floor.
func (h *Holder) track(now time.Duration, a *account) {
	if h.live[a.name] == nil {
		h.live[a.name] = a
		a.floor.level, a.floor.at = 0, now
	}
}

// Tick handles what is due: tokens that are no longer valid, waits that are over, floors.
func (h *Holder) Tick(at Clock) {
	h.expire(at)
	for name, a := range h.live {
		h.advanceFloor(at.Now, a)
		h.assign(at, a)
		for i := len(a.waiting) - 1; i >= 0; i-- {
			if r := a.waiting[i]; at.Now >= r.giveUp {
				h.refuse(at, r, unknownWait)
				h.resolve(r)
			}
		}
		if a.atLimit && at.Now >= a.refusedAt+calmTime {
			a.atLimit = false
			h.events = append(h.events, Event{Account: a.name})
		}
		if a.unused(at.Now) {
			delete(h.live, name)
		}
	}
}

func (h *Holder) expire(at Clock) {
	if h.previous.id.session > 0 && !h.previous.valid(at) {
		h.dropPrevious()
	}
	if h.current.id.session == 0 || h.current.expired || h.current.valid(at) {
		return
	}
	h.current.expired = true
	for _, a := range h.accounts {
		h.counts.Expired += a.current.void()
	}
}

func (h *Holder) dropPrevious() {
	h.previous = sessionState{}
	for _, a := range h.accounts {
		h.counts.Expired += a.previous.void()
		a.previous = holding{epoch: a.previous.epoch}
	}
}

// Receive handles an answer of the leader.
func (h *Holder) Receive(at Clock, g *peer.QuotaGrant) {
	if g.GetBoot() != h.boot {
		return
	}
	h.Tick(at)
	if g.GetSession() == 0 {
		// A control VM that does not lead has named the leader, which is asked at once.
		for _, a := range h.live {
			for _, r := range a.waiting {
				r.asked = false
			}
		}
		return
	}
	i := slices.IndexFunc(h.unanswered, func(s sent) bool { return s.sequence == g.GetSequence() })
	if i < 0 {
		// The answer was overtaken, or repeated. A later one has the same counters or higher ones.
		return
	}
	answered := h.unanswered[i]
	h.unanswered = slices.Delete(h.unanswered, 0, i+1)
	h.silent = len(h.unanswered) > 0
	h.silentSince = at.Now
	id := sessionID{g.GetTerm(), g.GetSession()}
	if id.before(h.current.id) {
		return
	}
	h.enter(at, id, answered.at)
	for _, answer := range g.GetAccounts() {
		if a := h.accounts[answer.GetAccount()]; a != nil {
			h.apply(at, a, answer, g.GetSequence())
		}
	}
	h.expire(at)
}

// enter makes a session the current one; sentAt is when the answered request was sent.
func (h *Holder) enter(at Clock, id sessionID, sentAt Clock) {
	if id != h.current.id {
		h.dropPrevious()
		h.previous = h.current
		for _, a := range h.accounts {
			a.previous = a.current
			a.current = holding{epoch: a.previous.epoch}
		}
		if !h.previous.valid(at) {
			h.dropPrevious()
		}
		h.current = sessionState{id: id}
	}
	expiry := sentAt.add(h.rules.Validity)
	if h.current.expired || h.current.expiry.Now < expiry.Now {
		h.current.expiry, h.current.expired = expiry, false
	}
}

func (h *Holder) apply(at Clock, a *account, answer *peer.QuotaAnswer, sequence uint64) {
	if granted := answer.GetGranted(); granted > a.current.granted {
		h.counts.Granted += granted - a.current.granted
		a.current.granted = granted
	}
	a.current.acknowledge(sequence)
	h.live[a.name] = a
	if !a.limited {
		a.current.keep(0)
	}
	h.assign(at, a)
	for _, d := range answer.GetDenials() {
		urgency, wait := int(d.GetUrgency()), time.Duration(d.GetWait())*time.Millisecond
		until := at.Now + min(wait, maxDenial)
		if old, ok := a.denials[urgency]; ok && at.Now < old.until && old.cost < d.GetCost() {
			continue
		}
		a.denials[urgency] = denial{cost: d.GetCost(), until: until}
	}
	for _, d := range answer.GetDenials() {
		h.deny(at, a, d)
	}
}

// deny refuses the waiting request that a denial is about.
func (h *Holder) deny(at Clock, a *account, d *peer.QuotaDenial) {
	i := slices.IndexFunc(a.waiting, func(r *Reservation) bool {
		return r.urgency == int(d.GetUrgency()) && r.cost == d.GetCost()
	})
	if i < 0 {
		return
	}
	r := a.waiting[i]
	h.refuse(at, r, time.Duration(d.GetWait())*time.Millisecond)
	h.resolve(r)
	h.assign(at, a)
}

// Next returns when Poll or Tick has something to do, on the monotonic clock; false if nothing is due until another call.
func (h *Holder) Next(now time.Duration) (time.Duration, bool) {
	due, pending := h.sendDue()
	for _, a := range h.live {
		for _, r := range a.waiting {
			if !pending || r.giveUp < due {
				due, pending = r.giveUp, true
			}
		}
		if a.atLimit && (!pending || a.refusedAt+calmTime < due) {
			due, pending = a.refusedAt+calmTime, true
		}
	}
	return max(now, due), pending
}

// sendDue returns when the next request to the leader is due.
func (h *Holder) sendDue() (due time.Duration, pending bool) {
	for _, a := range h.live {
		at, ok := h.accountDue(a)
		if ok && (!pending || at < due) {
			due, pending = at, true
		}
	}
	if h.sequence == 0 {
		return 0, pending
	}
	return max(due, h.sentAt+minSendInterval), pending
}

// accountDue returns when the leader must hear of an account.
func (h *Holder) accountDue(a *account) (time.Duration, bool) {
	switch {
	case slices.ContainsFunc(a.waiting, func(r *Reservation) bool { return !r.asked }):
		return 0, true
	case len(a.waiting) > 0:
		return a.reportedAt + resendInterval, true
	case a.active() && !h.current.expired:
		return a.reportedAt + max(minReportInterval, time.Duration(h.vms)*reportIntervalPerVM), true
	}
	return 0, false
}

// Poll returns the request to send to the leader now; nil if none is due.
func (h *Holder) Poll(at Clock) *peer.QuotaRequest {
	h.Tick(at)
	if due, pending := h.sendDue(); !pending || at.Now < due {
		return nil
	}
	h.sequence++
	h.sentAt = at.Now
	if !h.silent {
		h.silent, h.silentSince = true, at.Now
	}
	h.unanswered = append(h.unanswered, sent{h.sequence, at})
	if len(h.unanswered) > maxUnanswered {
		h.unanswered = slices.Delete(h.unanswered, 0, 1)
	}
	h.counts.Messages++
	r := &peer.QuotaRequest{Boot: h.boot, Sequence: h.sequence, Term: h.current.id.term, Session: h.current.id.session}
	for _, name := range slices.Sorted(maps.Keys(h.live)) {
		// A report that is due soon goes with this message.
		if due, ok := h.accountDue(h.live[name]); ok && due <= at.Now+minReportInterval/4 {
			r.Accounts = append(r.Accounts, h.live[name].use(at.Now, h.sequence))
		}
	}
	return r
}

// maxUnanswered limits the requests whose answers are awaited; an answer to an older one comes too late.
const maxUnanswered = 64

// Resolved returns the reservations that waited and got their tokens or were refused since the last call.
func (h *Holder) Resolved() []*Reservation {
	resolved := h.resolved
	h.resolved = nil
	return resolved
}

// Events returns the changes of accounts since the last call.
func (h *Holder) Events() []Event {
	events := h.events
	h.events = nil
	return events
}

// Counts returns the totals.
func (h *Holder) Counts() Counts { return h.counts }

// Held returns the tokens that are held now.
func (h *Holder) Held(at Clock) (tokens uint64) {
	h.expire(at)
	for _, a := range h.live {
		tokens += a.current.free() + a.current.reserved + a.previous.free() + a.previous.reserved
	}
	return tokens
}
