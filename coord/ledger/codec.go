package ledger

import (
	"bytes"
	"cmp"
	"encoding/binary"
	"maps"
	"slices"
	"time"

	"github.com/samber/oops"

	"github.com/chicoryrelay/chicoryrelay/coord/wire"
)

// fingerprintSize is the encoded size in bytes: 16 of the key's id and 8 of the fingerprint.
const fingerprintSize = 24

// Encode sets the body of a registry command to the command.
func (c Command) Encode(into *wire.RegistryCommand) {
	switch {
	case c.Claim != nil:
		into.Body = &wire.RegistryCommand_Claim{Claim: &wire.RegistryClaim{
			Key: encodeKey(c.Claim.Key), Digest: c.Claim.Digest[:], Attempt: c.Claim.Attempt[:],
			Owner: EncodeOwner(c.Claim.Owner), Configuration: c.Claim.Configuration, Deadline: encodeTime(c.Claim.Deadline),
			Issued: c.Claim.KnownSequence, Resent: c.Claim.Resent,
		}}
	case c.Complete != nil:
		into.Body = &wire.RegistryCommand_Complete{Complete: &wire.RegistryComplete{
			Key: encodeKey(c.Complete.Key), Attempt: c.Complete.Attempt[:], Uncertain: c.Complete.Uncertain, Answer: c.Complete.Answer,
		}}
	case c.Release != nil:
		into.Body = &wire.RegistryCommand_Release{Release: &wire.RegistryRelease{
			Key: encodeKey(c.Release.Key), Attempt: c.Release.Attempt[:], Deadline: encodeTime(c.Release.Deadline), Resent: c.Release.Resent,
		}}
	case c.LostOwner != nil:
		into.Body = &wire.RegistryCommand_Lost{Lost: EncodeOwner(*c.LostOwner)}
	}
}

// DecodeCommand decodes the body of a registry command; an error names the invalid field.
func DecodeCommand(m *wire.RegistryCommand) (Command, error) {
	switch body := m.GetBody().(type) {
	case *wire.RegistryCommand_Claim:
		claim := Claim{
			Key: decodeKey(body.Claim.GetKey()), Owner: DecodeOwner(body.Claim.GetOwner()), Configuration: body.Claim.GetConfiguration(),
			Deadline: decodeTime(body.Claim.GetDeadline()), KnownSequence: body.Claim.GetIssued(), Resent: body.Claim.GetResent(),
		}
		err := cmp.Or(copyExact("digest", claim.Digest[:], body.Claim.GetDigest()), copyExact("attempt", claim.Attempt[:], body.Claim.GetAttempt()))
		return Command{Claim: &claim}, err
	case *wire.RegistryCommand_Complete:
		complete := Complete{Key: decodeKey(body.Complete.GetKey()), Uncertain: body.Complete.GetUncertain(), Answer: body.Complete.GetAnswer()}
		return Command{Complete: &complete}, copyExact("attempt", complete.Attempt[:], body.Complete.GetAttempt())
	case *wire.RegistryCommand_Release:
		release := Release{Key: decodeKey(body.Release.GetKey()), Deadline: decodeTime(body.Release.GetDeadline()), Resent: body.Release.GetResent()}
		return Command{Release: &release}, copyExact("attempt", release.Attempt[:], body.Release.GetAttempt())
	case *wire.RegistryCommand_Lost:
		owner := DecodeOwner(body.Lost)
		return Command{LostOwner: &owner}, nil
	}
	return Command{}, oops.Code("command_unknown").Errorf("unknown ledger command: run the same release on all control VMs")
}

func copyExact(field string, into, from []byte) error {
	if len(from) != len(into) {
		return oops.Code("field_length").Errorf("field %s has %d bytes: send %d", field, len(from), len(into))
	}
	copy(into, from)
	return nil
}

func encodeTime(t time.Time) int64 {
	if t.IsZero() {
		return 0
	}
	return t.UnixMilli()
}

func decodeTime(ms int64) time.Time {
	if ms == 0 {
		return time.Time{}
	}
	return time.UnixMilli(ms)
}

func encodeKey(k Key) *wire.RegistryKey {
	return &wire.RegistryKey{Account: k.Account, Path: k.Path, Key: k.Key}
}

func decodeKey(m *wire.RegistryKey) Key {
	return Key{Account: m.GetAccount(), Path: m.GetPath(), Key: m.GetKey()}
}

// EncodeOwner returns the wire form of an owner.
func EncodeOwner(o Owner) *wire.RegistryOwner { return &wire.RegistryOwner{Vm: o.VM, Boot: o.Boot} }

// DecodeOwner decodes the wire form of an owner.
func DecodeOwner(m *wire.RegistryOwner) Owner { return Owner{VM: m.GetVm(), Boot: m.GetBoot()} }

// Encode returns the wire form of the state; equal states have equal encodings.
func (m *Machine) Encode() *wire.RegistryLedger {
	state := &wire.RegistryLedger{Horizon: m.horizon, Sequence: m.sequence, Barriers: m.encodeBarriers()}
	for _, account := range slices.Sorted(maps.Keys(m.accounts)) {
		calls := m.accounts[account]
		if len(calls.records)+len(calls.fingerprints) > 0 {
			state.Books = append(state.Books, calls.encode(account))
		}
	}
	state.Tombstones = m.tombstones.encode()
	return state
}

func (c *accountCalls) encode(account string) *wire.RegistryBook {
	message := &wire.RegistryBook{Account: account}
	for _, id := range sortedIDs(c.records) {
		r := c.records[id]
		message.Records = append(message.Records, &wire.RegistryRecord{
			Id: id[:], State: uint32(r.state), Digest: r.digest[:], Attempt: r.attempt[:], Vm: r.owner.VM, Boot: r.owner.Boot,
			Ended: r.ended, KeyTime: r.keyTime, Answer: r.answer, AnswerDropped: r.answerDropped,
		})
	}
	for _, id := range sortedIDs(c.fingerprints) {
		message.Fingerprints = append(message.Fingerprints, id[:]...)
		message.Fingerprints = binary.BigEndian.AppendUint64(message.Fingerprints, uint64(c.fingerprints[id]))
	}
	return message
}

func sortedIDs[V any](values map[keyID]V) []keyID {
	return slices.SortedFunc(maps.Keys(values), func(a, b keyID) int { return bytes.Compare(a[:], b[:]) })
}

// Decode replaces the state and sets the time to now, in Unix milliseconds; on an error the state is unchanged.
func (m *Machine) Decode(now int64, state *wire.RegistryLedger) error {
	next := *m
	next.clear()
	next.now, next.horizon, next.sequence = now, state.GetHorizon(), state.GetSequence()
	for _, message := range state.GetBooks() {
		if err := next.decodeAccount(message); err != nil {
			return oops.Code("snapshot_damaged").Wrapf(err, "the snapshot's ledger is damaged: take the snapshot of another control VM")
		}
	}
	slices.SortFunc(next.ended, func(a, b timedCall) int {
		return cmp.Or(cmp.Compare(a.at, b.at), cmp.Compare(a.account, b.account), bytes.Compare(a.id[:], b.id[:]))
	})
	for _, message := range state.GetTombstones() {
		var attempt Attempt
		if err := copyExact("attempt", attempt[:], message.GetAttempt()); err != nil {
			return oops.Code("snapshot_damaged").Wrapf(err, "the snapshot's tombstones are damaged: take the snapshot of another control VM")
		}
		next.tombstones.add(attempt, message.GetUntil())
	}
	if err := next.decodeBarriers(state.GetBarriers()); err != nil {
		return oops.Code("snapshot_damaged").Wrapf(err, "the snapshot's barriers are damaged: take the snapshot of another control VM")
	}
	*m = next
	return nil
}

func (m *Machine) decodeAccount(message *wire.RegistryBook) error {
	calls := newAccountCalls()
	if m.accounts[message.GetAccount()] != nil {
		return oops.Errorf("duplicate account %q", message.GetAccount())
	}
	m.accounts[message.GetAccount()] = calls
	for _, from := range message.GetRecords() {
		var id keyID
		r := &record{
			state: state(min(from.GetState(), uint32(forgotten))), answerDropped: from.GetAnswerDropped(), answer: from.GetAnswer(),
			owner: Owner{VM: from.GetVm(), Boot: from.GetBoot()}, ended: from.GetEnded(), keyTime: from.GetKeyTime(),
		}
		err := cmp.Or(copyExact("id", id[:], from.GetId()), copyExact("digest", r.digest[:], from.GetDigest()), copyExact("attempt", r.attempt[:], from.GetAttempt()))
		if err != nil {
			return err
		}
		if r.state == free || r.state == forgotten || calls.records[id] != nil {
			return oops.Errorf("record has invalid state %d or a duplicate id", from.GetState())
		}
		calls.records[id] = r
		call := callID{message.GetAccount(), id}
		if r.state == claimed {
			m.addOpenClaim(r.owner, call)
		} else {
			m.ended = append(m.ended, timedCall{call, r.ended})
		}
	}
	data := message.GetFingerprints()
	if len(data)%fingerprintSize != 0 {
		return oops.Errorf("fingerprints have %d bytes: want a multiple of 24", len(data))
	}
	for ; len(data) > 0; data = data[fingerprintSize:] {
		calls.fingerprints[keyID(data[:16])] = fingerprint(binary.BigEndian.Uint64(data[16:]))
	}
	m.count += len(calls.records) + len(calls.fingerprints)
	return nil
}
