package membership

import (
	"maps"
	"slices"
	"time"
)

// State is the state of a VM in a View.
type State uint8

// The states of a VM.
const (
	// Unknown means that no heartbeat has come from the VM and the list has not named it.
	Unknown State = iota
	// Listed means that only the platform's list has named the VM.
	Listed
	// Alive means that the last heartbeat is younger than the suspicion timeout.
	Alive
	// Suspected means that no heartbeat has come within the suspicion timeout.
	Suspected
)

// String returns the state's name in lower case.
func (s State) String() string {
	return [...]string{"unknown", "listed", "alive", "suspected"}[min(s, Suspected)]
}

// Heartbeat is a message that a VM sends at intervals to show that it is alive.
type Heartbeat struct {
	VM string
	// Boot is the boot number of the VM's incarnation; it increases with each start of its process.
	Boot uint64
	// Leaving is set while the VM shuts down.
	Leaving bool
}

// ListEntry is one VM in the platform's list.
type ListEntry struct {
	VM      string
	Leaving bool
}

// Member describes one VM as a View sees it.
type Member struct {
	VM    string
	Boot  uint64
	State State
	// Leaving is set if the VM accepts no new work, according to its heartbeats or the list.
	Leaving bool
	// LastHeartbeat is when the last heartbeat was received, on the local monotonic clock; zero if none was.
	LastHeartbeat time.Duration
}

type member struct {
	boot          uint64
	lastHeartbeat time.Duration
	hasHeartbeat  bool
	leaving       bool
	listed        bool
	listedLeaving bool
	// listedLeavingBoot is the boot number of the incarnation to which the list's leaving mark applies.
	listedLeavingBoot uint64
}

// View is the state of all VMs as one VM sees it; it is not safe for concurrent use.
type View struct {
	suspicionTimeout time.Duration
	removeAfter      time.Duration
	members          map[string]*member
}

// Option changes a setting of a View.
type Option func(*View)

// WithSuspicionTimeout sets the time without a heartbeat after which a VM is suspected; the default is 3 s.
func WithSuspicionTimeout(d time.Duration) Option { return func(v *View) { v.suspicionTimeout = d } }

// WithRemoveAfter sets the time without a heartbeat after which a VM that is not listed is removed; the default is 10 min.
func WithRemoveAfter(d time.Duration) Option { return func(v *View) { v.removeAfter = d } }

// New returns a view without VMs.
func New(opts ...Option) *View {
	v := &View{suspicionTimeout: 3 * time.Second, removeAfter: 10 * time.Minute, members: map[string]*member{}}
	for _, opt := range opts {
		opt(v)
	}
	return v
}

func (v *View) getOrAddMember(vm string) *member {
	if v.members[vm] == nil {
		v.members[vm] = &member{}
	}
	return v.members[vm]
}

// RecordHeartbeat records a heartbeat and reports whether it belongs to the VM's current incarnation; one of an earlier
// incarnation is ignored.
func (v *View) RecordHeartbeat(now time.Duration, heartbeat Heartbeat) bool {
	m := v.getOrAddMember(heartbeat.VM)
	if heartbeat.Boot < m.boot {
		return false
	}
	m.leaving = heartbeat.Leaving || m.leaving && heartbeat.Boot == m.boot
	m.boot, m.lastHeartbeat, m.hasHeartbeat = heartbeat.Boot, now, true
	return true
}

// SetList replaces the platform's list, which names all VMs that the platform knows.
func (v *View) SetList(entries []ListEntry) {
	entriesByVM := map[string]ListEntry{}
	for _, entry := range entries {
		entriesByVM[entry.VM] = entry
		v.getOrAddMember(entry.VM)
	}
	for vm, m := range v.members {
		entry, ok := entriesByVM[vm]
		m.listed = ok
		if entry.Leaving && !m.listedLeaving {
			m.listedLeavingBoot = m.boot
		}
		m.listedLeaving = entry.Leaving
	}
}

// Member returns the state of one VM; a VM that is not in the view is Unknown.
func (v *View) Member(now time.Duration, vm string) Member {
	m := v.members[vm]
	if m == nil {
		return Member{VM: vm}
	}
	state := Unknown
	switch {
	case m.hasHeartbeat && now < m.lastHeartbeat+v.suspicionTimeout:
		state = Alive
	case m.hasHeartbeat:
		state = Suspected
	case m.listed:
		state = Listed
	}
	// The list lags behind: its leaving mark does not apply to a VM that has restarted since it was marked.
	leaving := m.leaving || m.listedLeaving && m.boot <= m.listedLeavingBoot
	return Member{VM: vm, Boot: m.boot, State: state, Leaving: leaving, LastHeartbeat: m.lastHeartbeat}
}

// Members returns the states of all VMs in the view, sorted by name.
func (v *View) Members(now time.Duration) []Member {
	members := make([]Member, 0, len(v.members))
	for _, vm := range slices.Sorted(maps.Keys(v.members)) {
		members = append(members, v.Member(now, vm))
	}
	return members
}

// Prune removes the VMs that are not listed and have sent no heartbeat for the time set by WithRemoveAfter.
func (v *View) Prune(now time.Duration) {
	maps.DeleteFunc(v.members, func(_ string, m *member) bool {
		return !m.listed && now >= m.lastHeartbeat+v.removeAfter
	})
}
