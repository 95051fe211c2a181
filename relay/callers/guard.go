package callers

import (
	"errors"
	"net"
	"runtime/debug"
	"sync"
	"time"

	"github.com/apex/log"
)

const (
	// maxWait limits how long a reservation waits for memory: by then bodies that have come to a halt are closed.
	maxWait = stallTime + 200*time.Millisecond
	// acceptWait limits how long a new connection waits for memory, since others wait to be accepted behind it.
	acceptWait = 300 * time.Millisecond
	// retryInterval is the interval at which a reservation that waits asks again whom to close.
	retryInterval = 100 * time.Millisecond
	// logInterval is the shortest time between two log lines of one cause.
	logInterval = time.Second
	// connectionCost is the memory of a connection in bytes: goroutine, reader, writer and socket. Measured at 15 KB for an idle one and
	// 19 KB for one with a request; the rest is for stacks that handlers make grow.
	connectionCost = 24 << 10
	// requestCost is the memory of a request that is served, beside its head and body: its answer's buffer, the upstream's connection.
	requestCost = 32 << 10
	// maxOwnDescriptors is the largest number of descriptors that are kept for files, listeners and other VMs, a quarter of all on a
	// machine with few.
	maxOwnDescriptors = 256
)

// ErrNoMemory means that a request body does not fit into the memory that is left for callers; the request has not run.
var ErrNoMemory = errors.New("requests occupy the memory that this VM has for them")

// errClosed is returned by a connection that was closed to free memory or descriptors.
var errClosed = errors.New("the connection was closed since memory or descriptors ran low")

// Guard bounds what the clients of a process's listeners occupy together. A nil Guard bounds nothing. It is safe for concurrent use.
type Guard struct {
	memory      int64
	descriptors int
	openFiles   func() (uint64, error)
	log         log.Interface
	start       time.Time

	mu     sync.Mutex
	core   *Core
	conns  map[ID]*conn
	lastID ID

	eventsMu sync.Mutex
	events   map[string]*event
}

// event counts what was refused or closed for one cause; logged is the count of the last log line, written at loggedAt.
type event struct {
	count, logged uint64
	loggedAt      time.Time
}

// Option configures a Guard.
type Option func(*Guard)

// WithMemory sets the memory of the machine in bytes; 0 means no limit.
func WithMemory(bytes int64) Option { return func(g *Guard) { g.memory = bytes } }

// WithDescriptors sets the number of descriptors of the process; OwnLimit stands for its limit of open files, and 0 means no limit.
func WithDescriptors(count int) Option { return func(g *Guard) { g.descriptors = count } }

// WithLog sets the log.
func WithLog(logger log.Interface) Option { return func(g *Guard) { g.log = logger } }

// New returns a guard, or nil without a limit of memory or descriptors.
func New(options ...Option) *Guard {
	g := &Guard{openFiles: openFiles, log: log.Log, start: time.Now(), conns: map[ID]*conn{}, events: map[string]*event{}}
	for _, option := range options {
		option(g)
	}
	if g.descriptors == OwnLimit {
		g.descriptors = g.ownDescriptors()
	}
	if g.memory == 0 && g.descriptors == 0 {
		return nil
	}
	g.core = NewCore(Budget(g.memory), MaxConnections(g.descriptors))
	return g
}

// Budget returns the memory of callers in bytes on a machine: three eighths, half of SoftLimit, so that garbage and what the process
// itself needs find room beside it.
func Budget(memory int64) int64 { return memory / 8 * 3 }

// SoftLimit returns the memory in bytes that the Go runtime tries to stay within: three quarters of the machine's. The rest is for the
// program's pages, and for what is allocated faster than it is collected.
func SoftLimit(memory int64) int64 { return memory / 4 * 3 }

// MaxConnections returns the number of clients' connections of a process with a number of descriptors: half of what is left beside its
// own, since a running request needs a second one to its upstream.
func MaxConnections(descriptors int) int {
	return (descriptors - min(descriptors/4, maxOwnDescriptors)) / 2
}

// SetMemoryLimit sets the runtime's soft memory limit.
func (g *Guard) SetMemoryLimit() {
	if g != nil && g.memory > 0 {
		debug.SetMemoryLimit(SoftLimit(g.memory))
	}
}

func (g *Guard) now() time.Duration { return time.Since(g.start) }

// open adds a connection, or closes it and returns nil if there is no room for it.
func (g *Guard) open(nc net.Conn, raw bool) *conn {
	c := &conn{Conn: nc, guard: g, raw: raw, grant: make(chan bool, 1)}
	stage := Fresh
	if raw {
		stage = Head
	}
	g.mu.Lock()
	g.lastID++
	c.id = g.lastID
	closed, ok := g.core.Open(g.now(), c.id, stage)
	if ok {
		g.conns[c.id] = c
	}
	causes := g.close(closed)
	g.mu.Unlock()
	g.record(causes...)
	if !ok {
		g.record("connection_refused")
		_ = nc.Close()
		return nil
	}
	if !c.reserveWithin(Connections, connectionCost, acceptWait) {
		g.record("connection_refused")
		_ = c.Close()
		return nil
	}
	return c
}

// close closes chosen connections and returns the causes for the metrics. The caller must hold g.mu.
func (g *Guard) close(ids []ID) (causes []string) {
	for _, id := range ids {
		c := g.conns[id]
		causes = append(causes, "closed_"+stageNames[g.core.entries[id].stage])
		// Ends the connection's reads; its charges count until net/http has called Close. An error means that it has ended.
		_ = c.Conn.Close()
		c.answer(false)
	}
	return causes
}

// grantAll tells connections that their reservations are granted. The caller must hold g.mu.
func (g *Guard) grantAll(ids []ID) {
	for _, id := range ids {
		g.conns[id].answer(true)
	}
}

// update changes the core under the lock; change returns the connections to close and those whose reservations are granted.
func (g *Guard) update(change func(core *Core, now time.Duration) (closed, granted []ID)) {
	g.mu.Lock()
	closed, granted := change(g.core, g.now())
	causes := g.close(closed)
	g.grantAll(granted)
	g.mu.Unlock()
	g.record(causes...)
}

// record counts events, and logs each cause at most once a second.
func (g *Guard) record(causes ...string) {
	for _, cause := range causes {
		g.eventsMu.Lock()
		e := g.events[cause]
		if e == nil {
			e = &event{}
			g.events[cause] = e
		}
		e.count++
		now, since := time.Now(), uint64(0)
		if now.Sub(e.loggedAt) >= logInterval {
			since, e.logged, e.loggedAt = e.count-e.logged, e.count, now
		}
		g.eventsMu.Unlock()
		if since > 0 {
			g.log.WithFields(log.Fields{"cause": cause, "count": since}).Warn("callers bounded")
		}
	}
}

var holderNames = [holders]string{"connections", "heads", "bodies", "answers"}

var stageNames = [stages]string{"fresh", "idle", "head", "body", "running", "exempt"}

// Counters are a guard's metrics.
type Counters struct {
	// Memory is the charged memory in bytes by holder, Budget the most that it may be in all.
	Memory map[string]int64 `json:"memory"`
	Budget int64            `json:"budget"`
	// Connections is the number of open connections, MaxConnections the most that there may be; 0 means no limit.
	Connections    int `json:"connections"`
	MaxConnections int `json:"limit"`
	// Events is the number of connections closed and requests refused by cause.
	Events map[string]uint64 `json:"events"`
}

// Counters returns the present counters; those of a nil guard are empty.
func (g *Guard) Counters() Counters {
	c := Counters{Memory: map[string]int64{}, Events: map[string]uint64{}}
	if g == nil {
		return c
	}
	g.mu.Lock()
	for h, name := range holderNames {
		c.Memory[name] = g.core.Used(Holder(h))
	}
	c.Budget, c.Connections, c.MaxConnections = g.core.memory, g.core.Count(), g.core.connections
	g.mu.Unlock()
	g.eventsMu.Lock()
	defer g.eventsMu.Unlock()
	for cause, e := range g.events {
		c.Events[cause] = e.count
	}
	return c
}
