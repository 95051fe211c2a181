package ledger

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"time"

	"github.com/google/uuid"
)

// Key identifies a call of a client account that must run at most once.
type Key struct {
	Account string
	Path    string
	// Key is the idempotency key that the caller sent.
	Key string
}

// Attempt identifies one attempt to run a call and must be unique, such as the bytes of a UUID.
type Attempt [16]byte

// String returns the attempt in hexadecimal.
func (a Attempt) String() string { return hex.EncodeToString(a[:]) }

// Digest is the SHA-256 of a call's body.
type Digest [32]byte

// Owner is the incarnation of a VM that made a claim; it has the fields of lease.Incarnation.
type Owner struct {
	VM string
	// Boot is the boot number of the incarnation.
	Boot uint64
}

// Claim requests the right to dispatch a call.
type Claim struct {
	Key     Key
	Digest  Digest
	Attempt Attempt
	Owner   Owner
	// Configuration is the configuration version that the VM had installed.
	Configuration uint64
	// Deadline is the time by the ledger's clock from which the claim is refused, so that a claim that was delayed in transit
	// does not block the key. Zero, or a time beyond the retention, means one retention period after the claim is applied.
	Deadline time.Time
	// KnownSequence is the highest Reply.Sequence that the VM knew when it received the call.
	KnownSequence uint64
	// Resent is set if the caller may have sent the key before.
	Resent bool
}

// Complete records the end of a dispatched call.
type Complete struct {
	Key     Key
	Attempt Attempt
	// Uncertain is set if the upstream failed after the first byte, so the call may have run.
	Uncertain bool
	Answer    []byte
}

// Release records that an attempt was not dispatched and never will be.
type Release struct {
	Key     Key
	Attempt Attempt
	// Deadline is the deadline of the attempt's claim; the tombstone is kept until then.
	Deadline time.Time
	// Resent is copied from the attempt's claim.
	Resent bool
}

// Command is a replicated command; exactly one field is set.
type Command struct {
	Claim    *Claim
	Complete *Complete
	Release  *Release
	// LostOwner is an incarnation of a VM whose lease has expired.
	LostOwner *Owner
}

// Verdict is the answer to a command.
type Verdict uint8

const (
	// Invalid refuses a command that lacks a required field; the call was not run.
	Invalid Verdict = iota
	// Granted lets the owner dispatch the attempt once.
	Granted
	// Running means that another attempt of the key is in progress.
	Running
	// Ran means that the call has run; the reply includes the answer as long as it is kept.
	Ran
	// MayHaveRun means that the call was or could have been dispatched, and it is unknown how it ended.
	MayHaveRun
	// KeyReused refuses a key that belongs to a call with another body.
	KeyReused
	// KeyExpired refuses a UUIDv7 key so old that its fingerprint may have been dropped; the call may have run.
	KeyExpired
	// Released means that the attempt was released, refused earlier, or is past its deadline, and that no other attempt holds
	// the key; the call was not run.
	Released
	// Full refuses a claim because a limit is reached and no fingerprint can be dropped; the call was not run.
	Full
	// Denied refuses a claim that failed the check set by WithClaimCheck; the call was not run.
	Denied
	// Acknowledged acknowledges a LostOwner command, or a Complete of a key that the ledger does not know.
	Acknowledged
)

var verdictNames = [...]string{
	"invalid", "granted", "running", "ran", "may have run", "key reused", "key expired", "released", "full", "denied", "recorded",
}

// String returns the verdict in words, such as "may have run".
func (v Verdict) String() string { return verdictNames[min(int(v), len(verdictNames)-1)] }

// Reply is the answer to one command.
type Reply struct {
	Verdict Verdict
	// Attempt is the attempt of the command, by which a reply to another command is recognised.
	Attempt Attempt
	// Answer is the recorded answer of a call that ran.
	Answer []byte
	// AnswerDropped is set if the call ran but its answer exceeded the size limit or is past its retention.
	AnswerDropped bool
	// Detail is the reason for an Invalid or Denied verdict.
	Detail string
	// Sequence is the number of commands that the ledger has applied, including this one.
	Sequence uint64
}

type keyID [16]byte

// id hashes the path and key to 128 bits, so that the size of a record does not depend on their length.
func (k Key) id() keyID {
	hash := sha256.New()
	_, _ = hash.Write(binary.AppendUvarint(nil, uint64(len(k.Path))))
	_, _ = hash.Write([]byte(k.Path))
	_, _ = hash.Write([]byte(k.Key))
	var id keyID
	copy(id[:], hash.Sum(nil))
	return id
}

// time returns the timestamp of a UUIDv7 key in Unix milliseconds, or 0 for other keys.
func (k Key) time() int64 {
	parsed, err := uuid.Parse(k.Key)
	if err != nil || parsed.Version() != 7 || parsed.Variant() != uuid.RFC4122 {
		return 0
	}
	var bytes [8]byte
	copy(bytes[2:], parsed[:6])
	return int64(binary.BigEndian.Uint64(bytes[:]))
}
