package client

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"time"

	"github.com/samber/oops"
)

// Request is one call to a text endpoint or to a plain service.
type Request struct {
	// Address is that of a relay's callers' listener or of an engine.
	Address netip.AddrPort
	Method  string
	Path    string
	Key     string
	Body    []byte
	Header  map[string]string
	// Resume is the id of the last event received by an earlier request; empty starts a new answer.
	Resume string
}

// Answer is a response with its times and the faults found in its event ids.
type Answer struct {
	Status int
	Header http.Header
	// Stream is set for server-sent events. Whole is set if they ended in a finish reason and [DONE], or if another body with
	// status 200 was received completely.
	Stream bool
	Whole  bool
	// Text is the concatenated text of the events; Raw is the body of an answer that was not streamed.
	Text string
	Raw  []byte
	// Last is the id of the last event that was received in order.
	Last   string
	Tokens int
	// First and End are the times from sending the request to the first token and to the end of the answer. Without a stream, First
	// is the time at which the whole body was received.
	First time.Duration
	End   time.Duration
	// Duplicates counts repeated events, Crossed those with another request's id, Gaps jumps in the event numbers.
	Duplicates int
	Crossed    int
	Gaps       int
	Usage      *Usage
	// Refusal is the typed error in the answer; nil if there was none.
	Refusal *Refusal
}

// Usage is the token count at the end of an answer.
type Usage struct {
	Prompt     int `json:"prompt_tokens"`
	Completion int `json:"completion_tokens"`
	Details    struct {
		Cached int `json:"cached_tokens"`
	} `json:"prompt_tokens_details"`
}

// Refusal is the body of an error.
type Refusal struct {
	Message string `json:"message"`
	Type    string `json:"type"`
	Outcome string `json:"outcome"`
}

// Client sends requests over reused connections; it is safe for concurrent use.
type Client struct {
	http *http.Client
}

// New returns a client that keeps up to the given number of idle connections per address.
func New(idle int) *Client {
	return &Client{http: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: idle, MaxIdleConns: 0, DisableCompression: true}}}
}

// Send sends one request and reads the answer. On an error the answer holds the part that was received.
func (c *Client) Send(ctx context.Context, r Request) (Answer, error) {
	began := time.Now()
	call, err := http.NewRequestWithContext(ctx, r.Method, "http://"+r.Address.String()+r.Path, bytes.NewReader(r.Body))
	if err != nil {
		return Answer{}, oops.Code("request").Wrap(err)
	}
	if r.Key != "" {
		call.Header.Set("Authorization", "Bearer "+r.Key)
	}
	if r.Resume != "" {
		call.Header.Set("Last-Event-ID", r.Resume)
	}
	if len(r.Body) > 0 {
		call.Header.Set("Content-Type", "application/json")
	}
	for name, value := range r.Header {
		call.Header.Set(name, value)
	}
	response, err := c.http.Do(call)
	if err != nil {
		return Answer{End: time.Since(began)}, oops.Code("connection").With("address", r.Address).Wrap(err)
	}
	defer func() { _ = response.Body.Close() }()
	answer := Answer{Status: response.StatusCode, Header: response.Header}
	if strings.HasPrefix(response.Header.Get("Content-Type"), "text/event-stream") {
		answer.Stream = true
		err = newReader(&answer, r.Resume, began).read(response.Body)
	} else {
		answer.Raw, err = io.ReadAll(response.Body)
		answer.First = time.Since(began)
		answer.parseBody()
	}
	answer.End = time.Since(began)
	if err != nil {
		answer.Whole = false
		return answer, oops.Code("connection").With("address", r.Address).Wrap(err)
	}
	return answer, nil
}

// parseBody reads the usage and the error of an answer that was not streamed.
func (a *Answer) parseBody() {
	a.Whole = a.Status == http.StatusOK
	var body struct {
		Error   *Refusal        `json:"error"`
		Usage   *Usage          `json:"usage"`
		Choices json.RawMessage `json:"choices"`
	}
	if json.Unmarshal(a.Raw, &body) != nil {
		return
	}
	a.Refusal, a.Usage = body.Error, body.Usage
	if body.Usage != nil {
		a.Tokens = body.Usage.Completion
	}
}

// reader reads server-sent events and checks their ids.
type reader struct {
	answer *Answer
	began  time.Time
	text   strings.Builder
	// idPrefix is the part that the ids of all events of one answer share; next is the expected number of the next event.
	idPrefix string
	next     uint64
	finished bool
	id       string
	event    string
	data     string
}

func newReader(answer *Answer, resume string, began time.Time) *reader {
	r := &reader{answer: answer, began: began}
	if idPrefix, number, ok := splitEventID(resume); ok {
		r.idPrefix, r.next = idPrefix, number+1
		answer.Last = resume
	}
	return r
}

// splitEventID splits an event id into the prefix that all events of an answer share and the event's number.
func splitEventID(id string) (string, uint64, bool) {
	i := strings.LastIndexByte(id, ':')
	if i < 0 {
		return "", 0, false
	}
	number, err := strconv.ParseUint(id[i+1:], 10, 64)
	return id[:i], number, err == nil
}

const maxLineBytes = 1 << 20

func (r *reader) read(body io.Reader) error {
	scanner := bufio.NewScanner(body)
	scanner.Buffer(make([]byte, 4096), maxLineBytes)
	for scanner.Scan() {
		line := scanner.Text()
		switch {
		case line == "":
			r.dispatch()
		case strings.HasPrefix(line, "id:"):
			r.id = strings.TrimPrefix(line[3:], " ")
		case strings.HasPrefix(line, "event:"):
			r.event = strings.TrimPrefix(line[6:], " ")
		case strings.HasPrefix(line, "data:"):
			r.data += strings.TrimPrefix(line[5:], " ")
		}
	}
	r.answer.Text = r.text.String()
	return scanner.Err()
}

type chunk struct {
	Choices []struct {
		Text  string `json:"text"`
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
		Finish *string `json:"finish_reason"`
	} `json:"choices"`
	Usage *Usage   `json:"usage"`
	Error *Refusal `json:"error"`
}

// dispatch handles the event that an empty line ends.
func (r *reader) dispatch() {
	id, event, data := r.id, r.event, r.data
	r.id, r.event, r.data = "", "", ""
	if data == "[DONE]" {
		r.answer.Whole = r.finished
		return
	}
	var c chunk
	if data == "" || json.Unmarshal([]byte(data), &c) != nil {
		return
	}
	if event == "error" || c.Error != nil {
		r.answer.Refusal = c.Error
		return
	}
	if c.Usage != nil {
		r.answer.Usage = c.Usage
	}
	if id == "" || !r.inOrder(id) {
		return
	}
	r.answer.Last = id
	for _, choice := range c.Choices {
		if choice.Finish != nil {
			r.finished = true
			continue
		}
		if r.answer.Tokens == 0 {
			r.answer.First = time.Since(r.began)
		}
		r.answer.Tokens++
		r.text.WriteString(choice.Text + choice.Delta.Content)
	}
}

// inOrder reports whether an event belongs to the answer and is not a repeat; it counts the faults of its id.
func (r *reader) inOrder(id string) bool {
	idPrefix, number, ok := splitEventID(id)
	if r.idPrefix == "" {
		r.idPrefix = idPrefix
	}
	switch {
	case !ok || idPrefix != r.idPrefix:
		r.answer.Crossed++
		return false
	case number < r.next:
		r.answer.Duplicates++
		return false
	case number > r.next:
		r.answer.Gaps++
	}
	r.next = number + 1
	return true
}

// Next returns the number of the event that follows the one with the given id.
func Next(id string) (uint64, bool) {
	_, number, ok := splitEventID(id)
	return number + 1, ok
}
