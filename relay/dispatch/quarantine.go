package dispatch

import (
	"fmt"
	"strings"
	"time"

	"github.com/apex/log"

	"github.com/chicoryrelay/chicoryrelay/relay/outcome"
	"github.com/chicoryrelay/chicoryrelay/relay/peer"
	"github.com/chicoryrelay/chicoryrelay/relay/quarantine"
	"github.com/chicoryrelay/chicoryrelay/relay/routing"
)

// beginTime is how long after its first token an answer can still be the one that ended its engine: an engine that has written for
// longer has begun without harm.
const beginTime = time.Second

// WithQuarantine sets the state of the parts kept from the engines; without it the dispatcher goes by its own requests only.
func WithQuarantine(core *quarantine.Core) Option {
	return func(d *Dispatcher) { d.quarantine = core }
}

// OnQuarantine sets a callback for the messages and notices of the quarantine. The callback must not block; set it before Run.
func (d *Dispatcher) OnQuarantine(callback func(quarantine.Effects)) { d.onQuarantine = callback }

// ReceiveQuarantine passes a VM's report to the quarantine without waiting for its effects.
func (d *Dispatcher) ReceiveQuarantine(vm string, m *peer.Quarantine) {
	report := decodeQuarantine(m)
	d.post(func(now time.Duration) {
		d.quarantine.Receive(now, vm, report)
		d.tickQuarantine(now)
	})
}

// Quarantined returns the number of parts in quarantine as of the last tick.
func (d *Dispatcher) Quarantined() int { return int(d.quarantined.Load()) }

// tickQuarantine passes on the effects of the quarantine, and refuses the queued requests that have come under a verdict.
func (d *Dispatcher) tickQuarantine(now time.Duration) {
	effects := d.quarantine.Tick(now)
	d.quarantined.Store(int64(d.quarantine.Count(now)))
	if len(effects.Notices) > 0 {
		d.refuseQuarantined(now, effects.Notices)
		if d.verdictFile != nil {
			d.verdictFile.save(time.Now(), d.quarantine.Verdicts(now))
		}
	}
	if len(effects.Notices)+len(effects.Outgoing) > 0 {
		d.onQuarantine(effects)
	}
}

func (d *Dispatcher) refuseQuarantined(now time.Duration, notices []quarantine.Notice) {
	for id, q := range d.queued {
		refusal := (*outcome.Refusal)(nil)
		if remaining, quarantined := d.quarantine.Quarantined(now, q.sharedParts); quarantined {
			refusal = quarantineRefusal(remaining)
		}
		for _, notice := range notices {
			if notice.Request && !notice.Lifted && notice.Part == q.fingerprint {
				refusal = requestRefusal(notice.TrialIn)
			}
		}
		if refusal != nil {
			q.placements <- placement{decision: routing.Decision{Refusal: refusal}}
			delete(d.queued, id)
			d.step(now, routing.Cancelled{ID: id})
		}
	}
}

// quarantineRefusal refuses a request; the verdict may be lifted sooner, but nothing is known to be served before its end.
func quarantineRefusal(remaining time.Duration) *outcome.Refusal {
	return outcome.Refuse(outcome.Quarantined, "engines end when they begin to answer a part of this prompt; send it without that part, or after the time in Retry-After").WithRetryAfter(remaining)
}

// recordCrash records that an engine's connection ended under the attempt, unless the engine had been answering it for a while.
func (t *Ticket) recordCrash(now time.Duration) {
	if t.firstTokenAt > 0 && now-t.firstTokenAt >= beginTime {
		return
	}
	t.dispatcher.quarantine.Crashed(now, quarantine.Crash{Upstream: t.Upstream.Name, Parts: t.sharedParts, Request: t.fingerprint, Running: now - t.placedAt})
}

// QuarantineSender returns a callback for OnQuarantine that sends the messages over a mesh and logs the verdicts; judges returns the
// names of the other control VMs.
func QuarantineSender(mesh *peer.Mesh, judges func() []string, logger log.Interface) func(quarantine.Effects) {
	return func(effects quarantine.Effects) {
		for _, out := range effects.Outgoing {
			var to []string
			switch out.To {
			case quarantine.Judges:
				to = judges()
			case quarantine.Everyone:
				to = mesh.Connected()
			case quarantine.Sender:
				to = []string{out.Name}
			}
			mesh.Broadcast(to, encodeQuarantine(out.Report))
		}
		for _, notice := range effects.Notices {
			logger.WithFields(log.Fields{
				"part": fmt.Sprintf("%016x", notice.Part), "request": notice.Request, "generation": notice.Generation, "lifted": notice.Lifted, "remaining": notice.Remaining,
				"trial": notice.Trial, "upstreams": strings.Join(notice.Upstreams, ","),
			}).Warn("part quarantine changed")
		}
	}
}

// encodeQuarantine returns the message of a report.
func encodeQuarantine(r quarantine.Report) *peer.Envelope {
	m := &peer.Quarantine{Suspects: r.Suspects, Claims: r.Claims, Grants: r.Grants, Checksum: r.Checksum, Acknowledged: r.Acknowledged, Query: r.Query, Reply: r.Reply}
	for _, crash := range r.Crashes {
		m.Crashes = append(m.Crashes, &peer.PartCrash{
			Upstream: crash.Upstream, Parts: crash.Parts, Request: crash.Request, Id: crash.ID, Age: uint32(crash.Age.Milliseconds()), Running: uint32(crash.Running.Milliseconds()),
		})
	}
	for _, answer := range r.Answered {
		m.Answered = append(m.Answered, &peer.PartAnswer{Part: answer.Part, Age: uint32(answer.Age.Milliseconds())})
	}
	for _, v := range r.Verdicts {
		m.Verdicts = append(m.Verdicts, &peer.PartVerdict{
			Part: v.Part, Request: v.Request, Generation: v.Generation, Lifted: v.Lifted, Remaining: uint32(v.Remaining.Milliseconds()), Trial: v.Trial, TrialIn: uint32(v.TrialIn.Milliseconds()),
		})
	}
	return &peer.Envelope{Body: &peer.Envelope_Quarantine{Quarantine: m}}
}

func decodeQuarantine(m *peer.Quarantine) quarantine.Report {
	r := quarantine.Report{Suspects: m.GetSuspects(), Claims: m.GetClaims(), Grants: m.GetGrants(), Checksum: m.GetChecksum(), Acknowledged: m.GetAcknowledged(), Query: m.GetQuery(), Reply: m.GetReply()}
	for _, crash := range m.GetCrashes() {
		r.Crashes = append(r.Crashes, quarantine.Crash{
			Upstream: crash.GetUpstream(), Parts: crash.GetParts(), Request: crash.GetRequest(), ID: crash.GetId(),
			Age: time.Duration(crash.GetAge()) * time.Millisecond, Running: time.Duration(crash.GetRunning()) * time.Millisecond,
		})
	}
	for _, answer := range m.GetAnswered() {
		r.Answered = append(r.Answered, quarantine.Answer{Part: answer.GetPart(), Age: time.Duration(answer.GetAge()) * time.Millisecond})
	}
	for _, v := range m.GetVerdicts() {
		r.Verdicts = append(r.Verdicts, quarantine.Verdict{
			Part: v.GetPart(), Request: v.GetRequest(), Generation: v.GetGeneration(), Lifted: v.GetLifted(), Remaining: time.Duration(v.GetRemaining()) * time.Millisecond,
			Trial: v.GetTrial(), TrialIn: time.Duration(v.GetTrialIn()) * time.Millisecond,
		})
	}
	return r
}
