package ledger

import "fmt"

type state uint8

const (
	// free is the state of a key without a record, or whose attempt was released.
	free state = iota
	claimed
	// lost means that the owner's lease expired while the claim was open, so the call may have run.
	lost
	// uncertain means that the owner dispatched the call and does not know how it ended.
	uncertain
	ran
	// forgotten means that the record was replaced by a fingerprint.
	forgotten
)

func (s state) String() string {
	return [...]string{"free", "claimed", "lost", "uncertain", "ran", "forgotten"}[s]
}

type record struct {
	state         state
	answerDropped bool
	digest        Digest
	attempt       Attempt
	owner         Owner
	// ended is when the state last changed, in Unix milliseconds; 0 while it is claimed.
	ended int64
	// keyTime is the timestamp of a UUIDv7 key in Unix milliseconds, or 0.
	keyTime int64
	answer  []byte
}

// fingerprint replaces a record past its retention: the key's timestamp in Unix milliseconds, shifted left by one bit,
// and a low bit that is set if it is unknown how the call ended.
type fingerprint int64

func newFingerprint(r *record) fingerprint {
	f := fingerprint(r.keyTime << 1)
	if r.state != ran {
		f |= 1
	}
	return f
}

func (f fingerprint) keyTime() int64  { return int64(f >> 1) }
func (f fingerprint) uncertain() bool { return f&1 != 0 }

// accountCalls stores the records and fingerprints of one account.
type accountCalls struct {
	records      map[keyID]*record
	fingerprints map[keyID]fingerprint
}

func newAccountCalls() *accountCalls {
	return &accountCalls{records: map[keyID]*record{}, fingerprints: map[keyID]fingerprint{}}
}

func (c *accountCalls) state(id keyID) state {
	if r, ok := c.records[id]; ok {
		return r.state
	}
	if _, ok := c.fingerprints[id]; ok {
		return forgotten
	}
	return free
}

// assertTransition panics on a transition that breaks the invariant that no attempt is granted after another attempt of the
// same key was granted and not released. Every change of a record's state must call it.
func assertTransition(id keyID, from, to state, holder, by Attempt) {
	allowed := false
	switch from {
	case free:
		allowed = to == claimed
	case claimed:
		allowed = to == lost || holder == by && (to == ran || to == uncertain || to == free)
	case lost:
		allowed = to == forgotten || holder == by && (to == ran || to == uncertain || to == free)
	case ran, uncertain:
		allowed = to == forgotten
	case forgotten:
		allowed = false
	}
	if !allowed {
		panic(fmt.Sprintf("ledger: key %x: invalid transition from %s to %s by attempt %s: attempt %s was granted and not released", id, from, to, by, holder))
	}
}
