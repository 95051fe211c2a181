package buffer

import (
	"bytes"
	"errors"
	"io"
	"sync"
	"sync/atomic"
)

const (
	// FreeBytes is the part of each answer that is held without a share of the pool. Usual answers are shorter.
	FreeBytes = 16 << 10
	// firstBytes and maxPartBytes are the sizes of the first and of the largest buffers of ReadAll.
	firstBytes   = 2 << 10
	maxPartBytes = 64 << 10
)

// ErrFull means that answers already occupy the memory of the pool.
var ErrFull = errors.New("the answers of upstreams occupy all the memory that this VM has for them; check whether an upstream sends answers without end")

// ErrTooLarge means that an answer is longer than it may be.
var ErrTooLarge = errors.New("the answer is longer than it may be; check what answers at the upstream's address")

// Pool counts the bytes that all answers together occupy beyond FreeBytes each. A nil Pool has no limit. It is safe for concurrent use.
type Pool struct {
	limit    int64
	reserved atomic.Int64
	joining  sync.Mutex

	mu sync.Mutex
	// spare has buffers of maxPartBytes of answers that have ended. Left to the collector, they would add to the heap until it has run.
	spare [][]byte
}

// NewPool returns a pool of limit bytes.
func NewPool(limit int64) *Pool { return &Pool{limit: limit} }

// Reserve returns the reservation of one answer, which holds nothing yet.
func (p *Pool) Reserve() *Reservation { return &Reservation{pool: p} }

// take returns a buffer of a size, which is a spare one if possible.
func (p *Pool) take(size int) []byte {
	if p == nil || size != maxPartBytes {
		return make([]byte, size)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	last := len(p.spare) - 1
	if last < 0 {
		return make([]byte, size)
	}
	part := p.spare[last]
	p.spare[last] = nil
	p.spare = p.spare[:last]
	return part
}

// giveBack takes buffers that nobody refers to any more. They are kept for the answers in progress only, and within the limit.
func (p *Pool) giveBack(parts [][]byte) {
	if p == nil {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	reserved := p.reserved.Load()
	if reserved <= 0 {
		p.spare = nil
		return
	}
	for _, part := range parts {
		if cap(part) == maxPartBytes && reserved+int64(len(p.spare)+1)*maxPartBytes <= p.limit {
			p.spare = append(p.spare, part[:maxPartBytes])
		}
	}
}

// Reservation is the memory of one answer.
type Reservation struct {
	pool *Pool
	// used is the size of the answer's buffers, held the part of it that is charged to the pool.
	used, held int64
}

// add changes the size of the buffers, and reports false and changes nothing if the pool has no room for it.
func (r *Reservation) add(size int) bool {
	if r.pool == nil {
		return true
	}
	used := r.used + int64(size)
	held := max(0, used-FreeBytes)
	reserved := r.pool.reserved.Add(held - r.held)
	if reserved > r.pool.limit && held > r.held {
		r.pool.reserved.Add(r.held - held)
		return false
	}
	if reserved == 0 && held < r.held {
		r.pool.giveBack(nil)
	}
	r.used, r.held = used, held
	return true
}

// Append appends a part to a buffer of the answer, which grows by doubling; the error is ErrFull.
func (r *Reservation) Append(to, part []byte) ([]byte, error) {
	if need := len(to) + len(part); need > cap(to) {
		size := max(need, 2*cap(to))
		// While the buffer is copied, both are held.
		if !r.add(size) {
			return to, ErrFull
		}
		r.add(-cap(to))
		to = append(make([]byte, 0, size), to...)
	}
	return append(to, part...), nil
}

// ReadAll reads to io.EOF. An answer of more than limit bytes ends with ErrTooLarge, one for which there is no room with ErrFull. What was
// read before an error is not held any more.
func (r *Reservation) ReadAll(from io.Reader, limit int64) ([]byte, error) {
	parts, total, err := r.readParts(from, limit)
	size := 0
	for _, part := range parts {
		size += cap(part)
	}
	if err != nil {
		r.add(-size)
		r.pool.giveBack(parts)
		return nil, err
	}
	if len(parts) == 1 {
		return parts[0], nil
	}
	if r.pool != nil {
		// One copy at a time is not charged, so that the pool has room for an answer of its own size.
		r.pool.joining.Lock()
		defer r.pool.joining.Unlock()
	}
	joined := bytes.Join(parts, nil)
	r.add(total - size)
	r.pool.giveBack(parts)
	return joined, nil
}

// readParts reads to io.EOF into buffers of increasing size, so that only an answer that is complete is copied.
func (r *Reservation) readParts(from io.Reader, limit int64) (parts [][]byte, total int, err error) {
	for size := firstBytes; ; size = min(2*size, maxPartBytes) {
		// One byte more than the limit shows that the answer exceeds it.
		size = min(size, int(limit+1)-total)
		if !r.add(size) {
			return parts, total, ErrFull
		}
		part, n := r.pool.take(size), 0
		for n < len(part) && err == nil {
			var read int
			read, err = from.Read(part[n:])
			n += read
		}
		parts, total = append(parts, part[:n]), total+n
		switch {
		case int64(total) > limit:
			return parts, total, ErrTooLarge
		case errors.Is(err, io.EOF):
			return parts, total, nil
		case err != nil:
			return parts, total, err
		}
	}
}

// Release returns the memory of all buffers to the pool.
func (r *Reservation) Release() { r.add(int(-r.used)) }
