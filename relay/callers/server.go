package callers

import (
	"context"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/chicoryrelay/chicoryrelay/relay/outcome"
	"github.com/chicoryrelay/chicoryrelay/relay/peer"
)

// listener wraps the connections that it accepts.
type listener struct {
	net.Listener
	guard *Guard
	raw   bool
}

// Accept implements net.Listener. It closes connections for which there is no room.
func (l *listener) Accept() (net.Conn, error) {
	for {
		nc, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if c := l.guard.open(nc, l.raw); c != nil {
			return c, nil
		}
	}
}

// Listen returns a listener whose connections carry HTTP and count towards the guard's limits; Protect must be called on its server.
func (g *Guard) Listen(from net.Listener) net.Listener {
	if g == nil {
		return from
	}
	return &listener{Listener: from, guard: g}
}

// listenPeers returns a listener whose connections may be closed until their clients have completed the handshake.
func (g *Guard) listenPeers(from net.Listener) net.Listener {
	if g == nil {
		return from
	}
	return &listener{Listener: from, guard: g, raw: true}
}

// PeerBounds returns the bounds of the peers' listener.
func (g *Guard) PeerBounds() peer.Bounds {
	return peer.Bounds{Listen: g.listenPeers, Admit: admit, Hold: holdMessage, Release: releaseMessage}
}

// admit exempts a connection from being closed: its client has shown to be another VM.
func admit(nc net.Conn) {
	if c, ok := nc.(*conn); ok {
		c.releaseAll(Heads)
		c.enter(Exempt)
	}
}

// messageCost is the memory of a byte of a message: the frame, its old copy while it grows, and what it is decoded to.
const messageCost = 3

func holdMessage(nc net.Conn, bytes int) bool {
	c, ok := nc.(*conn)
	return !ok || c.reserve(Bodies, int64(bytes)*messageCost)
}

func releaseMessage(nc net.Conn) {
	if c, ok := nc.(*conn); ok {
		c.releaseAll(Bodies)
	}
}

// connectionKey is the context key of a request's connection, requestKey that of its number on it.
type (
	connectionKey struct{}
	requestKey    struct{}
)

// Protect makes a server tell the guard of its requests, and refuse those that do not fit or whose bodies have no known end. It must be called before the server serves.
func (g *Guard) Protect(server *http.Server) {
	server.Handler = framed(server.Handler)
	if g == nil {
		return
	}
	server.ConnContext = func(ctx context.Context, nc net.Conn) context.Context {
		return context.WithValue(ctx, connectionKey{}, nc)
	}
	server.ConnState = func(nc net.Conn, state http.ConnState) {
		if c, ok := nc.(*conn); ok && state == http.StateIdle {
			c.end()
		}
	}
	handler := server.Handler
	server.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if c := connectionOf(r.Context()); c != nil {
			var ok bool
			if r, ok = c.begin(r); !ok {
				g.record("request_refused")
				refuse(w)
				return
			}
		}
		handler.ServeHTTP(w, r)
	})
}

// framed ends the connection of each request in HTTP/1.0, and refuses those whose bodies have no length. That version has no chunks: for
// net/http a request without a length has no body, and what follows its head would be the next request.
func framed(handler http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.ProtoAtLeast(1, 1) {
			handler.ServeHTTP(w, r)
			return
		}
		w.Header().Set("Connection", "close")
		if _, ok := r.Header["Content-Length"]; !ok && (r.Method == http.MethodPost || r.Method == http.MethodPut || r.Method == http.MethodPatch) {
			write(w, outcome.Refuse(outcome.BadRequest, "a request in HTTP/1.0 needs the length of its body; send Content-Length, or HTTP/1.1"))
			return
		}
		handler.ServeHTTP(w, r)
	})
}

// refuse answers a request that does not fit into the memory for callers and has not run. It closes the connection, so that the rest of
// the request isn't read.
func refuse(w http.ResponseWriter) {
	w.Header().Set("Retry-After", strconv.FormatFloat(retryAfter.Seconds(), 'f', -1, 64))
	w.Header().Set("Connection", "close")
	write(w, Refusal())
}

func write(w http.ResponseWriter, refused *outcome.Refusal) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(refused.Status())
	// A write error means that the client has left.
	_, _ = w.Write(refused.Body())
}

func connectionOf(ctx context.Context) *conn {
	c, _ := ctx.Value(connectionKey{}).(*conn)
	return c
}

// HoldAnswer charges bytes of a request's answer that are kept in memory; the context is that of the request.
func HoldAnswer(ctx context.Context, bytes int64) {
	if c := connectionOf(ctx); c != nil {
		c.force(Answers, bytes)
	}
}

// ReleaseAnswer returns what HoldAnswer has charged.
func ReleaseAnswer(ctx context.Context, bytes int64) {
	if c := connectionOf(ctx); c != nil && bytes > 0 {
		c.release(Answers, bytes)
	}
}

// ReleaseBody returns the memory of a request's body, which the handler no longer holds. It has no effect once the request has ended: its
// connection may carry another one by then.
func ReleaseBody(ctx context.Context) {
	c := connectionOf(ctx)
	if c == nil {
		return
	}
	number, _ := ctx.Value(requestKey{}).(uint64)
	c.guard.update(func(core *Core, _ time.Duration) ([]ID, []ID) {
		if c.requests != number {
			return nil, nil
		}
		return nil, core.ReleaseAll(c.id, Bodies)
	})
}
