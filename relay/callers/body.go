package callers

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"time"
)

const (
	// defaultBodyTime is the time in which a body must arrive whose handler sets no deadline.
	defaultBodyTime = 10 * time.Second
	// firstBuffer is the size of a body's first buffer, and maxDoubling the size up to which it doubles; beyond, it grows by a quarter,
	// since the old copy counts too.
	firstBuffer = 4 << 10
	maxDoubling = 256 << 10
	// readAllCost is the memory of a byte of a body that a handler reads with io.ReadAll: the buffer with its spare room, and the old copy.
	readAllCost = 3
)

// body is the body of a request. Unless ReadBody reads it, its bytes are charged as they are read.
type body struct {
	io.ReadCloser
	conn *conn
	// measured is set if the reader charges the buffer itself.
	measured bool
}

// Read implements io.Reader; it returns ErrNoMemory if the body does not fit into the memory for callers.
func (b *body) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	ended := errors.Is(err, io.EOF)
	b.conn.guard.update(func(core *Core, now time.Duration) ([]ID, []ID) {
		core.Receive(now, b.conn.id, int64(n))
		if ended {
			core.Enter(now, b.conn.id, Running)
		}
		return nil, nil
	})
	if n > 0 && !b.measured && !b.conn.reserve(Bodies, int64(n)*readAllCost) {
		b.conn.guard.record("body_refused")
		return 0, ErrNoMemory
	}
	return n, err
}

// ReadBody reads a request's body of at most limit bytes, which must be complete by the deadline; a zero deadline sets none. The error
// is an *http.MaxBytesError for a longer body, ErrNoMemory if it does not fit into the memory for callers, or that of the connection.
func ReadBody(w http.ResponseWriter, r *http.Request, limit int64, deadline time.Time) ([]byte, error) {
	b, ok := r.Body.(*body)
	if !ok {
		var buffer bytes.Buffer
		if r.ContentLength > 0 && r.ContentLength <= limit {
			buffer.Grow(int(r.ContentLength) + bytes.MinRead)
		}
		_, err := buffer.ReadFrom(http.MaxBytesReader(w, r.Body, limit))
		return buffer.Bytes(), err
	}
	b.measured = true
	most := limit + 1
	if r.ContentLength > 0 {
		most = min(most, r.ContentLength+1)
	}
	b.conn.guard.update(func(core *Core, now time.Duration) ([]ID, []ID) {
		if !deadline.IsZero() {
			core.Expect(b.conn.id, r.ContentLength, now+time.Until(deadline))
		}
		return nil, nil
	})
	return b.read(http.MaxBytesReader(w, r.Body, limit), most)
}

// read reads the body into a buffer that grows with what has come, up to a size.
func (b *body) read(from io.Reader, most int64) ([]byte, error) {
	var buffer []byte
	for {
		if len(buffer) == cap(buffer) {
			size := min(most, nextSize(int64(cap(buffer))))
			if !b.conn.reserve(Bodies, size) {
				b.conn.guard.record("body_refused")
				b.conn.release(Bodies, int64(cap(buffer)))
				return nil, ErrNoMemory
			}
			grown := make([]byte, len(buffer), size)
			copy(grown, buffer)
			b.conn.release(Bodies, int64(cap(buffer)))
			buffer = grown
		}
		n, err := from.Read(buffer[len(buffer):cap(buffer)])
		buffer = buffer[:len(buffer)+n]
		if errors.Is(err, io.EOF) {
			return buffer, nil
		}
		if err != nil {
			return nil, err
		}
	}
}

func nextSize(size int64) int64 {
	switch {
	case size == 0:
		return firstBuffer
	case size < maxDoubling:
		return 2 * size
	}
	return size + size/4
}
