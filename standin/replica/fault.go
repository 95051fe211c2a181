package replica

import (
	"context"
	"net"
	"strings"
	"sync"
	"time"
)

// Fault is the body of POST /fault; each field that is set arms one fault, and the others stay as they are.
type Fault struct {
	// Crash exits the process, or restarts the engine if WithReset is set, once the next stream has sent this many tokens.
	Crash *int `json:"crash,omitempty"`
	// Silent stops all output on the connections that are open once the next stream has sent this many tokens; 0 stops it at once.
	Silent *int `json:"silent,omitempty"`
	// Cross sends an event with the ID of another request before the event of this index in the next stream; Duplicate sends the
	// event of this index twice.
	Cross     *int `json:"cross,omitempty"`
	Duplicate *int `json:"duplicate,omitempty"`
	// Break closes the connection of the next stream after this many tokens.
	Break *int `json:"break,omitempty"`
	// Slow is the factor by which batch steps take longer during the duration For, 10s if it is missing or invalid.
	Slow float64 `json:"slow,omitempty"`
	For  string  `json:"for,omitempty"`
	// Leave makes the engine reject new requests, and announce in each answer that it leaves, if true, and accept them again if false.
	Leave *bool `json:"leave,omitempty"`
	// Refuse refuses this many next requests as busy, with a Retry-After of RetryAfter, such as 2, if that is not empty.
	Refuse     *int   `json:"refuse,omitempty"`
	RetryAfter string `json:"retry_after,omitempty"`
	// CrashOn is a text: the engine crashes as soon as it begins to answer a prompt that contains it; an empty text ends this.
	CrashOn *string `json:"crash_on,omitempty"`
	// Unframed is the number of next streams that have neither a length nor chunks and end with their connection.
	Unframed *int `json:"unframed,omitempty"`
}

// faults are the armed faults and the generation of connections; connections of an older generation are silent.
type faults struct {
	mutex      sync.Mutex
	armed      Fault
	generation uint64
	leaving    bool
	refuse     int
	retryAfter string
	crashOn    string
	unframed   int
}

// takeRefusal reports whether the next request is refused as busy, and with which Retry-After.
func (f *faults) takeRefusal() (retryAfter string, refused bool) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if f.refuse == 0 {
		return "", false
	}
	f.refuse--
	return f.retryAfter, true
}

// takeUnframed reports whether the next stream is unframed.
func (f *faults) takeUnframed() bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if f.unframed == 0 {
		return false
	}
	f.unframed--
	return true
}

// crashesOn reports whether the engine crashes on a prompt.
func (f *faults) crashesOn(text string) bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.crashOn != "" && strings.Contains(text, f.crashOn)
}

// isLeaving reports whether the engine announces that it leaves.
func (f *faults) isLeaving() bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.leaving
}

// takeArmed returns the armed stream faults and disarms them, so that they apply to one stream only.
func (f *faults) takeArmed() Fault {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	armed := f.armed
	f.armed = Fault{}
	return armed
}

func (f *faults) arm(fault Fault) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	merge := func(target **int, source *int) {
		if source != nil {
			*target = source
		}
	}
	merge(&f.armed.Crash, fault.Crash)
	merge(&f.armed.Cross, fault.Cross)
	merge(&f.armed.Duplicate, fault.Duplicate)
	if fault.Leave != nil {
		f.leaving = *fault.Leave
	}
	if fault.Refuse != nil {
		f.refuse, f.retryAfter = *fault.Refuse, fault.RetryAfter
	}
	if fault.CrashOn != nil {
		f.crashOn = *fault.CrashOn
	}
	if fault.Unframed != nil {
		f.unframed = *fault.Unframed
	}
	merge(&f.armed.Break, fault.Break)
	if fault.Silent != nil && *fault.Silent == 0 {
		f.generation++
		return
	}
	merge(&f.armed.Silent, fault.Silent)
}

// silence permanently silences all connections that are open now.
func (f *faults) silence() {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.generation++
}

type generationKey struct{}

// connContext stores the current generation in the context of a new connection.
func (f *faults) connContext(ctx context.Context, _ net.Conn) context.Context {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return context.WithValue(ctx, generationKey{}, f.generation)
}

// isSilent reports whether the connection of the request has been silenced.
func (f *faults) isSilent(ctx context.Context) bool {
	generation, ok := ctx.Value(generationKey{}).(uint64)
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return ok && generation < f.generation
}

func due(count *int, sent int) bool { return count != nil && *count == sent }

func (f Fault) slowDuration() time.Duration {
	d, err := time.ParseDuration(f.For)
	if err != nil || d <= 0 {
		return 10 * time.Second
	}
	return d
}
