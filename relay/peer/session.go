package peer

import (
	"bufio"
	"io"
	"net"
	"time"

	"github.com/hashicorp/yamux"

	"github.com/samber/oops"
)

// yamuxConfig makes yamux wait for the answer to a heartbeat for ConnectionWriteTimeout; a connection that stalls just after a
// heartbeat is thus closed after sessionTimeout if its heartbeats are not spaced out.
func (m *Mesh) yamuxConfig() *yamux.Config {
	config := yamux.DefaultConfig()
	// The mesh sends the heartbeats itself, since yamux can't change their interval while a session is open.
	config.EnableKeepAlive = false
	config.ConnectionWriteTimeout = m.sessionTimeout - m.heartbeat
	config.StreamOpenTimeout = m.sessionTimeout
	config.LogOutput = io.Discard
	return config
}

// runClient runs a session on a dialled connection until it ends.
func (m *Mesh) runClient(conn net.Conn, name string) {
	mux, err := yamux.Client(conn, m.yamuxConfig())
	if err != nil {
		_ = conn.Close()
		return
	}
	m.runSession(mux, name)
}

// runServer runs a session on an accepted connection until it ends.
func (m *Mesh) runServer(conn net.Conn) {
	mux, err := yamux.Server(conn, m.yamuxConfig())
	if err != nil {
		_ = conn.Close()
		return
	}
	m.runSession(mux, "")
}

// runSession performs the handshake, in which each side sends its Hello on the stream that it opens, and then reads messages
// until the session ends. If expected is not empty, the peer must have this name.
func (m *Mesh) runSession(mux *yamux.Session, expected string) {
	ended := make(chan struct{})
	defer close(ended)
	m.group.Go(func() {
		select {
		case <-m.ctx.Done():
			_ = mux.Close()
		case <-ended:
		}
	})
	defer func() { _ = mux.Close() }()
	out, hello, in, err := m.handshake(mux)
	if err != nil {
		m.log.WithField("cause", err.Error()).Debug("peer session refused")
		return
	}
	if expected != "" && hello.GetName() != expected {
		m.log.WithField("expected", expected).WithField("found", hello.GetName()).Error("another VM answers at this address: correct the peer's address in the settings")
		return
	}
	m.mu.Lock()
	l := m.link(hello.GetName())
	m.mu.Unlock()
	if l.add(&session{mux: mux, out: out}) {
		m.counters.Replaced.Add(1)
	}
	m.group.Go(func() { m.sendHeartbeats(mux, hello.GetName(), ended) })
	m.log.WithField("peer", hello.GetName()).WithField("boot", hello.GetBoot()).Info("peer connected")
	m.readLoop(in, hello)
	m.log.WithField("peer", hello.GetName()).Info("peer disconnected")
}

// sendHeartbeats sends heartbeats until the session ends, and closes a session whose heartbeat is not answered in time.
func (m *Mesh) sendHeartbeats(mux *yamux.Session, name string, ended <-chan struct{}) {
	timer := time.NewTimer(m.heartbeatInterval(name))
	defer timer.Stop()
	for {
		select {
		case <-ended:
			return
		case <-timer.C:
		}
		if _, err := mux.Ping(); err != nil {
			_ = mux.Close()
			return
		}
		timer.Reset(m.heartbeatInterval(name))
	}
}

// heartbeatInterval returns the time between two heartbeats to a peer.
func (m *Mesh) heartbeatInterval(name string) time.Duration {
	return m.heartbeat * time.Duration(max(1, m.heartbeatSpacing(name)))
}

func (m *Mesh) handshake(mux *yamux.Session) (net.Conn, *Hello, *bufio.Reader, error) {
	timer := time.AfterFunc(m.sessionTimeout, func() { _ = mux.Close() })
	defer timer.Stop()
	out, err := mux.Open()
	if err != nil {
		return nil, nil, nil, err
	}
	if _, err := writeMessage(out, &Hello{Name: m.name, Centre: m.centre, Boot: m.boot, Address: m.address.String()}); err != nil {
		return nil, nil, nil, err
	}
	stream, err := mux.Accept()
	if err != nil {
		return nil, nil, nil, err
	}
	in := bufio.NewReader(stream)
	var hello Hello
	if _, err := readMessage(in, &hello); err != nil {
		return nil, nil, nil, err
	}
	if hello.GetName() == "" || hello.GetName() == m.name {
		return nil, nil, nil, oops.With("name", hello.GetName()).Hint("give each VM a unique name in its settings").Errorf("peer has no name or the name of this VM")
	}
	return out, &hello, in, nil
}

func (m *Mesh) readLoop(in *bufio.Reader, hello *Hello) {
	for {
		envelope := &Envelope{}
		n, err := readMessage(in, envelope)
		if err != nil {
			return
		}
		m.counters.Received.Add(1)
		m.counters.Bytes.Add(int64(n))
		m.receive(Message{From: hello.GetName(), Boot: hello.GetBoot(), Body: envelope})
	}
}

// writeLoop sends the messages of a link's queue, each over the newest open session.
func (m *Mesh) writeLoop(l *link) {
	for {
		select {
		case <-m.ctx.Done():
			return
		case frame := <-l.queue:
			s := l.current()
			if s == nil {
				m.counters.Dropped.Add(1)
				continue
			}
			_ = s.out.SetWriteDeadline(time.Now().Add(m.sessionTimeout))
			n, err := s.out.Write(frame)
			m.counters.Bytes.Add(int64(n))
			if err != nil {
				s.close()
			}
		}
	}
}
