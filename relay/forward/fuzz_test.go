package forward

import (
	"bufio"
	"bytes"
	"strings"
	"testing"
)

// Guards against an event whose bytes change on the way, and against an ID read from the middle of a long line: a resume with a
// wrong ID repeats or leaves out part of an answer.
func FuzzReadEvent(f *testing.F) {
	f.Add([]byte("id: 1\ndata: a\n\nid: 2\ndata: b\n\n"))
	f.Add([]byte("id: 7\r\ndata: x\r\n\r\n"))
	f.Add([]byte("data: no end"))
	// The reader's buffer ends exactly before what looks like an ID, or before a line end.
	f.Add([]byte("id: 3\ndata:" + strings.Repeat("x", 11) + "id: 9\n\n"))
	f.Add([]byte("id: 4\ndata:" + strings.Repeat("x", 11) + "\nid: 5\n\n"))
	f.Fuzz(func(t *testing.T, data []byte) {
		r := bufio.NewReaderSize(bytes.NewReader(data), 16)
		var whole []byte
		for {
			event, id, err := readEvent(r)
			whole = append(whole, event...)
			if want := lastID(event); id != want {
				t.Fatalf("the ID of %q is read as %q, expected %q", event, id, want)
			}
			if err != nil {
				break
			}
			if lines := bytes.Split(event, []byte("\n")); len(lines) < 2 || len(bytes.TrimRight(lines[len(lines)-2], "\r")) != 0 {
				t.Fatalf("the event %q ends before an empty line", event)
			}
		}
		if len(data) < maxEvent && !bytes.Equal(whole, data) {
			t.Fatalf("%q is read as %q", data, whole)
		}
	})
}

// lastID returns the value of an event's last line that names an ID.
func lastID(event []byte) string {
	id := ""
	for _, line := range bytes.Split(event, []byte("\n")) {
		if text, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			id = string(bytes.TrimSpace(text))
		}
	}
	return id
}
