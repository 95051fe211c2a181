package vm

import (
	"cmp"
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/cespare/xxhash/v2"
	"go.uber.org/fx"

	"github.com/chicoryrelay/chicoryrelay/relay/control"
	"github.com/chicoryrelay/chicoryrelay/relay/directory"
	"github.com/chicoryrelay/chicoryrelay/relay/origin"
	"github.com/chicoryrelay/chicoryrelay/relay/peer"
	"github.com/chicoryrelay/chicoryrelay/relay/settings"
)

const (
	// originHolders is the number of control VMs that get the record of a stream.
	originHolders = 3
	// originInterval is the least time between two messages with the records of new streams, of which the first one after a pause is sent
	// at once. It grows with the VMs like the interval of digests, so that the messages at a control VM don't.
	originInterval = 20 * time.Millisecond
	// historyInterval is the interval at which the list of upstreams is entered into the history.
	historyInterval = 500 * time.Millisecond
	// maxEntryRecords and maxControlRecords limit the records of a VM, of about 100 bytes each.
	maxEntryRecords   = 1 << 15
	maxControlRecords = 1 << 18
	// maxMessageRecords limits the records of one message, of 22 bytes each.
	maxMessageRecords = 4096
)

// origins records where the streams of this VM began, keeps such records of others on a control VM, and looks them up.
type origins struct {
	state *state
	host  *control.Host
	mesh  *peerMesh
	log   log.Interface

	mu       sync.Mutex
	registry *origin.Registry
	history  *origin.History
	// pending are the records that are still to be sent.
	pending []origin.Record
	// flushedAt is when records were last sent.
	flushedAt time.Duration
	lookups   map[uint64]*originLookup
	// last is the ID of the last lookup. It begins at random: replies to the process that this VM ran before may still come.
	last uint64
	// boots are the last incarnations of the other VMs, completed those of the control VMs that have got all records.
	boots, completed map[string]uint64
	// ownReadAt is when the last own reading of the list that is in the history began.
	ownReadAt time.Duration
	// file is nil on a VM without a data folder.
	file *originFile

	recorded, looked, missed atomic.Uint64
}

func newOrigins(s settings.Settings, st *state, host *control.Host, m *peerMesh, logger log.Interface) *origins {
	limit := maxEntryRecords
	if s.Data != "" {
		limit = maxControlRecords
	}
	var options []origin.HistoryOption
	var file *originFile
	if s.Data != "" {
		file = &originFile{folder: s.Data, log: logger}
		if saved, ok := file.read(time.Now()); ok {
			options = append(options, origin.WithSaved(saved))
		}
	}
	if st.isNewSystem {
		options = append(options, origin.WithNewSystem())
	}
	o := &origins{
		state: st, host: host, mesh: m, log: logger, registry: origin.NewRegistry(limit), history: origin.NewHistory(options...), lookups: map[uint64]*originLookup{}, boots: map[string]uint64{}, completed: map[string]uint64{}, file: file, last: rand.Uint64(),
	}
	m.origins = o
	return o
}

func runOrigins(lifecycle fx.Lifecycle, o *origins) {
	ctx, cancel := context.WithCancel(context.Background())
	lifecycle.Append(fx.Hook{
		OnStart: func(context.Context) error {
			go runEvery(ctx, historyInterval, o.tick)
			return nil
		},
		OnStop: func(context.Context) error {
			cancel()
			// The sessions to the control VMs are closed later.
			o.flush()
			return nil
		},
	})
}

// tick enters the present list into the history, and writes it on a control VM; it completes the records of others.
func (o *origins) tick() {
	o.complete()
	o.mu.Lock()
	o.observe()
	saved, ok := o.history.Save(o.state.now())
	o.mu.Unlock()
	if ok && o.file != nil {
		o.file.write(time.Now(), saved)
	}
}

// observe enters the present list and this VM's own last reading into the history; the caller holds the lock.
func (o *origins) observe() {
	// The times are read first: a list may be newer than they are, not older.
	view := o.host.View()
	list := o.state.list.Load()
	read := o.state.reading.Load()
	// Ages on the clock of the control state count on that of the history too.
	offset := o.state.now() - o.host.Now()
	if list != nil && view.ListedAt > 0 {
		listed := originsOf(list)
		o.history.See(view.ListedAt+offset, listed)
		if view.ConfirmedAt > 0 {
			o.history.Observe(view.ConfirmedAt+offset, listed)
		}
	}
	if read != nil && read.at > o.ownReadAt {
		o.ownReadAt = read.at
		o.history.Observe(read.at+offset, originsOf(read.list))
	}
}

// originsOf returns the services and versions of a list.
func originsOf(list *directory.List) []origin.Origin {
	all := make([]origin.Origin, len(list.Upstreams))
	for i := range list.Upstreams {
		all[i] = origin.Origin{Service: list.Upstreams[i].Service, Software: list.Upstreams[i].Software}
	}
	return all
}

// confirmedAt returns the earliest time, on the clock of the control state, at which the present list can have been read.
func (o *origins) confirmedAt() time.Duration {
	at := o.host.View().ConfirmedAt
	if read := o.state.reading.Load(); read != nil {
		at = max(at, read.at)
	}
	return at
}

// record records where a stream began that its caller may take up until a time, and sends the record to control VMs.
func (o *origins) record(account, attempt string, at origin.Origin, until time.Time) {
	o.recorded.Add(1)
	o.mu.Lock()
	defer o.mu.Unlock()
	now := o.state.now()
	r := origin.Record{Key: origin.NewKey(account, attempt), Origin: at, Until: now + time.Until(until)}
	o.registry.Add(now, r)
	if o.pending = append(o.pending, r); len(o.pending) == 1 {
		interval := originInterval * time.Duration(intervalFactor(callerVMs(o.state.vms.Load())))
		time.AfterFunc(max(0, o.flushedAt+interval-now), o.flush)
	}
}

// callerVMs returns the number of VMs with callers.
func callerVMs(roster *peer.Roster) (count int) {
	for _, vm := range roster.GetVms() {
		if vm.GetCallers() {
			count++
		}
	}
	return count
}

// flush sends the pending records.
func (o *origins) flush() {
	o.mu.Lock()
	records := o.pending
	now := o.state.now()
	o.pending, o.flushedAt = nil, now
	o.mu.Unlock()
	controls := o.mesh.controls()
	for _, name := range controls {
		o.send(now, records, controls, name)
	}
}

// send sends those of the records to a control VM that it holds.
func (o *origins) send(now time.Duration, records []origin.Record, controls []string, name string) {
	var held []origin.Record
	for _, r := range records {
		if slices.Contains(holdersOf(r.Key, controls), name) {
			held = append(held, r)
		}
	}
	for part := range slices.Chunk(held, maxMessageRecords) {
		o.mesh.mesh.Send(name, &peer.Envelope{Body: &peer.Envelope_Origins{Origins: encodeOrigins(now, part)}})
	}
}

// holdersOf returns the control VMs that hold a record, the same at every VM.
func holdersOf(key origin.Key, controls []string) []string {
	if len(controls) <= originHolders {
		return controls
	}
	score := func(name string) uint64 { return xxhash.Sum64(append(key[:], name...)) }
	ranked := slices.SortedFunc(slices.Values(controls), func(a, b string) int { return cmp.Compare(score(a), score(b)) })
	return ranked[:originHolders]
}

func encodeOrigins(now time.Duration, records []origin.Record) *peer.Origins {
	message := &peer.Origins{}
	for _, r := range records {
		i := slices.IndexFunc(message.Groups, func(g *peer.OriginGroup) bool {
			return g.Service == r.Origin.Service && g.Software == r.Origin.Software && g.Several == r.Several
		})
		if i < 0 {
			i = len(message.Groups)
			message.Groups = append(message.Groups, &peer.OriginGroup{Service: r.Origin.Service, Software: r.Origin.Software, Several: r.Several})
		}
		group := message.Groups[i]
		group.Streams = append(group.Streams, r.Key[:])
		group.Remaining = append(group.Remaining, uint32(max(0, r.Until-now).Milliseconds()))
	}
	return message
}

// receive adds the records of another VM.
func (o *origins) receive(m *peer.Origins) {
	o.mu.Lock()
	defer o.mu.Unlock()
	now := o.state.now()
	for _, group := range m.GetGroups() {
		for i, stream := range group.GetStreams() {
			if len(stream) != len(origin.Key{}) || i >= len(group.GetRemaining()) {
				continue
			}
			o.registry.Add(now, origin.Record{
				Key: origin.Key(stream), Origin: origin.Origin{Service: group.GetService(), Software: group.GetSoftware()}, Several: group.GetSeveral(),
				Until: now + time.Duration(group.GetRemaining()[i])*time.Millisecond,
			})
		}
	}
}

// noteBoot records the incarnation of another VM that has sent a message.
func (o *origins) noteBoot(name string, boot uint64) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.boots[name] = boot
}

// complete sends all records to the control VMs that may lack some: those that have started anew or joined, and those whose session was
// closed since.
func (o *origins) complete() {
	controls, connected := o.mesh.controls(), o.mesh.mesh.Connected()
	var lacking []string
	o.mu.Lock()
	now := o.state.now()
	for _, name := range controls {
		boot := o.boots[name]
		switch {
		case !slices.Contains(connected, name):
			delete(o.completed, name)
		case boot != 0 && o.completed[name] != boot:
			o.completed[name] = boot
			lacking = append(lacking, name)
		}
	}
	for name := range o.completed {
		if !slices.Contains(controls, name) {
			delete(o.completed, name)
		}
	}
	var records []origin.Record
	if len(lacking) > 0 {
		records = o.registry.Records(now)
	}
	o.mu.Unlock()
	for _, name := range lacking {
		o.send(now, records, controls, name)
	}
}

// answer returns what this VM knows of a stream; the caller holds the lock.
func (o *origins) answer(key []byte, service string, window time.Duration) (a origin.Answer) {
	o.observe()
	now := o.state.now()
	if len(key) == len(origin.Key{}) {
		a.Origin, a.Knowledge = o.registry.Find(now, origin.Key(key))
	}
	a.Listed = o.history.Listed(now, service, window)
	return a
}

// reply answers the question of another VM.
func (o *origins) reply(from string, m *peer.OriginRequest) {
	o.mu.Lock()
	a := o.answer(m.GetStream(), m.GetService(), time.Duration(m.GetWindow())*time.Millisecond)
	o.mu.Unlock()
	o.mesh.mesh.Send(from, &peer.Envelope{Body: &peer.Envelope_OriginReply{OriginReply: &peer.OriginReply{
		Id: m.GetId(), Knowledge: uint32(a.Knowledge), Service: a.Origin.Service, Software: a.Origin.Software,
		Count: uint32(a.Listed.Count), Sole: a.Listed.Software, Coverage: uint32(a.Listed.Coverage),
	}}})
}

// receiveReply passes the answer of another VM to its lookup.
func (o *origins) receiveReply(from string, m *peer.OriginReply) {
	isControl := slices.Contains(o.mesh.controls(), from)
	o.mu.Lock()
	defer o.mu.Unlock()
	lookup := o.lookups[m.GetId()]
	if lookup == nil || m.GetKnowledge() > uint32(origin.Several) {
		return
	}
	lookup.Add(from, isControl, origin.Answer{
		Knowledge: origin.Knowledge(m.GetKnowledge()), Origin: origin.Origin{Service: m.GetService(), Software: m.GetSoftware()},
		Listed: origin.Listed{Count: int(m.GetCount()), Software: m.GetSole(), Coverage: origin.Coverage(min(m.GetCoverage(), uint32(origin.Full)))},
	})
	select {
	case lookup.changed <- struct{}{}:
	default:
	}
}

// lines returns the metrics, one a line.
func (o *origins) lines() []string {
	o.mu.Lock()
	defer o.mu.Unlock()
	return []string{
		fmt.Sprintf("origins_held %d", o.registry.Len()), fmt.Sprintf("origins_recorded %d", o.recorded.Load()),
		fmt.Sprintf("origins_looked_up %d", o.looked.Load()), fmt.Sprintf("origins_unknown %d", o.missed.Load()),
	}
}
