package ledger

import (
	"bytes"
	"cmp"
	"slices"
	"time"

	"github.com/chicoryrelay/chicoryrelay/coord/wire"
)

// barrierRetentionMs is how long a barrier is kept. A VM dispatches an attempt only within one lease period after it sent
// the claim, so a claim older than a minute has no effect even if it is granted.
const barrierRetentionMs = int64(time.Minute / time.Millisecond)

// barrier refuses the claims of a key whose KnownSequence is below sequence. It is added when a caller that has sent the key
// before is answered "not run": an earlier claim of the key that is still in transit could otherwise run the call.
type barrier struct {
	sequence uint64
	// until is the expiry in Unix milliseconds.
	until int64
}

func (m *Machine) addBarrier(key Key, resent bool) {
	if !resent {
		return
	}
	call := callID{key.Account, key.id()}
	m.barriers[call] = barrier{m.sequence, m.now + barrierRetentionMs}
	m.barrierExpiries = append(m.barrierExpiries, timedCall{call, m.now + barrierRetentionMs})
}

func (m *Machine) blockedByBarrier(c Claim) bool {
	b, ok := m.barriers[callID{c.Key.Account, c.Key.id()}]
	return ok && c.KnownSequence < b.sequence
}

func (m *Machine) expireBarriers() {
	for len(m.barrierExpiries) > 0 && m.barrierExpiries[0].at <= m.now {
		next := m.barrierExpiries[0]
		m.barrierExpiries = m.barrierExpiries[1:]
		if b, ok := m.barriers[next.callID]; ok && b.until <= m.now {
			delete(m.barriers, next.callID)
		}
	}
}

func (m *Machine) encodeBarriers() []*wire.RegistryBarrier {
	messages := make([]*wire.RegistryBarrier, 0, len(m.barriers))
	for call, b := range m.barriers {
		messages = append(messages, &wire.RegistryBarrier{Account: call.account, Id: call.id[:], Sequence: b.sequence, Until: b.until})
	}
	slices.SortFunc(messages, func(a, b *wire.RegistryBarrier) int {
		return cmp.Or(cmp.Compare(a.GetUntil(), b.GetUntil()), cmp.Compare(a.GetAccount(), b.GetAccount()), bytes.Compare(a.GetId(), b.GetId()))
	})
	return messages
}

func (m *Machine) decodeBarriers(messages []*wire.RegistryBarrier) error {
	for _, message := range messages {
		call := callID{account: message.GetAccount()}
		if err := copyExact("id", call.id[:], message.GetId()); err != nil {
			return err
		}
		m.barriers[call] = barrier{message.GetSequence(), message.GetUntil()}
		m.barrierExpiries = append(m.barrierExpiries, timedCall{call, message.GetUntil()})
	}
	slices.SortStableFunc(m.barrierExpiries, func(a, b timedCall) int { return cmp.Compare(a.at, b.at) })
	return nil
}
