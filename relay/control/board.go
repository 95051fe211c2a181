package control

import (
	"math"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/chicoryrelay/chicoryrelay/relay/peer"
)

// PublishBoard sets the board (the set of discovered upstreams) that this VM built from the platform's list, read at listedAt. The
// leader pushes the delta to the lease holders; a follower keeps the board in case it becomes the leader. A holder that missed a
// push gets the full board with its next lease.
func (n *Node) PublishBoard(at ClockReading, board *peer.Board, listedAt time.Duration) (Effects, error) {
	return n.step(at, func() error {
		v := n.voter
		if v == nil {
			return nil
		}
		before := v.board
		v.board, v.listedAt = board, listedAt
		if before.GetChecksum() == board.GetChecksum() || !v.isLeader || listedAt < v.leaderSince && at.Now < v.leaderSince+boardWait {
			return nil
		}
		delta := boardDelta(before, board)
		for _, held := range v.granter.Leases(n.at.Now) {
			n.send(held.VM, &peer.Envelope{Body: &peer.Envelope_LeaseGrant{LeaseGrant: &peer.LeaseGrant{
				Vm: held.VM, Boot: held.Boot, Pushed: true, Board: delta, Aged: uint32((n.at.Now - listedAt).Milliseconds()),
			}}})
		}
		return nil
	})
}

// boardWait is how long a new leader waits for the platform's list before it passes on a board from before its leadership to VMs that
// have one. It exceeds the interval at which the leader reads the list.
const boardWait = 2 * time.Second

// addBoard adds the board to a grant if the holder's has another checksum, and the age of the board. A leader that has not read the
// platform's list yet would bring back upstreams that have left, on VMs that know of it from the leader before; a VM without a board
// needs one to serve at all, and reads the list itself if the board is old.
func (v *Voter) addBoard(now time.Duration, grant *peer.LeaseGrant, held uint64) {
	if v.board == nil {
		grant.Aged = math.MaxUint32
		return
	}
	grant.Aged = uint32(min(math.MaxUint32, (now - v.listedAt).Milliseconds()))
	outdated := v.listedAt < v.leaderSince && now < v.leaderSince+boardWait
	switch {
	case v.board.GetChecksum() == held:
	case outdated && held != 0:
		// The age of this board says nothing of the holder's.
		grant.Aged = math.MaxUint32
	default:
		grant.Board = v.board
	}
}

// adoptBoard replaces the board kept from an earlier leadership by the one that the leader before last sent to this VM, if it is newer.
func (n *Node) adoptBoard() {
	if v := n.voter; n.board != nil && (v.board == nil || n.listedAt > v.listedAt) {
		// Others are told the age of this board.
		v.board, v.listedAt = n.board, n.confirmedAt
	}
}

// boardDelta returns the delta from one board to another, or the full second board if there is no first.
func boardDelta(before, after *peer.Board) *peer.Board {
	if before == nil {
		return after
	}
	delta := &peer.Board{Checksum: after.GetChecksum(), Base: before.GetChecksum()}
	known := make(map[string]*peer.BoardUpstream, len(before.GetUpstreams()))
	for _, u := range before.GetUpstreams() {
		known[u.GetId()] = u
	}
	for _, u := range after.GetUpstreams() {
		if old := known[u.GetId()]; old == nil || !proto.Equal(old, u) {
			delta.Upstreams = append(delta.Upstreams, u)
		}
		delete(known, u.GetId())
	}
	for _, u := range before.GetUpstreams() {
		if known[u.GetId()] != nil {
			delta.Removed = append(delta.Removed, u.GetId())
		}
	}
	return delta
}

// applyBoardDelta returns base with the delta applied, or nil if the delta has another base. A delta without a base is a full board.
func applyBoardDelta(base, delta *peer.Board) *peer.Board {
	if delta.GetBase() == 0 {
		return delta
	}
	if base.GetChecksum() != delta.GetBase() {
		return nil
	}
	changed := make(map[string]*peer.BoardUpstream, len(delta.GetUpstreams()))
	for _, u := range delta.GetUpstreams() {
		changed[u.GetId()] = u
	}
	for _, id := range delta.GetRemoved() {
		changed[id] = nil
	}
	board := &peer.Board{Checksum: delta.GetChecksum()}
	for _, u := range base.GetUpstreams() {
		if replaced, ok := changed[u.GetId()]; ok {
			delete(changed, u.GetId())
			if u = replaced; u == nil {
				continue
			}
		}
		board.Upstreams = append(board.Upstreams, u)
	}
	for _, u := range delta.GetUpstreams() {
		if changed[u.GetId()] != nil {
			board.Upstreams = append(board.Upstreams, u)
		}
	}
	return board
}

// updateBoard applies the board or board delta of a lease grant. It ignores a delta with another base, because the next lease
// brings the full board.
func (n *Node) updateBoard(m *peer.LeaseGrant) {
	if m.GetPushed() && m.GetBoard() == nil {
		return
	}
	if received := m.GetBoard(); received != nil && received.GetChecksum() != n.board.GetChecksum() {
		board := applyBoardDelta(n.board, received)
		if board == nil {
			return
		}
		n.board = board
		n.effects.Board = board
		n.confirmedAt, n.boardChangedAt = 0, n.at.Now
	}
	if n.board == nil {
		return
	}
	age := time.Duration(m.GetAged()) * time.Millisecond
	n.listedAt = max(n.listedAt, n.at.Now-age)
	// A push may have been on its way for any time, and a grant without a board speaks of the one that this VM had when it asked.
	sent := time.Duration(m.GetSent())
	if !m.GetPushed() && (m.GetBoard() != nil || sent >= n.boardChangedAt) {
		n.confirmedAt = max(n.confirmedAt, sent-age)
	}
}
