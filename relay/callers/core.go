package callers

import (
	"slices"
	"time"
)

// ID identifies a connection.
type ID uint64

// Holder is what memory is charged for.
type Holder uint8

// The holders.
const (
	Connections Holder = iota
	Heads
	Bodies
	Answers
	holders
)

// Stage is what a connection is doing.
type Stage uint8

// The stages, in the order in which connections are closed; those from Running on are never closed.
const (
	// Fresh is a connection that has carried no request yet.
	Fresh Stage = iota
	// Idle is a connection between two requests.
	Idle
	// Head is a connection whose request's head is not complete.
	Head
	// Body is a connection whose request's body is not complete.
	Body
	// Running is a connection whose request has come.
	Running
	// Exempt is a session with another VM.
	Exempt
	stages
)

const (
	// stallTime is how long a body may come to a halt before it counts as making no progress. Lost packets are sent again within
	// some hundred milliseconds, and no client inside the limits pauses within a body.
	stallTime = time.Second
	// minChunkedRate is the rate in bytes per second below which a body of unknown length makes no progress.
	minChunkedRate = 1 << 10
	// smallReservation is the size up to which reservations may use the whole budget; larger ones leave a quarter of it, so that
	// ordinary requests find room beside large heads and bodies.
	smallReservation = 32 << 10
	// scanInterval limits how often bodies are searched for those without progress, since there may be many that wait for it.
	scanInterval = 100 * time.Millisecond
)

// Verdict is the answer to a reservation.
type Verdict uint8

// The verdicts. A reservation that waits is granted by a later call, or given up by Abandon.
const (
	Refused Verdict = iota
	Granted
	Waiting
)

// entry is one connection.
type entry struct {
	id      ID
	stage   Stage
	since   time.Duration
	charges [holders]int64
	// waiting is set while a reservation waits: the client can send nothing until then.
	waiting bool
	// closing is set once the connection was chosen to be closed; its charges count until it has ended.
	closing bool
	// length is the declared length of the body, or -1 if unknown; last is when the latest of its received bytes came.
	length, received int64
	last, deadline   time.Duration
	prev, next       *entry
}

func (e *entry) total() (sum int64) {
	for _, n := range e.charges {
		sum += n
	}
	return sum
}

// stalled reports whether the body makes no progress: nothing came for stallTime, or at its average rate it won't come in time.
func (e *entry) stalled(now time.Duration) bool {
	elapsed := now - e.since
	switch {
	case elapsed < stallTime || e.waiting:
		return false
	case now-e.last >= stallTime:
		return true
	case e.length < 0:
		return float64(e.received) < elapsed.Seconds()*minChunkedRate
	}
	return float64(e.received)*(e.deadline-e.since).Seconds() < float64(e.length)*elapsed.Seconds()
}

// waiter is a reservation that waits for memory.
type waiter struct {
	id     ID
	holder Holder
	size   int64
}

// Core decides whom to close when memory or descriptors run low. It is not safe for concurrent use.
type Core struct {
	// memory is the budget in bytes and connections the largest number of connections; 0 means no limit.
	memory      int64
	connections int
	entries     map[ID]*entry
	// lists has the open connections of each stage in the order in which they entered it, as rings around their heads.
	lists [stages]entry
	used  [holders]int64
	// closing is what connections hold that were chosen to be closed and have not ended, closingCount their number.
	closing      int64
	closingCount int
	// exempt is the number of sessions with other VMs.
	exempt       int
	small, large []waiter
	// nextScan is when bodies may be searched again for those without progress.
	nextScan time.Duration
}

// NewCore returns a core with a budget in bytes and a largest number of connections; 0 means no limit.
func NewCore(memory int64, connections int) *Core {
	c := &Core{memory: memory, connections: connections, entries: map[ID]*entry{}}
	for i := range c.lists {
		c.lists[i].prev, c.lists[i].next = &c.lists[i], &c.lists[i]
	}
	return c
}

func (c *Core) unlink(e *entry) {
	e.prev.next, e.next.prev = e.next, e.prev
	e.prev, e.next = e, e
}

func (c *Core) link(e *entry) {
	list := &c.lists[e.stage]
	e.prev, e.next = list.prev, list
	list.prev.next, list.prev = e, e
}

// Open adds a connection in the stage Fresh, or Head if its client must speak at once. It returns the connection to close for it, and
// reports false if there is none although the number of connections is used up.
func (c *Core) Open(now time.Duration, id ID, stage Stage) (closed []ID, ok bool) {
	if c.connections > 0 && c.Count() >= c.connections {
		victims := c.victims(now, id, 1, func(*entry) int64 { return 1 })
		if victims == nil {
			return nil, false
		}
		closed = c.choose(victims)
	}
	e := &entry{id: id, stage: stage, since: now}
	c.entries[id] = e
	c.link(e)
	return closed, true
}

// Enter moves a connection to a stage. A head that begins while a request is in progress has no effect until that has ended: the
// connection must not be closed for it.
func (c *Core) Enter(now time.Duration, id ID, stage Stage) {
	e := c.entries[id]
	if e == nil || e.closing || e.stage == stage || e.stage == Exempt || stage == Head && e.stage > Head {
		return
	}
	c.unlink(e)
	if stage == Exempt {
		c.exempt++
	}
	e.stage, e.since, e.last, e.received, e.length, e.deadline = stage, now, now, 0, -1, 0
	c.link(e)
}

// Expect sets the declared length of a body, -1 if unknown, and the time by which it must be complete.
func (c *Core) Expect(id ID, length int64, deadline time.Duration) {
	if e := c.entries[id]; e != nil {
		e.length, e.deadline = length, deadline
	}
}

// Receive records bytes of a body.
func (c *Core) Receive(now time.Duration, id ID, n int64) {
	if e := c.entries[id]; e != nil && n > 0 {
		e.received, e.last = e.received+n, now
	}
}

// Stage returns a connection's stage and whether it is open.
func (c *Core) Stage(id ID) (Stage, bool) {
	e := c.entries[id]
	if e == nil || e.closing {
		return Fresh, false
	}
	return e.stage, true
}

// Used returns the memory charged to a holder.
func (c *Core) Used(h Holder) int64 { return c.used[h] }

// Count returns the number of connections, without those that were chosen to be closed and sessions with other VMs, whose descriptors
// are not clients'.
func (c *Core) Count() int { return len(c.entries) - c.closingCount - c.exempt }

func (c *Core) total() (sum int64) {
	for _, n := range c.used {
		sum += n
	}
	return sum
}

// limit returns what may be charged in all after a reservation of a size.
func (c *Core) limit(size int64) int64 {
	if size <= smallReservation {
		return c.memory
	}
	return c.memory / 4 * 3
}

// Reserve charges memory to a connection. If it does not fit, the reservation waits until others have ended, among them those returned,
// which are to be closed. A connection has at most one reservation that waits; another one is refused until then.
func (c *Core) Reserve(now time.Duration, id ID, h Holder, size int64) (Verdict, []ID) {
	e := c.entries[id]
	switch {
	case e == nil || e.closing || e.waiting:
		return Refused, nil
	case c.memory == 0 || c.ahead(size) == 0 && c.total()+size <= c.limit(size):
		c.charge(e, h, size)
		return Granted, nil
	case e.total()+size > c.limit(size):
		// It does not fit even if all others end.
		return Refused, nil
	}
	closed := c.makeRoom(now, id, size, c.ahead(size))
	e.waiting = true
	if size <= smallReservation {
		c.small = append(c.small, waiter{id, h, size})
	} else {
		c.large = append(c.large, waiter{id, h, size})
	}
	return Waiting, closed
}

// Force charges memory that can't be refused, and returns the connections to close for it.
func (c *Core) Force(now time.Duration, id ID, h Holder, size int64) []ID {
	e := c.entries[id]
	if e == nil {
		return nil
	}
	c.charge(e, h, size)
	if c.memory == 0 {
		return nil
	}
	return c.makeRoom(now, id, 0, 0)
}

// Retry returns further connections to close for a reservation that waits: bodies come to a halt while it does.
func (c *Core) Retry(now time.Duration, id ID) []ID {
	for _, queue := range [][]waiter{c.small, c.large} {
		before := int64(0)
		if len(queue) > 0 && queue[0].size > smallReservation {
			before = sizes(c.small)
		}
		for _, w := range queue {
			if w.id == id {
				return c.makeRoom(now, id, w.size, before)
			}
			before += w.size
		}
	}
	return nil
}

func sizes(queue []waiter) (sum int64) {
	for _, w := range queue {
		sum += w.size
	}
	return sum
}

// ahead returns the memory for which reservations wait that a new one of this size has to wait behind.
func (c *Core) ahead(size int64) int64 {
	if size <= smallReservation {
		return sizes(c.small)
	}
	return sizes(c.small) + sizes(c.large)
}

// makeRoom returns the connections to close so that a reservation fits behind others, or nil if too little can be freed. What
// reservations ahead can't get is not this one's need.
func (c *Core) makeRoom(now time.Duration, id ID, size, ahead int64) []ID {
	free := c.limit(size) - c.total() + c.closing - ahead
	if size > 0 {
		free = max(0, free)
	}
	if free >= size {
		return nil
	}
	return c.choose(c.victims(now, id, size-free, (*entry).total))
}

// victims returns the connections to close, in order, until their values reach a need, or nil if all of them do not.
func (c *Core) victims(now time.Duration, except ID, need int64, value func(*entry) int64) []*entry {
	var found []*entry
	for stage := Fresh; stage < Running; stage++ {
		if stage == Body && now < c.nextScan {
			break
		}
		before := len(found)
		for e := c.lists[stage].next; e != &c.lists[stage]; e = e.next {
			if e.id == except || stage == Body && !e.stalled(now) {
				continue
			}
			found = append(found, e)
			if need -= value(e); need <= 0 {
				return found
			}
		}
		if stage == Body && len(found) == before {
			c.nextScan = now + scanInterval
		}
	}
	return nil
}

// choose marks connections as closing.
func (c *Core) choose(victims []*entry) (ids []ID) {
	for _, e := range victims {
		c.unlink(e)
		e.closing = true
		c.closing += e.total()
		c.closingCount++
		c.drop(e.id)
		ids = append(ids, e.id)
	}
	return ids
}

func (c *Core) drop(id ID) {
	e := c.entries[id]
	if e == nil || !e.waiting {
		return
	}
	e.waiting = false
	same := func(w waiter) bool { return w.id == id }
	c.small, c.large = slices.DeleteFunc(c.small, same), slices.DeleteFunc(c.large, same)
}

// Abandon gives up the reservation of a connection that waits, and returns the connections whose reservations are granted instead.
func (c *Core) Abandon(id ID) []ID {
	c.drop(id)
	return c.settle()
}

// Release returns memory of a connection, and the connections whose reservations are granted with it.
func (c *Core) Release(id ID, h Holder, size int64) []ID {
	if e := c.entries[id]; e != nil && size > 0 {
		if e.charges[h] < size {
			panic("callers: more memory released than charged")
		}
		c.charge(e, h, -size)
	}
	return c.settle()
}

// ReleaseAll returns all memory of a connection with one holder.
func (c *Core) ReleaseAll(id ID, h Holder) []ID {
	if e := c.entries[id]; e != nil {
		return c.Release(id, h, e.charges[h])
	}
	return nil
}

// Close removes a connection that has ended with all its charges, and returns the connections whose reservations are granted.
func (c *Core) Close(id ID) []ID {
	e := c.entries[id]
	if e == nil {
		return nil
	}
	if e.closing {
		c.closing -= e.total()
		c.closingCount--
	} else {
		c.unlink(e)
	}
	if e.stage == Exempt {
		c.exempt--
	}
	for h, n := range e.charges {
		c.used[h] -= n
	}
	c.drop(id)
	delete(c.entries, id)
	return c.settle()
}

func (c *Core) charge(e *entry, h Holder, size int64) {
	e.charges[h] += size
	c.used[h] += size
	if e.closing {
		c.closing += size
	}
	if e.charges[h] < 0 || c.used[h] < 0 {
		panic("callers: charges of a connection below zero")
	}
}

// settle grants reservations that wait, small ones first, in the order of arrival.
func (c *Core) settle() (granted []ID) {
	for _, queue := range []*[]waiter{&c.small, &c.large} {
		for len(*queue) > 0 {
			w := (*queue)[0]
			if c.total()+w.size > c.limit(w.size) {
				return granted
			}
			*queue = (*queue)[1:]
			e := c.entries[w.id]
			e.waiting = false
			c.charge(e, w.holder, w.size)
			granted = append(granted, w.id)
		}
	}
	return granted
}
