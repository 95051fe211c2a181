package quota

import (
	"maps"
	"slices"
	"time"

	"github.com/chicoryrelay/chicoryrelay/relay/peer"
)

const (
	// calmTime is how long an account must be without a denial before it counts as within its limit again.
	calmTime = 5 * time.Second
	// scanInterval is the interval at which a leader looks for sessions that have ended.
	scanInterval = 50 * time.Millisecond
)

// Event reports that an account has reached its limit, or is within it again.
type Event struct {
	Account string
	Limited bool
}

// Leader grants tokens during one term of a leader. It is driven by one goroutine.
type Leader struct {
	rules   Rules
	term    uint64
	started time.Duration
	limits  Limits
	buckets map[string]*bucket
	// sessions are the sessions that may hold tokens, current the newest one of each VM.
	sessions    map[uint64]*session
	current     map[string]*session
	lastSession uint64
	scannedAt   time.Duration
	limited     map[string]*bucket
	events      []Event
}

// session is one boot of a VM, or a part of one between two expiries.
type session struct {
	id       uint64
	vm       string
	boot     uint64
	sequence uint64
	// answeredAt is when the last request was answered.
	answeredAt time.Duration
	accounts   map[string]*position
}

// position has the cumulative counters of an account in a session.
type position struct {
	granted, spent, released, refunded uint64
}

func (p *position) held() uint64 { return p.granted - p.spent - p.released }

// NewLeader returns the leader's side for a term. VMs may hold the whole burst of each account from an earlier leader.
func NewLeader(rules Rules, term uint64, now time.Duration) *Leader {
	return &Leader{
		rules: rules, term: term, started: now, buckets: map[string]*bucket{}, sessions: map[uint64]*session{}, current: map[string]*session{}, limited: map[string]*bucket{},
	}
}

// Term returns the term that the leader grants in.
func (l *Leader) Term() uint64 { return l.term }

// SetLimits replaces the limits, which must not be changed afterwards. A new bucket begins at level 0, as if VMs held its whole burst.
func (l *Leader) SetLimits(now time.Duration, limits Limits) {
	l.limits = limits
	for name := range l.buckets {
		if _, ok := limits[name]; !ok {
			delete(l.buckets, name)
			delete(l.limited, name)
		}
	}
	for name, limit := range limits {
		b, ok := l.buckets[name]
		switch {
		case !ok:
			b = &bucket{limit: limit, at: now, inheritedUntil: now + l.rules.expiry(), slot: int64(now / headroomInterval), held: l.heldOf(name)}
			b.excess = b.held
			l.buckets[name] = b
		case limit != b.limit:
			b.advance(now, l.rules)
			b.setLimit(limit, l.rules)
		}
	}
}

// heldOf returns the tokens that VMs hold of an account that had a limit earlier in the term.
func (l *Leader) heldOf(account string) float64 {
	held := uint64(0)
	for _, s := range l.sessions {
		if p := s.accounts[account]; p != nil {
			held += p.held()
		}
	}
	return float64(held)
}

// bucket returns the bucket of an account as of now; nil if the account has no limit.
func (l *Leader) bucket(now time.Duration, account string) *bucket {
	b := l.buckets[account]
	if b != nil {
		b.advance(now, l.rules)
	}
	return b
}

// Receive handles a request of a VM at a time of the leader's clock and returns the answer, or nil for a request that was overtaken. It
// is called only while the leader is known to be the only one.
func (l *Leader) Receive(now time.Duration, vm string, r *peer.QuotaRequest) *peer.QuotaGrant {
	s := l.current[vm]
	if s != nil && (r.GetBoot() < s.boot || r.GetBoot() == s.boot && r.GetSequence() <= s.sequence) {
		return nil
	}
	if s == nil || s.boot != r.GetBoot() {
		l.lastSession++
		s = &session{id: l.lastSession, vm: vm, boot: r.GetBoot(), accounts: map[string]*position{}}
		l.sessions[s.id], l.current[vm] = s, s
	}
	s.sequence, s.answeredAt = r.GetSequence(), now
	// A VM that has not seen the present session yet reports the counters of another one.
	known := r.GetTerm() == l.term && r.GetSession() == s.id
	answer := &peer.QuotaGrant{Boot: r.GetBoot(), Sequence: r.GetSequence(), Term: l.term, Session: s.id}
	for _, use := range r.GetAccounts() {
		if b := l.bucket(now, use.GetAccount()); b != nil {
			answer.Accounts = append(answer.Accounts, l.answer(now, b, s, use, known))
		}
	}
	return answer
}

func (l *Leader) answer(now time.Duration, b *bucket, s *session, use *peer.QuotaUse, known bool) *peer.QuotaAnswer {
	p := s.accounts[use.GetAccount()]
	if p == nil {
		p = &position{}
		s.accounts[use.GetAccount()] = p
	}
	seen := uint64(0)
	if known {
		b.settle(p, use)
		b.advance(now, l.rules)
		seen = min(use.GetGranted(), p.granted)
	}
	// Grants on their way serve the first needs, in the order in which the VM will use them.
	underway := p.granted - seen
	answer := &peer.QuotaAnswer{Account: use.GetAccount()}
	age := now - l.started
	for _, need := range use.GetNeeds() {
		for _, cost := range need.GetCosts() {
			if cost <= underway {
				underway -= cost
				continue
			}
			wait, ok := b.grant(l.rules, age, cost, need.GetUrgency())
			if ok {
				p.granted += cost
				continue
			}
			answer.Denials = append(answer.Denials, &peer.QuotaDenial{Urgency: need.GetUrgency(), Cost: cost, Wait: uint32(wait.Milliseconds())})
		}
	}
	if want := use.GetWant(); want > underway {
		extra := min(want-underway, b.spare(l.rules))
		b.take(float64(extra))
		p.granted += extra
	}
	b.recordHeadroom(l.rules)
	answer.Granted = p.granted
	if len(answer.Denials) > 0 && l.limited[use.GetAccount()] == nil {
		l.limited[use.GetAccount()] = b
		l.events = append(l.events, Event{Account: use.GetAccount(), Limited: true})
	}
	return answer
}

// settle applies the counters that a VM reports.
func (b *bucket) settle(p *position, use *peer.QuotaUse) {
	spent := min(use.GetSpent(), p.granted-p.released)
	if spent > p.spent {
		b.held -= float64(spent - p.spent)
		p.spent = spent
	}
	released := min(use.GetReleased(), p.granted-p.spent)
	if released > p.released {
		b.held -= float64(released - p.released)
		b.level += float64(released - p.released)
		p.released = released
	}
	refunded := min(use.GetRefunded(), p.spent)
	if refunded > p.refunded {
		b.refund(float64(refunded-p.refunded), time.Duration(use.GetRefundAge())*time.Millisecond)
		p.refunded = refunded
	}
}

// Tick ends the sessions whose VMs have sent nothing for too long, and notices accounts that are within their limit again. The tokens of
// an ended session may have been spent: its account gets back the room for them in its burst, and no tokens.
func (l *Leader) Tick(now time.Duration) {
	if l.scannedAt > 0 && now < l.scannedAt+scanInterval {
		return
	}
	l.scannedAt = now
	for id, s := range l.sessions {
		if now < s.answeredAt+l.rules.expiry() {
			continue
		}
		for name, p := range s.accounts {
			if b := l.bucket(now, name); b != nil {
				b.held -= float64(p.held())
			}
		}
		delete(l.sessions, id)
		if l.current[s.vm] == s {
			delete(l.current, s.vm)
		}
	}
}

// Events returns the changes since the last call, in the order of the accounts' names.
func (l *Leader) Events(now time.Duration) []Event {
	for _, name := range slices.Sorted(maps.Keys(l.limited)) {
		if now >= l.limited[name].deniedAt+calmTime {
			delete(l.limited, name)
			l.events = append(l.events, Event{Account: name})
		}
	}
	events := l.events
	l.events = nil
	return events
}
