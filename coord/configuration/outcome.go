package configuration

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
	"github.com/samber/oops"
)

// Command requests changes to the version that its author has read.
type Command struct {
	// ID is the idempotency key of the command; a retry has the same ID.
	ID string
	// Actor is the author, for the audit trail and for the errors of conflicting commands.
	Actor string
	// Expected is the version that the changes are based on; it must be the newest version and in force.
	Expected uint64
	Changes  []Change
	// Numbered means that the command stores one object whose value was encoded by EncodeNumbered. It is applied whatever the
	// expected version if its number is higher than the stored one, and changes nothing otherwise.
	Numbered bool
}

func (c Command) digest() uint64 {
	hash := xxhash.New()
	writeField := func(b []byte) {
		_, _ = hash.Write(binary.AppendUvarint(nil, uint64(len(b))))
		_, _ = hash.Write(b)
	}
	writeField([]byte(c.Actor))
	writeField(binary.AppendUvarint(nil, c.Expected))
	for _, change := range c.Changes {
		flag := byte(0)
		if change.Remove {
			flag = 1
		}
		writeField([]byte{flag})
		writeField([]byte(change.Object.Kind))
		writeField([]byte(change.Object.Name))
		writeField(change.Object.Value)
	}
	return hash.Sum64()
}

// Status is the progress of a command.
type Status uint8

// The statuses of a command.
const (
	// Unknown means that the command was never applied, or that its outcome was evicted.
	Unknown Status = iota
	// NotInForce means that the version is committed but not yet in force: some lease holder may not have installed it.
	NotInForce
	// Accepted means that the version is in force.
	Accepted
	// Refused means that the command changed nothing.
	Refused
)

// String returns the status as it is shown to operators.
func (s Status) String() string {
	return [...]string{"unknown", "pending", "accepted", "refused"}[min(s, Refused)]
}

// Reason is why a command was refused.
type Reason uint8

// The reasons of a refusal.
const (
	// NoReason is the reason of a command that was not refused.
	NoReason Reason = iota
	// Conflict means that another command for the expected version was applied first, or that a version is pending.
	Conflict
	// VersionUnknown means that the expected version does not exist yet.
	VersionUnknown
	// Invalid means that the command is malformed or that the Check refused a change.
	Invalid
	// IDReused means that the ID belongs to a command with different content.
	IDReused
)

// Winner is the command that won the conflict with a refused command.
type Winner struct {
	ID      string
	Actor   string
	Version uint64
}

// Outcome is the result of a command.
type Outcome struct {
	ID     string
	Status Status
	Reason Reason
	// Version is the version that the command made, or the newest version for a refused command.
	Version uint64
	// Winner is set if Reason is Conflict: the command that made the version after the expected one, or the newest command if the
	// history has no such version.
	Winner Winner
	Detail string
}

// Err returns an error that names the remedy if the command was refused, and nil otherwise.
func (o Outcome) Err() error {
	if o.Status != Refused {
		return nil
	}
	err := oops.With("command", o.ID, "version", o.Version)
	switch o.Reason {
	case Conflict:
		return err.Code("version_taken").Errorf("version %d was made by command %s of %s: read version %d and send the change again with a new command ID",
			o.Winner.Version, o.Winner.ID, o.Winner.Actor, o.Version)
	case VersionUnknown:
		return err.Code("version_ahead").Errorf("the newest version is %d: read it and send the change again with a new command ID", o.Version)
	case IDReused:
		return err.Code("command_reused").Errorf("command ID %s belongs to another change: use a new one", o.ID)
	default:
		return err.Code("change_invalid").Errorf("%s: correct the change and send it with a new command ID", o.Detail)
	}
}
