package pause

import (
	"fmt"
	"strconv"
	"strings"
	"sync"
	"time"
)

// MaxDuration bounds a pause: an upstream that asks for more is asked again after it.
const MaxDuration = 10 * time.Minute

// maxUpstreams bounds the memory of a registry. Beyond it the pause that ends first is dropped.
const maxUpstreams = 10_000

// ParseSeconds returns the duration of a Retry-After in seconds, at most MaxDuration; a date or any other text is 0, no pause.
func ParseSeconds(text string) time.Duration {
	seconds, err := strconv.ParseFloat(strings.TrimSpace(text), 64)
	if err != nil || !(seconds > 0) {
		return 0
	}
	return time.Duration(min(seconds, MaxDuration.Seconds()) * float64(time.Second))
}

// Error is the error of a request that was not sent because its upstream wants none until then.
type Error struct {
	Upstream string
	Until    time.Time
}

// Error implements error.
func (e *Error) Error() string {
	return fmt.Sprintf("upstream %s asked for no requests until %s", e.Upstream, e.Until.Format(time.TimeOnly))
}

// Registry has the pauses of a VM's upstreams by their ID; a new incarnation under the same ID keeps them. It is safe for concurrent
// use.
type Registry struct {
	now      func() time.Time
	onChange func()

	mu     sync.Mutex
	until  map[string]time.Time
	counts Counts
}

// Counts are the totals since the start of a registry.
type Counts struct {
	// Pauses counts the pauses that upstreams asked for, Held the requests that were not sent because of one.
	Pauses, Held uint64
}

// Option configures a Registry.
type Option func(*Registry)

// WithNow replaces time.Now.
func WithNow(now func() time.Time) Option { return func(r *Registry) { r.now = now } }

// New returns a registry without pauses.
func New(options ...Option) *Registry {
	r := &Registry{now: time.Now, onChange: func() {}, until: map[string]time.Time{}}
	for _, option := range options {
		option(r)
	}
	return r
}

// OnChange sets a callback for when a pause begins and after it has ended; set it before the first pause.
func (r *Registry) OnChange(callback func()) { r.onChange = callback }

// Pause begins a pause of an upstream, or extends one; a shorter one changes nothing, since an earlier refusal may arrive later.
func (r *Registry) Pause(upstream string, duration time.Duration) {
	duration = min(duration, MaxDuration)
	if duration <= 0 {
		return
	}
	r.mu.Lock()
	until := r.now().Add(duration)
	longer := until.After(r.until[upstream])
	if longer {
		if len(r.until) >= maxUpstreams {
			r.dropFirst()
		}
		r.until[upstream] = until
		r.counts.Pauses++
	}
	r.mu.Unlock()
	if longer {
		r.onChange()
		time.AfterFunc(duration, r.onChange)
	}
}

// dropFirst drops the pause that ends first; r.mu must be held.
func (r *Registry) dropFirst() {
	first, found := "", false
	for upstream, until := range r.until {
		if !found || until.Before(r.until[first]) {
			first, found = upstream, true
		}
	}
	delete(r.until, first)
}

// Until returns the end of an upstream's pause, or the zero time if there is none.
func (r *Registry) Until(upstream string) time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.untilLocked(upstream)
}

func (r *Registry) untilLocked(upstream string) time.Time {
	until, ok := r.until[upstream]
	if ok && !r.now().Before(until) {
		delete(r.until, upstream)
		return time.Time{}
	}
	return until
}

// Permit returns an *Error if nothing may be sent to an upstream now.
func (r *Registry) Permit(upstream string) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	until := r.untilLocked(upstream)
	if until.IsZero() {
		return nil
	}
	r.counts.Held++
	return &Error{Upstream: upstream, Until: until}
}

// Paused returns the number of upstreams that are paused.
func (r *Registry) Paused() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	for upstream := range r.until {
		r.untilLocked(upstream)
	}
	return len(r.until)
}

// Counts returns the totals.
func (r *Registry) Counts() Counts {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.counts
}
