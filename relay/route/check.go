package route

import (
	"fmt"
	"strings"
)

// Invalid reports the first fault of an invalid desired state.
type Invalid struct {
	// Field names the element at fault, such as a route.
	Field  string
	Remedy string
}

// Error implements error.
func (e *Invalid) Error() string { return e.Field + ": " + e.Remedy }

func invalid(remedy, field string, args ...any) error {
	return &Invalid{Field: fmt.Sprintf(field, args...), Remedy: remedy}
}

// Check validates the state; its error is an *Invalid for the first fault.
func (s *State) Check() error {
	services := make(map[string]bool, len(s.Services))
	for i, service := range s.Services {
		if service.Name == "" {
			return invalid("set a name for each service", "services[%d]", i)
		}
		if services[service.Name] {
			return invalid("define each service only once", "service %s", service.Name)
		}
		services[service.Name] = true
	}
	type match struct{ host, prefix string }
	routesByMatch := make(map[match]string, len(s.Routes))
	for i := range s.Routes {
		r := &s.Routes[i]
		if err := r.check(services); err != nil {
			return err
		}
		key := match{strings.ToLower(r.Host), r.Prefix}
		if other, taken := routesByMatch[key]; taken {
			return invalid("give each route a host and prefix of its own", "routes %s and %s", other, r.Name)
		}
		routesByMatch[key] = r.Name
	}
	return s.checkKeys()
}

func (r *Route) check(services map[string]bool) error {
	switch {
	case r.Host == "":
		return invalid("set a host", "route %s", r.Name)
	case !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/"):
		return invalid("set a prefix that begins and ends with a slash", "route %s", r.Name)
	case r.Timeout <= 0:
		return invalid("set a timeout above 0", "route %s", r.Name)
	case r.Kind != Idempotent && r.Kind != Unsafe && r.Kind != Stream:
		return invalid("set the kind to idempotent, unsafe or stream", "route %s", r.Name)
	}
	sum := 0
	for _, share := range r.Split {
		if !services[share.Service] {
			return invalid("use the name of a service in the same document", "route %s, service %q", r.Name, share.Service)
		}
		if share.Weight < 0 {
			return invalid("set a weight of at least 0", "route %s, service %s", r.Name, share.Service)
		}
		sum += share.Weight
	}
	if sum == 0 {
		return invalid("give at least one service a weight above 0", "route %s", r.Name)
	}
	return nil
}

func (a *Account) checkRate() error {
	for _, n := range []float64{a.Rate, a.Burst, a.Plain} {
		if n < 0 {
			return invalid("set a rate, burst and plain figure of at least 0", "account %s", a.Name)
		}
	}
	if a.Unit != "" && a.Unit != Requests && a.Unit != Tokens {
		return invalid("set the unit to requests or tokens", "account %s", a.Name)
	}
	return nil
}

func (s *State) checkKeys() error {
	accountsByKey := map[string]string{}
	for _, account := range s.Accounts {
		if err := account.checkRate(); err != nil {
			return err
		}
		for _, key := range account.Keys {
			if other, taken := accountsByKey[key]; taken && other != account.Name {
				return invalid("give each account keys of its own", "accounts %s and %s share a key", other, account.Name)
			}
			accountsByKey[key] = account.Name
		}
	}
	return nil
}
