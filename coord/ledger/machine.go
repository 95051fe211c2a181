package ledger

import (
	"cmp"
	"slices"
	"time"
)

// Machine is the replicated ledger of calls.
type Machine struct {
	checkClaim func(Claim) error
	// retention and keyAge are in milliseconds.
	retention    int64
	keyAge       int64
	totalLimit   int
	accountLimit int
	// answerLimit is in bytes.
	answerLimit int

	// now is the latest time of a command, in Unix milliseconds.
	now int64
	// horizon is the time in Unix milliseconds before which UUIDv7 keys without a record or fingerprint are refused.
	horizon int64
	// count is the number of records and fingerprints of all accounts.
	count      int
	accounts   map[string]*accountCalls
	openClaims map[Owner]map[callID]struct{}
	// ended lists the calls whose claims were completed or lost, in order of that time.
	ended      []timedCall
	tombstones tombstones
	// sequence counts the applied commands.
	sequence uint64
	barriers map[callID]barrier
	// barrierExpiries lists the calls with barriers in order of expiry.
	barrierExpiries []timedCall
}

// callID identifies a call among all accounts.
type callID struct {
	account string
	id      keyID
}

// timedCall is a call with the time, in Unix milliseconds, at which its claim ended or its barrier expires.
type timedCall struct {
	callID
	at int64
}

// Option configures a Machine; all replicas must have equal options.
type Option func(*Machine)

// WithClaimCheck sets the check of each claim that would otherwise be granted; it must be deterministic.
func WithClaimCheck(checkClaim func(Claim) error) Option {
	return func(m *Machine) { m.checkClaim = checkClaim }
}

// WithRetention sets how long answers are kept, which is also the longest time to a claim's deadline; the default is 48 h.
func WithRetention(d time.Duration) Option {
	return func(m *Machine) { m.retention = d.Milliseconds() }
}

// WithKeyAge sets the age from which fingerprints of UUIDv7 keys may be dropped; the default is 30 days.
func WithKeyAge(d time.Duration) Option { return func(m *Machine) { m.keyAge = d.Milliseconds() } }

// WithLimits sets the maximum number of records, fingerprints, tombstones and barriers in total, and of records and
// fingerprints per account. The defaults are 1,000,000 and 500,000; a fingerprint takes about 55 bytes and an open claim
// about 300.
func WithLimits(all, account int) Option {
	return func(m *Machine) { m.totalLimit, m.accountLimit = all, account }
}

// WithAnswerLimit sets the size in bytes above which an answer is not kept; the default is 64 KiB.
func WithAnswerLimit(size int) Option { return func(m *Machine) { m.answerLimit = size } }

// New returns an empty ledger.
func New(opts ...Option) *Machine {
	m := &Machine{
		checkClaim: func(Claim) error { return nil },
		retention:  (48 * time.Hour).Milliseconds(), keyAge: (30 * 24 * time.Hour).Milliseconds(),
		totalLimit: 1_000_000, accountLimit: 500_000, answerLimit: 64 << 10,
	}
	for _, opt := range opts {
		opt(m)
	}
	m.clear()
	return m
}

func (m *Machine) clear() {
	m.now, m.horizon, m.count, m.sequence = 0, 0, 0, 0
	m.barriers, m.barrierExpiries = map[callID]barrier{}, nil
	m.accounts, m.openClaims = map[string]*accountCalls{}, map[Owner]map[callID]struct{}{}
	m.ended, m.tombstones = nil, newTombstones()
}

// Apply applies a committed command at the time of its log entry; an earlier time than the last one counts as the last one.
func (m *Machine) Apply(now time.Time, command Command) Reply {
	m.now = max(m.now, now.UnixMilli())
	m.sequence++
	m.expire()
	reply := m.apply(command)
	reply.Sequence = m.sequence
	return reply
}

func (m *Machine) apply(command Command) Reply {
	switch {
	case command.Claim != nil:
		return m.claim(*command.Claim)
	case command.Complete != nil:
		return m.complete(*command.Complete)
	case command.Release != nil:
		return m.release(*command.Release)
	case command.LostOwner != nil:
		return m.markLost(*command.LostOwner)
	}
	return Reply{Detail: "the command is empty"}
}

// claim looks up the key before any other check, so that a call that ran is never refused as not run.
// A refused attempt whose key may become free leaves a tombstone: a duplicate of its claim could otherwise be granted after
// the VM has given up the attempt.
func (m *Machine) claim(c Claim) Reply {
	reply := m.admitClaim(c)
	switch reply.Verdict {
	case Running, MayHaveRun, KeyReused, Released, Full, Denied:
		m.addTombstone(c.Attempt, c.Deadline)
	}
	switch reply.Verdict {
	case Released, Full, Denied:
		m.addBarrier(c.Key, c.Resent)
	}
	return reply
}

func (m *Machine) admitClaim(c Claim) Reply {
	reply := Reply{Attempt: c.Attempt}
	if c.Key.Account == "" || c.Key.Key == "" || c.Attempt == (Attempt{}) || c.Owner.VM == "" {
		reply.Detail = "a claim needs account, key, attempt and VM"
		return reply
	}
	if found, ok := m.storedReply(c.Key, &c.Digest, c.Attempt); ok {
		return found
	}
	if m.tombstones.has(c.Attempt) || !c.Deadline.IsZero() && c.Deadline.UnixMilli() <= m.now || m.blockedByBarrier(c) {
		reply.Verdict = Released
		return reply
	}
	if err := m.checkClaim(c); err != nil {
		reply.Verdict, reply.Detail = Denied, err.Error()
		return reply
	}
	if !m.ensureCapacity(c.Key.Account) {
		reply.Verdict = Full
		return reply
	}
	m.grant(c)
	reply.Verdict = Granted
	return reply
}

// addTombstone adds a tombstone that lasts until the claim's deadline, from which the deadline check refuses the claim.
func (m *Machine) addTombstone(attempt Attempt, deadline time.Time) {
	until := m.now + m.retention
	if !deadline.IsZero() {
		until = min(until, deadline.UnixMilli())
	}
	if until > m.now {
		m.tombstones.add(attempt, until)
	}
}

// storedReply returns the reply that the stored state gives for a key, if it is known; a nil digest matches every body.
func (m *Machine) storedReply(key Key, digest *Digest, attempt Attempt) (Reply, bool) {
	reply := Reply{Attempt: attempt}
	id, keyTime := key.id(), key.time()
	calls := m.accounts[key.Account]
	if calls != nil {
		if r, ok := calls.records[id]; ok {
			return r.reply(reply, digest, attempt), true
		}
		if f, ok := calls.fingerprints[id]; ok {
			reply.Verdict, reply.AnswerDropped = Ran, true
			if f.uncertain() {
				reply.Verdict, reply.AnswerDropped = MayHaveRun, false
			}
			return reply, true
		}
	}
	if keyTime > 0 && keyTime < m.horizon {
		reply.Verdict = KeyExpired
		return reply, true
	}
	return reply, false
}

func (r *record) reply(reply Reply, digest *Digest, attempt Attempt) Reply {
	switch {
	case digest != nil && *digest != r.digest:
		reply.Verdict = KeyReused
	case r.state == claimed && r.attempt == attempt:
		reply.Verdict = Granted
	case r.state == claimed:
		reply.Verdict = Running
	case r.state == ran:
		reply.Verdict, reply.Answer, reply.AnswerDropped = Ran, r.answer, r.answerDropped
	default:
		reply.Verdict = MayHaveRun
	}
	return reply
}

func (m *Machine) grant(c Claim) {
	calls := m.accounts[c.Key.Account]
	if calls == nil {
		calls = newAccountCalls()
		m.accounts[c.Key.Account] = calls
	}
	id := c.Key.id()
	var holder Attempt
	if r := calls.records[id]; r != nil {
		holder = r.attempt
	}
	assertTransition(id, calls.state(id), claimed, holder, c.Attempt)
	calls.records[id] = &record{state: claimed, digest: c.Digest, attempt: c.Attempt, owner: c.Owner, keyTime: c.Key.time()}
	m.count++
	m.addOpenClaim(c.Owner, callID{c.Key.Account, id})
}

func (m *Machine) addOpenClaim(owner Owner, call callID) {
	if m.openClaims[owner] == nil {
		m.openClaims[owner] = map[callID]struct{}{}
	}
	m.openClaims[owner][call] = struct{}{}
}

func (m *Machine) complete(c Complete) Reply {
	id, r := m.findRecord(c.Key)
	if r != nil && r.attempt == c.Attempt && (r.state == claimed || r.state == lost) {
		to := ran
		if c.Uncertain {
			to = uncertain
		} else if r.answerDropped = len(c.Answer) > m.answerLimit; !r.answerDropped {
			r.answer = c.Answer
		}
		m.endClaim(callID{c.Key.Account, id}, r, to, c.Attempt)
	}
	if found, ok := m.storedReply(c.Key, nil, c.Attempt); ok {
		return found
	}
	return Reply{Verdict: Acknowledged, Attempt: c.Attempt}
}

// release frees the key if the attempt holds it. Unless the call has ended, it also leaves a tombstone, so that a late or
// duplicate claim of the attempt does not block the key for ever. The reply gives the key's state if the key is still known.
func (m *Machine) release(c Release) Reply {
	id, r := m.findRecord(c.Key)
	if c.Attempt == (Attempt{}) {
		return Reply{Detail: "a release needs an attempt"}
	}
	if r != nil && r.attempt == c.Attempt {
		if r.state != claimed && r.state != lost {
			found, _ := m.storedReply(c.Key, nil, c.Attempt)
			return found
		}
		assertTransition(id, r.state, free, r.attempt, c.Attempt)
		m.removeOpenClaim(r.owner, callID{c.Key.Account, id})
		delete(m.accounts[c.Key.Account].records, id)
		m.count--
	}
	m.addTombstone(c.Attempt, c.Deadline)
	if found, ok := m.storedReply(c.Key, nil, c.Attempt); ok {
		return found
	}
	m.addBarrier(c.Key, c.Resent)
	return Reply{Verdict: Released, Attempt: c.Attempt}
}

func (m *Machine) markLost(owner Owner) Reply {
	for call := range m.openClaims[owner] {
		r := m.accounts[call.account].records[call.id]
		assertTransition(call.id, r.state, lost, r.attempt, Attempt{})
		r.state, r.ended = lost, m.now
		m.ended = append(m.ended, timedCall{call, m.now})
	}
	delete(m.openClaims, owner)
	return Reply{Verdict: Acknowledged}
}

func (m *Machine) endClaim(call callID, r *record, to state, by Attempt) {
	assertTransition(call.id, r.state, to, r.attempt, by)
	m.removeOpenClaim(r.owner, call)
	r.state, r.ended = to, m.now
	m.ended = append(m.ended, timedCall{call, m.now})
}

func (m *Machine) removeOpenClaim(owner Owner, call callID) {
	delete(m.openClaims[owner], call)
	if len(m.openClaims[owner]) == 0 {
		delete(m.openClaims, owner)
	}
}

func (m *Machine) findRecord(key Key) (keyID, *record) {
	id := key.id()
	if calls := m.accounts[key.Account]; calls != nil {
		return id, calls.records[id]
	}
	return id, nil
}

// Owners returns the owners of open claims, sorted by VM and incarnation.
func (m *Machine) Owners() []Owner {
	owners := make([]Owner, 0, len(m.openClaims))
	for owner := range m.openClaims {
		owners = append(owners, owner)
	}
	slices.SortFunc(owners, func(a, b Owner) int { return cmp.Or(cmp.Compare(a.VM, b.VM), cmp.Compare(a.Boot, b.Boot)) })
	return owners
}

// Sequence returns the number of applied commands.
func (m *Machine) Sequence() uint64 { return m.sequence }

// Len returns the number of records and fingerprints.
func (m *Machine) Len() int { return m.count }

// Lookup returns the state of a key without changing it; the verdict Acknowledged means that the key is unknown.
func (m *Machine) Lookup(key Key) Reply {
	if found, ok := m.storedReply(key, nil, Attempt{}); ok {
		return found
	}
	return Reply{Verdict: Acknowledged}
}
