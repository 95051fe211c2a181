package registry

import (
	"errors"
	"time"

	"github.com/samber/oops"
	"google.golang.org/protobuf/proto"

	"github.com/chicoryrelay/chicoryrelay/coord/configuration"
	"github.com/chicoryrelay/chicoryrelay/coord/lease"
	"github.com/chicoryrelay/chicoryrelay/coord/ledger"
	"github.com/chicoryrelay/chicoryrelay/coord/wire"
)

// ClaimCheck returns an error if the newest configuration does not allow a claim; it must be deterministic.
type ClaimCheck func(objects configuration.Objects, claim ledger.Claim) error

// ErrAlreadyApplied is the error in the reply to an entry whose index was already applied; the entry changes nothing.
var ErrAlreadyApplied = errors.New("log entry was already applied: apply entries in order of index")

// Reply is the result of a log entry; at most one of the pointers is set, and none for an empty entry.
type Reply struct {
	Index uint64
	// Err is set if the entry was unreadable or already applied; configuration, ledger and fence are then unchanged.
	Err     error
	Outcome *configuration.Outcome
	Ledger  *ledger.Reply
	Fence   *lease.Fence
	Read    *ReadResult
}

// ReadResult is the reply to a read; Value is nil if the object does not exist.
type ReadResult struct {
	// Version is the configuration version of the value.
	Version uint64
	Value   []byte
}

// Machine is the state machine that combines the configuration, the ledger and the fencing number.
type Machine struct {
	accountKind   string
	checkClaim    ClaimCheck
	configuration *configuration.Machine
	ledger        *ledger.Machine
	fence         lease.Fence
	// index is the index of the last applied entry.
	index uint64
	// time is the latest timestamp of an entry, in Unix milliseconds.
	time int64

	configurationOptions []configuration.Option
	ledgerOptions        []ledger.Option
}

// Option configures a Machine; all replicas must have equal options.
type Option func(*Machine)

// WithClaimCheck sets the check of each claim against the newest configuration; the default allows all claims.
func WithClaimCheck(check ClaimCheck) Option { return func(m *Machine) { m.checkClaim = check } }

// WithConfiguration passes options to the configuration machine.
func WithConfiguration(opts ...configuration.Option) Option {
	return func(m *Machine) { m.configurationOptions = append(m.configurationOptions, opts...) }
}

// WithLedger passes options to the ledger; use WithClaimCheck instead of ledger.WithClaimCheck, which has no effect here.
func WithLedger(opts ...ledger.Option) Option {
	return func(m *Machine) { m.ledgerOptions = append(m.ledgerOptions, opts...) }
}

// WithAccountKind sets the kind of the objects whose removal drops the fingerprints of the account with the object's name; the
// default is "account".
func WithAccountKind(kind string) Option { return func(m *Machine) { m.accountKind = kind } }

// New returns an empty machine.
func New(opts ...Option) *Machine {
	m := &Machine{accountKind: "account", checkClaim: func(configuration.Objects, ledger.Claim) error { return nil }}
	for _, opt := range opts {
		opt(m)
	}
	m.configuration = configuration.New(m.configurationOptions...)
	check := func(claim ledger.Claim) error { return m.checkClaim(m.configuration.Objects(), claim) }
	m.ledger = ledger.New(append(m.ledgerOptions, ledger.WithClaimCheck(check))...)
	return m
}

// Configuration returns the configuration machine, which the caller must not change.
func (m *Machine) Configuration() *configuration.Machine { return m.configuration }

// Ledger returns the ledger, which the caller must not change.
func (m *Machine) Ledger() *ledger.Machine { return m.ledger }

// Fence returns the current fencing number and its holder.
func (m *Machine) Fence() lease.Fence { return m.fence }

// Index returns the index of the last applied entry.
func (m *Machine) Index() uint64 { return m.index }

// Time returns the latest timestamp so far.
func (m *Machine) Time() time.Time { return time.UnixMilli(m.time) }

// Apply applies a committed entry. Entries must be in order of index, with gaps where the log has entries of its own.
func (m *Machine) Apply(index uint64, data []byte) Reply {
	reply := Reply{Index: index}
	if index <= m.index {
		reply.Err = ErrAlreadyApplied
		return reply
	}
	m.index = index
	if len(data) == 0 {
		return reply
	}
	var message wire.RegistryCommand
	if err := proto.Unmarshal(data, &message); err != nil {
		reply.Err = oops.Code("entry_damaged").With("index", index).Wrapf(err, "the log entry is not a registry command: run the same release on all control VMs")
		return reply
	}
	m.time = max(m.time, message.GetTime())
	m.apply(&message, &reply)
	return reply
}

func (m *Machine) apply(message *wire.RegistryCommand, reply *Reply) {
	switch body := message.GetBody().(type) {
	case *wire.RegistryCommand_Propose:
		outcome := m.configuration.Apply(configuration.DecodeCommand(body.Propose))
		reply.Outcome = &outcome
	case *wire.RegistryCommand_InForce:
		previous := m.configuration.InForce()
		if outcome, changed := m.configuration.SetInForce(body.InForce.GetVersion()); changed {
			reply.Outcome = &outcome
			m.dropAccounts(previous)
		}
	case *wire.RegistryCommand_TakeOrders:
		fence := m.fence.Acquire(lease.Incarnation(ledger.DecodeOwner(body.TakeOrders)))
		reply.Fence = &fence
	case *wire.RegistryCommand_Read:
		value, _ := m.configuration.Objects().Get(body.Read.GetKind(), body.Read.GetName())
		reply.Read = &ReadResult{Version: m.configuration.Newest(), Value: value}
	default:
		command, err := ledger.DecodeCommand(message)
		if err != nil {
			reply.Err = err
			return
		}
		ledgerReply := m.ledger.Apply(time.UnixMilli(m.time), command)
		reply.Ledger = &ledgerReply
	}
}

// dropAccounts drops the fingerprints of accounts removed by versions that came into force after the given one.
func (m *Machine) dropAccounts(previous uint64) {
	for _, version := range m.configuration.History() {
		if version.Number <= previous || version.Number > m.configuration.InForce() {
			continue
		}
		for _, change := range version.Changes {
			object := change.Object
			if _, exists := m.configuration.Objects().Get(object.Kind, object.Name); object.Kind == m.accountKind && !exists {
				m.ledger.DropAccount(object.Name)
			}
		}
	}
}

// Snapshot returns the state; equal states have equal bytes.
func (m *Machine) Snapshot() []byte {
	return marshal(&wire.RegistrySnapshot{
		Index: m.index, Time: m.time, Configuration: m.configuration.Encode(), Ledger: m.ledger.Encode(),
		Fence: m.fence.Number, FenceOwner: ledger.EncodeOwner(ledger.Owner(m.fence.Holder)),
	})
}

// Restore replaces the state by that of a snapshot; on an error the state is unchanged.
func (m *Machine) Restore(data []byte) error {
	var message wire.RegistrySnapshot
	if err := proto.Unmarshal(data, &message); err != nil {
		return oops.Code("snapshot_damaged").Wrapf(err, "the snapshot is damaged: take the snapshot of another control VM")
	}
	next := New(WithConfiguration(m.configurationOptions...), WithLedger(m.ledgerOptions...))
	if err := next.configuration.Decode(message.GetConfiguration()); err != nil {
		return err
	}
	if err := next.ledger.Decode(message.GetTime(), message.GetLedger()); err != nil {
		return err
	}
	_ = m.configuration.Decode(message.GetConfiguration())
	_ = m.ledger.Decode(message.GetTime(), message.GetLedger())
	m.index, m.time = message.GetIndex(), message.GetTime()
	m.fence = lease.Fence{Number: message.GetFence(), Holder: lease.Incarnation(ledger.DecodeOwner(message.GetFenceOwner()))}
	return nil
}
