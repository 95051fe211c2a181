package stream

// Verdict is the decision on one event from an upstream.
type Verdict uint8

// Verdicts of Core.Accept.
const (
	// Deliver means that the event is the next one and must be sent to the caller.
	Deliver Verdict = iota
	// Duplicate drops an event that was already delivered.
	Duplicate
	// Foreign drops an event that belongs to another request.
	Foreign
	// Gap means that preceding events are missing; the stream must be resumed from Next.
	Gap
	// AfterEnd drops an event that follows the one with the finish reason.
	AfterEnd
)

// Version identifies what generates the tokens of a stream; only an upstream of an equal version may resume it.
type Version struct {
	Model   string
	Adapter string
	Weights string
	// Software is the version of the engine's software; empty if neither the configuration nor the engine tells one.
	Software string
}

// Event holds the fields of an upstream's event on which Accept decides.
type Event struct {
	Request  string
	Sequence uint64
	// Finish is set on the event that carries the finish reason.
	Finish bool
}

// Counts are the totals of one stream by verdict; AfterEnd is not counted. Resumes counts the attempts that Resume accepted, the
// first one included.
type Counts struct {
	Delivered  uint64
	Duplicates uint64
	Foreign    uint64
	Gaps       uint64
	Resumes    uint64
}

// Core tracks the position of one relayed stream.
type Core struct {
	request string
	version Version
	start   uint64
	next    uint64
	ended   bool
	counts  Counts
}

// New returns the Core of a request's stream; from is the number of events that the caller has already received.
func New(request string, version Version, from uint64) *Core {
	return &Core{request: request, version: version, start: from, next: from}
}

// Accept decides on one event and updates the counts; only Deliver advances the position.
func (c *Core) Accept(event Event) Verdict {
	switch {
	case event.Request != c.request:
		c.counts.Foreign++
		return Foreign
	case c.ended:
		return AfterEnd
	case event.Sequence < c.next:
		c.counts.Duplicates++
		return Duplicate
	case event.Sequence > c.next:
		c.counts.Gaps++
		return Gap
	}
	c.next++
	c.counts.Delivered++
	c.ended = event.Finish
	return Deliver
}

// Next returns the sequence number of the next event to deliver.
func (c *Core) Next() uint64 { return c.next }

// Started reports whether an event was delivered since New.
func (c *Core) Started() bool { return c.next > c.start }

// Ended reports whether the event with the finish reason was delivered.
func (c *Core) Ended() bool { return c.ended }

// Resume binds the stream to the version of the upstream that begins or continues it. It returns false, and changes nothing, if the stream
// has ended or if events of another version were delivered.
func (c *Core) Resume(version Version) bool {
	if c.ended || c.next > 0 && version != c.version {
		return false
	}
	c.version = version
	c.counts.Resumes++
	return true
}

// Version returns the version to which the stream is bound.
func (c *Core) Version() Version { return c.version }

// Counts returns the totals so far.
func (c *Core) Counts() Counts { return c.counts }
