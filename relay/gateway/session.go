package gateway

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"io"
	"syscall"
	"time"

	"github.com/apex/log"

	"github.com/chicoryrelay/chicoryrelay/relay/buffer"
	"github.com/chicoryrelay/chicoryrelay/relay/catalogue"
	"github.com/chicoryrelay/chicoryrelay/relay/dispatch"
	"github.com/chicoryrelay/chicoryrelay/relay/outcome"
	"github.com/chicoryrelay/chicoryrelay/relay/prompt"
	"github.com/chicoryrelay/chicoryrelay/relay/stream"
	"github.com/chicoryrelay/chicoryrelay/relay/upstream"
)

// maxAttempts limits the attempts and resumes of one request; the routing core's retry budget usually ends it earlier.
const maxAttempts = 6

const (
	// maxCrashes is the number of engines that may end under one request just after they began to answer it: it may be what ends them.
	maxCrashes = 3
	// beginTime is how long after an engine's first event its end can still be due to the request.
	beginTime = time.Second
)

// session relays one text request from its first attempt to its end.
type session struct {
	gateway         *Gateway
	requestInfo     requestInfo
	path            string
	body            []byte
	parsed          prompt.Request
	assistant       catalogue.Assistant
	core            *stream.Core
	dispatchRequest dispatch.Request
	answerWriter    *answerWriter
	record          RequestRecord
	// crashes is the number of attempts under which the engine ended before or just after its first event.
	crashes int
	// mayHaveRun is set unless all attempts so far ran no part of the request.
	mayHaveRun bool
}

// errGap reports that an engine skipped events of the stream.
var errGap = errors.New("the engine skipped events of the stream")

// errOtherVersion reports that an engine serves another version than the one with which the stream began.
var errOtherVersion = errors.New("the engine serves another version than the one with which the stream began")

// errCallerGone reports that the caller disconnected or read too slowly.
var errCallerGone = errors.New("the caller disconnected or read too slowly")

func (s *session) run(ctx context.Context) {
	s.gateway.progress.add(Progress{Request: s.requestInfo.id, Account: s.requestInfo.account.Name, Assistant: s.assistant.Name}, s.requestInfo.arrived)
	defer s.gateway.progress.remove(s.requestInfo.id)
	defer s.answerWriter.text.Release()
	err := s.relay(ctx)
	s.record.Stream = s.core.Counts()
	s.record.Deadline, s.record.ExpectedTokens = s.dispatchRequest.Deadline, s.dispatchRequest.AnswerTokens
	if err == nil {
		s.gateway.finish(s.requestInfo, s.record)
		return
	}
	refusal := asRefusal(err)
	s.record.Refusal = refusal
	s.answerWriter.fail(refusal)
	s.gateway.finish(s.requestInfo, s.record)
}

// relay makes attempts until the answer is complete or no further attempt is allowed.
func (s *session) relay(ctx context.Context) error {
	var lastErr error
	for range maxAttempts {
		queuedSince := s.gateway.now()
		s.dispatchRequest.Resumed = s.core.Next() > 0
		ticket, err := s.gateway.acquire(ctx, s.dispatchRequest)
		s.record.Queued += s.gateway.now().Sub(queuedSince)
		if err != nil {
			return s.notAdmitted(err, lastErr)
		}
		previousNext := s.core.Next()
		retryDelay, retryAllowed, err := s.attempt(ctx, ticket)
		if err == nil {
			return nil
		}
		if errors.Is(err, errCallerGone) || ctx.Err() != nil {
			return outcome.RefuseUncertain(outcome.Cancelled, "the caller disconnected before the answer was complete; resume with Last-Event-ID or send the request again").WithCause(err)
		}
		s.gateway.log.WithFields(log.Fields{
			"request": s.requestInfo.id, "upstream": ticket.Upstream.Name, "software": ticket.Upstream.Software, "delivered": s.core.Next(), "cause": err.Error(),
		}).Info("attempt failed")
		lastErr = err
		if errors.Is(err, errTextTooLarge) || errors.Is(err, buffer.ErrFull) && !s.parsed.Stream {
			break
		}
		s.pinVersion()
		s.dispatchRequest.FailedUpstreams = append(s.dispatchRequest.FailedUpstreams, ticket.Upstream.Name)
		// A stream that has begun is resumed outside the retry budget, since its caller can't be given another answer.
		if !retryAllowed && s.core.Next() == 0 || s.crashes >= maxCrashes {
			break
		}
		if s.core.Next() == previousNext {
			sleep(ctx, retryDelay)
		}
	}
	return s.attemptsFailed("no upstream completed the answer; resume with Last-Event-ID or send the request again", lastErr)
}

// attemptsFailed returns the refusal of a request whose attempts failed. Its outcome is NotRun only if no attempt may have run.
func (s *session) attemptsFailed(remedy string, cause error) *outcome.Refusal {
	refuse := outcome.Refuse
	if s.mayHaveRun {
		refuse = outcome.RefuseUncertain
	}
	return refuse(outcome.UpstreamFailed, "%s", remedy).WithCause(cause)
}

// pinVersion restricts further attempts of a stream that has begun to the version that it began with.
func (s *session) pinVersion() {
	if s.core.Next() > 0 {
		version := s.core.Version()
		s.dispatchRequest.Pinned = &version
	}
}

func sleep(ctx context.Context, delay time.Duration) {
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// notAdmitted returns the error of a request for which no further attempt was admitted; after a failed attempt it may have run.
func (s *session) notAdmitted(err, lastErr error) error {
	if lastErr == nil {
		return err
	}
	return s.attemptsFailed("the upstream failed and no other could continue; resume with Last-Event-ID or send the request again", fmt.Errorf("%w; then %w", lastErr, err))
}

// attempt relays the answer of one upstream. If it fails, it returns the delay before the next attempt and whether one is allowed.
func (s *session) attempt(ctx context.Context, ticket *dispatch.Ticket) (time.Duration, bool, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	started := s.startHedged(ctx, ticket)
	s.mayHaveRun = s.mayHaveRun || !started.notRun
	if started.err != nil {
		return started.retryDelay, started.retryAllowed, started.err
	}
	defer started.source.Close()
	if !s.core.Resume(started.version) {
		started.waitForOthers(ctx)
		started.ticket.Cancel()
		return 0, true, fmt.Errorf("upstream %s: %w", started.ticket.Upstream.Name, errOtherVersion)
	}
	s.answerWriter.idPrefix = appendEventIDPrefix(s.answerWriter.idPrefix[:0], s.requestInfo.id, started.version, s.requestInfo.catalogue)
	s.gateway.progress.setUpstream(s.requestInfo.id, started.ticket.Upstream.Name, s.core.Next(), s.core.Counts().Resumes-1)
	started.ticket.FirstToken(started.source.Incarnation)
	begunAt := s.gateway.now()
	if err := s.relayEvents(started.source, started.first); err != nil {
		if ctx.Err() != nil || errors.Is(err, errCallerGone) {
			started.ticket.Cancel()
			return 0, false, err
		}
		started.waitForOthers(ctx)
		ended := hasEnded(err)
		if ended && s.gateway.now().Sub(begunAt) < beginTime {
			s.crashes++
		}
		retryDelay, retryAllowed := started.ticket.Fail(dispatch.Failure{Sent: true, Received: true, Ended: ended})
		return retryDelay, retryAllowed, err
	}
	started.ticket.Finish(started.source.Incarnation, s.record.Counts)
	return 0, false, nil
}

// relayEvents relays one upstream's events, beginning with the given first event.
func (s *session) relayEvents(source *upstream.Stream, event upstream.Event) error {
	for {
		switch event.Kind {
		case upstream.Usage:
			s.record.Counts = event.Counts
			s.answerWriter.writeUsage(event.Data)
		case upstream.Done:
			if !s.core.Ended() {
				return errors.New("the engine ended the stream without a finish reason")
			}
			return s.answerWriter.finish()
		case upstream.Failed:
			return fmt.Errorf("the engine sent an error event: %s", event.Data)
		case upstream.Token:
			if err := s.forwardToken(source, event); err != nil {
				return err
			}
		}
		var err error
		if event, err = source.Next(); err != nil {
			if s.core.Ended() {
				// The text is complete; only the token counts or the end mark are missing.
				return s.answerWriter.finish()
			}
			return err
		}
	}
}

// hasEnded reports whether an attempt failed because its connection ended, as when the engine crashes.
func hasEnded(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
}

func (s *session) forwardToken(source *upstream.Stream, event upstream.Event) error {
	verdict := s.core.Accept(stream.Event{Request: event.Request, Sequence: event.Sequence, Finish: event.Finish})
	switch verdict {
	case stream.Gap:
		return errGap
	case stream.Deliver:
	default:
		return nil
	}
	if s.record.TimeToFirstToken == 0 {
		s.record.TimeToFirstToken = s.gateway.now().Sub(s.requestInfo.arrived)
	}
	// The time that a slow caller takes to read must not count towards the engine's timeout between events.
	source.PauseTimeout()
	err := s.answerWriter.forwardToken(event)
	source.ResumeTimeout()
	return err
}

func versionOf(u catalogue.Upstream) stream.Version {
	return stream.Version{Model: u.Model, Adapter: u.Adapter, Weights: u.Weights, Software: u.Software}
}

// salt returns a cache salt that separates the engines' prefix caches by client account, model, adapter and weights. Each hashed field has a
// length prefix, so that different fields can't join to the same text.
func salt(account string, version stream.Version) string {
	hash := sha256.New()
	for _, field := range []string{account, version.Model, version.Adapter, version.Weights} {
		_, _ = fmt.Fprintf(hash, "%d:%s", len(field), field)
	}
	return hex.EncodeToString(hash.Sum(nil)[:16])
}
