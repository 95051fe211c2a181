package gateway

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"time"

	"github.com/apex/log"

	"github.com/chicoryrelay/chicoryrelay/relay/catalogue"
	"github.com/chicoryrelay/chicoryrelay/relay/dispatch"
	"github.com/chicoryrelay/chicoryrelay/relay/outcome"
	"github.com/chicoryrelay/chicoryrelay/relay/prompt"
	"github.com/chicoryrelay/chicoryrelay/relay/stream"
	"github.com/chicoryrelay/chicoryrelay/relay/upstream"
)

// maxAttempts bounds how often one request is begun or resumed; the routing core's retry budget usually ends it earlier.
const maxAttempts = 6

// session relays one text request from its first attempt to its end.
type session struct {
	gateway   *Gateway
	visit     visit
	path      string
	body      []byte
	parsed    prompt.Request
	assistant catalogue.Assistant
	core      *stream.Core
	want      dispatch.Request
	sink      *sink
	measure   Measure
	// mayHaveRun says that an attempt got further than a refusal by the engine.
	mayHaveRun bool
}

// errGap reports that an engine left events out.
var errGap = errors.New("the engine left events out")

// errCaller reports that the caller went away or reads too slowly.
var errCaller = errors.New("the caller's connection ended")

func (s *session) run(ctx context.Context) {
	s.gateway.progress.begin(Progress{Request: s.visit.id, Account: s.visit.account.Name, Assistant: s.assistant.Name}, s.visit.arrived)
	defer s.gateway.progress.end(s.visit.id)
	err := s.relay(ctx)
	s.measure.Stream = s.core.Counts()
	s.measure.Deadline, s.measure.Expected = s.want.Deadline, s.want.AnswerTokens
	if err == nil {
		s.gateway.finish(s.visit, s.measure)
		return
	}
	refusal := asRefusal(err)
	s.measure.Refusal = refusal
	s.sink.fail(refusal)
	s.gateway.finish(s.visit, s.measure)
}

// relay makes attempts until the answer is whole or no attempt is left.
func (s *session) relay(ctx context.Context) error {
	var last error
	for range maxAttempts {
		asked := s.gateway.now()
		ticket, err := s.gateway.acquire(ctx, s.want)
		s.measure.Queued += s.gateway.now().Sub(asked)
		if err != nil {
			return s.exhausted(err, last)
		}
		before := s.core.Next()
		wait, again, err := s.attempt(ctx, ticket)
		if err == nil {
			return nil
		}
		if errors.Is(err, errCaller) || ctx.Err() != nil {
			return outcome.RefuseUncertain(outcome.Cancelled, "the caller went away").WithCause(err)
		}
		s.gateway.log.WithFields(log.Fields{
			"request": s.visit.id, "upstream": ticket.Upstream.Name, "delivered": s.core.Next(), "cause": err.Error(),
		}).Info("attempt failed")
		last = err
		s.pin()
		s.want.FailedUpstreams = append(s.want.FailedUpstreams, ticket.Upstream.Name)
		// A stream that has begun is resumed outside the retry budget: the caller can't be given another answer.
		if !again && s.core.Next() == 0 {
			break
		}
		if s.core.Next() == before {
			pause(ctx, wait)
		}
	}
	return s.broken("no upstream finished the answer; resume with Last-Event-ID or send it again", last)
}

// broken refuses a request whose attempts failed; it was not run only if every engine refused it outright.
func (s *session) broken(remedy string, cause error) *outcome.Refusal {
	refuse := outcome.Refuse
	if s.mayHaveRun {
		refuse = outcome.RefuseUncertain
	}
	return refuse(outcome.UpstreamFailed, "%s", remedy).WithCause(cause)
}

// pin binds the rest of a begun stream to the version that it began with.
func (s *session) pin() {
	if s.core.Next() > 0 {
		version := s.core.Version()
		s.want.Pinned = &version
	}
}

func pause(ctx context.Context, wait time.Duration) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// exhausted reports a refusal to make a further attempt; after a failed attempt the work may have run.
func (s *session) exhausted(err, last error) error {
	if last == nil {
		return err
	}
	return s.broken("the upstream broke and no other one could go on; resume with Last-Event-ID or send it again", fmt.Errorf("%w; then %w", last, err))
}

// attempt relays from one upstream; without an error the answer is whole, else it returns whether and when to try again.
func (s *session) attempt(ctx context.Context, ticket *dispatch.Ticket) (time.Duration, bool, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	won := s.race(ctx, ticket)
	s.mayHaveRun = s.mayHaveRun || !won.notRun
	if won.err != nil {
		return won.wait, won.again, won.err
	}
	defer won.source.Close()
	version := versionOf(won.ticket.Upstream)
	if !s.core.Resume(version) {
		won.ticket.Cancel()
		return 0, true, fmt.Errorf("upstream %s serves %v, not the version that the stream began with", won.ticket.Upstream.Name, version)
	}
	s.sink.weights = version.Weights
	s.gateway.progress.move(s.visit.id, won.ticket.Upstream.Name, s.core.Next(), s.core.Counts().Resumes-1)
	won.ticket.FirstToken(won.source.Incarnation)
	if err := s.pump(won.source, won.first); err != nil {
		if ctx.Err() != nil || errors.Is(err, errCaller) {
			won.ticket.Cancel()
			return 0, false, err
		}
		wait, again := won.ticket.Fail(dispatch.Failure{Sent: true, Received: true})
		return wait, again, err
	}
	won.ticket.Finish(won.source.Incarnation, s.measure.Counts)
	return 0, false, nil
}

// pump delivers one upstream's events, beginning with the one that was read while it raced.
func (s *session) pump(source *upstream.Stream, event upstream.Event) error {
	for {
		switch event.Kind {
		case upstream.Usage:
			s.measure.Counts = event.Counts
			s.sink.usage(event.Data)
		case upstream.Done:
			if !s.core.Ended() {
				return errors.New("the engine ended without a finish reason")
			}
			return s.sink.done()
		case upstream.Failed:
			return fmt.Errorf("the engine reported: %s", event.Data)
		case upstream.Token:
			if err := s.token(source, event); err != nil {
				return err
			}
		}
		var err error
		if event, err = source.Next(); err != nil {
			if s.core.Ended() {
				// The text is whole; only the token counts or the end mark are missing.
				return s.sink.done()
			}
			return err
		}
	}
}

func (s *session) token(source *upstream.Stream, event upstream.Event) error {
	verdict := s.core.Accept(stream.Event{Request: event.Request, Sequence: event.Sequence, Finish: event.Finish})
	switch verdict {
	case stream.Gap:
		return errGap
	case stream.Deliver:
	default:
		return nil
	}
	if s.measure.First == 0 {
		s.measure.First = s.gateway.now().Sub(s.visit.arrived)
	}
	// A caller that reads slowly must not make the engine look silent.
	source.Pause()
	err := s.sink.token(event)
	source.Continue()
	return err
}

func versionOf(u catalogue.Upstream) stream.Version {
	return stream.Version{Model: u.Model, Adapter: u.Adapter, Weights: u.Weights}
}

// salt keeps the engines' prefix caches apart by account and version; the length prefixes keep the fields apart.
func salt(account string, version stream.Version) string {
	hash := sha256.New()
	for _, field := range []string{account, version.Model, version.Adapter, version.Weights} {
		_, _ = fmt.Fprintf(hash, "%d:%s", len(field), field)
	}
	return hex.EncodeToString(hash.Sum(nil)[:16])
}
