package replay

import (
	"encoding/json"
	"net/http"
	"net/netip"
	"strconv"
	"strings"

	"github.com/google/uuid"

	"github.com/chicoryrelay/chicoryrelay/bench/client"
	"github.com/chicoryrelay/chicoryrelay/bench/trace"
	"github.com/chicoryrelay/chicoryrelay/standin/engine"
	"github.com/chicoryrelay/chicoryrelay/standin/replica"
)

type message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// messages returns the prompt of a text entry: one system message per level and the entry's own text as the user message.
func messages(entry trace.Entry) []message {
	role := func(piece int) string {
		if piece < len(entry.Levels) {
			return "system"
		}
		return "user"
	}
	texts := entry.Texts(func(piece int) int { return len(role(piece)) })
	list := make([]message, len(texts))
	for i, text := range texts {
		list[i] = message{Role: role(i), Content: text}
	}
	return list
}

// blockHashes returns the block hashes that engines compute; block is in tokens.
//
// They differ from Entry.Chain at level boundaries, since the role's bytes are the same in all system messages.
func blockHashes(entry trace.Entry, block int) []uint64 {
	if !entry.Kind.Text() {
		return nil
	}
	var text strings.Builder
	for _, m := range messages(entry) {
		text.WriteString(m.Role)
		text.WriteString(m.Content)
	}
	return engine.Blocks(text.String(), block)
}

// chatBody returns the request body of a text entry.
func chatBody(entry trace.Entry) ([]byte, error) {
	return json.Marshal(map[string]any{
		"model": entry.Assistant, "stream": true, "stream_options": map[string]bool{"include_usage": true},
		"max_tokens": entry.Answer, "messages": messages(entry),
	})
}

// expectedText returns the text with which an engine of the version answers a request body.
func expectedText(body []byte, version engine.Version) (string, error) {
	prompt, err := replica.ParsePrompt(true, body)
	if err != nil {
		return "", err
	}
	text := ""
	for i := range prompt.Answer {
		text += engine.Token(prompt.Body, version, i)
	}
	return text, nil
}

// request returns the HTTP request of an entry.
func (s Settings) request(entry trace.Entry, address netip.AddrPort) (client.Request, error) {
	r := client.Request{Address: address, Method: http.MethodPost, Key: s.Keys + entry.Account, Header: map[string]string{}}
	switch entry.Kind {
	case trace.Booking:
		r.Path, r.Body = "/services/booking/slots", []byte(`{"entry":`+strconv.Itoa(entry.Number)+`}`)
		id, err := uuid.NewV7()
		r.Header["Idempotency-Key"] = id.String()
		return r, err
	case trace.Lookup:
		r.Method, r.Path = http.MethodGet, "/services/booking/balance"
		return r, nil
	}
	if s.Direct {
		r.Key = ""
		r.Header["X-Cache-Salt"], r.Header["X-Request-Id"] = entry.Account, uuid.NewString()
	}
	r.Path = "/v1/chat/completions"
	var err error
	r.Body, err = chatBody(entry)
	return r, err
}
