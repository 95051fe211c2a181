package control

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"google.golang.org/protobuf/proto"

	"github.com/chicoryrelay/chicoryrelay/relay/peer"
)

func boardOf(checksum uint64, entries ...*peer.BoardUpstream) *peer.Board {
	return &peer.Board{Checksum: checksum, Upstreams: entries}
}

func entry(id string, loading bool) *peer.BoardUpstream {
	return &peer.BoardUpstream{Id: id, Loading: loading}
}

var _ = Describe("board delta", func() {
	first := boardOf(1, entry("a", false), entry("b", false), entry("c", false))
	second := boardOf(2, entry("a", false), entry("b", true), entry("d", false))

	It("contains changed and removed upstreams only, because full boards to every VM at each change would saturate their links", func() {
		delta := boardDelta(first, second)
		Expect(delta.GetUpstreams()).To(HaveLen(2))
		Expect(delta.GetRemoved()).To(Equal([]string{"c"}))
	})

	It("yields the second board when it is applied to the first", func() {
		Expect(proto.Equal(applyBoardDelta(first, boardDelta(first, second)), second)).To(BeTrue())
	})

	It("is not applied to a board other than its base, so that the next lease brings the full board", func() {
		Expect(applyBoardDelta(second, boardDelta(first, second))).To(BeNil())
		Expect(applyBoardDelta(nil, boardDelta(first, second))).To(BeNil())
	})

	It("is the full board if there was no first one", func() {
		Expect(boardDelta(nil, second)).To(Equal(second))
		Expect(applyBoardDelta(nil, second)).To(Equal(second))
	})
})

var _ = Describe("the board in a lease grant", func() {
	const now = 10500 * time.Millisecond
	board := boardOf(2, entry("a", false))
	leader := func(board *peer.Board, listedAt time.Duration) *Voter {
		return &Voter{board: board, listedAt: listedAt, leaderSince: 10 * time.Second}
	}

	// Guards against a new leader that passes on upstreams which have left since it read the list in an earlier leadership.
	DescribeTable("is",
		func(v *Voter, at time.Duration, held uint64, sent *peer.Board, age time.Duration) {
			grant := &peer.LeaseGrant{}
			v.addBoard(at, grant, held)
			Expect(grant.GetBoard()).To(BeIdenticalTo(sent))
			Expect(time.Duration(grant.GetAged()) * time.Millisecond).To(BeNumerically(">=", age))
		},
		Entry("the leader's, if it has read the list", leader(board, 10*time.Second), now, uint64(1), board, 500*time.Millisecond),
		Entry("left out if the VM has it", leader(board, 10*time.Second), now, uint64(2), nil, 500*time.Millisecond),
		Entry("left out if it is older than the leadership", leader(board, 5*time.Second), now, uint64(1), nil, 5*time.Second),
		Entry("the old one for a VM that has none", leader(board, 5*time.Second), now, uint64(0), board, 5*time.Second),
		Entry("the old one while the list can't be read", leader(board, 5*time.Second), now+boardWait, uint64(1), board, 7*time.Second),
		Entry("left out if there is none, without making the VM's own list look new", leader(nil, 0), now, uint64(1), nil, 30*24*time.Hour),
	)

	// Guards against a VM that takes its board for one with all upstreams of a newer list, and a stream of such an upstream for another's.
	It("does not make another board look as new as the one that is left out", func() {
		holder := &Node{board: boardOf(1, entry("b", false)), listedAt: 6 * time.Second, at: ClockReading{Now: now}}
		grant := &peer.LeaseGrant{}
		leader(board, 9*time.Second).addBoard(now, grant, holder.board.GetChecksum())
		holder.updateBoard(grant)
		Expect(holder.board.GetChecksum()).To(Equal(uint64(1)))
		Expect(holder.listedAt).To(Equal(6 * time.Second))
	})

	// Guards against a board that passes for newer than it is, since a message was on its way for long or spoke of another board.
	DescribeTable("is confirmed for the time of which the leader has told",
		func(changedAt time.Duration, grant *peer.LeaseGrant, expected time.Duration) {
			grant.Aged = 500
			holder := &Node{board: board, confirmedAt: 6 * time.Second, boardChangedAt: changedAt, at: ClockReading{Now: now}}
			holder.updateBoard(grant)
			Expect(holder.confirmedAt).To(Equal(expected))
		},
		Entry("by a grant, counted from its request", time.Duration(0), &peer.LeaseGrant{Sent: int64(9 * time.Second)}, 8500*time.Millisecond),
		Entry("by a grant with another board", time.Duration(0), &peer.LeaseGrant{Sent: int64(9 * time.Second), Board: boardOf(3)}, 8500*time.Millisecond),
		Entry("by a late grant with an older board", time.Duration(0), &peer.LeaseGrant{Sent: int64(4 * time.Second), Board: boardOf(3)}, 3500*time.Millisecond),
		Entry("not by a grant that was requested before the board was replaced", 9500*time.Millisecond, &peer.LeaseGrant{Sent: int64(9 * time.Second)}, 6*time.Second),
		Entry("not by a push", time.Duration(0), &peer.LeaseGrant{Pushed: true, Board: boardOf(3)}, time.Duration(0)),
		Entry("not by a push of the same board", time.Duration(0), &peer.LeaseGrant{Pushed: true, Board: boardOf(2)}, 6*time.Second),
	)

	// Guards against a VM that leads again and passes on the board of its earlier leadership in place of a newer one that it has received.
	DescribeTable("is, at the start of a leadership,",
		func(received *peer.Board, receivedAt time.Duration, kept *peer.Board, keptAt time.Duration, expected uint64) {
			node := &Node{voter: &Voter{board: kept, listedAt: keptAt}, board: received, listedAt: receivedAt}
			node.adoptBoard()
			Expect(node.voter.board.GetChecksum()).To(Equal(expected))
		},
		Entry("the one received, if it is newer", boardOf(1), 9*time.Second, boardOf(2), 5*time.Second, uint64(1)),
		Entry("the one received, if there is no other", boardOf(1), 9*time.Second, nil, time.Duration(0), uint64(1)),
		Entry("the one kept, if it is newer", boardOf(1), 4*time.Second, boardOf(2), 5*time.Second, uint64(2)),
		Entry("the one kept, if none was received", nil, time.Duration(0), boardOf(2), 5*time.Second, uint64(2)),
	)
})
