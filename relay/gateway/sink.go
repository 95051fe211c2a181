package gateway

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/tidwall/gjson"

	"github.com/chicoryrelay/chicoryrelay/relay/outcome"
	"github.com/chicoryrelay/chicoryrelay/relay/prompt"
	"github.com/chicoryrelay/chicoryrelay/relay/upstream"
)

// sink writes an answer to the caller, either event by event or whole at the end.
type sink struct {
	writer  http.ResponseWriter
	control *http.ResponseController
	request string
	weights string
	limit   time.Duration
	kind    prompt.Kind
	stream  bool
	usages  bool

	started bool
	line    []byte
	text    strings.Builder
	reason  string
	model   string
	counts  json.RawMessage
}

func newSink(w http.ResponseWriter, kind prompt.Kind, parsed prompt.Request, request string, limit time.Duration) *sink {
	return &sink{
		writer: w, control: http.NewResponseController(w), request: request, limit: limit,
		kind: kind, stream: parsed.Stream, usages: parsed.IncludeUsage, model: parsed.Model,
	}
}

// token passes on one event; the error means that the caller is gone.
func (s *sink) token(event upstream.Event) error {
	if !s.stream {
		s.collect(event.Data)
		return nil
	}
	s.begin()
	s.line = append(s.line[:0], "id: "...)
	s.line = append(s.line, s.request...)
	s.line = append(s.line, ':')
	s.line = append(s.line, s.weights...)
	s.line = append(s.line, ':')
	s.line = strconv.AppendUint(s.line, event.Sequence, 10)
	s.line = append(s.line, "\ndata: "...)
	s.line = append(s.line, event.Data...)
	s.line = append(s.line, "\n\n"...)
	return s.flush()
}

func (s *sink) begin() {
	if s.started {
		return
	}
	s.started = true
	header := s.writer.Header()
	header.Set("Content-Type", "text/event-stream")
	header.Set("Cache-Control", "no-store")
	s.writer.WriteHeader(http.StatusOK)
}

// flush writes the line; a write that takes longer than the limit ends the request, so that a slow reader holds no engine slot without bound.
func (s *sink) flush() error {
	_ = s.control.SetWriteDeadline(time.Now().Add(s.limit))
	if _, err := s.writer.Write(s.line); err != nil {
		return fmt.Errorf("%w: %w", errCaller, err)
	}
	if err := s.control.Flush(); err != nil {
		return fmt.Errorf("%w: %w", errCaller, err)
	}
	return nil
}

func (s *sink) collect(data []byte) {
	choice := gjson.GetBytes(data, "choices.0")
	if s.kind == prompt.Chat {
		s.text.WriteString(choice.Get("delta.content").String())
	} else {
		s.text.WriteString(choice.Get("text").String())
	}
	if reason := choice.Get("finish_reason"); reason.Type == gjson.String {
		s.reason = reason.String()
	}
}

// usage passes on the token counts if the caller asked for them or waits for the whole answer.
func (s *sink) usage(data []byte) {
	s.counts = json.RawMessage(gjson.GetBytes(data, "usage").Raw)
	if s.stream && s.usages {
		s.line = append(append(append(s.line[:0], "data: "...), data...), "\n\n"...)
		_ = s.flush()
	}
}

// done ends a whole answer.
func (s *sink) done() error {
	if s.stream {
		s.begin()
		s.line = append(s.line[:0], "data: [DONE]\n\n"...)
		return s.flush()
	}
	s.writer.Header().Set("Content-Type", "application/json")
	return json.NewEncoder(s.writer).Encode(s.whole())
}

// fail ends an answer that can't be completed: by a status if nothing was written yet, else by an error event in place of the end mark.
func (s *sink) fail(refusal *outcome.Refusal) {
	if s.started {
		s.line = append(s.line[:0], "event: error\ndata: "...)
		s.line = append(append(s.line, refusal.Body()...), "\n\n"...)
		_ = s.flush()
		return
	}
	if refusal.Status() == http.StatusServiceUnavailable {
		s.writer.Header().Set("Retry-After", "1")
	}
	s.writer.Header().Set("Content-Type", "application/json")
	s.writer.WriteHeader(refusal.Status())
	_, _ = s.writer.Write(refusal.Body())
}

type wholeAnswer struct {
	ID      string          `json:"id"`
	Object  string          `json:"object"`
	Created int64           `json:"created"`
	Model   string          `json:"model"`
	Choices []wholeChoice   `json:"choices"`
	Usage   json.RawMessage `json:"usage,omitempty"`
}

type wholeChoice struct {
	Index   int           `json:"index"`
	Message *wholeMessage `json:"message,omitempty"`
	Text    *string       `json:"text,omitempty"`
	Reason  string        `json:"finish_reason"`
}

type wholeMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

func (s *sink) whole() wholeAnswer {
	text := s.text.String()
	choice := wholeChoice{Reason: s.reason}
	object := "chat.completion"
	if s.kind == prompt.Chat {
		choice.Message = &wholeMessage{Role: "assistant", Content: text}
	} else {
		choice.Text = &text
		object = "text_completion"
	}
	return wholeAnswer{
		ID: s.request, Object: object, Created: time.Now().Unix(), Model: s.model,
		Choices: []wholeChoice{choice}, Usage: s.counts,
	}
}
