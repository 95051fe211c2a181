package upstream

import (
	"bufio"
	"bytes"
	"io"
	"strconv"

	"github.com/tidwall/gjson"
)

// maxLine bounds one line of an event stream in bytes.
const maxLine = 1 << 20

// EventKind tells the pieces of an engine's stream apart.
type EventKind uint8

// The kinds of event.
const (
	// Token is a numbered event that carries text or the finish reason.
	Token EventKind = iota
	// Usage carries the token counts.
	Usage
	// Done is the end mark of the stream.
	Done
	// Failed is an error that the engine reports in place of the end.
	Failed
)

// Event is one server-sent event of an engine; Data is valid until the next call of Next.
type Event struct {
	Kind     EventKind
	Request  string
	Sequence uint64
	Last     bool
	Data     []byte
	Counts   Counts
}

// Counts are the token counts that an engine reports at the end of an answer.
type Counts struct {
	Prompt int
	Answer int
	Cached int
	// Unknown says that the engine does not count; the other numbers are the request's own.
	Unknown bool
}

// eventReader reads server-sent events; it accepts engines that number their events and those that only carry the request's identity.
type eventReader struct {
	lines *bufio.Scanner
	next  uint64
	data  []byte
}

func newEventReader(body io.Reader, from uint64) *eventReader {
	lines := bufio.NewScanner(body)
	lines.Buffer(make([]byte, 0, 4096), maxLine)
	return &eventReader{lines: lines, next: from}
}

// Next returns the next event; io.ErrUnexpectedEOF means that the stream ended without its end mark.
func (r *eventReader) Next() (Event, error) {
	var event Event
	numbered, failed := false, false
	r.data = r.data[:0]
	for r.lines.Scan() {
		line := r.lines.Bytes()
		switch {
		case len(line) == 0:
			if len(r.data) > 0 {
				return r.finish(event, numbered, failed), nil
			}
		case bytes.HasPrefix(line, []byte("id:")):
			event.Request, event.Sequence, numbered = splitID(bytes.TrimSpace(line[3:]))
		case bytes.HasPrefix(line, []byte("event:")):
			failed = string(bytes.TrimSpace(line[6:])) == "error"
		case bytes.HasPrefix(line, []byte("data:")):
			r.data = append(r.data, bytes.TrimPrefix(line[5:], []byte(" "))...)
		}
	}
	if err := r.lines.Err(); err != nil {
		return event, err
	}
	return event, io.ErrUnexpectedEOF
}

func (r *eventReader) finish(event Event, numbered, failed bool) Event {
	event.Data = r.data
	if failed {
		event.Kind = Failed
		return event
	}
	if string(r.data) == "[DONE]" {
		event.Kind = Done
		return event
	}
	choice := gjson.GetBytes(r.data, "choices.0")
	if !choice.Exists() {
		event.Kind = Usage
		event.Counts = readCounts(r.data)
		return event
	}
	event.Last = choice.Get("finish_reason").Type == gjson.String
	if !numbered {
		event.Request = gjson.GetBytes(r.data, "id").String()
		event.Sequence = r.next
	}
	r.next = event.Sequence + 1
	return event
}

func readCounts(data []byte) Counts {
	usage := gjson.GetBytes(data, "usage")
	return Counts{
		Prompt: int(usage.Get("prompt_tokens").Int()),
		Answer: int(usage.Get("completion_tokens").Int()),
		Cached: int(usage.Get("prompt_tokens_details.cached_tokens").Int()),
	}
}

func splitID(id []byte) (string, uint64, bool) {
	i := bytes.LastIndexByte(id, ':')
	if i < 0 {
		return "", 0, false
	}
	sequence, err := strconv.ParseUint(string(id[i+1:]), 10, 64)
	return string(id[:i]), sequence, err == nil
}
