package replica

import (
	"encoding/json"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/samber/oops"
)

// A request without a token limit gets an output of minDefaultOutput to minDefaultOutput+defaultOutputRange-1 tokens.
const (
	minDefaultOutput   = 16
	defaultOutputRange = 48
)

type requestBody struct {
	Model         string          `json:"model"`
	Stream        bool            `json:"stream"`
	Messages      []message       `json:"messages"`
	Prompt        json.RawMessage `json:"prompt"`
	MaxTokens     int             `json:"max_tokens"`
	MaxCompletion int             `json:"max_completion_tokens"`
	StreamOptions struct {
		IncludeUsage bool `json:"include_usage"`
	} `json:"stream_options"`
}

type message struct {
	Role    string          `json:"role"`
	Content json.RawMessage `json:"content"`
}

// Prompt is the content of a request body as far as the engine uses it.
type Prompt struct {
	Chat   bool
	Stream bool
	Usage  bool
	// Text is the key of the prefix cache: roles and contents joined without separators.
	Text string
	// Body is the hash that determines the output; it covers Text and the token limit, but not whether the output is streamed.
	Body uint64
	// Answer is the length of the output in tokens; Limited is set if it comes from max_tokens or max_completion_tokens.
	Answer  int
	Limited bool
}

// ParsePrompt parses a request body; the error names the invalid field.
func ParsePrompt(chat bool, raw []byte) (Prompt, error) {
	var b requestBody
	if err := json.Unmarshal(raw, &b); err != nil {
		return Prompt{}, oops.Code("body").Errorf("body: send a JSON object as the OpenAI API describes: %v", err)
	}
	p := Prompt{Chat: chat, Stream: b.Stream, Usage: b.StreamOptions.IncludeUsage}
	var text strings.Builder
	for _, m := range b.Messages {
		text.WriteString(m.Role)
		text.WriteString(contentText(m.Content))
	}
	if !chat {
		text.WriteString(contentText(b.Prompt))
	}
	p.Text = text.String()
	if p.Text == "" {
		return Prompt{}, oops.Code("body").Errorf("messages, prompt: send a prompt that is not empty")
	}
	limit := max(b.MaxTokens, b.MaxCompletion)
	p.Body = xxhash.Sum64String(p.Text + "\x00" + strconv.Itoa(limit))
	p.Answer, p.Limited = limit, limit > 0
	if limit <= 0 {
		p.Answer = minDefaultOutput + int(p.Body%defaultOutputRange)
	}
	return p, nil
}

// contentText returns a string content, or the joined text parts of an array content.
func contentText(raw json.RawMessage) string {
	var text string
	if json.Unmarshal(raw, &text) == nil {
		return text
	}
	var parts []struct {
		Text string `json:"text"`
	}
	if json.Unmarshal(raw, &parts) != nil {
		return ""
	}
	for _, part := range parts {
		text += part.Text
	}
	return text
}
