package upstream

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"strconv"

	"github.com/tidwall/gjson"

	"github.com/chicoryrelay/chicoryrelay/relay/buffer"
)

// maxLineBytes limits one line of an event stream, and the data of one event.
const maxLineBytes = 1 << 20

// errEventTooLarge ends a stream with an event that exceeds maxLineBytes.
var errEventTooLarge = fmt.Errorf("the engine sent an event larger than %d bytes; make it send smaller events", maxLineBytes)

// EventKind is the type of an event in an engine's stream.
type EventKind uint8

// Event kinds.
const (
	// Token is a numbered event that carries text or the finish reason.
	Token EventKind = iota
	// Usage carries the token counts of the response.
	Usage
	// Done is the [DONE] marker that ends a complete stream.
	Done
	// Failed is an error event, which the engine sends in place of Done.
	Failed
)

// Event is one server-sent event of an engine. Data is valid until the next call of Next.
type Event struct {
	Kind     EventKind
	Request  string
	Sequence uint64
	Finish   bool
	Data     []byte
	Counts   Counts
}

// Counts are the token counts that an engine reports at the end of a response.
type Counts struct {
	Prompt int
	Answer int
	Cached int
	// Missing is set by a caller whose upstream reports no counts; Prompt and Answer are then the relay's own counts.
	Missing bool
}

// eventReader reads server-sent events. If an engine sends no sequence numbers, it numbers the events itself and takes the
// request's ID from the data.
type eventReader struct {
	body *bufio.Reader
	next uint64
	// line has the present line if it exceeds the buffer of body; memory is that of line and data.
	line, data []byte
	memory     *buffer.Reservation
}

// newEventReader reads events whose memory has no limit but that of one event.
func newEventReader(body io.Reader, from uint64) *eventReader {
	return newBoundedEventReader(body, from, (*buffer.Pool)(nil).Reserve())
}

func newBoundedEventReader(body io.Reader, from uint64, memory *buffer.Reservation) *eventReader {
	return &eventReader{body: bufio.NewReader(body), next: from, memory: memory}
}

// readLine returns the next line without its end, which is valid until the next call; without a line feed at its end it comes with an
// error.
func (r *eventReader) readLine() ([]byte, error) {
	r.line = r.line[:0]
	for {
		part, err := r.body.ReadSlice('\n')
		if err == nil && len(r.line) == 0 {
			return bytes.TrimRight(part, "\r\n"), nil
		}
		var full error
		if r.line, full = r.append(r.line, part); full != nil {
			return nil, full
		}
		if !errors.Is(err, bufio.ErrBufferFull) {
			return bytes.TrimRight(r.line, "\r\n"), err
		}
	}
}

// append appends a part to the line or the data.
func (r *eventReader) append(to, part []byte) ([]byte, error) {
	if len(to)+len(part) > maxLineBytes {
		return to, errEventTooLarge
	}
	return r.memory.Append(to, part)
}

// release returns the memory of a long event.
func (r *eventReader) release() {
	if cap(r.line)+cap(r.data) > buffer.FreeBytes {
		r.line, r.data = nil, nil
		r.memory.Release()
	}
}

// Next returns the next event. io.ErrUnexpectedEOF means that the body ended, which is premature unless Done was returned before.
func (r *eventReader) Next() (Event, error) {
	var event Event
	numbered, failed := false, false
	r.release()
	r.data = r.data[:0]
	for {
		line, err := r.readLine()
		if errors.Is(err, io.EOF) {
			return event, io.ErrUnexpectedEOF
		}
		if err != nil {
			return event, err
		}
		switch {
		case len(line) == 0:
			if len(r.data) > 0 {
				return r.classify(event, numbered, failed), nil
			}
		case bytes.HasPrefix(line, []byte("id:")):
			event.Request, event.Sequence, numbered = parseID(bytes.TrimSpace(line[3:]))
		case bytes.HasPrefix(line, []byte("event:")):
			failed = string(bytes.TrimSpace(line[6:])) == "error"
		case bytes.HasPrefix(line, []byte("data:")):
			if r.data, err = r.append(r.data, bytes.TrimPrefix(line[5:], []byte(" "))); err != nil {
				return event, err
			}
		}
	}
}

func (r *eventReader) classify(event Event, numbered, failed bool) Event {
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
		event.Counts = parseCounts(r.data)
		return event
	}
	event.Finish = choice.Get("finish_reason").Type == gjson.String
	if !numbered {
		event.Request = gjson.GetBytes(r.data, "id").String()
		event.Sequence = r.next
	}
	r.next = event.Sequence + 1
	return event
}

func parseCounts(data []byte) Counts {
	usage := gjson.GetBytes(data, "usage")
	return Counts{
		Prompt: int(usage.Get("prompt_tokens").Int()),
		Answer: int(usage.Get("completion_tokens").Int()),
		Cached: int(usage.Get("prompt_tokens_details.cached_tokens").Int()),
	}
}

func parseID(id []byte) (string, uint64, bool) {
	i := bytes.LastIndexByte(id, ':')
	if i < 0 {
		return "", 0, false
	}
	sequence, err := strconv.ParseUint(string(id[i+1:]), 10, 64)
	return string(id[:i]), sequence, err == nil
}
