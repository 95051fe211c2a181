package origin_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/chicoryrelay/chicoryrelay/relay/origin"
)

// The times of the simulated installation; those of the VMs are as in the package vm.
const (
	simulationStep = 50 * time.Millisecond
	simulationTime = 3 * time.Minute
	listReading    = 700 * time.Millisecond
	ownReading     = 2500 * time.Millisecond
	wantedReading  = 1200 * time.Millisecond
	renewal        = 400 * time.Millisecond
	historyReading = 500 * time.Millisecond
	longestStream  = 15 * time.Second
	lookupWindow   = 2 * longestStream
)

// assumptions are what holds in a simulated installation.
type assumptions struct {
	// late is the longest time for which a message is on its way.
	late time.Duration
	// leaderless is the longest time for which no VM leads, cutOff that for which an entry VM reaches no other VM.
	leaderless, cutOff time.Duration
	// zoneCut is the longest time for which the VMs of a zone reach each other only, frozen that for which a VM stands still.
	zoneCut, frozen time.Duration
	// unread is the longest time for which the platform's list can't be read, while entry VMs go on by the list that they have.
	unread time.Duration
	// lingering is the longest time for which an upstream serves after it has left the list.
	lingering time.Duration
	// regress is by how much one reading of the list may show an older state than another one.
	regress time.Duration
	// listed is the shortest time for which a version is listed.
	listed time.Duration
	// longest is how long streams last.
	longest time.Duration
	// recorded is the share of records that reach a control VM, named that of take-ups that name their stream.
	recorded, named float64
}

// sound are the assumptions under which no origin is wrong.
func sound() assumptions {
	return assumptions{
		late: 2 * time.Second, leaderless: 4 * time.Second, cutOff: 10 * time.Second, zoneCut: 4 * time.Second, frozen: 4 * time.Second, unread: 4 * time.Second,
		lingering: 5 * time.Second, listed: 6 * time.Second, longest: longestStream, recorded: 0.3, named: 0.3,
	}
}

// servedVersion is a version and the times at which it is on the list and serves.
type servedVersion struct {
	software                    string
	from, listedUntil, servesTo time.Duration
}

type simulatedStream struct {
	key         origin.Key
	software    string
	begun, ends time.Duration
}

// reading is a list and when it was read, at the earliest.
type reading struct {
	list []origin.Origin
	at   time.Duration
}

// simulatedVM is a VM with its part of the records; its clock starts with it.
type simulatedVM struct {
	name     string
	zone     int
	started  time.Duration
	registry *origin.Registry
	history  *origin.History
	// list is the one that the VM works by, board the leader's, which the VM got at boardAt; its own last reading has no list if it has
	// made none.
	list, board []origin.Origin
	boardAt     time.Duration
	own         reading
	// read and confirmed are the latest and the earliest time at which the leader can have read the board, zero if they are not known.
	read, confirmed time.Duration
	// isLeader is set on a VM that believes that it leads.
	isLeader bool
	// wantedAt is when a lookup last waited for a newer list, renewedAt when the VM last asked the leader.
	wantedAt, renewedAt   time.Duration
	cutUntil, frozenUntil time.Duration
}

func (v *simulatedVM) start(now time.Duration) {
	*v = simulatedVM{name: v.name, zone: v.zone, started: now, registry: origin.NewRegistry(10_000), history: origin.NewHistory()}
}

func (v *simulatedVM) observe() {
	if v.read > 0 {
		v.history.See(v.read-v.started, v.list)
	}
	if v.confirmed > 0 {
		v.history.Observe(v.confirmed-v.started, v.list)
	}
	if v.own.list != nil {
		v.history.Observe(v.own.at-v.started, v.own.list)
	}
}

func (v *simulatedVM) answer(now time.Duration, k origin.Key) (a origin.Answer) {
	v.observe()
	a.Origin, a.Knowledge = v.registry.Find(now-v.started, k)
	a.Listed = v.history.Listed(now-v.started, "llm", lookupWindow)
	return a
}

// listed returns the versions of the list that the VM works by.
func (v *simulatedVM) listed() (listed []string) {
	for _, o := range v.list {
		listed = append(listed, o.Software)
	}
	return listed
}

// setBoard replaces the board.
func (v *simulatedVM) setBoard(now time.Duration, board []origin.Origin) {
	if !slices.Equal(board, v.board) || v.boardAt == 0 {
		v.list, v.board, v.boardAt, v.confirmed = board, board, now, 0
	}
}

// simulatedLookup is a lookup that waits for a newer list.
type simulatedLookup struct {
	*origin.Lookup
	vm     *simulatedVM
	stream simulatedStream
	key    origin.Key
	// began is the time of the take-up, started that of the process.
	began, started time.Duration
}

// message is something that happens at a VM at a later time, unless the VM has started anew.
type message struct {
	at, started time.Duration
	to          *simulatedVM
	deliver     func()
}

// installation is a simulated installation of three zones, each with a control VM and an entry VM.
type installation struct {
	assumptions
	random            *rand.Rand
	now               time.Duration
	versions          []servedVersion
	controls, entries []*simulatedVM
	messages          []message
	streams           []simulatedStream
	lookups           []simulatedLookup
	begun             int
	// leader is the VM that a majority has elected, or elects at electedAt.
	leader          *simulatedVM
	electedAt       time.Duration
	zoneCutUntil    [3]time.Duration
	leaderlessUntil time.Duration
	unreadUntil     time.Duration
	// bySole and byRecord count the origins that were found, refused the take-ups without one; wrong are origins of another version.
	bySole, byRecord, refused int
	wrong                     []string
}

func newInstallation(seed uint64, a assumptions) *installation {
	i := &installation{assumptions: a, random: rand.New(rand.NewPCG(seed, 52))}
	for n := range 3 {
		i.controls = append(i.controls, &simulatedVM{name: fmt.Sprint("c", n), zone: n})
		i.entries = append(i.entries, &simulatedVM{name: fmt.Sprint("e", n), zone: n})
	}
	for _, v := range i.all() {
		v.start(0)
	}
	i.elect(i.controls[0])
	// A version ends once the next one serves, in part long after, so that there are times with one and with several.
	for at, n := time.Duration(0), 1; at < simulationTime; n++ {
		from, next := at, at+a.listed+i.upTo(50*time.Second)
		until := next + a.listed + i.upTo(10*time.Second)
		i.versions = append(i.versions, servedVersion{fmt.Sprint("v", n), from, until, until + i.upTo(a.lingering)})
		if i.chance(0.3) {
			// A version that is tried and taken back.
			from := at + i.upTo(next-at)
			until := from + a.listed
			i.versions = append(i.versions, servedVersion{fmt.Sprint("v", n, ".1"), from, until, until + i.upTo(a.lingering)})
		}
		at = next
	}
	return i
}

func (i *installation) all() []*simulatedVM { return slices.Concat(i.controls, i.entries) }

func (i *installation) upTo(limit time.Duration) time.Duration {
	return time.Duration(i.random.Int64N(int64(limit) + 1))
}

func (i *installation) chance(share float64) bool { return i.random.Float64() < share }

// send delivers a message to a VM, which handles it once it no longer stands still.
func (i *installation) send(from, to *simulatedVM, deliver func()) {
	if !i.reaches(from, to) {
		return
	}
	wait := i.upTo(simulationStep)
	if i.chance(0.1) {
		wait = i.upTo(i.late)
	}
	i.messages = append(i.messages, message{i.now + wait, to.started, to, deliver})
}

// reaches reports whether two VMs are connected.
func (i *installation) reaches(a, b *simulatedVM) bool {
	isApart := func(v *simulatedVM) bool { return i.now < v.cutUntil }
	isCut := func(v *simulatedVM) bool { return i.now < i.zoneCutUntil[v.zone] }
	return a == b || !isApart(a) && !isApart(b) && (a.zone == b.zone || !isCut(a) && !isCut(b))
}

func (i *installation) isFrozen(v *simulatedVM) bool { return i.now < v.frozenUntil }

// listAt returns the platform's list of a time.
func (i *installation) listAt(at time.Duration) (list []origin.Origin) {
	for _, v := range i.versions {
		if v.from <= at && at < v.listedUntil {
			list = append(list, origin.Origin{Service: "llm", Software: v.software})
		}
	}
	return list
}

func (i *installation) serves(software string) bool {
	return slices.ContainsFunc(i.versions, func(v servedVersion) bool {
		return v.software == software && v.from <= i.now && i.now < v.servesTo
	})
}

func (i *installation) run() {
	for i.now = simulationStep; i.now < simulationTime; i.now += simulationStep {
		due := i.messages
		i.messages = nil
		for _, m := range due {
			switch {
			case m.to.started != m.started:
			case m.at <= i.now && !i.isFrozen(m.to):
				m.deliver()
			default:
				i.messages = append(i.messages, m)
			}
		}
		i.disturb()
		i.lead()
		for _, v := range i.all() {
			if !i.isFrozen(v) {
				i.readList(v)
				i.renew(v)
				if i.now%historyReading == 0 {
					v.observe()
				}
			}
		}
		if i.chance(0.5) {
			i.begin()
		}
		i.streams = slices.DeleteFunc(i.streams, func(s simulatedStream) bool { return s.ends <= i.now })
		for range 3 {
			i.takeUp()
		}
		i.lookups = slices.DeleteFunc(i.lookups, i.confirm)
	}
}

// disturb starts VMs anew and begins the disturbances that the assumptions allow.
func (i *installation) disturb() {
	if i.chance(0.002) {
		i.entries[i.random.IntN(3)].start(i.now)
	}
	if i.chance(0.0005) {
		i.controls[i.random.IntN(3)].start(i.now)
	}
	if i.chance(0.002) {
		i.entries[i.random.IntN(3)].cutUntil = i.now + i.upTo(i.cutOff)
	}
	if i.chance(0.002) {
		i.leaderlessUntil = i.now + i.upTo(i.leaderless)
	}
	if i.chance(0.002) {
		i.unreadUntil = i.now + i.upTo(i.unread)
	}
	// Most of these begin with a release.
	share := 0.002
	if slices.ContainsFunc(i.versions, func(v servedVersion) bool { return v.from <= i.now && i.now < v.from+time.Second }) {
		share = 0.05
	}
	if i.chance(share) {
		i.zoneCutUntil[i.random.IntN(3)] = i.now + i.upTo(i.zoneCut)
	}
	if i.chance(share) {
		all := i.all()
		all[i.random.IntN(len(all))].frozenUntil = i.now + i.upTo(i.frozen)
	}
}

// elect makes a control VM the leader.
func (i *installation) elect(v *simulatedVM) {
	i.leader, i.electedAt, v.isLeader = v, 0, true
	if v.own.list == nil || v.read > v.own.at {
		v.own = reading{v.board, v.confirmed}
	}
}

// lead elects another leader if the present one is out of touch. That one goes on until it is back.
func (i *installation) lead() {
	isInTouch := func(v *simulatedVM) bool {
		return !i.isFrozen(v) && i.now >= i.zoneCutUntil[v.zone] && i.now >= v.cutUntil
	}
	for _, v := range i.controls {
		v.isLeader = v.isLeader && (v == i.leader || !isInTouch(v))
	}
	switch {
	case i.leader.isLeader && isInTouch(i.leader):
		i.electedAt = 0
	case i.electedAt == 0:
		i.electedAt = i.now + 700*time.Millisecond + i.upTo(2*time.Second)
	case i.now >= i.electedAt:
		if v := i.controls[i.random.IntN(3)]; isInTouch(v) {
			i.elect(v)
		}
	}
}

// readList reads the list on a leader, which sends it to the others if it has changed, and on an entry VM that has had none for a while.
func (i *installation) readList(v *simulatedVM) {
	if i.now < i.unreadUntil || i.now%listReading >= simulationStep {
		return
	}
	if !v.isLeader {
		limit := ownReading
		if v.wantedAt > 0 && i.now-v.wantedAt < listReading {
			limit = wantedReading
		}
		isDue := v.list == nil || i.now-v.read >= limit && i.now-v.own.at >= ownReading
		if isDue && slices.Contains(i.entries, v) {
			v.own = reading{i.listAt(i.now - i.upTo(i.regress)), i.now}
			v.list = v.own.list
		}
		return
	}
	if i.now < i.leaderlessUntil {
		return
	}
	before := v.own
	v.own = reading{i.listAt(i.now - i.upTo(i.regress)), i.now}
	v.list = v.own.list
	if before.list == nil || slices.Equal(before.list, v.own.list) {
		return
	}
	pushed := v.own
	for _, other := range i.all() {
		if other == v {
			continue
		}
		i.send(v, other, func() {
			if slices.Equal(other.board, before.list) {
				other.setBoard(i.now, pushed.list)
				other.read = max(other.read, i.now)
			}
		})
	}
}

// renew asks a leader for its board and how old it is.
func (i *installation) renew(v *simulatedVM) {
	if i.now-v.renewedAt < renewal {
		return
	}
	v.renewedAt = i.now
	leaders := slices.DeleteFunc(slices.Clone(i.controls), func(c *simulatedVM) bool { return c == v || !c.isLeader || !i.reaches(v, c) })
	if len(leaders) == 0 || i.now < i.leaderlessUntil {
		return
	}
	leader, sent, held := leaders[i.random.IntN(len(leaders))], i.now, v.board
	i.send(v, leader, func() {
		if !leader.isLeader || leader.own.list == nil {
			return
		}
		board, age := leader.own.list, i.now-leader.own.at
		isHeld := slices.Equal(board, held)
		i.send(leader, v, func() {
			if !isHeld || v.boardAt == 0 {
				v.setBoard(i.now, board)
			}
			v.read = max(v.read, i.now-age)
			if !isHeld || sent >= v.boardAt {
				v.confirmed = max(v.confirmed, sent-age)
			}
		})
	})
}

// begin begins a stream at an entry VM and records it.
func (i *installation) begin() {
	v := i.entries[i.random.IntN(3)]
	if len(v.list) == 0 || i.isFrozen(v) {
		return
	}
	software := v.list[i.random.IntN(len(v.list))].Software
	if !i.serves(software) {
		return
	}
	i.begun++
	s := simulatedStream{key(i.begun), software, i.now, i.now + i.upTo(i.longest)}
	i.streams = append(i.streams, s)
	record := origin.Record{Key: s.key, Origin: at(software)}
	add := func(v *simulatedVM, remaining time.Duration) {
		record.Until = i.now - v.started + remaining
		v.registry.Add(i.now-v.started, record)
	}
	add(v, i.longest)
	for _, c := range i.controls {
		if i.chance(i.recorded) {
			// Some messages come twice.
			for range 1 + i.random.IntN(2) {
				i.send(v, c, func() { add(c, i.longest) })
			}
		}
	}
}

// takeUp looks the origin of a stream up at an entry VM.
func (i *installation) takeUp() {
	if len(i.streams) == 0 {
		return
	}
	n := i.random.IntN(len(i.streams))
	if i.chance(0.5) {
		// The last streams are the ones of which the fewest VMs know.
		n = len(i.streams) - 1 - i.random.IntN(min(5, len(i.streams)))
	}
	s, v := i.streams[n], i.entries[i.random.IntN(3)]
	if i.now-s.begun <= simulationStep || i.isFrozen(v) {
		return
	}
	l := simulatedLookup{vm: v, stream: s, began: i.now, started: v.started}
	if i.chance(i.named) {
		l.key = s.key
	}
	l.Lookup = origin.NewLookup("llm", v.answer(i.now, l.key), v.listed())
	for n, group := range [][]*simulatedVM{i.controls, i.entries} {
		for _, other := range group {
			if other == v || l.Found() {
				continue
			}
			l.Ask([]string{other.name})
			if i.reaches(v, other) && !i.isFrozen(other) && i.chance(0.8) {
				l.Add(other.name, n == 0, other.answer(i.now, l.key))
			}
		}
	}
	if l.Unconfirmed() {
		i.lookups = append(i.lookups, l)
		return
	}
	i.end(l)
}

// confirm ends a lookup that waits if the list has been read since it began, or its time is over, and reports whether it has.
func (i *installation) confirm(l simulatedLookup) bool {
	v := l.vm
	switch {
	case v.started != l.started:
		return true
	case i.isFrozen(v):
		return false
	case max(v.confirmed, v.own.at) > l.began:
		l.Confirm(v.answer(i.now, l.key).Listed, v.listed())
	case i.now-l.began < origin.MaxWait:
		v.wantedAt = i.now
		return false
	}
	i.end(l)
	return true
}

// end counts the result of a lookup.
func (i *installation) end(l simulatedLookup) {
	found, knowledge, isRecord := l.Result()
	switch {
	case knowledge != origin.Known:
		i.refused++
		return
	case isRecord:
		i.byRecord++
	default:
		i.bySole++
	}
	if found.Software != l.stream.software {
		i.wrong = append(i.wrong, fmt.Sprintf("at %s %s finds %s (from a record: %t) for a stream that began at %s at %s", i.now, l.vm.name, found.Software, isRecord, l.stream.software, l.stream.begun))
	}
}

var _ = Describe("origins of a simulated installation", func() {
	// Guards against wrong origins while records are lost, late and doubled, VMs start anew, stand still and are cut off, alone or with their
	// zone, leaders change and versions come and go.
	It("are never wrong, with drawn installations", func() {
		bySole, byRecord, refused := 0, 0, 0
		for _, seed := range seeds(20) {
			i := newInstallation(seed, sound())
			i.run()
			Expect(i.wrong).To(BeEmpty(), "seed %d", seed)
			bySole, byRecord, refused = bySole+i.bySole, byRecord+i.byRecord, refused+i.refused
		}
		AddReportEntry("take-ups", fmt.Sprintf("by the only version %d, by a record %d, refused %d", bySole, byRecord, refused))
		Expect(bySole).To(BeNumerically(">", 0))
		Expect(byRecord).To(BeNumerically(">", 0))
	})

	// These assumptions are needed by the rule that takes the only version of a service for the origin of a stream without a record.
	DescribeTable("are wrong in some of the drawn installations in which", func(change func(a *assumptions)) {
		var wrong []string
		for seed := uint64(1); len(wrong) == 0 && seed <= 30; seed++ {
			a := sound()
			change(&a)
			i := newInstallation(seed, a)
			i.run()
			if wrong = i.wrong; len(wrong) > 0 {
				AddReportEntry("wrong origins", fmt.Sprintf("seed %d: %d, the first one: %s", seed, len(wrong), wrong[0]))
			}
		}
		Expect(wrong).NotTo(BeEmpty())
	},
		Entry("one reading of the list shows an older state than another", func(a *assumptions) { a.regress = 5 * time.Second }),
		Entry("streams last for longer than the time of which the only version is known", func(a *assumptions) { a.longest = 40 * time.Second }),
	)
})
