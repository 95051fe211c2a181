package wire

import (
	"fmt"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/chicoryrelay/chicoryrelay/coord/quorum"
)

// Malformed is the error returned for bytes that a decoder cannot interpret.
type Malformed struct {
	// Subject names the kind of record that was expected, such as "journal record".
	Subject string
	Cause   error
}

// Error implements error.
func (e *Malformed) Error() string {
	return fmt.Sprintf("malformed %s: check that both sides run the same version: %v", e.Subject, e.Cause)
}

// Unwrap returns the cause.
func (e *Malformed) Unwrap() error { return e.Cause }

// EncodeMessage encodes a quorum message; SentAt is truncated to microseconds and a negative one to 0.
func EncodeMessage(m quorum.Message) []byte {
	return marshal(&LogMessage{
		Kind: uint32(m.Kind), Cluster: m.Cluster, From: encodeIdentity(m.From), To: encodeIdentity(m.To),
		Term: m.Term, Index: m.Index, LogTerm: m.LogTerm, Commit: m.Commit, SentUs: uint64(max(0, m.SentAt.Microseconds())),
		Reject: m.Reject, Transfer: m.Transfer, Entries: encodeEntries(m.Entries), Members: encodeMembers(m.Members),
		Offset: m.Offset, Total: m.Total, Checksum: m.Checksum, Data: m.Data, Sum: m.ChainSum,
	})
}

// DecodeMessage decodes a quorum message and does not retain data; the error is a *Malformed.
func DecodeMessage(data []byte) (quorum.Message, error) {
	const subject = "quorum message"
	var m LogMessage
	if err := proto.Unmarshal(data, &m); err != nil {
		return quorum.Message{}, &Malformed{subject, err}
	}
	if kind := quorum.MessageKind(m.Kind); m.Kind > 0xff || !kind.Valid() {
		return quorum.Message{}, &Malformed{subject, fmt.Errorf("unknown message kind %d", m.Kind)}
	}
	const maxSentUs = uint64(1<<63-1) / uint64(time.Microsecond)
	if m.SentUs > maxSentUs {
		return quorum.Message{}, &Malformed{subject, fmt.Errorf("send time of %d us is out of range", m.SentUs)}
	}
	entries, err := decodeEntries(m.Entries)
	if err != nil {
		return quorum.Message{}, &Malformed{subject, err}
	}
	return quorum.Message{
		Kind: quorum.MessageKind(m.Kind), Cluster: m.Cluster, From: decodeIdentity(m.From), To: decodeIdentity(m.To),
		Term: m.Term, Index: m.Index, LogTerm: m.LogTerm, Commit: m.Commit, SentAt: time.Duration(m.SentUs) * time.Microsecond,
		Reject: m.Reject, Transfer: m.Transfer, Entries: entries, Members: decodeMembers(m.Members),
		Offset: m.Offset, Total: m.Total, Checksum: m.Checksum, Data: m.Data, ChainSum: m.Sum,
	}, nil
}

// EncodeRecord encodes a journal record of a hard state, which may be nil, and entries.
func EncodeRecord(hard *quorum.HardState, entries []quorum.Entry) []byte {
	return marshal(&LogRecord{Hard: encodeHardState(hard), Entries: encodeEntries(entries)})
}

// DecodeRecord decodes a journal record; the hard state is nil if the record has none, and the error is a *Malformed.
func DecodeRecord(data []byte) (*quorum.HardState, []quorum.Entry, error) {
	const subject = "journal record"
	var r LogRecord
	if err := proto.Unmarshal(data, &r); err != nil {
		return nil, nil, &Malformed{subject, err}
	}
	entries, err := decodeEntries(r.Entries)
	if err != nil {
		return nil, nil, &Malformed{subject, err}
	}
	return decodeHardState(r.Hard), entries, nil
}

// EncodeSnapshot encodes a snapshot header: the state without the state machine's data, and the first log segment to replay.
func EncodeSnapshot(state quorum.State, segment uint64) []byte {
	return marshal(&LogSnapshot{
		Index: state.Snapshot.Index, Term: state.Snapshot.Term, Members: encodeMembers(state.Snapshot.Members),
		Sum: state.Snapshot.ChainSum, Segment: segment, Hard: encodeHardState(&state.HardState), Entries: encodeEntries(state.Entries),
	})
}

// DecodeSnapshot decodes a snapshot header into the state and the first log segment; the error is a *Malformed.
func DecodeSnapshot(data []byte) (quorum.State, uint64, error) {
	const subject = "snapshot header"
	var s LogSnapshot
	if err := proto.Unmarshal(data, &s); err != nil {
		return quorum.State{}, 0, &Malformed{subject, err}
	}
	entries, err := decodeEntries(s.Entries)
	if err != nil {
		return quorum.State{}, 0, &Malformed{subject, err}
	}
	state := quorum.State{
		Snapshot: quorum.Snapshot{Index: s.Index, Term: s.Term, Members: decodeMembers(s.Members), ChainSum: s.Sum},
		Entries:  entries,
	}
	if hard := decodeHardState(s.Hard); hard != nil {
		state.HardState = *hard
	}
	return state, s.Segment, nil
}

// journalFormat is the version of the journal's file format.
const journalFormat = 1

// EncodeIdentityFile encodes the contents of a journal's identity file.
func EncodeIdentityFile(cluster string, id quorum.Identity) []byte {
	return marshal(&LogFolder{Format: journalFormat, Cluster: cluster, Identity: encodeIdentity(id)})
}

// DecodeIdentityFile decodes the contents of a journal's identity file; the error is a *Malformed.
func DecodeIdentityFile(data []byte) (cluster string, id quorum.Identity, err error) {
	const subject = "identity file"
	var f LogFolder
	if err := proto.Unmarshal(data, &f); err != nil {
		return "", id, &Malformed{subject, err}
	}
	if f.Format != journalFormat {
		return "", id, &Malformed{subject, fmt.Errorf("unsupported file format %d, want %d", f.Format, journalFormat)}
	}
	return f.Cluster, decodeIdentity(f.Identity), nil
}

// marshal panics on text that is not valid UTF-8; the settings reject such text earlier.
func marshal(m proto.Message) []byte {
	data, err := proto.MarshalOptions{Deterministic: true}.Marshal(m)
	if err != nil {
		panic(fmt.Sprintf("wire: %v", err))
	}
	return data
}

func encodeIdentity(id quorum.Identity) *Identity {
	if id == (quorum.Identity{}) {
		return nil
	}
	return &Identity{Name: id.Name, Incarnation: id.Incarnation}
}

func decodeIdentity(id *Identity) quorum.Identity {
	return quorum.Identity{Name: id.GetName(), Incarnation: id.GetIncarnation()}
}

func encodeHardState(hard *quorum.HardState) *LogHard {
	if hard == nil {
		return nil
	}
	return &LogHard{Term: hard.Term, Vote: encodeIdentity(hard.Vote)}
}

func decodeHardState(hard *LogHard) *quorum.HardState {
	if hard == nil {
		return nil
	}
	return &quorum.HardState{Term: hard.Term, Vote: decodeIdentity(hard.Vote)}
}

func encodeMembers(members []quorum.Member) []*LogMember {
	var out []*LogMember
	for _, m := range members {
		out = append(out, &LogMember{Identity: encodeIdentity(m.Identity), Learner: m.Learner, Promote: m.Promote})
	}
	return out
}

func decodeMembers(members []*LogMember) []quorum.Member {
	var out []quorum.Member
	for _, m := range members {
		out = append(out, quorum.Member{Identity: decodeIdentity(m.Identity), Learner: m.Learner, Promote: m.Promote})
	}
	return out
}

func encodeEntries(entries []quorum.Entry) []*LogEntry {
	out := make([]*LogEntry, 0, len(entries))
	for _, e := range entries {
		out = append(out, &LogEntry{
			Index: e.Index, Term: e.Term, Kind: uint32(e.Kind), Data: e.Data, Members: encodeMembers(e.Members), Note: e.Note, Sum: e.ChainSum,
		})
	}
	return out
}

// decodeEntries also checks that every kind is known, that indexes are consecutive, that terms do not decrease, and that exactly
// the membership changes have members.
func decodeEntries(entries []*LogEntry) ([]quorum.Entry, error) {
	var out []quorum.Entry
	for i, e := range entries {
		switch {
		case e.Kind > uint32(quorum.MembershipChange):
			return nil, fmt.Errorf("entry %d has unknown kind %d", e.Index, e.Kind)
		case e.Index == 0 || e.Term == 0 || i > 0 && (e.Index != out[i-1].Index+1 || e.Term < out[i-1].Term):
			return nil, fmt.Errorf("entry %d of term %d does not follow the previous entry", e.Index, e.Term)
		case (e.Kind == uint32(quorum.MembershipChange)) != (len(e.Members) > 0):
			return nil, fmt.Errorf("entry %d of kind %d has %d members", e.Index, e.Kind, len(e.Members))
		}
		out = append(out, quorum.Entry{
			Index: e.Index, Term: e.Term, Kind: quorum.EntryKind(e.Kind), Data: e.Data, Members: decodeMembers(e.Members), Note: e.Note, ChainSum: e.Sum,
		})
	}
	return out, nil
}
