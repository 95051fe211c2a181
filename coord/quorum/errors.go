package quorum

import "fmt"

// NotLeader is returned for a proposal or membership change on a core that does not lead or is handing over the leadership.
type NotLeader struct {
	// Leader is the known leader, or the zero identity.
	Leader Identity
}

// Error implements error.
func (e *NotLeader) Error() string {
	if e.Leader == (Identity{}) {
		return "no leader is known: retry once a leader is elected"
	}
	return fmt.Sprintf("this VM is not the leader: send the proposal to %s", e.Leader)
}

// Busy is returned for a proposal that would exceed the limit of uncommitted entries.
type Busy struct {
	// Pending is the size of the uncommitted entries in bytes.
	Pending int
}

// Error implements error.
func (e *Busy) Error() string {
	return fmt.Sprintf("%d bytes of entries are uncommitted: retry once some of them are committed", e.Pending)
}

// TooLarge is returned for a proposal above the size limit.
type TooLarge struct {
	// Size and Limit are in bytes.
	Size, Limit int
}

// Error implements error.
func (e *TooLarge) Error() string {
	return fmt.Sprintf("the entry has %d bytes and the limit is %d bytes: propose a smaller one", e.Size, e.Limit)
}

// ChangeRefused is returned for a membership change that is not possible at present.
type ChangeRefused struct {
	Reason, Remedy string
}

// Error implements error.
func (e *ChangeRefused) Error() string { return e.Reason + ": " + e.Remedy }
