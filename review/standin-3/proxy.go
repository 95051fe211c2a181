package main

import (
	"bytes"
	"net"
	"sync"
	"time"
)

// network has the partition of the machines: those of different sides don't reach each other.
type network struct {
	mu     sync.Mutex
	names  []string
	sides  map[string]int
	healed chan struct{}
}

// cut begins a partition in which the machines with the given names are on another side than all others; without names it ends.
func (n *network) cut(names ...string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.healed != nil {
		close(n.healed)
	}
	n.sides, n.healed = map[string]int{}, nil
	for _, name := range names {
		n.sides[name] = 1
	}
	if len(names) > 0 {
		n.healed = make(chan struct{})
	}
}

// apart returns what is closed when two machines reach each other again, or nil if they do now.
func (n *network) apart(a, b string) chan struct{} {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.healed == nil || a == "" || n.sides[a] == n.sides[b] {
		return nil
	}
	return n.healed
}

// sender returns the machine whose name stands in the first bytes of a connection, or an empty name.
func (n *network) sender(head []byte) string {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, name := range n.names {
		if bytes.Contains(head, []byte(name)) {
			return name
		}
	}
	return ""
}

// proxy stands at a machine's address and passes connections on to its process. Bytes from and to a machine on the other side of a partition
// are held in both directions until it ends; machines are known by their name in the first bytes that they send.
type proxy struct {
	network *network
	name    string
	target  string
}

func newProxy(n *network, address, target string) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	n.mu.Lock()
	n.names = append(n.names, address)
	n.mu.Unlock()
	p := &proxy{network: n, name: address, target: target}
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			go p.serve(c)
		}
	}()
	return nil
}

// link is one proxied connection.
type link struct {
	mu   sync.Mutex
	head []byte
	from string
}

// sent records bytes that the machine which has opened the connection has sent.
func (l *link) sent(n *network, b []byte) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.from == "" && len(l.head) < 4096 {
		l.head = append(l.head, b...)
		l.from = n.sender(l.head)
	}
}

// hold waits while the machines of a connection are apart.
func (p *proxy) hold(l *link) {
	for {
		l.mu.Lock()
		from := l.from
		l.mu.Unlock()
		healed := p.network.apart(from, p.name)
		if healed == nil {
			return
		}
		<-healed
	}
}

func (p *proxy) serve(client net.Conn) {
	defer client.Close()
	var server net.Conn
	for end := time.Now().Add(3 * time.Second); ; time.Sleep(50 * time.Millisecond) {
		var err error
		if server, err = net.Dial("tcp", p.target); err == nil {
			break
		}
		if time.Now().After(end) {
			return
		}
	}
	defer server.Close()
	l := &link{}
	done := make(chan struct{}, 2)
	pass := func(from, to net.Conn, opener bool) {
		defer func() { done <- struct{}{} }()
		buffer := make([]byte, 32<<10)
		for {
			n, err := from.Read(buffer)
			if n > 0 {
				if opener {
					l.sent(p.network, buffer[:n])
				}
				p.hold(l)
				if _, err := to.Write(buffer[:n]); err != nil {
					return
				}
			}
			if err != nil {
				p.hold(l)
				return
			}
		}
	}
	go pass(client, server, true)
	go pass(server, client, false)
	<-done
}
