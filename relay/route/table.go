package route

import (
	"crypto/sha256"
	"encoding/hex"
	"maps"
	"net"
	"slices"
	"strconv"
	"strings"
)

// Table is an immutable index of a state's routes, services and accounts.
type Table struct {
	State    *State
	hosts    map[string][]*Route
	services map[string]*Service
	accounts map[[sha256.Size]byte]*Account
	// isolated has the names of the isolated accounts; sharedScope is the scope that all others share.
	isolated    map[string]bool
	sharedScope string
}

// NewTable indexes a checked state.
func NewTable(s *State) *Table {
	t := &Table{
		State: s, hosts: map[string][]*Route{}, services: make(map[string]*Service, len(s.Services)),
		accounts: map[[sha256.Size]byte]*Account{},
	}
	for i := range s.Routes {
		r := &s.Routes[i]
		host := strings.ToLower(r.Host)
		t.hosts[host] = append(t.hosts[host], r)
	}
	for _, routes := range t.hosts {
		slices.SortStableFunc(routes, func(a, b *Route) int { return len(b.Prefix) - len(a.Prefix) })
	}
	for i := range s.Services {
		t.services[s.Services[i].Name] = &s.Services[i]
	}
	for i := range s.Accounts {
		for _, key := range s.Accounts[i].Keys {
			t.accounts[sha256.Sum256([]byte(key))] = &s.Accounts[i]
		}
	}
	t.isolated = isolatedAccounts(s.Accounts)
	t.sharedScope = sharedScope(t.isolated)
	return t
}

func isolatedAccounts(accounts []Account) map[string]bool {
	isolated := map[string]bool{}
	for i := range accounts {
		if accounts[i].Isolated {
			isolated[accounts[i].Name] = true
		}
	}
	return isolated
}

// The scopes of an isolated account and of all others begin differently, so that no account's name can be that of a shared scope.
const (
	ownScopePrefix    = "account/"
	sharedScopePrefix = "shared/"
	keylessScope      = "keyless"
)

// sharedScope returns the scope of the accounts that are not isolated. It is named after the set of the isolated ones: whoever cached a
// prompt in it was not isolated under the same set. VMs need no history to agree on it, and an account that becomes isolated leaves
// what it has cached so far in a scope that nobody uses any more.
func sharedScope(isolated map[string]bool) string {
	if len(isolated) == 0 {
		return ""
	}
	digest := sha256.New()
	for _, name := range slices.Sorted(maps.Keys(isolated)) {
		_, _ = digest.Write([]byte(strconv.Itoa(len(name)) + ":" + name)) // A hash never returns an error.
	}
	return sharedScopePrefix + hex.EncodeToString(digest.Sum(nil)[:8])
}

// Route returns the route of the host with the longest prefix of the path, or nil. The path is the one that is sent on, not its decoded form.
func (t *Table) Route(host, path string) *Route {
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	for _, r := range t.hosts[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// Service returns a service by name, or nil.
func (t *Table) Service(name string) *Service { return t.services[name] }

// Account returns the account of a key, or nil. The lookup is by digest, so that its time does not depend on how many characters the
// key has in common with a valid one.
func (t *Table) Account(key string) *Account { return t.accounts[sha256.Sum256([]byte(key))] }

// Scope returns the scope within which the requests of an account share cached prompts, and whether the account is isolated. The account
// may be that of an earlier table, or nil for requests without a key.
func (t *Table) Scope(account *Account) (scope string, isolated bool) {
	if account != nil && t.isolated[account.Name] {
		return OwnScope(account), true
	}
	return t.sharedScope, false
}

// OwnScope returns a scope that no other account shares, isolated or not; the account is nil for requests without a key.
func OwnScope(account *Account) string {
	if account == nil {
		return keylessScope
	}
	return ownScopePrefix + account.Name
}

// RequiresKey reports whether requests need a key.
func (t *Table) RequiresKey() bool { return t.State.Accounts != nil }

// Allows reports whether requests of the route may run at a service.
func (r *Route) Allows(service string) bool {
	return slices.ContainsFunc(r.Split, func(s Share) bool { return s.Service == service && s.Weight > 0 })
}

// IsShared reports whether several services share the requests of the route.
func (r *Route) IsShared() bool {
	services := 0
	for _, share := range r.Split {
		if share.Weight > 0 {
			services++
		}
	}
	return services > 1
}

// PickService returns the service for a request, at random by weight; draw is a random number in [0, 1).
func (r *Route) PickService(draw float64) string {
	sum := 0
	for _, share := range r.Split {
		sum += share.Weight
	}
	remaining := int(draw * float64(sum))
	for _, share := range r.Split {
		if remaining < share.Weight {
			return share.Service
		}
		remaining -= share.Weight
	}
	return r.Split[len(r.Split)-1].Service
}
