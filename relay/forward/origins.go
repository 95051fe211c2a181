package forward

import (
	"context"
	"errors"
	"time"

	"github.com/apex/log"

	"github.com/chicoryrelay/chicoryrelay/relay/directory"
	"github.com/chicoryrelay/chicoryrelay/relay/origin"
	"github.com/chicoryrelay/chicoryrelay/relay/outcome"
	"github.com/chicoryrelay/chicoryrelay/relay/route"
)

const (
	// originSlack is how much longer than its caller waits a stream's origin is kept: callers take streams up by their own clocks.
	originSlack = 5 * time.Second
	// maxOriginTime limits how long an origin is kept, whatever time limit the caller names.
	maxOriginTime = 10 * time.Minute
)

// RecordOriginFunc records where the stream of a client account's attempt began, before its first event is sent to the caller, who may
// take the stream up until a time. It is called again when the stream goes on.
type RecordOriginFunc func(account, attempt string, at origin.Origin, until time.Time)

// FindOriginFunc returns where a stream began that the caller takes up; an error that is an *outcome.Refusal is the request's answer.
type FindOriginFunc func(context.Context, *PlacementRequest) (origin.Origin, error)

// WithOrigins sets the functions that record and find where streams began. Without them, streams that callers take up may go on at any
// software version.
func WithOrigins(record RecordOriginFunc, find FindOriginFunc) Option {
	return func(f *Forwarder) { f.recordOrigin, f.findOrigin = record, find }
}

// takesUp reports whether the request takes up a stream of which its caller has events already.
func (s *session) takesUp() bool { return s.route.Kind == route.Stream && s.metadata.LastEventID != "" }

// bindTakeUp binds a request that takes up a stream to the software version that began it, and reports whether it may be placed; it
// answers one that may not.
func (s *session) bindTakeUp(ctx context.Context, table *route.Table) bool {
	if s.f.findOrigin == nil || !s.takesUp() {
		return true
	}
	began, err := s.f.findOrigin(ctx, s.placementRequest)
	if err != nil {
		s.unresumable(ctx, err)
		return false
	}
	if service := s.placementRequest.Service; service == nil || service.Name != began.Service {
		// The route shares its requests among services, or has moved to another one.
		if !s.route.Allows(began.Service) || table.Service(began.Service) == nil {
			s.unresumable(ctx, outcome.Refuse(outcome.OriginUnknown, "the route no longer leads to the service that began the stream; send the request again without its last event"))
			return false
		}
		s.placementRequest.Service = table.Service(began.Service)
	}
	s.placementRequest.Software = &began.Software
	return true
}

// unresumable refuses a request that takes up a stream which can't go on.
func (s *session) unresumable(ctx context.Context, err error) {
	if cause := context.Cause(ctx); cause != nil {
		s.endCancelled(ctx, cause)
		return
	}
	var refusal *outcome.Refusal
	if !errors.As(err, &refusal) {
		refusal = outcome.Refuse(outcome.OriginUnknown, "the software version that began the stream is not known; send the request again without its last event").WithCause(err)
	}
	s.refuse(refusal, refusal.RetryAfter)
}

// beginStream binds the rest of a stream to the software version of the upstream that sends its first event, and records it.
func (s *session) beginStream(p *Placement) {
	if s.softwareChanged(p.Upstream) {
		// Which of its versions has answered can't be told.
		s.mayNotResume = true
		return
	}
	software := p.Upstream.Software
	s.placementRequest.Software = &software
	attempt := s.metadata.ID
	if s.takesUp() {
		attempt = s.metadata.Resumes
	}
	if s.f.recordOrigin == nil || attempt == "" {
		return
	}
	longest := min(max(s.route.Timeout, s.metadata.Timeout), maxOriginTime)
	s.f.recordOrigin(s.accountName(), attempt, origin.Origin{Service: s.placementRequest.Service.Name, Software: software}, s.arrived.Add(longest+originSlack))
}

// softwareChanged reports whether an upstream is listed with another software version than when the request was placed there.
func (s *session) softwareChanged(u *directory.Upstream) bool {
	if s.f.find == nil {
		return false
	}
	now := s.f.find(u.ID)
	return now != nil && now.Software != u.Software
}

// errSoftwareChanged ends the attempt to go on with a stream at an upstream that may have sent its events at another software version.
var errSoftwareChanged = errors.New("the upstream is listed with another software version than when the request was placed there")

// software returns the software version that the request is bound to, for the log.
func (s *session) software() string {
	if s.placementRequest == nil || s.placementRequest.Software == nil {
		return ""
	}
	return *s.placementRequest.Software
}

// logResumption logs that a stream goes on at another upstream within its answer.
func (s *session) logResumption(p *Placement) {
	s.f.log.WithFields(log.Fields{"request": s.metadata.ID, "upstream": p.Upstream.ID, "software": p.Upstream.Software, "last": s.lastEventID, "events": s.forwardedEvents}).Info("stream resumed")
}
