package forward

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/apex/log"

	"github.com/chicoryrelay/chicoryrelay/relay/connection"
	"github.com/chicoryrelay/chicoryrelay/relay/outcome"
)

const (
	// wholeLimit is the size in bytes up to which an answer is read to its end before it is passed on, so that one that breaks off
	// can still be replaced.
	wholeLimit = 256 << 10
	// drainLimit bounds what is read of an answer that is not passed on.
	drainLimit = 16 << 10
	// maxEvent bounds one event of a stream in bytes.
	maxEvent = 1 << 20
)

// drain reads a short answer to its end, so that its connection can be kept.
func drain(a *connection.Response) {
	if n, err := io.Copy(io.Discard, io.LimitReader(a, drainLimit)); err != nil || n == drainLimit {
		a.Close()
	}
}

// whole passes on an answer that is no stream.
func (s *session) whole(ctx context.Context, p *Placement, answer *connection.Response, heard Heard, w *watch) (bool, error) {
	var body bytes.Buffer
	if answer.Length > 0 && answer.Length <= wholeLimit {
		body.Grow(int(answer.Length) + bytes.MinRead)
	}
	_, err := body.ReadFrom(io.LimitReader(answer, wholeLimit))
	if err != nil {
		return s.broken(ctx, p, err, Failure{Began: true, Status: answer.Status, Heard: heard}), err
	}
	w.stop()
	p.Begin()
	s.runs++
	if answer.Status >= http.StatusInternalServerError && s.again() {
		s.logAttempt(p, "upstream failed the request", answer.Status, nil)
		p.Fail(Failure{Sent: true, Began: true, Status: answer.Status, Heard: heard})
		return false, errors.New("the upstream answered with status " + strconv.Itoa(answer.Status))
	}
	p.Finish(heard)
	s.copyHeader(answer)
	if body.Len() < wholeLimit {
		s.w.Header().Set("Content-Length", strconv.Itoa(body.Len()))
	}
	s.begin(answer.Status)
	s.limitWrite()
	if _, err := s.w.Write(body.Bytes()); err != nil {
		return true, err
	}
	if body.Len() == wholeLimit {
		if _, err := io.Copy(s.w, answer); err != nil {
			s.abort(err)
		}
	}
	return true, nil
}

// again reports whether one more run is allowed; without, the upstream's own failure is the answer.
func (s *session) again() bool {
	return s.route.Repeatable() && s.runs < max(1, s.route.Attempts) && s.sends < maxSends && s.f.budget.CanWithdraw(s.work.Service.Name)
}

// copyHeader passes the upstream's header on, except what concerns its connection.
func (s *session) copyHeader(answer *connection.Response) {
	h := s.w.Header()
	for name, values := range forwardHeader(answer.Header) {
		h[name] = values
	}
	if _, given := h["Content-Type"]; !given {
		// A nil value keeps the server from guessing one.
		h["Content-Type"] = nil
	}
	if s.f.stopping.Load() {
		h.Set("Connection", "close")
	}
}

func (s *session) begin(status int) {
	s.begun, s.status = true, status
	s.first = s.f.now().Sub(s.arrived)
	s.w.WriteHeader(status)
}

func (s *session) limitWrite() {
	// A connection without deadlines keeps the server's own limits.
	_ = http.NewResponseController(s.w).SetWriteDeadline(s.f.now().Add(writeTime))
}

// stream passes on a stream event by event; an event that did not come whole is never passed on.
func (s *session) stream(ctx context.Context, p *Placement, answer *connection.Response, heard Heard, w *watch) (bool, error) {
	reader := bufio.NewReaderSize(answer, 4096)
	controller := http.NewResponseController(s.w)
	for {
		event, id, err := readEvent(reader)
		if len(event) > 0 {
			w.heard()
			if err := s.event(p, answer, controller, event, id); err != nil {
				p.Cancel()
				s.abort(err)
				return true, err
			}
		}
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			return s.broken(ctx, p, err, Failure{Began: s.begun, Status: answer.Status, Heard: heard}), err
		}
	}
	w.stop()
	if !s.begun {
		s.copyHeader(answer)
		s.begin(answer.Status)
		p.Begin()
	}
	s.runs++
	p.Finish(heard)
	return true, nil
}

// event passes one event on.
func (s *session) event(p *Placement, answer *connection.Response, controller *http.ResponseController, event []byte, id string) error {
	if !s.begun {
		s.copyHeader(answer)
		s.w.Header().Del("Content-Length")
		s.begin(answer.Status)
		p.Begin()
	}
	if id != "" {
		if !after(id, s.last) {
			return nil
		}
		s.last = id
	}
	now := s.f.now()
	if !s.heard.IsZero() {
		s.pause = max(s.pause, now.Sub(s.heard))
	}
	s.heard = now
	s.limitWrite()
	if _, err := s.w.Write(event); err != nil {
		return err
	}
	return controller.Flush()
}

// after reports whether an event's number follows that of the last one; numbers grow within a stream.
func after(id, last string) bool {
	if last == "" {
		return true
	}
	a, errA := strconv.ParseUint(id, 10, 64)
	b, errB := strconv.ParseUint(last, 10, 64)
	return errA != nil || errB != nil || a > b
}

// readEvent returns the next whole event with its closing blank line, and its number if it has one. Bytes that a stream ends in
// without a blank line are returned with io.EOF only if the answer ended as complete.
func readEvent(r *bufio.Reader) (event []byte, id string, err error) {
	start := 0
	for len(event) < maxEvent {
		part, err := r.ReadSlice('\n')
		event = append(event, part...)
		if errors.Is(err, bufio.ErrBufferFull) {
			// The line goes on.
			continue
		}
		if text, ok := bytes.CutPrefix(event[start:], []byte("id:")); ok {
			id = string(bytes.TrimSpace(text))
		}
		if errors.Is(err, io.EOF) {
			return event, id, err
		}
		if err != nil {
			return nil, "", err
		}
		if len(bytes.TrimRight(event[start:], "\r\n")) == 0 {
			return event, id, nil
		}
		start = len(event)
	}
	return nil, "", errors.New("an event is larger than the limit")
}

// refuse answers a request that has not run.
func (s *session) refuse(refusal *outcome.Refusal, wait time.Duration) {
	s.refused = refusal.Kind
	fields := log.Fields{
		"request": s.ask.ID, "kind": refusal.Kind, "outcome": refusal.Outcome, "host": s.r.Host, "path": s.r.URL.Path,
		"age": s.f.now().Sub(s.arrived), "sends": s.sends, "return": wait,
	}
	if refusal.Cause != nil {
		fields["cause"] = refusal.Cause.Error()
	}
	if refusal.Kind == outcome.Cancelled {
		s.f.log.WithFields(fields).Info("caller left")
		s.status = 0
		panic(http.ErrAbortHandler)
	}
	s.f.log.WithFields(fields).Info("refused")
	returnAfter(s.w.Header(), wait)
	s.w.Header().Set("Content-Type", "application/json")
	s.status = refusal.Status()
	s.w.WriteHeader(s.status)
	// A caller that left does not read the refusal; the log line above has it.
	_, _ = s.w.Write(refusal.Body())
}

// unplaced ends a request that no upstream was found for.
func (s *session) unplaced(ctx context.Context, err, last error) {
	if cause := context.Cause(ctx); cause != nil {
		s.end(ctx, cause)
		return
	}
	if s.runs > 0 {
		s.fail(ctx, errors.Join(last, err))
		return
	}
	var refusal *outcome.Refusal
	if !errors.As(err, &refusal) {
		refusal = outcome.Refuse(outcome.NoUpstream, "no upstream takes the request").WithCause(err)
	}
	s.refuse(refusal, s.returnTime())
}

// end ends a request whose time is over or whose caller left.
func (s *session) end(ctx context.Context, cause error) {
	if s.r.Context().Err() != nil {
		s.refused = outcome.Cancelled
		s.f.log.WithFields(log.Fields{"request": s.ask.ID, "age": s.f.now().Sub(s.arrived), "sends": s.sends, "begun": s.begun}).Info("caller left")
		panic(http.ErrAbortHandler)
	}
	s.fail(ctx, cause)
}

// fail ends a request that gets no whole answer: as not run where that is certain, else with a status that promises nothing.
func (s *session) fail(_ context.Context, cause error) {
	if s.begun {
		s.abort(cause)
		return
	}
	if s.runs == 0 {
		s.refuse(outcome.Refuse(outcome.Overloaded, "no upstream took the request; come back").WithCause(cause), s.returnTime())
		return
	}
	s.status = http.StatusBadGateway
	if errors.Is(cause, errTimeout) {
		s.status = http.StatusGatewayTimeout
	}
	s.refused = outcome.UpstreamFailed
	text := ""
	if cause != nil {
		text = cause.Error()
	}
	s.f.log.WithFields(log.Fields{
		"request": s.ask.ID, "status": s.status, "age": s.f.now().Sub(s.arrived), "sends": s.sends, "runs": s.runs, "cause": text,
	}).Info("failed")
	s.w.Header().Set("Content-Type", "application/json")
	s.w.WriteHeader(s.status)
	// A caller that left does not read the answer; the log line above has it.
	_, _ = s.w.Write(outcome.RefuseUncertain(outcome.UpstreamFailed, "the upstream broke; the request may have run").Body())
}

// abort ends the caller's connection in the middle of an answer, so that it can't look complete.
func (s *session) abort(cause error) {
	s.refused = outcome.UpstreamFailed
	s.f.log.WithFields(log.Fields{
		"request": s.ask.ID, "last": s.last, "age": s.f.now().Sub(s.arrived), "sends": s.sends, "cause": cause.Error(),
	}).Info("answer broken off")
	panic(http.ErrAbortHandler)
}

// returnShare is the part of the caller's remaining time that it is told to wait at most.
const returnShare = 4

// leastReturn is the shortest time to come back: sooner, nothing will have changed.
const leastReturn = 150 * time.Millisecond

// returnTime is when a caller that was refused should come back: spread, so that those refused together don't come together.
func (s *session) returnTime() time.Duration {
	left := time.Until(s.work.Until)
	if left <= leastReturn {
		return leastReturn
	}
	return leastReturn + time.Duration(s.f.draw()*float64(min(left/returnShare, time.Second)))
}

func (s *session) finish() {
	name := ""
	if s.route != nil {
		name = s.route.Name
	}
	total := s.f.now().Sub(s.arrived)
	s.f.measure(Measure{Route: name, Status: s.status, First: s.first, Total: total, Sends: s.sends, Refusal: s.refused})
	if s.refused == "" {
		s.f.log.WithFields(log.Fields{"request": s.ask.ID, "route": name, "status": s.status, "first": s.first, "total": total, "pause": s.pause, "sends": s.sends}).Info("served")
	}
}
