package gateway

import (
	"context"
	"encoding/json"
	"errors"
	"strings"
	"sync"
	"time"

	"github.com/apex/log"

	"github.com/chicoryrelay/chicoryrelay/coord/ledger"
	"github.com/chicoryrelay/chicoryrelay/coord/registry"
	"github.com/chicoryrelay/chicoryrelay/relay/booking"
	"github.com/chicoryrelay/chicoryrelay/relay/catalogue"
	"github.com/chicoryrelay/chicoryrelay/relay/outcome"
	"github.com/chicoryrelay/chicoryrelay/relay/upstream"
)

const (
	// tickInterval is the interval at which calls in progress check their timeouts.
	tickInterval = 50 * time.Millisecond
	// outdatedRetryDelay is the delay before a claim that named an outdated configuration version is retried.
	outdatedRetryDelay = 20 * time.Millisecond
	// resendDisabled is longer than calls take, so that the core resends no commands; the control plane resends them already.
	resendDisabled = time.Hour
)

// OutdatedPrefix is the prefix of the ledger's reason for the denial of a claim that names an outdated configuration version.
const OutdatedPrefix = "the claim was made under configuration version"

// Booker runs non-idempotent calls at most once. Each attempt has a goroutine that runs its state machine until the ledger has
// recorded the result.
type Booker struct {
	submit         func(context.Context, []byte) (ledger.Reply, error)
	configuration  func() Configuration
	now            func() time.Duration
	owner          func() ledger.Owner
	leaseValid     func(now time.Duration) bool
	registryTime   func(now time.Duration) (time.Time, uint64)
	newAttempt     func() ledger.Attempt
	client         *upstream.Client
	crashes        CrashGuard
	claimTimeout   time.Duration
	maxGrantAge    time.Duration
	maxAnswerBytes int64
	log            log.Interface
	calls          sync.WaitGroup
	closing        chan struct{}
}

// BookerOption configures a Booker.
type BookerOption func(*Booker)

// WithSubmit sets the function that submits a command to the replicated log and returns the ledger's reply.
func WithSubmit(submit func(context.Context, []byte) (ledger.Reply, error)) BookerOption {
	return func(b *Booker) { b.submit = submit }
}

// WithLease sets the monotonic clock, the VM and incarnation that own claims, and the check of the VM's lease.
func WithLease(now func() time.Duration, owner func() ledger.Owner, leaseValid func(time.Duration) bool) BookerOption {
	return func(b *Booker) { b.now, b.owner, b.leaseValid = now, owner, leaseValid }
}

// WithRegistry sets the source of the registry's time, as estimated by the VM, and of the number of applied ledger commands.
func WithRegistry(registryTime func(now time.Duration) (time.Time, uint64)) BookerOption {
	return func(b *Booker) { b.registryTime = registryTime }
}

// WithTimeouts sets the timeout of a claim and the age at which a grant no longer permits a dispatch.
func WithTimeouts(claimTimeout, maxGrantAge time.Duration) BookerOption {
	return func(b *Booker) { b.claimTimeout, b.maxGrantAge = claimTimeout, maxGrantAge }
}

// WithServices sets the client of plain services, the source of the configuration and the maximum size of an answer in bytes.
func WithServices(client *upstream.Client, configuration func() Configuration, maxAnswerBytes int64) BookerOption {
	return func(b *Booker) { b.client, b.configuration, b.maxAnswerBytes = client, configuration, maxAnswerBytes }
}

// WithBookerCrashGuard sets the guard of the calls; by default every call is admitted.
func WithBookerCrashGuard(guard CrashGuard) BookerOption {
	return func(b *Booker) { b.crashes = guard }
}

// WithAttemptIDs sets the source of attempt IDs, which must be unique.
func WithAttemptIDs(next func() ledger.Attempt) BookerOption {
	return func(b *Booker) { b.newAttempt = next }
}

// WithBookerLog sets the log.
func WithBookerLog(logger log.Interface) BookerOption {
	return func(b *Booker) { b.log = logger }
}

// NewBooker returns a booker; all options but WithBookerLog must be given.
func NewBooker(options ...BookerOption) *Booker {
	b := &Booker{log: log.Log, crashes: newCrashGuard(), closing: make(chan struct{})}
	for _, option := range options {
		option(b)
	}
	return b
}

// Close waits until every call has ended and the ledger has recorded its result. Without a control quorum a call waits for its
// record no longer than the maximum age of a grant; the control VMs then end its claim as may have run. Close may be called once,
// after the last call of Book.
func (b *Booker) Close() {
	close(b.closing)
	b.calls.Wait()
}

// Book runs a call at most once and returns its answer, or an *outcome.Refusal that states whether it ran.
func (b *Booker) Book(ctx context.Context, call Booking) (Answer, error) {
	started := b.now()
	registryTime, knownSequence := b.registryTime(started)
	if !registryTime.IsZero() {
		registryTime = registryTime.Add(b.claimTimeout)
	}
	for {
		answer, err := b.attempt(ctx, call, registryTime, knownSequence)
		var refusal *outcome.Refusal
		outdated := errors.As(err, &refusal) && strings.HasPrefix(refusal.Remedy, OutdatedPrefix)
		if !outdated || b.now() >= started+b.claimTimeout {
			return answer, err
		}
		// The leader sends the newer configuration within milliseconds, and a claim that names it is not denied as outdated.
		sleep(ctx, outdatedRetryDelay)
	}
}

// execution is one attempt to run a call.
type execution struct {
	booker   *Booker
	call     Booking
	core     *booking.Core
	replicas []catalogue.Upstream
	events   chan booking.Event
	answers  chan booking.Effect
	// fingerprint identifies a call that comes again.
	fingerprint uint64
	// mu guards connection, the replica that it leads to and ended, since a dial may complete after the call has ended.
	mu         sync.Mutex
	connection *upstream.Connection
	replica    string
	ended      bool
	cancel     context.CancelFunc
	// recording is set once only the ledger's record of the result is outstanding.
	recording bool
}

func (b *Booker) attempt(ctx context.Context, call Booking, deadline time.Time, knownSequence uint64) (Answer, error) {
	configuration := b.configuration()
	replicas := accepting(b.client, Replicas(configuration.Catalogue, call.Service, call.Regions, call.Key))
	e := &execution{
		booker: b, call: call, replicas: replicas, fingerprint: fingerprint(call.Account, call.Service, call.Call),
		events: make(chan booking.Event, 8), answers: make(chan booking.Effect, 1), cancel: func() {},
	}
	e.core = booking.New(
		booking.Call{
			Claim: ledger.Claim{
				Key:    ledger.Key{Account: call.Account, Path: call.Service, Key: call.Key},
				Digest: call.Digest, Attempt: b.newAttempt(), Owner: b.owner(), Configuration: configuration.Catalogue.Version,
				Deadline: deadline, KnownSequence: knownSequence, Resent: call.KeyGiven,
			},
			Replicas: len(replicas),
		},
		booking.WithLeaseCheck(b.leaseValid), booking.WithMaxClaimAge(b.maxGrantAge), booking.WithClaimTimeout(b.claimTimeout), booking.WithRetryInterval(resendDisabled),
	)
	b.calls.Go(func() { e.run(ctx) })
	effect := <-e.answers
	if effect.Refusal != nil {
		return Answer{}, effect.Refusal
	}
	var answer Answer
	if err := json.Unmarshal(effect.Answer, &answer); err != nil {
		return Answer{}, err
	}
	if outcome.PromisesNotRun(answer.Status) {
		// Earlier releases recorded such answers.
		return Answer{}, failedByService(answer.Status)
	}
	answer.Replayed = effect.Replayed
	return answer, nil
}

// failedByService returns the refusal of a call that its service answered with a status which promises that it has not run. A service can't
// declare a call not run, so that it may have.
func failedByService(status int) *outcome.Refusal {
	return outcome.RefuseUncertain(outcome.UpstreamFailed, "the service failed the call with status %d: ask it whether the call ran before you send it with a new key", status)
}

func (e *execution) run(ctx context.Context) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	defer e.cleanUp()
	callerDone, closing := ctx.Done(), e.booker.closing
	var recordTimeout <-chan time.Time
	e.step(booking.Event{Kind: booking.Start})
	for !e.core.Done() {
		if closing == nil && recordTimeout == nil && e.recording {
			recordTimeout = time.After(e.booker.maxGrantAge)
		}
		select {
		case <-closing:
			closing = nil
			continue
		case <-recordTimeout:
			e.booker.log.WithField("key", e.call.Key).Warn("shutdown without a record of a call: the control quorum does not answer")
			return
		case event := <-e.events:
			e.step(event)
		case <-ticker.C:
			e.step(booking.Event{Kind: booking.Tick})
		case <-callerDone:
			callerDone = nil
			e.step(booking.Event{Kind: booking.Cancelled})
		}
	}
}

// cleanUp releases the attempt's resources. If no answer was given, it answers, so that the handler of a disconnected caller
// returns.
func (e *execution) cleanUp() {
	e.cancel()
	e.mu.Lock()
	e.ended = true
	if e.connection != nil {
		e.connection.Close()
	}
	e.mu.Unlock()
	e.answer(booking.Effect{Kind: booking.AnswerCaller, Refusal: outcome.RefuseUncertain(outcome.Cancelled, "the caller disconnected before the call ended; send it again with the same Idempotency-Key to get its result")})
}

func (e *execution) step(event booking.Event) {
	for _, effect := range e.core.Step(e.booker.now(), event) {
		switch effect.Kind {
		case booking.SendClaim, booking.SendComplete, booking.SendRelease:
			e.sendCommand(effect)
		case booking.Dial:
			e.dial(e.replicas[effect.Replica])
		case booking.Dispatch:
			e.dispatch()
		case booking.AnswerCaller:
			e.answer(effect)
		}
	}
}

func (e *execution) answer(effect booking.Effect) {
	select {
	case e.answers <- effect:
	default:
	}
}

// sendCommand submits a command and cancels the previous one, whose reply is no longer needed.
func (e *execution) sendCommand(effect booking.Effect) {
	e.recording = effect.Kind != booking.SendClaim
	e.cancel()
	ctx, cancel := context.WithCancel(context.Background())
	e.cancel = cancel
	go func() {
		reply, err := e.booker.submit(ctx, registry.LedgerEntry(time.Time{}, effect.Command))
		if err != nil {
			return
		}
		event := booking.Event{Kind: booking.ResultRecorded, Reply: reply}
		if effect.Kind == booking.SendClaim {
			event = booking.ClaimReplied(reply)
		}
		e.events <- event
	}()
}

// dial connects to a replica unless it is leaving or no longer active in the newest installed configuration.
func (e *execution) dial(replica catalogue.Upstream) {
	active := false
	for _, u := range e.booker.configuration().Catalogue.Service(e.call.Service) {
		active = active || u.Name == replica.Name && u.Address == replica.Address && !e.booker.client.Leaving(u.Address)
	}
	if !active {
		e.events <- booking.Event{Kind: booking.DialFailed, Err: errors.New("the replica is leaving or no longer active in the configuration")}
		return
	}
	go func() {
		// The claim came first: only the ledger knows whether an earlier call with this key has run.
		if refusal := e.booker.crashes.Admit(context.Background(), e.fingerprint); refusal != nil {
			e.events <- booking.Event{Kind: booking.DialFailed, Err: refusal}
			return
		}
		connection, err := e.booker.client.Dial(context.Background(), replica.Address)
		if err != nil {
			e.booker.crashes.Unsent(e.fingerprint)
			e.events <- booking.Event{Kind: booking.DialFailed, Err: err}
			return
		}
		e.mu.Lock()
		defer e.mu.Unlock()
		if e.ended {
			connection.Close()
			e.booker.crashes.Unsent(e.fingerprint)
			return
		}
		e.connection, e.replica = connection, replica.Name
		e.events <- booking.Event{Kind: booking.Dialled}
	}()
}

// dispatch sends the call. The core receives FirstByteSent before the first byte is written, so that a connection that breaks
// afterwards can't be reported as "not run".
func (e *execution) dispatch() {
	e.mu.Lock()
	connection, replica := e.connection, e.replica
	e.connection = nil
	e.mu.Unlock()
	e.events <- booking.Event{Kind: booking.FirstByteSent}
	go func() {
		sentAt := time.Now()
		answer, err := connection.Call(context.Background(), e.call.Call, e.booker.maxAnswerBytes)
		e.booker.crashes.record(e.fingerprint, replica, sentAt, answer.Status, err)
		if err != nil {
			e.events <- booking.Event{Kind: booking.ExchangeFailed, Err: err}
			return
		}
		if outcome.PromisesNotRun(answer.Status) {
			e.booker.log.WithFields(log.Fields{"service": e.call.Service, "key": e.call.Key, "upstream": replica, "status": answer.Status}).Info("answer withheld")
			answer.Release()
			e.events <- booking.Event{Kind: booking.ExchangeFailed, Err: failedByService(answer.Status)}
			return
		}
		recorded, err := json.Marshal(Answer{Status: answer.Status, ContentType: answer.Header.Get("Content-Type"), Body: answer.Body})
		answer.Release()
		if err != nil {
			e.events <- booking.Event{Kind: booking.ExchangeFailed, Err: err}
			return
		}
		e.events <- booking.Event{Kind: booking.UpstreamAnswered, Answer: recorded}
	}()
}
