package forward

import (
	"context"
	"errors"
	"fmt"
	"io"
	"sync/atomic"

	"github.com/chicoryrelay/chicoryrelay/relay/callers"
)

const (
	// maxTotalBuffered limits the bytes of answers that all requests of a VM hold in memory together, beyond freeBuffer each. Small
	// VMs have about 100 MiB in all.
	maxTotalBuffered = 8 << 20
	// freeBuffer is the part of an answer or of an event that is buffered without a reservation. Usual answers are shorter.
	freeBuffer = 16 << 10
	// bufferStep is the size of the reservations beyond it.
	bufferStep = 16 << 10
)

// errBuffersFull ends an attempt whose event needs more memory than all requests may use.
var errBuffersFull = fmt.Errorf("the upstream sent a long event while answers already occupy %d bytes of memory; make it send smaller events", maxTotalBuffered)

// bufferPool counts the bytes of answers that are held in memory, so that many upstreams in trouble can't exhaust it together. The
// zero value is ready to use and safe for concurrent use.
type bufferPool struct{ reserved atomic.Int64 }

// reservation is the memory of one answer or event.
type reservation struct {
	pool *bufferPool
	held int64
	// caller is the context of the request, whose connection is charged too.
	caller context.Context
}

// grow reports whether the answer may hold the given number of bytes, and reserves them.
func (r *reservation) grow(size int) bool {
	for int64(size) > freeBuffer+r.held {
		if r.pool.reserved.Add(bufferStep) > maxTotalBuffered {
			r.pool.reserved.Add(-bufferStep)
			return false
		}
		r.held += bufferStep
		callers.HoldAnswer(r.caller, bufferStep)
	}
	return true
}

// append appends a part to an event and reports whether there is memory for it. What is reserved is the event's capacity, and that of
// its old copy while it grows.
func (r *reservation) append(event, part []byte) ([]byte, bool) {
	need := len(event) + len(part)
	if need <= cap(event) {
		return append(event, part...), true
	}
	grown := max(need, 2*cap(event))
	if !r.grow(grown + cap(event)) {
		return nil, false
	}
	return append(append(make([]byte, 0, grown), event...), part...), true
}

// release returns the memory to the pool.
func (r *reservation) release() {
	r.pool.reserved.Add(-r.held)
	callers.ReleaseAnswer(r.caller, r.held)
	r.held = 0
}

// readStart reads the answer until its end, the limit or the end of the pool's memory, and reports whether the answer is complete. The
// parts have bufferStep bytes at most, so that they occupy what is reserved; size is the length of the answer, or -1 if unknown.
func (r *reservation) readStart(from io.Reader, size int64, limit int) (parts [][]byte, complete bool, err error) {
	for total := 0; total < limit && r.grow(min(limit, total+bufferStep)); {
		room := int64(min(bufferStep, limit-total))
		if size >= 0 {
			// One byte more than the rest makes the read that returns io.EOF.
			room = min(room, size-int64(total)+1)
		}
		part, n := make([]byte, room), 0
		for n < len(part) && err == nil {
			var read int
			read, err = from.Read(part[n:])
			n += read
		}
		if n > 0 {
			parts, total = append(parts, part[:n]), total+n
		}
		if errors.Is(err, io.EOF) {
			return parts, true, nil
		}
		if err != nil {
			return parts, false, err
		}
	}
	return parts, false, nil
}
