package gateway

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"github.com/tidwall/gjson"

	"github.com/chicoryrelay/chicoryrelay/relay/buffer"
	"github.com/chicoryrelay/chicoryrelay/relay/outcome"
	"github.com/chicoryrelay/chicoryrelay/relay/prompt"
	"github.com/chicoryrelay/chicoryrelay/relay/upstream"
)

// answerWriter writes an answer to the caller, either as a stream of events or as one JSON object at the end.
type answerWriter struct {
	writer     http.ResponseWriter
	controller *http.ResponseController
	request    string
	// idPrefix is the ID of each event but for its number.
	idPrefix     []byte
	writeTimeout time.Duration
	kind         prompt.Kind
	streaming    bool
	includeUsage bool

	started bool
	buffer  []byte
	// text is that of an answer which is sent as one JSON object.
	text         *buffer.Text
	finishReason string
	model        string
	usageJSON    json.RawMessage
}

// maxTextBytes limits the text of an answer that is sent as one JSON object, which is held until it is complete.
const maxTextBytes = 1 << 20

// errTextTooLarge ends such an answer. No other engine could continue it.
var errTextTooLarge = fmt.Errorf("the engine's answer is longer than the %d bytes of an answer that isn't streamed; request a stream", maxTextBytes)

func newAnswerWriter(w http.ResponseWriter, kind prompt.Kind, parsed prompt.Request, request string, writeTimeout time.Duration, text *buffer.Text) *answerWriter {
	return &answerWriter{
		text:   text,
		writer: w, controller: http.NewResponseController(w), request: request, writeTimeout: writeTimeout,
		kind: kind, streaming: parsed.Stream, includeUsage: parsed.IncludeUsage, model: parsed.Model,
	}
}

// forwardToken writes one event; an error wraps errCaller.
func (a *answerWriter) forwardToken(event upstream.Event) error {
	if !a.streaming {
		return a.collect(event.Data)
	}
	a.beginStream()
	a.buffer = append(a.buffer[:0], "id: "...)
	a.buffer = append(a.buffer, a.idPrefix...)
	a.buffer = strconv.AppendUint(a.buffer, event.Sequence, 10)
	a.buffer = append(a.buffer, "\ndata: "...)
	a.buffer = append(a.buffer, event.Data...)
	a.buffer = append(a.buffer, "\n\n"...)
	return a.flush()
}

func (a *answerWriter) beginStream() {
	if a.started {
		return
	}
	a.started = true
	header := a.writer.Header()
	header.Set("Content-Type", "text/event-stream")
	header.Set("Cache-Control", "no-store")
	a.writer.WriteHeader(http.StatusOK)
}

// flush sends the buffer. A write that exceeds the timeout ends the request, so that a slow reader can't keep an engine
// slot for ever.
func (a *answerWriter) flush() error {
	_ = a.controller.SetWriteDeadline(time.Now().Add(a.writeTimeout))
	if _, err := a.writer.Write(a.buffer); err != nil {
		return fmt.Errorf("%w: %w", errCallerGone, err)
	}
	if err := a.controller.Flush(); err != nil {
		return fmt.Errorf("%w: %w", errCallerGone, err)
	}
	return nil
}

// collect adds an event's text; the error is errTextTooLarge or buffer.ErrFull.
func (a *answerWriter) collect(data []byte) error {
	choice := gjson.GetBytes(data, "choices.0")
	field := "text"
	if a.kind == prompt.Chat {
		field = "delta.content"
	}
	text := choice.Get(field).String()
	if a.text.Len()+len(text) > maxTextBytes {
		return errTextTooLarge
	}
	if err := a.text.Append(text); err != nil {
		return err
	}
	if finishReason := choice.Get("finish_reason"); finishReason.Type == gjson.String {
		a.finishReason = finishReason.String()
	}
	return nil
}

// writeUsage records the token counts and, if a streaming caller asked for them, sends them as an event.
func (a *answerWriter) writeUsage(data []byte) {
	a.usageJSON = json.RawMessage(gjson.GetBytes(data, "usage").Raw)
	if a.streaming && a.includeUsage {
		a.buffer = append(append(append(a.buffer[:0], "data: "...), data...), "\n\n"...)
		_ = a.flush()
	}
}

// finish ends a complete answer: with the end mark of a stream, else by sending the JSON object.
func (a *answerWriter) finish() error {
	if a.streaming {
		a.beginStream()
		a.buffer = append(a.buffer[:0], "data: [DONE]\n\n"...)
		return a.flush()
	}
	a.writer.Header().Set("Content-Type", "application/json")
	return json.NewEncoder(a.writer).Encode(a.assemble())
}

// fail ends an answer that can't be completed: with an error status if nothing was written yet, else with an error event in place
// of the end mark.
func (a *answerWriter) fail(refusal *outcome.Refusal) {
	if a.started {
		a.buffer = append(a.buffer[:0], "event: error\ndata: "...)
		a.buffer = append(append(a.buffer, refusal.Body()...), "\n\n"...)
		_ = a.flush()
		return
	}
	if refusal.Status() == http.StatusServiceUnavailable {
		a.writer.Header().Set("Retry-After", retryAfter(refusal))
	}
	a.writer.Header().Set("Content-Type", "application/json")
	a.writer.WriteHeader(refusal.Status())
	_, _ = a.writer.Write(refusal.Body())
}

type completeAnswer struct {
	ID      string           `json:"id"`
	Object  string           `json:"object"`
	Created int64            `json:"created"`
	Model   string           `json:"model"`
	Choices []completeChoice `json:"choices"`
	Usage   json.RawMessage  `json:"usage,omitempty"`
}

type completeChoice struct {
	Index   int              `json:"index"`
	Message *completeMessage `json:"message,omitempty"`
	Text    *string          `json:"text,omitempty"`
	Reason  string           `json:"finish_reason"`
}

type completeMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

func (a *answerWriter) assemble() completeAnswer {
	text := a.text.String()
	choice := completeChoice{Reason: a.finishReason}
	object := "chat.completion"
	if a.kind == prompt.Chat {
		choice.Message = &completeMessage{Role: "assistant", Content: text}
	} else {
		choice.Text = &text
		object = "text_completion"
	}
	return completeAnswer{
		ID: a.request, Object: object, Created: time.Now().Unix(), Model: a.model,
		Choices: []completeChoice{choice}, Usage: a.usageJSON,
	}
}
