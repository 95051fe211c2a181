package peer

import (
	"bufio"
	"encoding/binary"
	"errors"
	"io"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/hashicorp/yamux"
	"google.golang.org/protobuf/proto"

	"github.com/samber/oops"
)

// errNoMemory ends a session whose message does not fit into the memory that is left.
var errNoMemory = errors.New("the memory for clients has no room for the peer's message; raise limits.memory if the message is sound")

// maxMessageBytes is the largest encoded message accepted from a peer.
const maxMessageBytes = 64 << 20

// link is the outgoing queue and the open sessions of one peer.
type link struct {
	name string
	// queue has encoded messages, which several links may share.
	queue    chan []byte
	dialling bool
	// cancelDial stops the dial loop; it is valid while dialling is true.
	cancelDial func()

	mu sync.Mutex
	// sessions are ordered from oldest to newest; closed ones are removed on the next call of current or add.
	sessions []*session
}

// session is a yamux session with the stream that this side opened for its outgoing messages.
//
// Yamux tells its streams of a session's end only once its own receive loop has ended. Until then each of their readers and writers turns
// without a pause, and on one processor keeps that loop from running, so that they are interrupted before.
type session struct {
	mux *yamux.Session
	out net.Conn

	mu      sync.Mutex
	streams []net.Conn
	// interrupted is set once the session ends; its streams then keep the deadline that has passed.
	interrupted bool
}

// add adds a stream of the session.
func (s *session) add(stream net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.streams = append(s.streams, stream)
	if s.interrupted {
		s.endStreams()
	}
}

// limit sets the deadline of all streams; a zero time removes it.
func (s *session) limit(deadline time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.interrupted {
		return
	}
	for _, stream := range s.streams {
		_ = stream.SetDeadline(deadline)
	}
}

// limitWrite sets the deadline of the next message.
func (s *session) limitWrite(deadline time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.interrupted {
		_ = s.out.SetWriteDeadline(deadline)
	}
}

// interrupt ends the reads and writes of all streams, now and later.
func (s *session) interrupt() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.interrupted = true
	s.endStreams()
}

// endStreams sets deadlines that have passed; the caller holds the lock.
func (s *session) endStreams() {
	for _, stream := range s.streams {
		_ = stream.SetDeadline(time.Unix(1, 0))
	}
}

func (s *session) close() {
	s.interrupt()
	_ = s.mux.Close()
}

// sessionConn is the connection of a session; an error, which ends the session, interrupts its streams before yamux learns of it.
type sessionConn struct {
	net.Conn
	session *session
}

// Read implements net.Conn.
func (c *sessionConn) Read(into []byte) (int, error) {
	n, err := c.Conn.Read(into)
	if err != nil {
		c.session.interrupt()
	}
	return n, err
}

// Write implements net.Conn.
func (c *sessionConn) Write(from []byte) (int, error) {
	n, err := c.Conn.Write(from)
	if err != nil {
		c.session.interrupt()
	}
	return n, err
}

// current returns the newest open session, or nil. When it closes, the next older open session is used again, because the
// peer does not dial while it has a session open.
func (l *link) current() *session {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.removeClosed()
	if len(l.sessions) == 0 {
		return nil
	}
	return l.sessions[len(l.sessions)-1]
}

// add makes s the session for outgoing messages and reports whether the link already had a session, open or closed but not yet
// removed. Open sessions stay until their heartbeat fails: two VMs that dial each other at the same time would otherwise keep
// closing each other's sessions.
func (l *link) add(s *session) (replaced bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	replaced = len(l.sessions) > 0
	l.removeClosed()
	l.sessions = append(l.sessions, s)
	return replaced
}

func (l *link) removeClosed() {
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

// enqueue reports false if no session is open or the queue is full.
func (l *link) enqueue(frame []byte) bool {
	if l.current() == nil {
		return false
	}
	select {
	case l.queue <- frame:
		return true
	default:
		return false
	}
}

// encodeMessage returns the message behind its length.
func encodeMessage(message proto.Message) ([]byte, error) {
	frame := make([]byte, 4, 4+proto.Size(message))
	frame, err := proto.MarshalOptions{}.MarshalAppend(frame, message)
	if err != nil {
		return nil, err
	}
	binary.BigEndian.PutUint32(frame, uint32(len(frame)-4))
	return frame, nil
}

func writeMessage(w io.Writer, message proto.Message) (int, error) {
	frame, err := encodeMessage(message)
	if err != nil {
		return 0, err
	}
	return w.Write(frame)
}

func readMessage(r *bufio.Reader, message proto.Message) (int, error) {
	return readHeldMessage(r, message, func(int) bool { return true })
}

// freeMessageBytes is the size up to which a message is read without asking for its memory.
const freeMessageBytes = 64 << 10

// holdingReader asks for the memory of what it reads beyond freeMessageBytes.
type holdingReader struct {
	io.Reader
	free int
	hold func(bytes int) bool
}

func (h *holdingReader) Read(p []byte) (int, error) {
	n, err := h.Reader.Read(p)
	free := min(n, h.free)
	h.free -= free
	if n > free && !h.hold(n-free) {
		return 0, errNoMemory
	}
	return n, err
}

// readHeldMessage reads a message; hold reports whether there is memory for that many bytes more of it.
func readHeldMessage(r *bufio.Reader, message proto.Message, hold func(bytes int) bool) (int, error) {
	var header [4]byte
	if _, err := io.ReadFull(r, header[:]); err != nil {
		return 0, err
	}
	length := binary.BigEndian.Uint32(header[:])
	if length > maxMessageBytes {
		return 0, oops.With("bytes", length).Hint("check that the peer's address belongs to a VM of this system").Errorf("message from peer exceeds the limit of %d bytes", maxMessageBytes)
	}
	// The buffer grows with the bytes received, so that a forged length does not allocate memory.
	frame, err := io.ReadAll(&holdingReader{io.LimitReader(r, int64(length)), freeMessageBytes, hold})
	if err != nil {
		return 0, err
	}
	if uint32(len(frame)) < length {
		return 0, io.ErrUnexpectedEOF
	}
	return len(frame) + len(header), proto.Unmarshal(frame, message)
}
