package wire_test

import (
	"reflect"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/chicoryrelay/chicoryrelay/coord/quorum"
	"github.com/chicoryrelay/chicoryrelay/coord/wire"
)

var (
	self  = quorum.Identity{Name: "control-1", Incarnation: 0xfedcba9876543210}
	other = quorum.Identity{Name: "control-2", Incarnation: 0xfedcba9876543211}

	entries = []quorum.Entry{
		{Index: 7, Term: 2, Kind: quorum.Data, Data: []byte("data"), ChainSum: 9},
		{Index: 8, Term: 3, Kind: quorum.MembershipChange, Members: []quorum.Member{{Identity: self}, {Identity: other, Learner: true, Promote: true}}, Note: "why"},
	}
	heartbeat = quorum.Message{
		Kind: quorum.Heartbeat, Cluster: "venture", From: self, To: other, Term: 40, Commit: 1_000_000,
		SentAt: 30 * 24 * time.Hour, ChainSum: 0xffffffff,
	}
	fullMessage = quorum.Message{
		Kind: quorum.Append, Cluster: "venture", From: self, To: other, Term: 3, Index: 6, LogTerm: 2, ChainSum: 1, Commit: 5,
		SentAt: time.Second, Reject: true, Transfer: true, Entries: entries, Members: entries[1].Members, Offset: 1, Total: 2, Checksum: 3, Data: []byte("d"),
	}
	state = quorum.State{
		HardState: quorum.HardState{Term: 3, Vote: self},
		Snapshot:  quorum.Snapshot{Index: 6, Term: 2, Members: entries[1].Members, ChainSum: 4},
		Entries:   entries,
	}
)

// maxHeartbeatSize keeps the idle traffic of a leader of seven voters below 4 KB/s: at an interval of 300 ms, 6 followers
// cause 40 heartbeats and replies per second.
const maxHeartbeatSize = 100

var _ = Describe("quorum codecs", func() {
	It("encode a heartbeat and its reply in at most 100 bytes each, since an idle group sends nothing else", func() {
		reply := quorum.Message{Kind: quorum.HeartbeatReply, Cluster: "venture", From: other, To: self, Term: 40, Commit: 1_000_000, SentAt: heartbeat.SentAt}
		Expect(len(wire.EncodeMessage(heartbeat))).To(BeNumerically("<=", maxHeartbeatSize))
		Expect(len(wire.EncodeMessage(reply))).To(BeNumerically("<=", maxHeartbeatSize))
	})

	It("preserve every field, since a missing one would be lost in transit or on disk", func() {
		for i := range reflect.TypeFor[quorum.Message]().NumField() {
			Expect(reflect.ValueOf(fullMessage).Field(i).IsZero()).To(BeFalse(), "field %d of the message is not set", i)
		}
		expectDecoded(fullMessage)(wire.DecodeMessage(wire.EncodeMessage(fullMessage)))
		hard, list, err := wire.DecodeRecord(wire.EncodeRecord(&state.HardState, entries))
		expectDecoded(state)(quorum.State{HardState: *hard, Snapshot: state.Snapshot, Entries: list}, err)
		header, segment, err := wire.DecodeSnapshot(wire.EncodeSnapshot(state, 5))
		expectDecoded(state)(header, err)
		Expect(segment).To(BeEquivalentTo(5))
		cluster, id, err := wire.DecodeIdentityFile(wire.EncodeIdentityFile("venture", self))
		expectDecoded(self)(id, err)
		Expect(cluster).To(Equal("venture"))
	})
})

func expectDecoded(want any) func(any, error) {
	return func(got any, err error) {
		GinkgoHelper()
		Expect(err).NotTo(HaveOccurred())
		Expect(got).To(Equal(want))
	}
}

func requireEqual(t *testing.T, want, got any, err error) {
	t.Helper()
	if err != nil || !reflect.DeepEqual(want, got) {
		t.Fatalf("got %+v (%v), want %+v", got, err, want)
	}
}

// FuzzDecode guards against a decoder that panics on arbitrary bytes, or accepts a value that re-encoding changes.
func FuzzDecode(f *testing.F) {
	for _, seed := range [][]byte{
		nil,
		{0xff},
		wire.EncodeMessage(heartbeat), wire.EncodeMessage(fullMessage), wire.EncodeRecord(&state.HardState, entries),
		wire.EncodeRecord(nil, entries), wire.EncodeSnapshot(state, 5), wire.EncodeIdentityFile("venture", self),
	} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		if m, err := wire.DecodeMessage(data); err == nil {
			again, err := wire.DecodeMessage(wire.EncodeMessage(m))
			requireEqual(t, string(wire.EncodeMessage(m)), string(wire.EncodeMessage(again)), err)
		}
		if hard, list, err := wire.DecodeRecord(data); err == nil {
			first := wire.EncodeRecord(hard, list)
			hard, list, err = wire.DecodeRecord(first)
			requireEqual(t, string(first), string(wire.EncodeRecord(hard, list)), err)
		}
		if state, segment, err := wire.DecodeSnapshot(data); err == nil {
			first := wire.EncodeSnapshot(state, segment)
			state, segment, err = wire.DecodeSnapshot(first)
			requireEqual(t, string(first), string(wire.EncodeSnapshot(state, segment)), err)
		}
		_, _, _ = wire.DecodeIdentityFile(data)
	})
}
