package vm

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/apex/log"
	"go.uber.org/fx"

	"github.com/chicoryrelay/chicoryrelay/relay/balance"
	"github.com/chicoryrelay/chicoryrelay/relay/connection"
	"github.com/chicoryrelay/chicoryrelay/relay/dispatch"
	"github.com/chicoryrelay/chicoryrelay/relay/forward"
	"github.com/chicoryrelay/chicoryrelay/relay/peer"
	"github.com/chicoryrelay/chicoryrelay/relay/route"
	"github.com/chicoryrelay/chicoryrelay/relay/routing"
	"github.com/chicoryrelay/chicoryrelay/relay/settings"
	"github.com/chicoryrelay/chicoryrelay/relay/silence"
)

const (
	// knownInterval is the number of ticks between two comparisons with the list of upstreams.
	knownInterval = 100
	// maxAskLag is the delay of a question's timeout from which this process was too busy to read an answer.
	maxAskLag = 100 * time.Millisecond
	// minServiceOverdue and minStreamOverdue are the least times from which a request to a plain service is overdue: those after which the
	// stall timer sends it elsewhere. A request that must not be repeated counts after serviceOnceFactor times as long.
	minServiceOverdue = 400 * time.Millisecond
	minStreamOverdue  = time.Second
	serviceOnceFactor = 2
)

// silenceWatcher feeds the detector of silent upstreams and acts on its verdicts.
type silenceWatcher struct {
	state    *state
	pool     *connection.Pool
	mesh     *peerMesh
	dispatch *dispatch.Dispatcher
	log      log.Interface
	started  time.Time

	mu   sync.Mutex
	core *silence.Core
	// attempts are those that wait for the first byte of an answer, by upstream and number.
	attempts map[string]map[uint64]func() bool
	last     uint64
	ticks    int

	silent                      atomic.Int64
	verdicts, questions, movedN atomic.Uint64
}

func newSilence(st *state, d *dispatch.Dispatcher, pool *connection.Pool, m *peerMesh, p *placer, logger log.Interface) *silenceWatcher {
	w := &silenceWatcher{
		state: st, pool: pool, mesh: m, dispatch: d, log: logger, started: time.Now(), attempts: map[string]map[uint64]func() bool{},
		core: silence.New(rand.New(rand.NewPCG(uint64(time.Now().UnixNano()), 3))),
	}
	p.silence, m.silence = w, w
	return w
}

func runSilence(lifecycle fx.Lifecycle, s settings.Settings, w *silenceWatcher) {
	if !s.Listeners.Callers.IsValid() {
		return
	}
	ctx, cancel := context.WithCancel(context.Background())
	lifecycle.Append(fx.Hook{
		OnStart: func(context.Context) error {
			go runEvery(ctx, silence.TickInterval, w.tick)
			return nil
		},
		OnStop: func(context.Context) error {
			cancel()
			return nil
		},
	})
}

func (w *silenceWatcher) now() time.Duration { return time.Since(w.started) }

// step passes messages to the core and acts on their effects.
func (w *silenceWatcher) step(messages ...silence.Message) {
	w.mu.Lock()
	now := w.now()
	var all []silence.Effects
	changed := false
	for _, m := range messages {
		effects := w.core.Step(now, m)
		changed = changed || len(effects.Changes) > 0
		all = append(all, effects)
	}
	if changed {
		w.silent.Store(int64(w.core.Count()))
	}
	w.mu.Unlock()
	for _, effects := range all {
		w.act(effects)
	}
}

func (w *silenceWatcher) act(effects silence.Effects) {
	for _, name := range effects.Ask {
		w.questions.Add(1)
		go w.ask(name)
	}
	for _, change := range effects.Changes {
		w.dispatch.Notify(routing.Silent{Upstream: change.Upstream, Silent: change.Silent})
		entry := w.log.WithFields(log.Fields{"upstream": change.Upstream, "cause": change.Cause, "lasted": change.Lasted})
		if !change.Silent {
			entry.Info("upstream answers again")
			continue
		}
		w.verdicts.Add(1)
		waiting, moved := w.move(change.Upstream)
		entry.WithFields(log.Fields{"waiting": waiting, "moved": moved}).Warn("upstream silent")
	}
	for _, name := range effects.Unanswered {
		// The retry budget may have room again.
		w.move(name)
	}
	for _, r := range effects.Reports {
		w.mesh.broadcast(&peer.Envelope{Body: &peer.Envelope_Silence{Silence: &peer.Silence{Upstream: r.Upstream, Silent: r.Silent, Age: uint32(r.Age.Milliseconds())}}})
	}
}

// move gives up the attempts that wait at a silent upstream and may go elsewhere, the oldest first.
func (w *silenceWatcher) move(name string) (waiting, moved int) {
	type attempt struct {
		number uint64
		giveUp func() bool
	}
	w.mu.Lock()
	list := make([]attempt, 0, len(w.attempts[name]))
	for number, giveUp := range w.attempts[name] {
		list = append(list, attempt{number, giveUp})
	}
	w.mu.Unlock()
	slices.SortFunc(list, func(a, b attempt) int { return cmp.Compare(a.number, b.number) })
	for _, a := range list {
		if a.giveUp != nil && a.giveUp() {
			moved++
		}
	}
	w.movedN.Add(uint64(moved))
	return len(list), moved
}

// watch implements forward.WatchFunc.
func (w *silenceWatcher) watch(r *route.Route, p *forward.Placement, giveUp func() bool) func(answered bool) {
	id := p.Upstream.ID
	sent := silence.Sent{Upstream: id, Answers: w.isEngine(id)}
	if sent.Answers {
		sent.Limit = silence.Overdue(p.Expected)
	} else {
		sent.Limit = serviceOverdue(r)
	}
	w.mu.Lock()
	w.last++
	number := w.last
	sent.Request = number
	if w.attempts[id] == nil {
		w.attempts[id] = map[uint64]func() bool{}
	}
	w.attempts[id][number] = giveUp
	w.core.Step(w.now(), sent)
	w.mu.Unlock()
	return func(answered bool) {
		w.mu.Lock()
		if _, waits := w.attempts[id][number]; !waits {
			w.mu.Unlock()
			return
		}
		if delete(w.attempts[id], number); len(w.attempts[id]) == 0 {
			delete(w.attempts, id)
		}
		w.core.Step(w.now(), silence.Ended{Upstream: id, Request: number})
		w.mu.Unlock()
		if answered {
			w.received(id)
		}
	}
}

// serviceOverdue returns the time from which a request to a plain service is overdue, which has no estimate.
func serviceOverdue(r *route.Route) time.Duration {
	limit := max(minServiceOverdue, 2*r.Target)
	if r.Kind == route.Stream {
		limit = max(minStreamOverdue, limit)
	}
	if !r.Repeatable() {
		limit *= serviceOnceFactor
	}
	return limit
}

// isEngine reports whether an upstream is an engine, which can be asked for its load report.
func (w *silenceWatcher) isEngine(id string) bool {
	table, u := w.state.table.Load(), w.state.list.Load().Find(id)
	if table == nil || u == nil {
		return false
	}
	service := table.Service(u.Service)
	return service != nil && service.Engine != nil
}

// received reports a byte from an upstream.
func (w *silenceWatcher) received(id string) {
	if w != nil {
		w.step(silence.Received{Upstream: id})
	}
}

// overlong reports a poll of an engine that is not answered yet.
func (w *silenceWatcher) overlong(id string, sent time.Time) {
	if w != nil {
		w.step(w.lastReceived(id, silence.Overlong{Upstream: id, Age: time.Since(sent)})...)
	}
}

// receive passes a report of another VM of the cell to the core.
func (w *silenceWatcher) receive(m *peer.Silence) {
	id := m.GetUpstream()
	if w == nil || w.state.list.Load().Find(id) == nil {
		return
	}
	report := silence.Report{Upstream: id, Silent: m.GetSilent(), Age: time.Duration(m.GetAge()) * time.Millisecond, Answers: w.isEngine(id)}
	w.step(w.lastReceived(id, report)...)
}

// lastReceived returns the message with the last byte of an upstream, if there was one, followed by the given one.
func (w *silenceWatcher) lastReceived(id string, next ...silence.Message) []silence.Message {
	u := w.state.list.Load().Find(id)
	if u == nil {
		return next
	}
	at := w.pool.LastReceived(u.Address)
	if at.IsZero() {
		return next
	}
	return append([]silence.Message{silence.Received{Upstream: id, Age: time.Since(at)}}, next...)
}

// tick passes the time and the last bytes of the upstreams in question to the core.
func (w *silenceWatcher) tick() {
	w.mu.Lock()
	due := w.core.Due(w.now())
	w.mu.Unlock()
	var messages []silence.Message
	for _, id := range due {
		messages = append(messages, w.lastReceived(id)...)
	}
	if w.ticks++; w.ticks%knownInterval == 0 {
		w.step(w.known())
		w.mu.Lock()
		w.silent.Store(int64(w.core.Count()))
		w.mu.Unlock()
		for _, id := range due {
			// An upstream that was listed anew meanwhile has no verdict in the routing core.
			w.dispatch.Notify(routing.Silent{Upstream: id, Silent: w.isSilent(id)})
		}
	}
	w.step(append(messages, silence.Tick{})...)
}

func (w *silenceWatcher) isSilent(id string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.core.Silent(id)
}

func (w *silenceWatcher) known() silence.Known {
	known := silence.Known{Upstreams: map[string]bool{}}
	if list := w.state.list.Load(); list != nil {
		for i := range list.Upstreams {
			known.Upstreams[list.Upstreams[i].ID] = true
		}
	}
	return known
}

// ask requests an engine's load report over a new connection, which shows whether it answers at all.
func (w *silenceWatcher) ask(id string) {
	u, report := w.state.list.Load().Find(id), w.state.adapter.Engines.ReportRequest
	if u == nil || report == nil {
		w.step(silence.Unasked{Upstream: id})
		return
	}
	request := report(id)
	request.ForceNew = true
	sent := time.Now()
	_, _, err := call(context.Background(), w.pool, u.Address, request, silence.AskTimeout)
	took := time.Since(sent)
	switch {
	case err == nil || hasEnded(err):
		w.received(id)
	case isTimeout(err) && took < silence.AskTimeout+maxAskLag || isUnreachable(err):
		w.step(w.lastReceived(id, silence.Unanswered{Upstream: id, Age: took})...)
	default:
		w.step(silence.Unasked{Upstream: id})
	}
}

// isTimeout reports whether a call took too long.
func isTimeout(err error) bool {
	var timeout net.Error
	return errors.Is(err, context.DeadlineExceeded) || errors.As(err, &timeout) && timeout.Timeout()
}

// hasEnded reports whether a call ended because the other side refused or closed the connection, which a silent one does not.
func hasEnded(err error) bool {
	return errors.Is(err, syscall.ECONNREFUSED) || errors.Is(err, syscall.ECONNRESET) || errors.Is(err, connection.ErrClosed)
}

func isUnreachable(err error) bool {
	return errors.Is(err, syscall.EHOSTUNREACH) || errors.Is(err, syscall.ENETUNREACH)
}

// withoutSilent leaves silent replicas out unless there is no other. A silent replica gets a request on trial now and then, one that may be
// repeated.
func (w *silenceWatcher) withoutSilent(candidates []balance.Candidate, r *forward.PlacementRequest) []balance.Candidate {
	if w == nil || w.silent.Load() == 0 {
		return candidates
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	var answering []balance.Candidate
	for _, candidate := range candidates {
		if !w.core.Silent(candidate.ID) {
			answering = append(answering, candidate)
			continue
		}
		if r.Route.Repeatable() && !slices.Contains(r.FailedUpstreams, candidate.ID) && w.core.Trial(w.now(), candidate.ID) {
			return []balance.Candidate{candidate}
		}
	}
	if len(answering) == 0 {
		return candidates
	}
	return answering
}

// text returns the metrics, one a line.
func (w *silenceWatcher) text() []string {
	if w == nil {
		w = &silenceWatcher{}
	}
	return []string{
		fmt.Sprintf("upstreams_silent %d", w.silent.Load()), fmt.Sprintf("silence_verdicts %d", w.verdicts.Load()),
		fmt.Sprintf("silence_questions %d", w.questions.Load()), fmt.Sprintf("requests_moved %d", w.movedN.Load()),
	}
}
