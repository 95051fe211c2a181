package registry

import (
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/chicoryrelay/chicoryrelay/coord/configuration"
	"github.com/chicoryrelay/chicoryrelay/coord/lease"
	"github.com/chicoryrelay/chicoryrelay/coord/ledger"
	"github.com/chicoryrelay/chicoryrelay/coord/wire"
)

// Change returns the log entry of a change of the configuration; now is the leader's wall clock.
func Change(now time.Time, command configuration.Command) []byte {
	return encode(now, &wire.RegistryCommand{Body: &wire.RegistryCommand_Propose{Propose: command.Encode()}})
}

// InForce returns the log entry that declares a version in force; the leader proposes it when lease.Granter.MayDeclare allows it.
func InForce(now time.Time, version uint64) []byte {
	return encode(now, &wire.RegistryCommand{Body: &wire.RegistryCommand_InForce{InForce: &wire.RegistryInForce{Version: version}}})
}

// Booking returns the log entry of a ledger command.
func Booking(now time.Time, command ledger.Command) []byte {
	message := &wire.RegistryCommand{}
	command.Encode(message)
	return encode(now, message)
}

// Read returns the log entry that reads one object; its reply is the newest committed value at the entry's position.
func Read(now time.Time, kind, name string) []byte {
	return encode(now, &wire.RegistryCommand{Body: &wire.RegistryCommand_Read{Read: &wire.RegistryRead{Kind: kind, Name: name}}})
}

// TakeOrders returns the log entry with which a VM takes the order lease.
func TakeOrders(now time.Time, life lease.Life) []byte {
	owner := ledger.EncodeOwner(ledger.Owner(life))
	return encode(now, &wire.RegistryCommand{Body: &wire.RegistryCommand_TakeOrders{TakeOrders: owner}})
}

func encode(now time.Time, message *wire.RegistryCommand) []byte {
	message.Time = now.UnixMilli()
	return marshal(message)
}

// marshal relies on messages without map fields, so equal messages have equal bytes.
func marshal(message proto.Message) []byte {
	data, err := proto.MarshalOptions{Deterministic: true}.Marshal(message)
	if err != nil {
		panic("registry: " + err.Error())
	}
	return data
}
