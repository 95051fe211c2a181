package control

import (
	"time"

	"github.com/chicoryrelay/chicoryrelay/relay/peer"
)

// Publish takes the board of this VM's own reading and pushes it to the lease holders if it is new; a VM that does not lead
// keeps it, so that it has one when it leads.
func (n *Node) Publish(at Moment, board *peer.Board, listed time.Duration) (Effects, error) {
	return n.step(at, func() error {
		v := n.voter
		if v == nil {
			return nil
		}
		changed := v.board.GetChecksum() != board.GetChecksum()
		v.board, v.listed = board, listed
		if !changed || !v.leads {
			return nil
		}
		for _, held := range v.granter.Held(n.at.Now) {
			n.send(held.VM, &peer.Envelope{Body: &peer.Envelope_LeaseGrant{LeaseGrant: &peer.LeaseGrant{
				Vm: held.VM, Boot: held.Boot, Pushed: true, Board: board, Aged: uint32((n.at.Now - listed).Milliseconds()),
			}}})
		}
		return nil
	})
}

// learnBoard takes the leader's board.
func (n *Node) learnBoard(m *peer.LeaseGrant) {
	if m.GetPushed() && m.GetBoard() == nil {
		return
	}
	if board := m.GetBoard(); board != nil && board.GetChecksum() != n.board.GetChecksum() {
		n.board = board
		n.effects.Board = board
	}
	if n.board != nil {
		n.listed = max(n.listed, n.at.Now-time.Duration(m.GetAged())*time.Millisecond)
	}
}
