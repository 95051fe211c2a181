package ledger

import "time"

// sweepIntervalMs is the least advance of the horizon between two sweeps, since each sweep visits all fingerprints.
const sweepIntervalMs = int64(time.Hour / time.Millisecond)

// expire replaces records past their retention by fingerprints and drops expired tombstones and barriers.
func (m *Machine) expire() {
	for len(m.ended) > 0 && m.ended[0].at+m.retention <= m.now {
		e := m.ended[0]
		m.ended = m.ended[1:]
		calls := m.accounts[e.account]
		if calls == nil {
			continue
		}
		// The entry is stale if the record was released or its state changed again later.
		r := calls.records[e.id]
		if r == nil || r.ended != e.at || r.state == claimed {
			continue
		}
		assertTransition(e.id, r.state, forgotten, r.attempt, Attempt{})
		calls.fingerprints[e.id] = newFingerprint(r)
		delete(calls.records, e.id)
	}
	m.tombstones.expire(m.now)
	m.expireBarriers()
}

// ensureCapacity reports whether one more call can be stored; at the limit it first drops fingerprints of keys past keyAge.
func (m *Machine) ensureCapacity(account string) bool {
	if m.hasCapacity(account) {
		return true
	}
	horizon := m.now - m.keyAge
	if horizon < m.horizon+sweepIntervalMs {
		return false
	}
	m.horizon = horizon
	for _, calls := range m.accounts {
		for id, f := range calls.fingerprints {
			if f.keyTime() > 0 && f.keyTime() < horizon {
				delete(calls.fingerprints, id)
				m.count--
			}
		}
	}
	return m.hasCapacity(account)
}

// hasCapacity also counts tombstones and barriers: calls that fail before their first byte add them and could exhaust memory.
func (m *Machine) hasCapacity(account string) bool {
	if m.count+m.tombstones.len()+len(m.barriers) >= m.totalLimit {
		return false
	}
	calls := m.accounts[account]
	return calls == nil || len(calls.records)+len(calls.fingerprints) < m.accountLimit
}

// DropAccount drops the fingerprints of a removed account; its records are kept for their retention.
func (m *Machine) DropAccount(account string) {
	calls := m.accounts[account]
	if calls == nil {
		return
	}
	m.count -= len(calls.fingerprints)
	clear(calls.fingerprints)
	if len(calls.records) == 0 {
		delete(m.accounts, account)
	}
}
