package upstream

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"testing"

	"github.com/chicoryrelay/chicoryrelay/relay/catalogue"
	"github.com/chicoryrelay/chicoryrelay/relay/syntax"
	"github.com/chicoryrelay/chicoryrelay/relay/syntax/syntaxtest"
)

// FuzzLoad guards against load reports, list entries, refusals and exported KV caches that make a decoder panic, or are used as something
// else than the keys of exactly their fields' names say.
func FuzzLoad(f *testing.F) {
	for _, sound := range []string{
		`{"incarnation":1,"slots":4,"leaving":false}`, `{"incarnation":1,"name":"a","address":"10.0.0.2:1","state":"live"}`,
		`{"incarnation":7,"salt":"s","model":"m","weights":"w"}`, `{"incarnation":1,"error":{"code":"busy"},"leaving":true}`,
	} {
		for _, odd := range syntaxtest.Cases(sound, "incarnation", string(sound[15])) {
			if len(odd.Text) < 1<<12 {
				f.Add([]byte(odd.Text))
			}
		}
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		var members map[string]json.RawMessage
		exact := json.Unmarshal(text, &members) == nil
		// says reports whether the text has the value of a field, under exactly its name.
		says := func(name string, expected any) bool {
			value, err := json.Marshal(expected)
			return err == nil && exact && bytes.Equal(bytes.TrimSpace(members[name]), value)
		}
		var load LoadReport
		if syntax.Unmarshal(text, &load) == nil && load.Incarnation != 0 && !says("incarnation", load.Incarnation) {
			t.Fatalf("%q is decoded as %+v", text, load)
		}
		for _, member := range decodeMembers([]json.RawMessage{text}) {
			if len(members["name"]) == 0 || len(members["address"]) == 0 || len(members["state"]) == 0 {
				t.Fatalf("%q is decoded as %+v", text, member)
			}
		}
		leaving, notRun := isLeavingRefusal(http.StatusServiceUnavailable, text), isNotRunRefusal(http.StatusServiceUnavailable, text)
		if leaving && !says("leaving", true) || notRun && len(members["error"]) == 0 {
			t.Fatalf("%q is taken for a refusal, leaving %t, not run %t", text, leaving, notRun)
		}
		if checkBinding(text, catalogue.Upstream{}, catalogue.Upstream{Model: "m", Weights: "w"}, 7, "s") == nil && !says("incarnation", 7) {
			t.Fatalf("%q is imported", text)
		}
	})
}

// FuzzList guards against an entry of the list that costs those around it.
func FuzzList(f *testing.F) {
	for _, entry := range []string{`7`, `null`, `{"name":"a","address":"10.0.0.2:1","state":"live"}`, `{"name":"a","name":"b","address":"10.0.0.2:1","state":"live"}`, `{"address":"x"}`, `[[]]`, "\"\xff\""} {
		f.Add(entry)
	}
	f.Fuzz(func(t *testing.T, text string) {
		if !json.Valid([]byte(text)) {
			return
		}
		const sound = `{"name":"sound","address":"10.0.0.1:1","state":"live"}`
		var entries []json.RawMessage
		err := syntax.Unmarshal([]byte("["+sound+","+text+","+sound+"]"), &entries)
		members := decodeMembers(entries)
		if count := len(members); err != nil || count < 2 || count > 3 || members[0].Name != "sound" || members[count-1].Name != "sound" {
			t.Fatalf("around %q are %v, %v", text, members, err)
		}
	})
}

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
