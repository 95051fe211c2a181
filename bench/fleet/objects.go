package fleet

import (
	"encoding/json"
	"fmt"

	"github.com/chicoryrelay/chicoryrelay/relay/catalogue"
)

// organisations maps each organisation to its assistants; traces use the same names.
var organisations = map[string][]string{
	"coop":  {"batch", "notes"},
	"baths": {"kiosk", "catalogue"},
}

// Key returns the key of an account or operator that a fleet creates.
func Key(name string) string { return "key-" + name }

// objects returns the objects of the initial configuration: upstreams, accounts, assistants, rules and operators.
func (p *Plan) objects() ([]catalogue.Object, error) {
	var list []catalogue.Object
	var marshalErr error
	add := func(kind, name string, value any) {
		raw, err := json.Marshal(value)
		if err != nil {
			marshalErr = err
		}
		list = append(list, catalogue.Object{Kind: kind, Name: name, Value: raw})
	}
	for i := range p.Engines {
		name := fmt.Sprintf("engine%d", i+1)
		add(catalogue.KindUpstream, name, catalogue.Upstream{
			Name: name, Address: p.engineAddress(i), DataCentre: p.centre(i), Region: p.region(i), Kind: catalogue.Engine,
			Model: p.Model, Weights: p.Version, Software: p.software(i), Slots: p.Slots, Cache: p.Cache, Fenced: p.Fenced, State: catalogue.Active,
		})
	}
	for i := range p.Services {
		name := fmt.Sprintf("booking%d", i+1)
		add(catalogue.KindUpstream, name, catalogue.Upstream{
			Name: name, Address: p.serviceAddress(i), DataCentre: p.centre(i), Region: p.region(i), Kind: catalogue.Service,
			Service: "booking", Slots: 64, State: catalogue.Active,
		})
	}
	for _, organisation := range []string{"baths", "coop"} {
		for i := range accountsPerOrganisation {
			name := fmt.Sprintf("%s-%d", organisation, i+1)
			add(catalogue.KindAccount, name, catalogue.Account{Name: name, Key: catalogue.HashKey(Key(name)), Weight: 1})
		}
		for _, name := range organisations[organisation] {
			add(catalogue.KindAssistant, name, catalogue.Assistant{Name: name, Model: p.Model, Deadline: catalogue.Span(p.Deadline)})
		}
		name := organisation + "-admin"
		add(catalogue.KindOperator, name, catalogue.Operator{Name: name, Key: catalogue.HashKey(Key(name)), Organisation: organisation})
	}
	add(catalogue.KindRule, "booking-slots", catalogue.Rule{Name: "booking-slots", Service: "booking"})
	add(catalogue.KindRule, "booking-balance", catalogue.Rule{Name: "booking-balance", Service: "booking", Path: "/balance", Idempotent: true})
	return list, marshalErr
}
