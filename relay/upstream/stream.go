package upstream

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"

	"github.com/chicoryrelay/chicoryrelay/relay/catalogue"
	"github.com/chicoryrelay/chicoryrelay/relay/syntax"
)

// maxErrorBytes limits the part of an engine's error response that is read.
const maxErrorBytes = 4096

// softwareHeader tells the engine's software version in an answer, and the one with which a stream began in a request that resumes it.
const softwareHeader = "X-Software"

// errSoftware ends the attempt at an engine whose answer can't be told from those of other software versions.
var errSoftware = fmt.Errorf("the engine tells a software version in %s that is no line of at most %d printable characters", softwareHeader, catalogue.MaxSoftwareBytes)

// Call is one request to an engine.
type Call struct {
	Upstream catalogue.Upstream
	Path     string
	Body     []byte
	Request  string
	// From is the number of events that the caller has already received.
	From uint64
	// Software is the software version with which the stream began, if it is known; the engine refuses the call if it runs another one.
	Software string
	// Salt separates the engine's prefix cache by account, model, adapter and weights.
	Salt     string
	Priority int
}

// RefusedError is an engine's response with a status other than 200.
type RefusedError struct {
	Status  int
	Leaving bool
	// NotRun is set if the engine did not run the request, because it serves other weights, is loading or is leaving.
	NotRun bool
	Body   string
}

// Error implements error.
func (e *RefusedError) Error() string {
	return fmt.Sprintf("engine responded with status %d: %s", e.Status, e.Body)
}

// Stream is an engine's streamed response in progress.
type Stream struct {
	// Incarnation identifies the engine's start, or is 0 if the engine reports none.
	Incarnation uint64
	// Software is the software version that the engine tells; empty if it tells none.
	Software string

	client   *Client
	call     Call
	body     io.ReadCloser
	events   *eventReader
	watchdog *watchdog
	ctx      context.Context
	// next is the least sequence number of an event that advances the stream; finished is set once its text is complete.
	next     uint64
	finished bool
}

// Open sends the call and returns when the response's header has arrived. The error is a RefusedError, ErrTimeout, the context's
// cause or a network error.
func (c *Client) Open(ctx context.Context, call Call) (*Stream, error) {
	if err := c.permit(call.Upstream.Address); err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancelCause(ctx)
	watch := newWatchdog(c.headerTimeout, cancel)
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+call.Upstream.Address.String()+call.Path, bytes.NewReader(call.Body))
	if err != nil {
		watch.stop()
		return nil, err
	}
	setHeaders(request.Header, call)
	response, err := c.roundTrip(call.Upstream.Address, request)
	if err != nil {
		err = c.cause(ctx, call, err)
		watch.stop()
		return nil, err
	}
	c.observe(call.Upstream.Address, response)
	if response.StatusCode != http.StatusOK {
		defer watch.stop()
		return nil, readRefusal(response, call.Request)
	}
	software := response.Header.Get(softwareHeader)
	if !catalogue.ValidSoftware(software) {
		watch.stop()
		_ = response.Body.Close()
		return nil, errSoftware
	}
	// 0 stands for an engine that reports no incarnation: its crashes go unnoticed, so no knowledge of its cache may be retained.
	incarnation, _ := strconv.ParseUint(response.Header.Get("X-Incarnation"), 10, 64)
	return &Stream{
		Incarnation: incarnation, Software: software,
		client: c, call: call, body: response.Body, ctx: ctx, watchdog: watch,
		events: newBoundedEventReader(response.Body, call.From, c.memory.Reserve()),
	}, nil
}

func setHeaders(header http.Header, call Call) {
	header.Set("Content-Type", "application/json")
	header.Set("Accept", "text/event-stream")
	header.Set("X-Request-Id", call.Request)
	header.Set("X-Cache-Salt", call.Salt)
	header.Set("X-Weights", call.Upstream.Weights)
	header.Set("X-Priority", strconv.Itoa(call.Priority))
	if call.Software != "" {
		header.Set(softwareHeader, call.Software)
	}
	if call.From > 0 {
		header.Set("X-Resume-From", strconv.FormatUint(call.From, 10))
	}
}

// readRefusal reads a response with an error status. Only one that bears the request's ID shows that this request was not run: on a
// kept connection an engine may write the refusal of another one once more.
func readRefusal(response *http.Response, request string) error {
	text, _ := io.ReadAll(io.LimitReader(response.Body, maxErrorBytes))
	_ = response.Body.Close()
	leaving := isLeavingRefusal(response.StatusCode, text)
	own := response.Header.Get("X-Request-Id") == request
	return &RefusedError{Status: response.StatusCode, Leaving: leaving, NotRun: own && (leaving || isNotRunRefusal(response.StatusCode, text)), Body: string(text)}
}

// isLeavingRefusal reports whether a response is the refusal of a leaving upstream.
func isLeavingRefusal(status int, body []byte) bool {
	var refusal struct {
		Leaving bool `json:"leaving"`
	}
	return status == http.StatusServiceUnavailable && syntax.Unmarshal(body, &refusal) == nil && refusal.Leaving
}

// isNotRunRefusal reports whether a refusal's code means that the request was not run. A 409 alone is not enough: it is also the
// response if a request with the same ID is running.
func isNotRunRefusal(status int, text []byte) bool {
	var body struct {
		Error struct {
			Code string `json:"code"`
		} `json:"error"`
	}
	if syntax.Unmarshal(text, &body) != nil {
		return false
	}
	return status == http.StatusConflict && body.Error.Code == "version" || status == http.StatusServiceUnavailable && (body.Error.Code == "loading" || body.Error.Code == "busy")
}

// cause returns the cause of a cancelled call, or else the transport's error. After ErrTimeout it closes the upstream's idle
// connections, which may be broken too.
func (c *Client) cause(ctx context.Context, call Call, err error) error {
	if cause := context.Cause(ctx); cause != nil {
		err = cause
	}
	if errors.Is(err, ErrTimeout) {
		c.CloseIdle(call.Upstream.Address)
	}
	return err
}

// Next returns the next event, or the error that ended the stream, such as ErrTimeout or io.ErrUnexpectedEOF.
func (s *Stream) Next() (Event, error) {
	event, err := s.events.Next()
	if err != nil {
		return event, s.client.cause(s.ctx, s.call, err)
	}
	if s.advances(event) {
		s.watchdog.reset(s.client.readTimeout)
	}
	return event, nil
}

// advances reports whether an event carries a part of the request's text that has not come before. Others, which an engine in trouble may
// send without end, don't prolong the timeout.
func (s *Stream) advances(event Event) bool {
	if event.Kind != Token || event.Request != s.call.Request || event.Sequence < s.next || s.finished {
		return false
	}
	s.next, s.finished = event.Sequence+1, event.Finish
	return true
}

// PauseTimeout stops the timeout while the caller, not the engine, causes the delay.
func (s *Stream) PauseTimeout() { s.watchdog.timer.Stop() }

// ResumeTimeout restarts the timeout after PauseTimeout.
func (s *Stream) ResumeTimeout() { s.watchdog.reset(s.client.readTimeout) }

// Close closes the stream, which cancels an unfinished request at the engine.
func (s *Stream) Close() {
	s.watchdog.stop()
	_ = s.body.Close()
	s.events.memory.Release()
}
