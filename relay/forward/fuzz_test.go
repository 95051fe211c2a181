package forward

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"slices"
	"strings"
	"testing"
)

// Guards against events whose bytes are changed, and against an ID that is read from the middle of a long line: a stream resumed
// with a wrong ID repeats or omits part of the answer.
func FuzzReadEvent(f *testing.F) {
	f.Add([]byte("id: 1\ndata: a\n\nid: 2\ndata: b\n\n"))
	f.Add([]byte("id: 7\r\ndata: x\r\n\r\n"))
	f.Add([]byte("data: no end"))
	// The reader's buffer ends exactly before text that looks like an ID field, or before a line end.
	f.Add([]byte("id: 3\ndata:" + strings.Repeat("x", 11) + "id: 9\n\n"))
	f.Add([]byte("id: 4\ndata:" + strings.Repeat("x", 11) + "\nid: 5\n\n"))
	f.Fuzz(func(t *testing.T, data []byte) {
		r := bufio.NewReaderSize(bytes.NewReader(data), 16)
		var whole []byte
		var end error
		for {
			event, id, err := readEvent(r, &reservation{pool: &bufferPool{}})
			whole = append(whole, event...)
			if want := lastID(event); id != want {
				t.Fatalf("the ID of %q is read as %q, expected %q", event, id, want)
			}
			if err != nil {
				end = err
				break
			}
			if lines := bytes.Split(event, []byte("\n")); len(lines) < 2 || len(bytes.TrimRight(lines[len(lines)-2], "\r")) != 0 {
				t.Fatalf("the event %q ends without an empty line", event)
			}
		}
		if len(data) >= maxEventBytes {
			return
		}
		// What follows the last event has no empty line and is reported as torn.
		rest, ok := bytes.CutPrefix(data, whole)
		if !ok || slices.ContainsFunc(completeLines(rest), isEmptyLine) {
			t.Fatalf("the events of %q join to %q, expected the same bytes up to the last empty line", data, whole)
		}
		if torn := errors.Is(end, errTornEvent); torn != (len(rest) > 0) || !torn && !errors.Is(end, io.EOF) {
			t.Fatalf("%q ends with %q after the last event, reported as %v", data, rest, end)
		}
	})
}

func isEmptyLine(line []byte) bool { return len(bytes.TrimRight(line, "\r")) == 0 }

// completeLines returns the lines that have a line end.
func completeLines(text []byte) [][]byte {
	lines := bytes.Split(text, []byte("\n"))
	return lines[:len(lines)-1]
}

// lastID returns the value of an event's last ID field, or an empty string.
func lastID(event []byte) string {
	id := ""
	for _, line := range bytes.Split(event, []byte("\n")) {
		if text, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			id = string(bytes.TrimSpace(text))
		}
	}
	return id
}
