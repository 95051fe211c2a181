package registry

import (
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/chicoryrelay/chicoryrelay/coord/configuration"
	"github.com/chicoryrelay/chicoryrelay/coord/lease"
	"github.com/chicoryrelay/chicoryrelay/coord/ledger"
	"github.com/chicoryrelay/chicoryrelay/coord/wire"
)

// ChangeEntry returns the log entry of a configuration change; now is the leader's wall clock.
func ChangeEntry(now time.Time, command configuration.Command) []byte {
	return encode(now, &wire.RegistryCommand{Body: &wire.RegistryCommand_Propose{Propose: command.Encode()}})
}

// InForceEntry returns the log entry that declares a configuration version in force, once lease.Granter.CanDeclareInForce allows
// it.
func InForceEntry(now time.Time, version uint64) []byte {
	return encode(now, &wire.RegistryCommand{Body: &wire.RegistryCommand_InForce{InForce: &wire.RegistryInForce{Version: version}}})
}

// LedgerEntry returns the log entry of a ledger command.
func LedgerEntry(now time.Time, command ledger.Command) []byte {
	message := &wire.RegistryCommand{}
	command.Encode(message)
	return encode(now, message)
}

// ReadEntry returns the log entry that reads an object; the reply is the newest value committed before the entry.
func ReadEntry(now time.Time, kind, name string) []byte {
	return encode(now, &wire.RegistryCommand{Body: &wire.RegistryCommand_Read{Read: &wire.RegistryRead{Kind: kind, Name: name}}})
}

// AcquireOrderLeaseEntry returns the log entry by which a VM acquires the order lease.
func AcquireOrderLeaseEntry(now time.Time, holder lease.Incarnation) []byte {
	owner := ledger.EncodeOwner(ledger.Owner(holder))
	return encode(now, &wire.RegistryCommand{Body: &wire.RegistryCommand_TakeOrders{TakeOrders: owner}})
}

func encode(now time.Time, message *wire.RegistryCommand) []byte {
	message.Time = now.UnixMilli()
	return marshal(message)
}

// marshal returns equal bytes for equal messages; this requires messages without map fields.
func marshal(message proto.Message) []byte {
	data, err := proto.MarshalOptions{Deterministic: true}.Marshal(message)
	if err != nil {
		panic("registry: " + err.Error())
	}
	return data
}
