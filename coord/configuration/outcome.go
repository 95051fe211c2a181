package configuration

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
	"github.com/samber/oops"
)

// Command asks for changes to the version that its author has seen.
type Command struct {
	// ID identifies the command when it is sent again.
	ID string
	// Actor is who asks, for the audit trail and for the loser of a race.
	Actor string
	// Expected is the version in force that the changes were made for.
	Expected uint64
	Changes  []Change
	// Numbered says that the command puts one object whose value was made by Number: the highest number wins, whatever the
	// expected version, and a command with a number that is not higher changes nothing.
	Numbered bool
}

func (c Command) digest() uint64 {
	hash := xxhash.New()
	text := func(b []byte) {
		_, _ = hash.Write(binary.AppendUvarint(nil, uint64(len(b))))
		_, _ = hash.Write(b)
	}
	text([]byte(c.Actor))
	text(binary.AppendUvarint(nil, c.Expected))
	for _, change := range c.Changes {
		kind := byte(0)
		if change.Remove {
			kind = 1
		}
		text([]byte{kind})
		text([]byte(change.Object.Kind))
		text([]byte(change.Object.Name))
		text(change.Object.Value)
	}
	return hash.Sum64()
}

// Status is the state of a command.
type Status uint8

// The states of a command.
const (
	// Unknown means that the command was never applied, or is older than the kept outcomes.
	Unknown Status = iota
	// Committed means that the change is pending: it is committed, but not yet installed by each VM with a lease.
	Committed
	// Accepted means that the change is in force everywhere.
	Accepted
	// Refused means that the command changed nothing.
	Refused
)

// String returns the status as operators see it.
func (s Status) String() string {
	return [...]string{"unknown", "pending", "accepted", "refused"}[min(s, Refused)]
}

// Reason says why a command was refused.
type Reason uint8

// The reasons of a refusal.
const (
	// NoReason is the reason of a command that was not refused.
	NoReason Reason = iota
	// Lost means that another command was applied to the expected version first.
	Lost
	// Ahead means that the expected version does not exist yet.
	Ahead
	// Invalid means that a change was refused by its check.
	Invalid
	// Reused means that the ID belongs to a command with other content.
	Reused
)

// Winner is the command that made the version a refused command asked for.
type Winner struct {
	ID      string
	Actor   string
	Version uint64
}

// Outcome is what became of a command.
type Outcome struct {
	ID     string
	Status Status
	Reason Reason
	// Version is the version that the command made, or for a refused one the newest version.
	Version uint64
	// Winner is set with the reason Lost; it is the newest command when the history no longer has the actual one.
	Winner Winner
	Detail string
}

// Err returns nil unless the command was refused, else an error that names the remedy.
func (o Outcome) Err() error {
	if o.Status != Refused {
		return nil
	}
	err := oops.With("command", o.ID, "version", o.Version)
	switch o.Reason {
	case Lost:
		return err.Code("version_taken").Errorf("version %d was made by command %s of %s: read version %d and send the change again with a new command ID",
			o.Winner.Version, o.Winner.ID, o.Winner.Actor, o.Version)
	case Ahead:
		return err.Code("version_ahead").Errorf("the newest version is %d: read it and send the change again with a new command ID", o.Version)
	case Reused:
		return err.Code("command_reused").Errorf("command ID %s belongs to another change: use a new one", o.ID)
	default:
		return err.Code("change_invalid").Errorf("%s: correct the change and send it with a new command ID", o.Detail)
	}
}
