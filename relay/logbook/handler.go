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

// waiting bounds the lines that wait for a slow reader of the output.
const waiting = 2048

// reserved is the part of the budget that only warnings and errors may use, as one part in so many.
const reserved = 5

// Handler is a log handler that writes each entry as one line.
type Handler struct {
	lines  int
	now    func() time.Time
	output io.Writer

	mu      sync.Mutex
	second  int64
	used    int
	dropped int
	queue   chan []byte
	done    chan struct{}
	closed  bool
}

// Option configures a Handler.
type Option func(*Handler)

// WithLines sets the number of lines per second that are written at most.
func WithLines(lines int) Option { return func(h *Handler) { h.lines = lines } }

// WithNow sets the clock.
func WithNow(now func() time.Time) Option { return func(h *Handler) { h.now = now } }

// New returns a handler that writes to the output until Close.
func New(output io.Writer, options ...Option) *Handler {
	h := &Handler{lines: 500, now: time.Now, output: output, queue: make(chan []byte, waiting), done: make(chan struct{})}
	for _, option := range options {
		option(h)
	}
	go h.write()
	return h
}

func (h *Handler) write() {
	defer close(h.done)
	for line := range h.queue {
		// An output that fails loses the line; there is nowhere else to say so.
		_, _ = h.output.Write(line)
	}
}

// HandleLog takes one entry; it never blocks.
func (h *Handler) HandleLog(entry *log.Entry) error {
	now := h.now()
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.closed {
		return nil
	}
	if second := now.Unix(); second != h.second {
		h.second, h.used = second, 0
	}
	limit := h.lines
	if entry.Level < log.WarnLevel {
		limit -= h.lines / reserved
	}
	if h.used >= limit {
		h.dropped++
		return nil
	}
	h.used++
	if h.dropped > 0 {
		lost := &log.Entry{Level: log.WarnLevel, Message: "log lines dropped", Fields: log.Fields{"lines": h.dropped}}
		if h.push(format(lost, now)) {
			h.dropped = 0
		}
	}
	if !h.push(format(entry, now)) {
		h.dropped++
	}
	return nil
}

func (h *Handler) push(line []byte) bool {
	select {
	case h.queue <- line:
		return true
	default:
		return false
	}
}

// Close writes what waits, for at most the given time.
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

// format returns the entry as a line: time, level and event, then the fields by name.
func format(entry *log.Entry, now time.Time) []byte {
	var b bytes.Buffer
	b.Grow(256)
	b.WriteString("time=")
	b.Write(now.UTC().AppendFormat(b.AvailableBuffer(), "15:04:05.000"))
	b.WriteString(" level=")
	b.WriteString(entry.Level.String())
	b.WriteString(" event=")
	b.WriteString(value(entry.Message))
	for _, name := range slices.Sorted(maps.Keys(entry.Fields)) {
		b.WriteByte(' ')
		b.WriteString(name)
		b.WriteByte('=')
		b.WriteString(value(entry.Fields[name]))
	}
	b.WriteByte('\n')
	return b.Bytes()
}

func value(v any) string {
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
