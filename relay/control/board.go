package control

import (
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/chicoryrelay/chicoryrelay/relay/peer"
)

// Publish takes the board of this VM's own reading and pushes what is new in it to the lease holders; a VM that does not lead
// keeps it, so that it has one when it leads. A holder that missed a push gets the whole board with its next lease.
func (n *Node) Publish(at Moment, board *peer.Board, listed time.Duration) (Effects, error) {
	return n.step(at, func() error {
		v := n.voter
		if v == nil {
			return nil
		}
		before := v.board
		v.board, v.listed = board, listed
		if before.GetChecksum() == board.GetChecksum() || !v.leads {
			return nil
		}
		pushed := boardDifference(before, board)
		for _, held := range v.granter.Held(n.at.Now) {
			n.send(held.VM, &peer.Envelope{Body: &peer.Envelope_LeaseGrant{LeaseGrant: &peer.LeaseGrant{
				Vm: held.VM, Boot: held.Boot, Pushed: true, Board: pushed, Aged: uint32((n.at.Now - listed).Milliseconds()),
			}}})
		}
		return nil
	})
}

// boardDifference returns what leads from one board to another, or the whole second one if there is no first.
func boardDifference(before, after *peer.Board) *peer.Board {
	if before == nil {
		return after
	}
	difference := &peer.Board{Checksum: after.GetChecksum(), Base: before.GetChecksum()}
	known := make(map[string]*peer.BoardUpstream, len(before.GetUpstreams()))
	for _, u := range before.GetUpstreams() {
		known[u.GetId()] = u
	}
	for _, u := range after.GetUpstreams() {
		if old := known[u.GetId()]; old == nil || !proto.Equal(old, u) {
			difference.Upstreams = append(difference.Upstreams, u)
		}
		delete(known, u.GetId())
	}
	for _, u := range before.GetUpstreams() {
		if known[u.GetId()] != nil {
			difference.Removed = append(difference.Removed, u.GetId())
		}
	}
	return difference
}

// applyDifference returns the board that a difference leads to, or nil if it starts from another one.
func applyDifference(held, difference *peer.Board) *peer.Board {
	if difference.GetBase() == 0 {
		return difference
	}
	if held.GetChecksum() != difference.GetBase() {
		return nil
	}
	changed := make(map[string]*peer.BoardUpstream, len(difference.GetUpstreams()))
	for _, u := range difference.GetUpstreams() {
		changed[u.GetId()] = u
	}
	for _, id := range difference.GetRemoved() {
		changed[id] = nil
	}
	board := &peer.Board{Checksum: difference.GetChecksum()}
	for _, u := range held.GetUpstreams() {
		if replaced, ok := changed[u.GetId()]; ok {
			delete(changed, u.GetId())
			if u = replaced; u == nil {
				continue
			}
		}
		board.Upstreams = append(board.Upstreams, u)
	}
	for _, u := range difference.GetUpstreams() {
		if changed[u.GetId()] != nil {
			board.Upstreams = append(board.Upstreams, u)
		}
	}
	return board
}

// learnBoard takes the leader's board.
func (n *Node) learnBoard(m *peer.LeaseGrant) {
	if m.GetPushed() && m.GetBoard() == nil {
		return
	}
	if told := m.GetBoard(); told != nil && told.GetChecksum() != n.board.GetChecksum() {
		board := applyDifference(n.board, told)
		if board == nil {
			return
		}
		n.board = board
		n.effects.Board = board
	}
	if n.board != nil {
		n.listed = max(n.listed, n.at.Now-time.Duration(m.GetAged())*time.Millisecond)
	}
}
