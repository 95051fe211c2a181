package routing

import "time"

// Overload control of the policy Reuse answers one pattern: a crest of the load, or a loss of engines, brings more prefill than the
// engines can do, and a first-come queue would then make every request late. As in CoDel, the queueing delay is bounded by the delay
// that callers accept: a request that was not sent within its objective is refused as not run, and its caller may return once the
// load has fallen. As in adaptive LIFO, requests that can no longer be answered in time wait behind those that can. The queue is kept at the VMs, where this can be decided: an engine
// gets no more prefill than its window, whichever VM it comes from.

// queueTimeout limits the time from a request's arrival to its dispatch.
func (c *Core) queueTimeout(f *flight) time.Duration {
	if c.policy != Reuse || f.request.TargetTTFT <= 0 {
		return c.times.QueueTimeout
	}
	return min(c.times.QueueTimeout, f.request.TargetTTFT)
}

// othersWindow returns the prefill of other VMs that counts in an engine's window. Without it, all VMs would fill an engine that
// returns after a crash or a load of weights at once, each with a window of its own.
func (c *Core) othersWindow(now time.Duration, u *upstream) int {
	if c.policy != Reuse {
		return 0
	}
	return u.othersBacklog(now, u.group.model.perToken.value)
}

// lateWindowShare is the prefill, as a share of the objective, up to which an engine gets requests that are late already: they must
// not make those late that arrive next.
const lateWindowShare = 0.125

// waitsForSlack reports whether a late request must wait for an engine with less to do. It need not for the sake of other accounts that
// have had more of their share: it may be their requests that made it late.
func (f *flight) waitsForSlack(ch *choice) bool {
	return f.late && !f.behind && ch.ready != nil && ch.readyCost.wait > lateWindowShare*f.request.TargetTTFT.Seconds()
}

// becomesLate reports whether a queued request has just been found too late for its objective at every upstream. It is then tried
// after the requests that can still be in time.
func (c *Core) becomesLate(now time.Duration, f *flight, ch *choice) bool {
	if f.late || c.policy != Reuse || f.request.TargetTTFT <= 0 || ch.best == nil {
		return false
	}
	f.late = now-f.arrived+seconds(ch.bestCost.ttft()) > f.request.TargetTTFT
	return f.late
}
