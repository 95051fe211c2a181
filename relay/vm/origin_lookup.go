package vm

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/apex/log"

	"github.com/chicoryrelay/chicoryrelay/relay/forward"
	"github.com/chicoryrelay/chicoryrelay/relay/origin"
	"github.com/chicoryrelay/chicoryrelay/relay/outcome"
	"github.com/chicoryrelay/chicoryrelay/relay/peer"
	"github.com/chicoryrelay/chicoryrelay/relay/route"
)

const (
	// maxControlWait limits the wait for the control VMs that are asked for an origin, maxCellWait that for the VMs of the cell which are
	// asked after them. originRepeat is the interval at which those are asked again whose session has just opened.
	maxControlWait = 250 * time.Millisecond
	maxCellWait    = 100 * time.Millisecond
	originRepeat   = 50 * time.Millisecond
	// confirmInterval is the interval at which a lookup that waits for a newer list looks at it.
	confirmInterval = 20 * time.Millisecond
	// minStreamTime and streamTimes say for how long one software version alone must have been listed to be the one of a stream without a
	// record: a caller's time limit is at most so many times the longest timeout of the routes.
	minStreamTime = 30 * time.Second
	streamTimes   = 2
)

// originLookup is a lookup in progress; changed receives a value after each answer.
type originLookup struct {
	*origin.Lookup
	changed chan struct{}
}

// streamTime returns the time for which a stream can last with all its take-ups.
func streamTime(table *route.Table) time.Duration {
	longest := time.Duration(0)
	if table != nil {
		for i := range table.State.Routes {
			longest = max(longest, table.State.Routes[i].Timeout)
		}
	}
	return max(minStreamTime, min(streamTimes*longest, origin.MaxWindow))
}

// find returns where the stream of an attempt began that its caller takes up on a route to a service. The error is the refusal of a stream
// whose origin nobody knows.
func (o *origins) find(ctx context.Context, r *forward.PlacementRequest) (origin.Origin, error) {
	o.looked.Add(1)
	account, attempt, service := accountName(r.Account), r.Metadata.Resumes, ""
	if r.Service != nil {
		service = r.Service.Name
	}
	request := &peer.OriginRequest{Service: service, Window: uint32(streamTime(o.state.table.Load()).Milliseconds())}
	if attempt != "" {
		key := origin.NewKey(account, attempt)
		request.Stream = key[:]
	}
	began := o.host.Now()
	lookup, end := o.begin(request)
	defer end()
	o.ask(ctx, lookup, request, o.mesh.controls(), maxControlWait)
	found, knowledge, isRecord := o.result(lookup)
	if knowledge == origin.Unknown && attempt != "" {
		if names := o.mesh.broadcastPeers.Load(); names != nil {
			o.ask(ctx, lookup, request, *names, maxCellWait)
			found, knowledge, isRecord = o.result(lookup)
		}
	}
	if o.isUnconfirmed(lookup) {
		o.confirm(ctx, lookup, request, began)
		found, knowledge, isRecord = o.result(lookup)
	}
	if knowledge == origin.Known && !isRecord && r.Route.IsShared() {
		// The service at which the stream began isn't known.
		knowledge = origin.Unknown
	}
	entry := o.log.WithFields(log.Fields{"request": r.ID, "resumes": attempt, "service": found.Service, "software": found.Software, "record": isRecord, "age": time.Since(r.Arrived)})
	if knowledge == origin.Known {
		entry.Info("stream taken up")
		return found, nil
	}
	o.missed.Add(1)
	refusal := outcome.Refuse(outcome.OriginUnknown, "the software version that began the stream is not known, so that no upstream may go on with it; send the request again without its last event")
	o.mu.Lock()
	answered, unconfirmed := lookup.Answered(), lookup.Unconfirmed()
	o.mu.Unlock()
	if knowledge == origin.Several {
		return found, refusal.WithCause(errors.New("streams of this attempt began at several software versions"))
	}
	if !answered {
		return found, refusal.WithRetryAfter(maxControlWait).WithCause(errors.New("no control VM has answered"))
	}
	if unconfirmed {
		return found, refusal.WithRetryAfter(listInterval).WithCause(errors.New("the list of upstreams has not been read again"))
	}
	return found, refusal
}

// begin begins a lookup with what this VM knows itself; the returned function ends it.
func (o *origins) begin(request *peer.OriginRequest) (*originLookup, func()) {
	o.mu.Lock()
	defer o.mu.Unlock()
	own := o.answer(request.Stream, request.Service, time.Duration(request.Window)*time.Millisecond)
	lookup := &originLookup{Lookup: origin.NewLookup(request.Service, own, o.listed(request.Service)), changed: make(chan struct{}, 1)}
	o.last++
	request.Id = o.last
	o.lookups[request.Id] = lookup
	return lookup, func() {
		o.mu.Lock()
		defer o.mu.Unlock()
		delete(o.lookups, request.Id)
	}
}

// listed returns the versions that a service is listed with now.
func (o *origins) listed(service string) (listed []string) {
	for _, u := range o.state.list.Load().Service(service) {
		listed = append(listed, u.Software)
	}
	return listed
}

// isUnconfirmed reports whether a newer list may show the origin of the stream.
func (o *origins) isUnconfirmed(lookup *originLookup) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return lookup.Unconfirmed()
}

// confirm waits until the list has been read after the lookup began, for origin.MaxWait from then at most.
func (o *origins) confirm(ctx context.Context, lookup *originLookup, request *peer.OriginRequest, began time.Duration) {
	ticker := time.NewTicker(confirmInterval)
	defer ticker.Stop()
	for o.confirmedAt() <= began {
		now := o.host.Now()
		if now >= began+origin.MaxWait {
			return
		}
		o.state.listWantedAt.Store(int64(now))
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	own := o.answer(request.Stream, request.Service, time.Duration(request.Window)*time.Millisecond)
	lookup.Confirm(own.Listed, o.listed(request.Service))
}

// ask asks other VMs and waits until the origin is known, all have answered or the time is over.
func (o *origins) ask(ctx context.Context, lookup *originLookup, request *peer.OriginRequest, names []string, limit time.Duration) {
	o.mu.Lock()
	if !lookup.Found() {
		lookup.Ask(names)
	}
	o.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	repeat := time.NewTicker(originRepeat)
	defer repeat.Stop()
	due := true
	for {
		o.mu.Lock()
		done := lookup.Done()
		waiting := slices.DeleteFunc(slices.Clone(names), func(name string) bool { return !lookup.Waiting(name) })
		o.mu.Unlock()
		if done {
			return
		}
		if due {
			o.mesh.mesh.Broadcast(waiting, &peer.Envelope{Body: &peer.Envelope_OriginRequest{OriginRequest: request}})
			due = false
		}
		select {
		case <-ctx.Done():
			return
		case <-repeat.C:
			due = true
		case <-lookup.changed:
		}
	}
}

func (o *origins) result(lookup *originLookup) (origin.Origin, origin.Knowledge, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return lookup.Result()
}
