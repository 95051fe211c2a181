package peer

import (
	"bufio"
	"encoding/binary"
	"io"
	"net"
	"slices"
	"sync"

	"github.com/hashicorp/yamux"
	"google.golang.org/protobuf/proto"

	"github.com/samber/oops"
)

// maxMessage bounds one message between VMs in bytes.
const maxMessage = 64 << 20

// link is the way to one VM; its sessions may change.
type link struct {
	name     string
	queue    chan *Envelope
	dialling bool
	// stop ends the dialling.
	stop func()

	mu sync.Mutex
	// sessions are oldest first; those that have ended are taken out when the link is used next.
	sessions []*session
}

// session is one yamux session with the outgoing stream of this side.
type session struct {
	mux *yamux.Session
	out net.Conn
}

func (s *session) close() {
	_ = s.mux.Close()
}

// current returns the newest open session or nil. Older ones serve again when a newer one ends: the other VM, which still
// has the older session, would not dial anew.
func (l *link) current() *session {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.prune()
	if len(l.sessions) == 0 {
		return nil
	}
	return l.sessions[len(l.sessions)-1]
}

// replace makes a new session the one that messages are sent on. The old one is left to its heartbeat: two VMs that dial
// each other at the same time would otherwise close each other's session again and again.
func (l *link) replace(s *session) (replaced bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	replaced = len(l.sessions) > 0
	l.prune()
	l.sessions = append(l.sessions, s)
	return replaced
}

func (l *link) prune() {
	l.sessions = slices.DeleteFunc(l.sessions, func(s *session) bool { return s.mux.IsClosed() })
}

func (l *link) close() {
	l.mu.Lock()
	sessions := slices.Clone(l.sessions)
	l.mu.Unlock()
	for _, s := range sessions {
		s.close()
	}
}

func (l *link) push(body *Envelope) bool {
	if l.current() == nil {
		return false
	}
	select {
	case l.queue <- body:
		return true
	default:
		return false
	}
}

func writeMessage(w io.Writer, message proto.Message) (int, error) {
	frame := make([]byte, 4, 4+proto.Size(message))
	frame, err := proto.MarshalOptions{}.MarshalAppend(frame, message)
	if err != nil {
		return 0, err
	}
	binary.BigEndian.PutUint32(frame, uint32(len(frame)-4))
	return w.Write(frame)
}

func readMessage(r *bufio.Reader, into proto.Message) (int, error) {
	var head [4]byte
	if _, err := io.ReadFull(r, head[:]); err != nil {
		return 0, err
	}
	length := binary.BigEndian.Uint32(head[:])
	if length > maxMessage {
		return 0, oops.With("bytes", length).Hint("check that the address belongs to a VM of this system").Errorf("a peer's message is larger than %d bytes", maxMessage)
	}
	// The frame grows with what arrives, so that a forged length alone takes no memory.
	frame, err := io.ReadAll(io.LimitReader(r, int64(length)))
	if err != nil {
		return 0, err
	}
	if uint32(len(frame)) < length {
		return 0, io.ErrUnexpectedEOF
	}
	return len(frame) + len(head), proto.Unmarshal(frame, into)
}
