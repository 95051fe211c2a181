package platform

import (
	"net/http"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/gorilla/mux"

	"github.com/chicoryrelay/chicoryrelay/standin/answer"
)

// State is the state of a VM according to the platform.
type State string

// The states of a VM; Gone VMs are not listed.
const (
	Live    State = "live"
	Leaving State = "leaving"
	Gone    State = "gone"
)

// VM is one entry of the list.
type VM struct {
	Name    string         `json:"name"`
	Address netip.AddrPort `json:"address"`
	State   State          `json:"state"`
}

// change is the new value of one entry and the time from which it is visible.
type change struct {
	vm        VM
	visibleAt time.Time
}

// List is the list of VMs; it is safe for concurrent use.
type List struct {
	lag     time.Duration
	now     func() time.Time
	mutex   sync.Mutex
	vms     map[string]VM
	pending []change
}

// Option changes a list.
type Option func(*List)

// WithLag sets the delay until changes are visible.
func WithLag(lag time.Duration) Option { return func(l *List) { l.lag = lag } }

// WithNow replaces the clock.
func WithNow(now func() time.Time) Option { return func(l *List) { l.now = now } }

// WithVMs sets the initial entries, which are visible at once.
func WithVMs(vms ...VM) Option {
	return func(l *List) {
		for _, vm := range vms {
			l.vms[vm.Name] = vm
		}
	}
}

// New returns a list, empty without WithVMs.
func New(opts ...Option) *List {
	l := &List{now: time.Now, vms: map[string]VM{}}
	for _, opt := range opts {
		opt(l)
	}
	return l
}

// Set changes one entry; the change is visible after the lag.
func (l *List) Set(vm VM) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.pending = append(l.pending, change{vm: vm, visibleAt: l.now().Add(l.lag)})
}

// VMs returns the visible entries, sorted by name.
func (l *List) VMs() []VM {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	now := l.now()
	for len(l.pending) > 0 && !l.pending[0].visibleAt.After(now) {
		vm := l.pending[0].vm
		l.pending = l.pending[1:]
		if vm.State == Gone {
			delete(l.vms, vm.Name)
			continue
		}
		l.vms[vm.Name] = vm
	}
	all := make([]VM, 0, len(l.vms))
	for _, vm := range l.vms {
		all = append(all, vm)
	}
	slices.SortFunc(all, func(a, b VM) int { return strings.Compare(a.Name, b.Name) })
	return all
}

// maxBody limits a request body in bytes.
const maxBody = 64 << 10

// Handler serves GET /list as a JSON array, POST /set and GET /healthz.
func (l *List) Handler() http.Handler {
	router := mux.NewRouter()
	router.HandleFunc("/list", func(w http.ResponseWriter, _ *http.Request) {
		answer.Write(w, http.StatusOK, l.VMs())
	}).Methods(http.MethodGet)
	router.HandleFunc("/healthz", func(w http.ResponseWriter, _ *http.Request) {
		answer.Write(w, http.StatusOK, map[string]any{})
	}).Methods(http.MethodGet)
	router.HandleFunc("/set", l.set).Methods(http.MethodPost)
	return router
}

func (l *List) set(w http.ResponseWriter, r *http.Request) {
	var vm VM
	if err := answer.Read(w, r, maxBody, &vm); err != nil {
		answer.Refuse(w, http.StatusBadRequest, "body", err.Error())
		return
	}
	if vm.Name == "" || vm.State != Live && vm.State != Leaving && vm.State != Gone {
		answer.Refuse(w, http.StatusBadRequest, "body", "name, state: give a name and one of the states live, leaving and gone")
		return
	}
	l.Set(vm)
	w.WriteHeader(http.StatusNoContent)
}
