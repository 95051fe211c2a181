package forward

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"slices"
	"strings"
	"syscall"
	"time"

	"github.com/apex/log"

	"github.com/chicoryrelay/chicoryrelay/relay/callers"
	"github.com/chicoryrelay/chicoryrelay/relay/connection"
	"github.com/chicoryrelay/chicoryrelay/relay/directory"
	"github.com/chicoryrelay/chicoryrelay/relay/outcome"
	"github.com/chicoryrelay/chicoryrelay/relay/pause"
	"github.com/chicoryrelay/chicoryrelay/relay/quarantine"
	"github.com/chicoryrelay/chicoryrelay/relay/route"
	"github.com/chicoryrelay/chicoryrelay/relay/routing"
)

// maxSends limits the sends of one request, whatever the retry budget allows; maxStreamSends limits those of a stream that has begun,
// which can be broken off again and again while new weights are rolled out.
const (
	maxSends       = 4
	maxStreamSends = 8
)

// errStalled is the cause of an attempt that was cancelled by its stall timer.
var errStalled = errors.New("the upstream sent no event before the stall timeout")

// errDeadlinePassed is the cause of the cancellation of a request whose deadline has passed.
var errDeadlinePassed = errors.New("the request's time is over")

// session serves one request.
type session struct {
	f                *Forwarder
	w                http.ResponseWriter
	r                *http.Request
	arrived          time.Time
	route            *route.Route
	metadata         RequestMetadata
	placementRequest *PlacementRequest
	// body is the request's body, which is released once no further send may need it.
	body         []byte
	bodyReleased bool
	target       string
	// ownScope is the scope of a request whose account was isolated when it arrived, else empty.
	ownScope string
	// sentTo are the addresses of the attempts so far.
	sentTo []netip.AddrPort
	// sends counts the attempts of which a byte may have been sent, runs the attempts that may have run.
	sends, runs int
	// ranAt are the upstreams at which the request may have run, as they were then, without those that have ended since.
	ranAt []*directory.Upstream
	// begun is set once the answer's header was sent to the caller.
	begun bool
	// owesEvent is set while the caller lacks an event of which a part has come: the stream can't be complete without it.
	owesEvent bool
	// lastEventID is the ID of the last event sent to the caller.
	lastEventID  string
	status       int
	timeToAnswer time.Duration
	// lastEventAt is the time at which the last event was sent, maxPause the longest time between two events.
	lastEventAt time.Time
	maxPause    time.Duration
	refusalKind outcome.Kind
	// inFlight is set from a send until the attempt is known not to have run.
	inFlight bool
	// reservation is nil for requests that no account's rate limits.
	reservation *Reservation
	// bodyBytes is the length of the caller's body, sentBytes that of the body of the last attempt.
	bodyBytes, sentBytes int
	// sentAt is when the last attempt was sent, framing how its answer's end is marked, empty before its header arrives.
	sentAt  time.Time
	framing connection.Framing
	// forwardedEvents counts the events sent to the caller.
	forwardedEvents int
	// watched is the last attempt as the function of WithWatch sees it, or nil.
	watched *watchedAttempt
	// mayNotResume is set for a stream that has begun at an unknown software version.
	mayNotResume bool
}

func (s *session) run() {
	defer s.finish()
	table := s.f.awaitTable(s.r.Context())
	if table == nil {
		s.refuse(outcome.Refuse(outcome.NoConfiguration, "this VM has just started and has no routes yet; retry after the time in Retry-After"), startRetryAfter)
		return
	}
	s.metadata = s.f.dialect.ReadRequest(s.r.Header)
	s.route = table.Route(s.r.Host, s.r.URL.EscapedPath())
	if s.route == nil {
		s.refuse(outcome.Refuse(outcome.NotFound, "no route matches the request's host and path; check the URL"), 0)
		return
	}
	account, ok := s.authenticate(table)
	if !ok {
		s.refuse(outcome.Refuse(outcome.Unauthorised, "the key is missing or matches no client account; send the key of a client account"), 0)
		return
	}
	timeout := s.route.Timeout
	if s.metadata.Timeout > 0 {
		timeout = min(timeout, s.metadata.Timeout)
	}
	ctx, cancel := context.WithDeadlineCause(s.r.Context(), s.arrived.Add(timeout), errDeadlinePassed)
	defer cancel()
	if err := s.readBody(table.State.Limits.Body, s.arrived.Add(timeout)); err != nil {
		s.refuse(err, err.RetryAfter)
		return
	}
	if end := s.f.endsAt.Load(); end != nil && s.arrived.Add(timeout).After(*end) {
		s.refuse(outcome.Refuse(outcome.ShuttingDown, "this VM shuts down before the request's time is over; send it again"), minRetryAfter)
		return
	}
	s.prepare(table, account, timeout)
	if !s.bindTakeUp(ctx, table) {
		return
	}
	if !s.reserve(ctx) {
		return
	}
	defer s.settleReservation()
	s.runAttempts(ctx)
}

func (s *session) authenticate(table *route.Table) (*route.Account, bool) {
	if !table.RequiresKey() {
		return nil, true
	}
	account := table.Account(s.metadata.Key)
	return account, account != nil || s.route.Public
}

func (s *session) readBody(limit int, deadline time.Time) *outcome.Refusal {
	if s.r.ContentLength == 0 {
		return nil
	}
	if limit <= 0 {
		limit = 4 << 20
	}
	body, err := callers.ReadBody(s.w, s.r, int64(limit), deadline)
	var tooLarge *http.MaxBytesError
	switch {
	case errors.Is(err, callers.ErrNoMemory):
		s.w.Header().Set("Connection", "close")
		return callers.Refusal()
	case errors.As(err, &tooLarge):
		return outcome.Refuse(outcome.TooLarge, "the request body is too large; send at most %d bytes", limit)
	case err != nil:
		return outcome.Refuse(outcome.Cancelled, "the request body ended early; send the request again").WithCause(err)
	}
	s.body, s.bodyBytes = body, len(body)
	return nil
}

// prepare sets the fields that the placement and the attempts need.
func (s *session) prepare(table *route.Table, account *route.Account, timeout time.Duration) {
	name := s.route.PickService(s.f.random())
	s.placementRequest = &PlacementRequest{
		ID: s.metadata.ID, Route: s.route, Service: table.Service(name), Metadata: &s.metadata, Account: account, Priority: s.route.Priority,
		Arrived: s.arrived, Deadline: s.arrived.Add(timeout),
	}
	if account != nil && account.Priority != nil {
		s.placementRequest.Priority = *account.Priority
	}
	if scope, isolated := table.Scope(account); isolated {
		s.ownScope = scope
	}
	for _, part := range s.metadata.Parts {
		s.placementRequest.PartHashes = append(s.placementRequest.PartHashes, routing.PartHash(part.ID))
	}
	s.target = callers.Target(s.r)
	s.lastEventID = s.metadata.LastEventID
	// The caller's own host may differ at each VM, by its port or case.
	s.placementRequest.Fingerprint = quarantine.Fingerprint(s.accountName(), s.r.Method, strings.ToLower(s.route.Host), s.target, s.body)
}

// accountName returns the name of the request's client account, or an empty string.
func (s *session) accountName() string {
	if s.placementRequest.Account == nil {
		return ""
	}
	return s.placementRequest.Account.Name
}

// scope returns the scope of the request's cached prompts under the present desired state, in which accounts may have become isolated
// since the request arrived. An account that was isolated then stays so for this request.
func (s *session) scope() string {
	if s.ownScope != "" {
		return s.ownScope
	}
	if !s.f.current() {
		return route.OwnScope(s.placementRequest.Account)
	}
	scope, _ := s.f.table().Scope(s.placementRequest.Account)
	return scope
}

// setScope updates the fields of the placement request that depend on the scope.
func (s *session) setScope() {
	if scope := s.scope(); s.placementRequest.Levels == nil || scope != s.placementRequest.Scope {
		s.placementRequest.Scope = scope
		s.placementRequest.Levels = prefixLevels(scope, s.metadata.Parts)
	}
}

// runAttempts sends the request until it is answered or no further attempt is allowed.
func (s *session) runAttempts(ctx context.Context) {
	var lastErr error
	for {
		if !s.mayRunAgain() {
			s.fail(ctx, lastErr)
			return
		}
		if s.sends > 0 && !s.watched.takePaid() && !s.f.budget.Withdraw(s.placementRequest.Service.Name) {
			s.f.log.WithFields(log.Fields{"request": s.metadata.ID, "service": s.placementRequest.Service.Name, "sends": s.sends}).Info("retry budget used up")
			s.fail(ctx, lastErr)
			return
		}
		s.placementRequest.Begun, s.placementRequest.LastEventAt = s.begun, s.lastEventAt
		s.placementRequest.Only = s.allowedUpstreams()
		s.setScope()
		p, err := s.place(ctx)
		if err != nil {
			s.placementFailed(ctx, err, lastErr)
			return
		}
		if !s.spend(p) {
			return
		}
		done, err := s.attempt(ctx, p)
		if done {
			return
		}
		lastErr = err
		s.placementRequest.FailedUpstreams = append(s.placementRequest.FailedUpstreams, p.Upstream.ID)
	}
}

// place chooses the upstream of an attempt; it gives up when the process is about to end.
func (s *session) place(ctx context.Context) (*Placement, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	defer context.AfterFunc(s.f.stopped, func() { cancel(errStopping) })()
	p, err := s.f.place(ctx, s.placementRequest)
	if err != nil && errors.Is(context.Cause(ctx), errStopping) {
		return nil, outcome.Refuse(outcome.ShuttingDown, "this VM shuts down; send the request again").WithCause(err)
	}
	return p, err
}

// mayRunAgain reports whether the request may be sent after its attempts so far. Without its body it may not.
func (s *session) mayRunAgain() bool { return !s.bodyReleased && s.maySend(s.begun) }

// maySend is mayRunAgain for an answer that has begun or not.
func (s *session) maySend(begun bool) bool {
	switch {
	case begun && s.mayNotResume:
		return false
	case begun && s.sends >= maxStreamSends || !begun && s.sends >= maxSends:
		return false
	case s.runs == 0:
		return true
	case !s.route.Repeatable():
		return false
	}
	// A stream may go on at the upstreams at which it has run already.
	return s.route.Kind == route.Stream || s.runs < s.attempts()
}

// mayRunAfter reports whether the request may be sent again after its present attempt has run, which begins the answer or not.
func (s *session) mayRunAfter(begun bool) bool {
	s.runs++
	defer func() { s.runs-- }()
	return s.maySend(begun)
}

// mayNeedBody reports whether the request may be sent again after its present attempt, whether that begins the answer or not.
func (s *session) mayNeedBody() bool {
	return s.mayRunAfter(s.begun) || s.route.Kind == route.Stream && s.mayRunAfter(true)
}

// releaseBody returns the memory of the request's body, after which the request is not sent again.
func (s *session) releaseBody(answer *connection.Response) {
	if s.body == nil {
		return
	}
	s.body, s.bodyReleased = nil, true
	ctx := s.r.Context()
	answer.AfterSent(func() { callers.ReleaseBody(ctx) })
}

// attempts returns the number of upstreams at which the request may run.
func (s *session) attempts() int { return max(1, s.route.Attempts) }

// allowedUpstreams returns the upstreams at which the request may run: those that it has run at if these are as many as its route
// allows, the one that failed last at the end, or nil for any. Upstreams that have ended since don't count.
func (s *session) allowedUpstreams() []string {
	s.ranAt = slices.DeleteFunc(s.ranAt, func(u *directory.Upstream) bool { return s.f.hasEnded(u) })
	if len(s.ranAt) < s.attempts() {
		return nil
	}
	names := make([]string, len(s.ranAt))
	for i, u := range s.ranAt {
		names[i] = u.ID
	}
	return names
}

// recordRun counts a run at an upstream, which makes no further upstream if the request has run there before.
func (s *session) recordRun(at *directory.Upstream) {
	s.runs++
	s.forgetRun(at)
	s.ranAt = append(s.ranAt, at)
}

// forgetRun no longer counts the runs at an upstream.
func (s *session) forgetRun(at *directory.Upstream) {
	s.ranAt = slices.DeleteFunc(s.ranAt, func(u *directory.Upstream) bool { return u.ID == at.ID })
}

// attempt sends the request once to the placement's upstream and forwards the answer. It returns false if another attempt may be
// made.
func (s *session) attempt(ctx context.Context, p *Placement) (done bool, err error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	header := s.f.dialect.endToEndHeader(s.r.Header)
	if s.sends == 0 {
		s.f.budget.Deposit(s.placementRequest.Service.Name)
	}
	if s.begun {
		s.logResumption(p)
	}
	s.sends++
	s.inFlight = true
	s.framing, s.sentAt, s.sentBytes = "", s.f.now(), len(s.body)
	id := s.metadata.ID
	timer := s.newStallTimer(cancel, p)
	defer timer.stop()
	ended := s.watch(cancel, p)
	defer ended(false)
	answer, err := s.f.pool.Do(ctx, p.Upstream.Address, &connection.Request{
		Upstream: p.Upstream.ID, Method: s.r.Method, Target: s.target, Host: s.r.Host, Header: header, Body: s.body,
		// An answer without an ID matches if it is declared not run or does not carry the mark of an upstream's own answer, and if no
		// other request can be meant.
		Matches: func(h http.Header, reused bool) bool {
			candidate := s.f.dialect.ReadAnswer(0, h)
			return candidate.ID == id || !reused && candidate.ID == "" && (candidate.NotRun || !candidate.FromUpstream)
		},
		// An answer to an earlier attempt, which has the same ID, can't come on a new connection.
		ForceNew:   slices.Contains(s.sentTo, p.Upstream.Address),
		BeforeSend: func(h http.Header) { s.writeMetadata(h, p) },
	})
	s.sentTo = append(s.sentTo, p.Upstream.Address)
	if err != nil {
		return s.attemptFailed(ctx, p, err, Failure{}), err
	}
	defer answer.Close()
	ended(true)
	s.framing = answer.Framing
	answerMetadata := s.f.dialect.ReadAnswer(answer.Status, answer.Header)
	answerMetadata.Status = answer.Status
	if answerMetadata.NotRun {
		s.inFlight = false
		s.logAttempt(p, "upstream did not run the request", answer.Status, nil)
		p.Fail(Failure{NotRun: true, Status: answer.Status, Metadata: answerMetadata})
		discardAnswer(answer)
		return false, errNotRun
	}
	if !answerMetadata.FromUpstream {
		answer.Close()
		return s.attemptFailed(ctx, p, errUnmarked, Failure{}), errUnmarked
	}
	if s.begun && answer.Status >= http.StatusMultipleChoices {
		// The caller has a part of the stream, in the middle of which no other answer may stand.
		s.recordRun(p.Upstream)
		s.logAttempt(p, "upstream did not resume the stream", answer.Status, nil)
		p.Fail(Failure{Sent: true, Received: true, Status: answer.Status, Metadata: answerMetadata})
		discardAnswer(answer)
		return false, fmt.Errorf("the upstream answered the resumption of a stream with status %d", answer.Status)
	}
	if !s.mayNeedBody() {
		s.releaseBody(answer)
	}
	if s.route.Kind == route.Stream && answer.Status < http.StatusMultipleChoices {
		return s.forwardStream(ctx, p, answer, answerMetadata, timer)
	}
	return s.forwardBuffered(ctx, p, answer, answerMetadata, timer)
}

// writeMetadata adds the fields for the upstream of a placement to the header of an attempt. The scope and the time that is left may have
// changed while the request was queued or its connection was made.
func (s *session) writeMetadata(header http.Header, p *Placement) {
	salt := ""
	if p.Salt != nil {
		salt = p.Salt(s.scope())
	}
	s.f.dialect.WriteRequest(header, UpstreamMetadata{
		Request: &s.metadata, Account: s.accountName(), Upstream: p.Upstream.ID, Remaining: time.Until(s.placementRequest.Deadline), Salt: salt, Weights: p.Weights,
		Priority: p.Priority, FetchFrom: p.FetchFrom, SaveTo: p.SaveTo, LastEventID: s.lastEventID,
	})
}

// errNotRun is the cause of an attempt that the upstream declared not run.
var errNotRun = errors.New("the upstream did not run the request")

// errUnmarked means that a final answer lacks the mark of an upstream's own: whoever sent it says nothing of whether the request has run.
var errUnmarked = errors.New("the answer is not marked as one of an upstream")

// attemptFailed ends an attempt whose connection failed or that was cancelled. It returns false if another attempt may be made.
func (s *session) attemptFailed(ctx context.Context, p *Placement, err error, f Failure) bool {
	var notSent *connection.NotSentError
	var paused *pause.Error
	cause := context.Cause(ctx)
	switch {
	case errors.As(err, &notSent):
		s.sends--
		s.inFlight = false
		if f.NotRun = errors.As(err, &paused); !f.NotRun {
			s.placementRequest.UnreachableUpstreams = append(s.placementRequest.UnreachableUpstreams, p.Upstream.ID)
		}
		if errors.Is(err, syscall.ECONNREFUSED) {
			s.forgetRun(p.Upstream)
		}
	default:
		f.Sent = true
		s.recordRun(p.Upstream)
	}
	if cause != nil && !errors.Is(cause, errStalled) {
		p.Cancel()
		s.logAttempt(p, "attempt given up", 0, cause)
		s.endCancelled(ctx, cause)
		return true
	}
	s.logAttempt(p, "attempt broke", 0, err)
	f.Ended, f.Running = cause == nil && hasEnded(err), s.f.now().Sub(s.sentAt)
	p.Fail(f)
	return false
}

// hasEnded reports whether an attempt failed because its connection ended, as when the upstream crashes.
func hasEnded(err error) bool {
	return errors.Is(err, connection.ErrClosed) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE) ||
		errors.Is(err, errTornEvent) || errors.Is(err, errNoEvent)
}

func (s *session) logAttempt(p *Placement, event string, status int, err error) {
	entry := s.f.log.WithFields(log.Fields{
		"request": s.metadata.ID, "upstream": p.Upstream.ID, "service": p.Upstream.Service, "send": s.sends, "runs": s.runs, "status": status,
		"age": s.f.now().Sub(s.arrived), "weights": p.Weights, "software": p.Upstream.Software, "body": s.bodyBytes, "sent": s.sentBytes,
		"print": fmt.Sprintf("%016x", s.placementRequest.Fingerprint), "attempt": s.f.now().Sub(s.sentAt),
	})
	if s.metadata.Model != "" {
		entry = entry.WithFields(log.Fields{"parts": partIDs(s.metadata.Parts), "prompt": s.metadata.PromptTokens, "framing": s.framing})
	}
	if err != nil {
		entry = entry.WithField("cause", err.Error())
	}
	entry.Info(event)
}

// partIDs returns the IDs of the parts of a prompt, separated by commas.
func partIDs(parts []Part) string {
	ids := make([]string, len(parts))
	for i, part := range parts {
		ids[i] = part.ID
	}
	return strings.Join(ids, ",")
}
