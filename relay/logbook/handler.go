package logbook

import (
	"bytes"
	"fmt"
	"io"
	"maps"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/apex/log"
)

// maxQueuedLines limits the memory that is used while the reader of the output is slow.
const maxQueuedLines = 2048

// reservedDivisor is the divisor of the line budget that gives the number of lines reserved for warnings and errors.
const reservedDivisor = 5

// Handler is a log handler that writes each entry as one line.
type Handler struct {
	linesPerSecond int
	now            func() time.Time
	output         io.Writer

	mu sync.Mutex
	// second is the Unix time of the second in which linesInSecond lines were accepted.
	second        int64
	linesInSecond int
	dropped       int
	queue         chan []byte
	done          chan struct{}
	closed        bool
}

// Option configures a Handler.
type Option func(*Handler)

// WithLinesPerSecond sets the largest number of lines that are written per second.
func WithLinesPerSecond(linesPerSecond int) Option {
	return func(h *Handler) { h.linesPerSecond = linesPerSecond }
}

// WithNow sets the source of the current time.
func WithNow(now func() time.Time) Option { return func(h *Handler) { h.now = now } }

// New returns a handler that writes to output until Close.
func New(output io.Writer, options ...Option) *Handler {
	h := &Handler{linesPerSecond: 500, now: time.Now, output: output, queue: make(chan []byte, maxQueuedLines), done: make(chan struct{})}
	for _, option := range options {
		option(h)
	}
	go h.writeQueue()
	return h
}

func (h *Handler) writeQueue() {
	defer close(h.done)
	for line := range h.queue {
		// A failed write loses the line; there is no other output to report it to.
		_, _ = h.output.Write(line)
	}
}

// HandleLog implements log.Handler; it queues the entry or drops it, and never blocks.
func (h *Handler) HandleLog(entry *log.Entry) error {
	now := h.now()
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.closed {
		return nil
	}
	if second := now.Unix(); second != h.second {
		h.second, h.linesInSecond = second, 0
	}
	limit := h.linesPerSecond
	if entry.Level < log.WarnLevel {
		limit -= h.linesPerSecond / reservedDivisor
	}
	if h.linesInSecond >= limit {
		h.dropped++
		return nil
	}
	h.linesInSecond++
	if h.dropped > 0 {
		notice := &log.Entry{Level: log.WarnLevel, Message: "log lines dropped", Fields: log.Fields{"lines": h.dropped}}
		if h.enqueue(formatEntry(notice, now)) {
			h.dropped = 0
		}
	}
	if !h.enqueue(formatEntry(entry, now)) {
		h.dropped++
	}
	return nil
}

func (h *Handler) enqueue(line []byte) bool {
	select {
	case h.queue <- line:
		return true
	default:
		return false
	}
}

// Close stops accepting entries and waits for the queued lines to be written, for at most limit.
func (h *Handler) Close(limit time.Duration) {
	h.mu.Lock()
	if h.closed {
		h.mu.Unlock()
		return
	}
	h.closed = true
	close(h.queue)
	h.mu.Unlock()
	select {
	case <-h.done:
	case <-time.After(limit):
	}
}

// formatEntry returns the entry as a line: time, level and event, then the fields sorted by name.
func formatEntry(entry *log.Entry, now time.Time) []byte {
	var b bytes.Buffer
	b.Grow(256)
	b.WriteString("time=")
	b.Write(now.UTC().AppendFormat(b.AvailableBuffer(), "15:04:05.000"))
	b.WriteString(" level=")
	b.WriteString(entry.Level.String())
	b.WriteString(" event=")
	b.WriteString(formatValue(entry.Message))
	for _, name := range slices.Sorted(maps.Keys(entry.Fields)) {
		b.WriteByte(' ')
		b.WriteString(name)
		b.WriteByte('=')
		b.WriteString(formatValue(entry.Fields[name]))
	}
	b.WriteByte('\n')
	return b.Bytes()
}

func formatValue(v any) string {
	var text string
	switch v := v.(type) {
	case string:
		text = v
	case time.Duration:
		return strconv.FormatFloat(float64(v)/float64(time.Millisecond), 'f', 1, 64) + "ms"
	case int:
		return strconv.Itoa(v)
	case uint64:
		return strconv.FormatUint(v, 10)
	case bool:
		return strconv.FormatBool(v)
	default:
		text = fmt.Sprint(v)
	}
	if text == "" || strings.ContainsAny(text, " =\"\n\t") {
		return strconv.Quote(text)
	}
	return text
}
