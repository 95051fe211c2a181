package buffer

import "strings"

// Text collects the text of one answer in buffers that are never copied while it grows.
type Text struct {
	memory *Reservation
	parts  [][]byte
	size   int
}

// NewText returns an empty text.
func (p *Pool) NewText() *Text { return &Text{memory: p.Reserve()} }

// Len returns the length of the text in bytes.
func (t *Text) Len() int { return t.size }

// Append appends a part; the error is ErrFull.
func (t *Text) Append(part string) error {
	for part != "" {
		last := len(t.parts) - 1
		if last < 0 || len(t.parts[last]) == cap(t.parts[last]) {
			size := firstBytes
			if last >= 0 {
				size = min(2*cap(t.parts[last]), maxPartBytes)
			}
			if !t.memory.add(size) {
				return ErrFull
			}
			t.parts = append(t.parts, t.memory.pool.take(size)[:0])
			last++
		}
		n := min(len(part), cap(t.parts[last])-len(t.parts[last]))
		t.parts[last] = append(t.parts[last], part[:n]...)
		part, t.size = part[n:], t.size+n
	}
	return nil
}

// String returns a copy of the text.
func (t *Text) String() string {
	var text strings.Builder
	text.Grow(t.size)
	for _, part := range t.parts {
		_, _ = text.Write(part)
	}
	return text.String()
}

// Release empties the text and returns its memory to the pool.
func (t *Text) Release() {
	t.memory.Release()
	t.memory.pool.giveBack(t.parts)
	t.parts, t.size = nil, 0
}
