package upstream

import (
	"bytes"
	"errors"
	"io"
	"testing"
)

// FuzzEvents guards against an event stream that makes the reader panic or loop, and against sequence numbers that are not
// consecutive for engines that send none.
func FuzzEvents(f *testing.F) {
	for _, seed := range []string{
		"id: r:0\ndata: {\"choices\":[{\"delta\":{\"content\":\"a\"}}]}\n\ndata: [DONE]\n\n",
		"data: {\"id\":\"r\",\"choices\":[{\"text\":\"a\",\"finish_reason\":\"stop\"}]}\r\n\r\ndata:[DONE]\r\n\r\n",
		"data: {\"choices\":[],\"usage\":{\"prompt_tokens\":3,\"completion_tokens\":1e99,\"prompt_tokens_details\":{\"cached_tokens\":-1}}}\n\n",
		"data: {\"choices\":[{\"text\":\"a\"}]}\n\ndata: {\"choices\":[{\"text\":\"b\"}]}\n\ndata: {\"choices\":[{\"finish_reason\":\"stop\"}]}\n\n",
		"event: error\ndata: {\"error\":{}}\n\n",
		"id: r:18446744073709551615\ndata: {\"choices\":[{}]}\n\ndata: {\"choices\":[{}]}\n\n",
		": comment\n\n\nid:\nid: :\nid: r:x\ndata:\ndata: {\n\n",
		"data: {\"choices\":[{\"finish_reason\":null}]}",
	} {
		f.Add([]byte(seed), uint64(0))
		f.Add([]byte(seed), uint64(7))
	}
	f.Fuzz(func(t *testing.T, raw []byte, from uint64) {
		from &= 1<<32 - 1
		numbered := bytes.Contains(raw, []byte("id:"))
		events := newEventReader(bytes.NewReader(raw), from)
		next := from
		// An event takes at least a data line and an empty line, so there are fewer events than bytes.
		for range len(raw) {
			event, err := events.Next()
			if errors.Is(err, io.ErrUnexpectedEOF) {
				return
			}
			if err != nil {
				if len(raw) < maxLineBytes {
					t.Fatalf("a stream without a line above the limit failed: %v", err)
				}
				return
			}
			if event.Kind != Token || numbered {
				continue
			}
			if event.Sequence != next {
				t.Fatalf("sequence number %d, want %d", event.Sequence, next)
			}
			next++
		}
		if len(raw) > 0 {
			t.Fatalf("at least %d events in as many bytes", len(raw))
		}
	})
}
