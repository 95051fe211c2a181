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
	s := &session{}
	var err error
	if s.mux, err = yamux.Client(&sessionConn{conn, s}, m.yamuxConfig()); err != nil {
		_ = conn.Close()
		return
	}
	m.runSession(s, conn, name)
}

// runServer runs a session on an accepted connection until it ends.
func (m *Mesh) runServer(conn net.Conn) {
	s := &session{}
	var err error
	if s.mux, err = yamux.Server(&sessionConn{conn, s}, m.yamuxConfig()); err != nil {
		_ = conn.Close()
		return
	}
	m.runSession(s, conn, "")
}

// runSession performs the handshake, in which each side sends its Hello on the stream that it opens, and then reads messages
// until the session ends. If expected is not empty, the peer must have this name.
func (m *Mesh) runSession(s *session, conn net.Conn, expected string) {
	ended := make(chan struct{})
	defer close(ended)
	m.group.Go(func() {
		select {
		case <-m.ctx.Done():
			s.close()
		case <-ended:
		}
	})
	defer s.close()
	in, hello, err := m.handshake(s)
	if err != nil {
		m.log.WithField("cause", err.Error()).Debug("peer session refused")
		return
	}
	m.group.Go(func() {
		// Yamux may close the session by itself.
		<-s.mux.CloseChan()
		s.interrupt()
	})
	if expected != "" && hello.GetName() != expected {
		m.log.WithField("expected", expected).WithField("found", hello.GetName()).Error("another VM answers at this address: correct the peer's address in the settings")
		return
	}
	m.bounds.Admit(conn)
	m.mu.Lock()
	l := m.link(hello.GetName())
	m.mu.Unlock()
	if l.add(s) {
		m.counters.Replaced.Add(1)
	}
	m.group.Go(func() { m.sendHeartbeats(s, hello.GetName(), ended) })
	m.log.WithField("peer", hello.GetName()).WithField("boot", hello.GetBoot()).Info("peer connected")
	err = m.readLoop(conn, in, hello)
	m.log.WithField("peer", hello.GetName()).WithField("closed", s.mux.IsClosed()).WithField("cause", err.Error()).Info("peer disconnected")
}

// sendHeartbeats sends heartbeats until the session ends, and closes a session whose heartbeat is not answered in time.
func (m *Mesh) sendHeartbeats(s *session, name string, ended <-chan struct{}) {
	timer := time.NewTimer(m.heartbeatInterval(name))
	defer timer.Stop()
	for {
		select {
		case <-ended:
			return
		case <-timer.C:
		}
		if _, err := s.mux.Ping(); err != nil {
			s.close()
			return
		}
		timer.Reset(m.heartbeatInterval(name))
	}
}

// heartbeatInterval returns the time between two heartbeats to a peer.
func (m *Mesh) heartbeatInterval(name string) time.Duration {
	return m.heartbeat * time.Duration(max(1, m.heartbeatSpacing(name)))
}

// handshake exchanges the Hello messages. Each of its steps has a deadline of its own, as a closed session alone doesn't end them.
func (m *Mesh) handshake(s *session) (in *bufio.Reader, hello *Hello, err error) {
	timer := time.AfterFunc(m.sessionTimeout, s.close)
	defer timer.Stop()
	deadline := time.Now().Add(m.sessionTimeout)
	if s.out, err = s.mux.Open(); err != nil {
		return nil, nil, err
	}
	s.add(s.out)
	s.limit(deadline)
	if _, err := writeMessage(s.out, &Hello{Name: m.name, Centre: m.centre, Boot: m.boot, Address: m.address.String()}); err != nil {
		return nil, nil, err
	}
	stream, err := s.mux.Accept()
	if err != nil {
		return nil, nil, err
	}
	s.add(stream)
	s.limit(deadline)
	in, hello = bufio.NewReader(stream), &Hello{}
	if _, err := readMessage(in, hello); err != nil {
		return nil, nil, err
	}
	s.limit(time.Time{})
	if hello.GetName() == "" || hello.GetName() == m.name {
		return nil, nil, oops.With("name", hello.GetName()).Hint("give each VM a unique name in its settings").Errorf("peer has no name or the name of this VM")
	}
	return in, hello, nil
}

// readLoop passes on the messages of a session until its end, and returns the error that ended it.
func (m *Mesh) readLoop(conn net.Conn, in *bufio.Reader, hello *Hello) error {
	for {
		envelope := &Envelope{}
		n, err := readHeldMessage(in, envelope, func(bytes int) bool { return m.bounds.Hold(conn, bytes) })
		if err != nil {
			return err
		}
		m.counters.Received.Add(1)
		m.counters.Bytes.Add(int64(n))
		m.receive(Message{From: hello.GetName(), Boot: hello.GetBoot(), Body: envelope})
		if n > freeMessageBytes {
			m.bounds.Release(conn)
		}
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
			s.limitWrite(time.Now().Add(m.sessionTimeout))
			n, err := s.out.Write(frame)
			m.counters.Bytes.Add(int64(n))
			if err != nil {
				s.close()
			}
		}
	}
}
