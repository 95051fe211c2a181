package route

import (
	"fmt"
	"strings"
)

// Invalid is the error of a desired state that must not be accepted.
type Invalid struct {
	// Field names the place at fault.
	Field  string
	Remedy string
}

// Error implements error.
func (e *Invalid) Error() string { return e.Field + ": " + e.Remedy }

func invalid(remedy, field string, args ...any) error {
	return &Invalid{Field: fmt.Sprintf(field, args...), Remedy: remedy}
}

// Check returns an *Invalid that names the first fault, or nil.
func (s *State) Check() error {
	services := make(map[string]bool, len(s.Services))
	for i, service := range s.Services {
		if service.Name == "" {
			return invalid("give each service a name", "services[%d]", i)
		}
		if services[service.Name] {
			return invalid("name each service once", "service %s", service.Name)
		}
		services[service.Name] = true
	}
	type place struct{ host, prefix string }
	places := make(map[place]string, len(s.Routes))
	for i := range s.Routes {
		r := &s.Routes[i]
		if err := r.check(services); err != nil {
			return err
		}
		at := place{strings.ToLower(r.Host), r.Prefix}
		if other, taken := places[at]; taken {
			return invalid("give each route a host and prefix of its own", "routes %s and %s", other, r.Name)
		}
		places[at] = r.Name
	}
	return s.checkKeys()
}

func (r *Route) check(services map[string]bool) error {
	switch {
	case r.Host == "":
		return invalid("set the host", "route %s", r.Name)
	case !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/"):
		return invalid("begin and end the prefix with a slash", "route %s", r.Name)
	case r.Timeout <= 0:
		return invalid("set a timeout above 0", "route %s", r.Name)
	case r.Kind != Idempotent && r.Kind != Unsafe && r.Kind != Stream:
		return invalid("set a known kind", "route %s", r.Name)
	}
	sum := 0
	for _, share := range r.Split {
		if !services[share.Service] {
			return invalid("name a service of the same state", "route %s, service %q", r.Name, share.Service)
		}
		if share.Weight < 0 {
			return invalid("use weights of 0 and above", "route %s, service %s", r.Name, share.Service)
		}
		sum += share.Weight
	}
	if sum == 0 {
		return invalid("give at least one service a weight above 0", "route %s", r.Name)
	}
	return nil
}

func (s *State) checkKeys() error {
	holders := map[string]string{}
	for _, account := range s.Accounts {
		for _, key := range account.Keys {
			if other, taken := holders[key]; taken && other != account.Name {
				return invalid("give each account keys of its own", "accounts %s and %s share a key", other, account.Name)
			}
			holders[key] = account.Name
		}
	}
	return nil
}
