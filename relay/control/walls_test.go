package control_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/chicoryrelay/chicoryrelay/coord/configuration"
	"github.com/chicoryrelay/chicoryrelay/coord/registry"
	"github.com/chicoryrelay/chicoryrelay/relay/catalogue"
	"github.com/chicoryrelay/chicoryrelay/relay/control"
	"github.com/chicoryrelay/chicoryrelay/relay/route"
)

// firstWallID separates the submission IDs of changes of the isolated accounts from those of other changes.
const firstWallID = 1 << 41

var wallAccounts = []string{"a", "b", "c"}

// accountRequest is a request that waits at a VM, as long as that is frozen.
type accountRequest struct {
	account string
	// confirmed is the newest version that was confirmed when the request was sent.
	confirmed int
}

// walls changes which accounts are isolated, and sends requests of all accounts to engines that forget no cached part.
type walls struct {
	simulation *simulation
	random     *rand.Rand
	// isolated has the isolated accounts of each version; version 0 is that before the first change.
	isolated  []map[string]bool
	confirmed int
	waiting   map[*vm][]accountRequest
	// makers are the accounts that have made parts in a scope.
	makers map[string]map[string]bool
	// leased decides by which configuration a VM may share cached parts.
	leased func(v *vm) bool
	// shared counts the uses of another account's parts, between accounts that are not isolated.
	shared int
}

func newWalls(s *simulation, seed uint64) *walls {
	return &walls{
		simulation: s, random: rand.New(rand.NewPCG(seed, 9)), isolated: []map[string]bool{{}}, waiting: map[*vm][]accountRequest{}, makers: map[string]map[string]bool{},
		leased: func(v *vm) bool { return v.node.Leased(s.clock(v)) },
	}
}

func (w *walls) tick() {
	if w == nil {
		return
	}
	s := w.simulation
	v := s.vms[w.random.IntN(vms)]
	if w.random.IntN(150) == 0 && s.up(v) {
		w.change(v)
	}
	if v := s.vms[w.random.IntN(vms)]; v.node != nil && w.random.IntN(3) == 0 {
		w.waiting[v] = append(w.waiting[v], accountRequest{wallAccounts[w.random.IntN(len(wallAccounts))], w.confirmed})
	}
	for _, v := range s.vms {
		if s.up(v) {
			for _, r := range w.waiting[v] {
				w.send(v, r)
			}
		}
		// The requests that wait at a process end with it.
		if s.up(v) || v.node == nil {
			delete(w.waiting, v)
		}
	}
}

// change submits the next version of the isolated accounts at a VM.
func (w *walls) change(v *vm) {
	isolated, names := map[string]bool{}, []string{}
	for _, name := range wallAccounts {
		if w.random.IntN(3) == 0 {
			isolated[name], names = true, append(names, name)
		}
	}
	version := len(w.isolated)
	w.isolated = append(w.isolated, isolated)
	command := configuration.PutNumbered(fmt.Sprint("wall", version), "operator", catalogue.KindDesired, catalogue.DesiredName, uint64(version), []byte(strings.Join(names, " ")))
	w.simulation.handleInput(v, func() (control.Effects, error) {
		return v.node.Submit(w.simulation.clockReading(v), firstWallID+uint64(version), registry.ChangeEntry(time.Time{}, command))
	})
}

func (w *walls) handleResult(result control.CommandResult) {
	if result.Result.Change.Status == configuration.Accepted {
		w.confirmed = max(w.confirmed, int(result.ID-firstWallID))
	}
}

// scope returns the scope in which a VM sends a request of an account now.
func (w *walls) scope(v *vm, account string) string {
	if !w.leased(v) {
		return route.OwnScope(&route.Account{Name: account})
	}
	value, _ := v.node.Objects().Get(catalogue.KindDesired, catalogue.DesiredName)
	_, document := configuration.DecodeNumbered(value)
	state := &route.State{}
	for _, name := range wallAccounts {
		state.Accounts = append(state.Accounts, route.Account{Name: name, Isolated: strings.Contains(string(document), name)})
	}
	table := route.NewTable(state)
	scope, _ := table.Scope(&state.Accounts[slices.Index(wallAccounts, account)])
	return scope
}

// send sends a request, and expects that it uses no part which a wall has kept it from since it was sent.
func (w *walls) send(v *vm, r accountRequest) {
	scope := w.scope(v, r.account)
	if w.makers[scope] == nil {
		w.makers[scope] = map[string]bool{}
	}
	for maker := range w.makers[scope] {
		if maker == r.account {
			continue
		}
		w.shared++
		Expect(w.apart(maker, r)).To(BeFalse(), "%s at %s: a request of %s uses a part of %s; confirmed was version %d, isolated are %v",
			v.name, w.simulation.now, r.account, maker, r.confirmed, w.isolated[r.confirmed:])
	}
	w.makers[scope][r.account] = true
}

// apart reports whether a wall has stood between a maker and a request's account in all versions that may be in force since it was sent.
func (w *walls) apart(maker string, r accountRequest) bool {
	for _, isolated := range w.isolated[r.confirmed:] {
		if !isolated[maker] && !isolated[r.account] {
			return false
		}
	}
	return true
}

var _ = Describe("cached parts of isolated accounts", func() {
	for _, seed := range seeds() {
		// Guards against VMs that share parts by a configuration which is no longer in force: cut off, frozen, restarted, or with a clock that
		// runs slower than the leader's, also when leaders change.
		It(fmt.Sprintf("are not used by others once the change is confirmed, seed %d", seed), func() {
			s := newSimulation(seed)
			s.walls = newWalls(s, seed)
			s.run(10*time.Second, nil)
			s.lossRate = 0.05
			s.run(90*time.Second, s.injectFault)
			s.heal()
			s.run(15*time.Second, nil)
			Expect(s.walls.confirmed).To(BeNumerically(">", 10))
			Expect(s.walls.shared).To(BeNumerically(">", 100))
		})
	}
})
