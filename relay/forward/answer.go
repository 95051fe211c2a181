package forward

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/apex/log"

	"github.com/chicoryrelay/chicoryrelay/relay/connection"
	"github.com/chicoryrelay/chicoryrelay/relay/outcome"
)

const (
	// maxBufferedBytes is the size up to which an answer is buffered completely before it is forwarded, so that the request can
	// be retried if the upstream breaks off.
	maxBufferedBytes = 256 << 10
	// maxDiscardedBytes limits what is read of a discarded answer to keep its connection.
	maxDiscardedBytes = 16 << 10
	// maxEventBytes limits one event of a stream.
	maxEventBytes = 1 << 20
)

// discardAnswer reads a short answer to its end, so that its connection can be reused; the connection of a longer one, or of one that ends
// with it, is closed.
func discardAnswer(a *connection.Response) {
	if a.Framing == connection.UntilClose {
		a.Close()
		return
	}
	if n, err := io.Copy(io.Discard, io.LimitReader(a, maxDiscardedBytes)); err != nil || n == maxDiscardedBytes {
		a.Close()
	}
}

// forwardBuffered forwards an answer that is not a stream; the part beyond maxBufferedBytes, or beyond the memory that is left for
// answers, is forwarded as it arrives. It returns false if another attempt may be made.
func (s *session) forwardBuffered(ctx context.Context, p *Placement, answer *connection.Response, answerMetadata AnswerMetadata, timer *stallTimer) (bool, error) {
	memory := reservation{pool: &s.f.buffers, caller: s.r.Context()}
	defer memory.release()
	parts, complete, err := memory.readStart(answer, answer.Length, maxBufferedBytes)
	if err != nil {
		return s.attemptFailed(ctx, p, err, Failure{Received: true, Status: answer.Status, Metadata: answerMetadata}), err
	}
	timer.stop()
	p.Begin()
	if answer.Status >= http.StatusInternalServerError && s.mayRunAfterThis() {
		s.recordRun(p.Upstream)
		s.logAttempt(p, "upstream failed the request", answer.Status, nil)
		p.Fail(Failure{Sent: true, Received: true, Status: answer.Status, Metadata: answerMetadata})
		return false, &statusError{answer.Status}
	}
	if outcome.PromisesNotRun(answer.Status) && !s.route.Repeatable() {
		s.withhold(ctx, p, answerMetadata)
		return true, nil
	}
	s.copyHeader(answer)
	switch {
	case complete:
		s.w.Header().Set("Content-Length", strconv.Itoa(totalLength(parts)))
	case answer.Length >= 0:
		s.w.Header().Set("Content-Length", strconv.FormatInt(answer.Length, 10))
	}
	if complete {
		s.recordRun(p.Upstream)
		p.Finish(answerMetadata)
	}
	s.beginAnswer(answer.Status)
	s.releaseBody(answer)
	for _, part := range parts {
		s.setWriteDeadline()
		if _, err := s.w.Write(part); err != nil {
			if !complete {
				p.Cancel()
			}
			s.abort(err)
		}
	}
	if !complete {
		parts = nil
		memory.release()
		s.forwardRest(ctx, p, answer, answerMetadata)
	}
	return true, nil
}

// statusError is the cause of an attempt that its upstream failed with a status of its own.
type statusError struct{ status int }

// Error implements error.
func (e *statusError) Error() string {
	return fmt.Sprintf("the upstream failed the request with status %d", e.status)
}

// withhold ends a request that must not run twice without its upstream's answer: the status promises that the request has not run, but the
// upstream has not declared it so. Nothing of the answer is passed on, since its mark stands for its status.
func (s *session) withhold(ctx context.Context, p *Placement, answerMetadata AnswerMetadata) {
	s.recordRun(p.Upstream)
	s.logAttempt(p, "answer withheld", answerMetadata.Status, nil)
	p.Finish(answerMetadata)
	s.fail(ctx, &statusError{answerMetadata.Status})
}

func totalLength(parts [][]byte) int {
	total := 0
	for _, part := range parts {
		total += len(part)
	}
	return total
}

// forwardRest forwards the part of a long answer that is not buffered. If the upstream breaks off, the caller's connection is closed,
// so that the answer does not look complete.
func (s *session) forwardRest(ctx context.Context, p *Placement, answer *connection.Response, answerMetadata AnswerMetadata) {
	part := make([]byte, bufferStep)
	for {
		n, err := answer.Read(part)
		if n > 0 {
			s.setWriteDeadline()
			if _, err := s.w.Write(part[:n]); err != nil {
				p.Cancel()
				s.abort(err)
			}
		}
		if errors.Is(err, io.EOF) {
			s.recordRun(p.Upstream)
			p.Finish(answerMetadata)
			return
		}
		if err != nil {
			s.attemptFailed(ctx, p, err, Failure{Received: true, Status: answer.Status, Metadata: answerMetadata})
			s.abort(err)
		}
	}
}

// mayRunAfterThis reports whether the request may run once more after the present run; if not, the upstream's error answer is
// forwarded.
func (s *session) mayRunAfterThis() bool {
	return s.route.Repeatable() && s.runs+1 < s.attempts() && s.sends < maxSends && s.f.budget.CanWithdraw(s.placementRequest.Service.Name)
}

// copyHeader copies the end-to-end fields of the upstream's header to the answer.
func (s *session) copyHeader(answer *connection.Response) {
	h := s.w.Header()
	for name, values := range s.f.dialect.endToEndHeader(answer.Header) {
		h[name] = values
	}
	if _, ok := h["Content-Type"]; !ok {
		// A nil value stops net/http from detecting a content type.
		h["Content-Type"] = nil
	}
	s.setConnection()
}

// setConnection announces the end of the caller's connection on a VM that shuts down.
func (s *session) setConnection() {
	if s.f.stopping.Load() {
		s.w.Header().Set("Connection", "close")
	}
}

func (s *session) beginAnswer(status int) {
	s.begun, s.status = true, status
	s.timeToAnswer = s.f.now().Sub(s.arrived)
	s.w.WriteHeader(status)
}

func (s *session) setWriteDeadline() {
	// If the connection does not support deadlines, the server's own timeouts apply.
	_ = http.NewResponseController(s.w).SetWriteDeadline(s.f.now().Add(writeTimeout))
}

// forwardStream forwards a stream event by event and drops an incomplete event. It returns false if another attempt may be
// made.
func (s *session) forwardStream(ctx context.Context, p *Placement, answer *connection.Response, answerMetadata AnswerMetadata, timer *stallTimer) (bool, error) {
	reader := bufio.NewReaderSize(answer, 4096)
	controller := http.NewResponseController(s.w)
	memory := reservation{pool: &s.f.buffers, caller: s.r.Context()}
	defer memory.release()
	for received := 0; ; received++ {
		event, id, err := readEvent(reader, &memory)
		if errors.Is(err, io.EOF) && answer.Framing == connection.UntilClose && received == 0 {
			// The closing blank line of its last event is all that shows that a stream which ends with its connection is complete.
			err = errNoEvent
		}
		if received == 0 && len(event) > 0 && s.placementRequest.Software != nil && s.softwareChanged(p.Upstream) {
			err = errSoftwareChanged
			return s.attemptFailed(ctx, p, err, Failure{Received: s.begun, Status: answer.Status, Metadata: answerMetadata}), err
		}
		if len(event) > 0 {
			if isProgress(event, id) {
				timer.eventReceived()
			}
			if err := s.forwardEvent(p, answer, controller, event, id); err != nil {
				p.Cancel()
				s.abort(err)
				return true, err
			}
			memory.release()
		}
		if errors.Is(err, errTornEvent) {
			s.owesEvent = true
		}
		if errors.Is(err, io.EOF) && s.owesEvent {
			err = errEventOwed
		}
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			return s.attemptFailed(ctx, p, err, Failure{Received: s.begun, Status: answer.Status, Metadata: answerMetadata}), err
		}
	}
	timer.stop()
	if !s.begun {
		s.copyHeader(answer)
		s.beginAnswer(answer.Status)
		p.Begin()
	}
	s.recordRun(p.Upstream)
	p.Finish(answerMetadata)
	return true, nil
}

// forwardEvent forwards one event unless the caller already has it.
func (s *session) forwardEvent(p *Placement, answer *connection.Response, controller *http.ResponseController, event []byte, id string) error {
	if !s.begun {
		s.copyHeader(answer)
		s.w.Header().Del("Content-Length")
		s.beginStream(p)
		s.beginAnswer(answer.Status)
		p.Begin()
	}
	if id != "" {
		if !isNewer(id, s.lastEventID) {
			return nil
		}
		s.lastEventID = id
	}
	now := s.f.now()
	if !s.lastEventAt.IsZero() {
		s.maxPause = max(s.maxPause, now.Sub(s.lastEventAt))
	}
	s.lastEventAt = now
	s.forwardedEvents++
	s.owesEvent = s.owesEvent && !isProgress(event, id)
	s.setWriteDeadline()
	if _, err := s.w.Write(event); err != nil {
		return err
	}
	return controller.Flush()
}

// isProgress reports whether an event carries a part of the answer. Comments and empty events only keep a connection open, also that
// of an upstream that has stalled.
func isProgress(event []byte, id string) bool {
	return id != "" || bytes.HasPrefix(event, []byte("data")) || bytes.Contains(event, []byte("\ndata"))
}

// isNewer reports whether the event ID is greater than the last one forwarded. IDs that are not numbers count as newer.
func isNewer(id, last string) bool {
	if last == "" {
		return true
	}
	a, errA := strconv.ParseUint(id, 10, 64)
	b, errB := strconv.ParseUint(last, 10, 64)
	return errA != nil || errB != nil || a > b
}

// errTornEvent means that a stream ended within an event: its upstream broke off, whatever the framing of the answer says.
var errTornEvent = errors.New("the upstream ended the stream within an event")

// errEventOwed means that the upstream which resumed a stream ended it without the event within which the one before broke off.
var errEventOwed = errors.New("the upstream ended the resumed stream without the event that is due")

// errNoEvent means that a stream ended with its connection before its first event.
var errNoEvent = errors.New("the upstream closed the connection before the first event")

// readEvent returns the next event with its closing blank line, and its ID or an empty string. After the last event it returns
// io.EOF, or errTornEvent if the answer ends or breaks off within an event. The caller releases the event's memory.
func readEvent(r *bufio.Reader, memory *reservation) (event []byte, id string, err error) {
	start, ok := 0, true
	for len(event) < maxEventBytes {
		part, err := r.ReadSlice('\n')
		if event, ok = memory.append(event, part); !ok {
			return nil, "", errBuffersFull
		}
		if errors.Is(err, bufio.ErrBufferFull) {
			// The line is longer than the reader's buffer.
			continue
		}
		if text, ok := bytes.CutPrefix(event[start:], []byte("id:")); ok {
			id = string(bytes.TrimSpace(text))
		}
		if errors.Is(err, io.EOF) && len(event) > 0 {
			return nil, "", errTornEvent
		}
		if err != nil && len(event) > 0 {
			return nil, "", fmt.Errorf("%w: %w", errTornEvent, err)
		}
		if err != nil {
			return nil, "", err
		}
		if len(bytes.TrimRight(event[start:], "\r\n")) == 0 {
			return event, id, nil
		}
		start = len(event)
	}
	return nil, "", errors.New("the upstream sent an event larger than 1 MiB; make it send smaller events")
}

// refuse refuses a request that has not run; a retryAfter of 0 sends no Retry-After.
func (s *session) refuse(refusal *outcome.Refusal, retryAfter time.Duration) {
	s.refusalKind = refusal.Kind
	fields := log.Fields{
		"request": s.metadata.ID, "kind": refusal.Kind, "outcome": refusal.Outcome, "host": s.r.Host, "path": s.r.URL.Path,
		"age": s.f.now().Sub(s.arrived), "sends": s.sends, "return": retryAfter,
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
	setRetryAfter(s.w.Header(), retryAfter)
	s.setConnection()
	s.w.Header().Set("Content-Type", "application/json")
	s.status = refusal.Status()
	s.w.WriteHeader(s.status)
	// A write error means that the caller left; the refusal is logged above.
	_, _ = s.w.Write(refusal.Body())
}

// placementFailed ends a request for which no upstream was chosen.
func (s *session) placementFailed(ctx context.Context, err, last error) {
	if cause := context.Cause(ctx); cause != nil {
		s.endCancelled(ctx, cause)
		return
	}
	if s.runs > 0 {
		s.fail(ctx, errors.Join(last, err))
		return
	}
	var refusal *outcome.Refusal
	if !errors.As(err, &refusal) {
		refusal = outcome.Refuse(outcome.NoUpstream, "no upstream accepts the request now; retry after the time in Retry-After").WithCause(err)
	}
	if refusal.Kind == outcome.SoftwareGone {
		// The stream can't go on, whenever its caller returns.
		s.refuse(refusal, 0)
		return
	}
	s.refuse(refusal, refusal.RetryAfter+s.retryAfter())
}

// endCancelled ends a request whose deadline has passed or whose caller has disconnected; in the latter case it panics with
// http.ErrAbortHandler.
func (s *session) endCancelled(ctx context.Context, cause error) {
	if s.r.Context().Err() != nil {
		s.refusalKind = outcome.Cancelled
		s.f.log.WithFields(log.Fields{"request": s.metadata.ID, "age": s.f.now().Sub(s.arrived), "sends": s.sends, "begun": s.begun}).Info("caller left")
		panic(http.ErrAbortHandler)
	}
	s.fail(ctx, cause)
}

// fail ends a request without a complete answer. It aborts an answer that has begun, refuses a request that certainly has not run,
// and answers any other with a 502 or 504 that leaves open whether the request ran.
func (s *session) fail(_ context.Context, cause error) {
	if s.begun {
		s.abort(cause)
		return
	}
	if s.runs == 0 {
		s.refuse(outcome.Refuse(outcome.Overloaded, "no upstream ran the request; retry after the time in Retry-After").WithCause(cause), s.retryAfter())
		return
	}
	s.status = http.StatusBadGateway
	if errors.Is(cause, errDeadlinePassed) {
		s.status = http.StatusGatewayTimeout
	}
	s.refusalKind = outcome.UpstreamFailed
	text, remedy := "", "the upstream failed before it sent a complete answer; the request may have run, so check its effect before you retry it"
	if cause != nil {
		text = cause.Error()
	}
	var failed *statusError
	if errors.As(cause, &failed) {
		remedy = fmt.Sprintf("the upstream failed the request with status %d; the request may have run, so check its effect before you retry it", failed.status)
	}
	s.f.log.WithFields(log.Fields{
		"request": s.metadata.ID, "status": s.status, "age": s.f.now().Sub(s.arrived), "sends": s.sends, "runs": s.runs, "cause": text,
	}).Info("failed")
	s.setConnection()
	s.w.Header().Set("Content-Type", "application/json")
	s.w.WriteHeader(s.status)
	// A write error means that the caller left; the failure is logged above.
	_, _ = s.w.Write(outcome.RefuseUncertain(outcome.UpstreamFailed, "%s", remedy).Body())
}

// abort closes the caller's connection within an answer, so that the answer does not look complete. It panics with
// http.ErrAbortHandler and does not return.
func (s *session) abort(cause error) {
	s.refusalKind = outcome.UpstreamFailed
	s.f.log.WithFields(log.Fields{
		"request": s.metadata.ID, "last": s.lastEventID, "software": s.software(), "age": s.f.now().Sub(s.arrived), "sends": s.sends, "framing": s.framing, "events": s.forwardedEvents, "cause": cause.Error(),
	}).Info("answer broken off")
	panic(http.ErrAbortHandler)
}

// retryAfterDivisor divides the caller's remaining time to give the upper limit of the random part of Retry-After, which is also
// limited to one second.
const retryAfterDivisor = 4

// minRetryAfter is the shortest Retry-After; the load changes little in less time.
const minRetryAfter = 150 * time.Millisecond

// retryAfter returns the Retry-After of a refusal, with jitter so that callers refused together do not retry together.
func (s *session) retryAfter() time.Duration {
	remaining := time.Until(s.placementRequest.Deadline)
	if remaining <= minRetryAfter {
		return minRetryAfter
	}
	return minRetryAfter + time.Duration(s.f.random()*float64(min(remaining/retryAfterDivisor, time.Second)))
}

func (s *session) finish() {
	name := ""
	if s.route != nil {
		name = s.route.Name
	}
	total := s.f.now().Sub(s.arrived)
	s.f.recorder(RequestRecord{Route: name, Status: s.status, TimeToAnswer: s.timeToAnswer, Total: total, Sends: s.sends, RefusalKind: s.refusalKind})
	if s.refusalKind == "" {
		s.f.log.WithFields(log.Fields{"request": s.metadata.ID, "route": name, "status": s.status, "first": s.timeToAnswer, "total": total, "pause": s.maxPause, "sends": s.sends, "framing": s.framing, "events": s.forwardedEvents, "last": s.lastEventID, "software": s.software(), "body": s.bodyBytes, "sent": s.sentBytes}).Info("served")
	}
}
