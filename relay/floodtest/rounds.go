package floodtest

import (
	"io"
	"sync"
	"time"
)

const (
	// pieceBytes is the size of a write and of the first round of a flood; each round sends a quarter of what came before it, up
	// to maxRoundBytes.
	pieceBytes    = 4 << 10
	maxRoundBytes = 256 << 10
)

// Rounds lets floods go on by a round at a time, so that a test can measure what they occupy in between.
type Rounds struct {
	mu    sync.Mutex
	next  chan struct{}
	ended bool
}

// NewRounds returns the rounds of floods, which wait for the first one.
func NewRounds() *Rounds { return &Rounds{next: make(chan struct{})} }

// Advance begins the next round of the floods that have ended theirs.
func (r *Rounds) Advance() {
	r.mu.Lock()
	defer r.mu.Unlock()
	close(r.next)
	r.next = make(chan struct{})
}

// End ends the floods.
func (r *Rounds) End() {
	r.mu.Lock()
	r.ended = true
	r.mu.Unlock()
	r.Advance()
}

// wait waits for the next round and reports whether there is one.
func (r *Rounds) wait() bool {
	r.mu.Lock()
	next, ended := r.next, r.ended
	r.mu.Unlock()
	if ended {
		return false
	}
	<-next
	return true
}

// Pour sends the prefix and then the repeated text in rounds, until the receiver closes the connection or the rounds end. With a pause
// a round of the repeated text is one piece of it.
func (r *Rounds) Pour(to io.Writer, prefix, repeated []byte, pause time.Duration) {
	paused, sent, allowed := time.Duration(0), 0, 0
	for rest := prefix; ; {
		if len(rest) == 0 {
			rest, paused = repeated, pause
		}
		if sent >= allowed || paused > 0 {
			time.Sleep(paused)
			if !r.wait() {
				return
			}
			allowed = sent + min(max(sent/4, pieceBytes), maxRoundBytes)
		}
		n, err := to.Write(rest[:min(len(rest), pieceBytes)])
		if err != nil {
			return
		}
		sent, rest = sent+n, rest[n:]
	}
}
