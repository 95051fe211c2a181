package gateway

import (
	"context"
	"errors"
	"time"

	"github.com/chicoryrelay/chicoryrelay/relay/dispatch"
	"github.com/chicoryrelay/chicoryrelay/relay/stream"
	"github.com/chicoryrelay/chicoryrelay/relay/upstream"
)

// startResult is the result of one attempt up to its first event.
type startResult struct {
	ticket *dispatch.Ticket
	source *upstream.Stream
	first  upstream.Event
	// version is what the engine serves, by its own word on its software if it tells a version.
	version      stream.Version
	err          error
	retryDelay   time.Duration
	retryAllowed bool
	// othersEnded is closed once the ticket of the other attempt has ended; nil if there was none to cancel.
	othersEnded <-chan struct{}
	// notRun reports that the engine ran no part of the request.
	notRun bool
}

// startHedged starts an attempt and, if its first event takes longer than the hedge delay, a second one in parallel. It returns the
// attempt that sends an event first and cancels the other; if all fail, it returns the last failure, with notRun set only if none
// may have run.
func (s *session) startHedged(ctx context.Context, ticket *dispatch.Ticket) startResult {
	// An attempt that lost may still start while the events of the other one are relayed.
	from, bound := s.core.Next(), s.core.Version()
	if ticket.HedgeDelay == 0 {
		return s.reportFailure(ctx, s.startAttempt(ctx, ticket, from, bound))
	}
	results := make(chan startResult, 2)
	cancels := map[*dispatch.Ticket]context.CancelFunc{}
	launch := func(t *dispatch.Ticket) {
		attempt, cancel := context.WithCancel(ctx)
		cancels[t] = cancel
		go func() { results <- s.startAttempt(attempt, t, from, bound) }()
	}
	launch(ticket)
	timer := time.NewTimer(ticket.HedgeDelay)
	defer timer.Stop()
	notRun := true
	for {
		select {
		case r := <-results:
			won := r.err == nil
			if !won {
				cancels[r.ticket]()
				r = s.reportFailure(ctx, r)
				notRun = notRun && r.notRun
				r.notRun = notRun
			}
			delete(cancels, r.ticket)
			if won && len(cancels) > 0 {
				r.othersEnded = cancelAttempts(results, cancels)
			}
			if won || len(cancels) == 0 {
				return r
			}
		case <-timer.C:
			if second, ok := ticket.StartHedge(); ok {
				launch(second)
			}
		}
	}
}

// cancelAttempts cancels the attempts still running and returns a channel that is closed once their tickets have ended. The context of the
// chosen attempt ends with its parent.
func cancelAttempts(results chan startResult, cancels map[*dispatch.Ticket]context.CancelFunc) <-chan struct{} {
	ended := make(chan struct{})
	for _, cancel := range cancels {
		cancel()
	}
	go func() {
		defer close(ended)
		for range cancels {
			r := <-results
			if r.source != nil {
				r.source.Close()
			}
			r.ticket.Cancel()
		}
	}()
	return ended
}

// waitForOthers waits until the cancelled attempts of a request have ended. Until then the request is in progress, and no further attempt
// would be admitted.
func (r *startResult) waitForOthers(ctx context.Context) {
	if r.othersEnded == nil {
		return
	}
	select {
	case <-r.othersEnded:
	case <-ctx.Done():
	}
}

// startAttempt sends the request for the events with the number from and later, and reads the first one. If there are earlier events, it
// fails at an engine that serves another version than the one to which they bind the stream.
func (s *session) startAttempt(ctx context.Context, ticket *dispatch.Ticket, from uint64, bound stream.Version) startResult {
	r := startResult{ticket: ticket, version: versionOf(ticket.Upstream)}
	s.importKVCache(ctx, ticket, r.version)
	call := upstream.Call{
		Upstream: ticket.Upstream, Path: s.path, Body: s.body, Request: s.requestInfo.id, From: from,
		Salt: salt(s.requestInfo.account.Name, r.version), Priority: ticket.Priority,
	}
	if from > 0 {
		call.Software = bound.Software
	}
	if r.source, r.err = s.gateway.client.Open(ctx, call); r.err != nil {
		return r
	}
	if r.source.Software != "" {
		r.version.Software = r.source.Software
	}
	if from > 0 && r.version != bound {
		r.source.Close()
		r.err = errOtherVersion
		return r
	}
	if r.first, r.err = r.source.Next(); r.err != nil {
		r.source.Close()
	}
	return r
}

// importKVCache imports the prefix's KV cache from another engine if the ticket names one. If it fails, the engine computes the
// prefix.
func (s *session) importKVCache(ctx context.Context, ticket *dispatch.Ticket, version stream.Version) {
	if ticket.Import == nil {
		return
	}
	err := s.gateway.client.Transfer(ctx, ticket.Import.From, ticket.Upstream, ticket.Import.Incarnation, salt(s.requestInfo.account.Name, version), s.body)
	if err != nil && ctx.Err() == nil {
		s.gateway.log.WithField("request", s.requestInfo.id).WithField("cause", err.Error()).Info("KV cache not transferred")
	}
}

// reportFailure reports a failed or cancelled attempt to its ticket.
func (s *session) reportFailure(ctx context.Context, r startResult) startResult {
	if r.err == nil {
		return r
	}
	if ctx.Err() != nil {
		r.ticket.Cancel()
		return r
	}
	if errors.Is(r.err, errOtherVersion) {
		// It says nothing about the engine's health, and another one may be asked at once.
		r.ticket.Cancel()
		r.retryAllowed = true
		return r
	}
	var refused *upstream.RefusedError
	refusal := errors.As(r.err, &refused)
	r.notRun = refusal && refused.NotRun || errors.Is(r.err, upstream.ErrNotSent)
	ended := hasEnded(r.err)
	if ended {
		s.crashes++
	}
	r.retryDelay, r.retryAllowed = r.ticket.Fail(dispatch.Failure{Sent: true, Leaving: refusal && refused.Leaving, NotRun: r.notRun, Ended: ended, Pause: max(0, time.Until(s.gateway.client.PausedUntil(r.ticket.Upstream.Address)))})
	return r
}
