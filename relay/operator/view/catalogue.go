package view

import (
	"maps"
	"slices"
	"time"

	"github.com/chicoryrelay/chicoryrelay/relay/catalogue"
)

// FromCatalogue returns the tables that are derived from the configuration: upstreams, models, accounts, assistants, rules and
// operators. They are empty while current returns nil.
func FromCatalogue(current func() *catalogue.Catalogue) Tables {
	fromCurrent := func(rows func(*catalogue.Catalogue) []Row) func() []Row {
		return func() []Row {
			if c := current(); c != nil {
				return rows(c)
			}
			return nil
		}
	}
	return Tables{
		Upstreams: fromCurrent(upstreams), Models: fromCurrent(models), Accounts: fromCurrent(accounts), Assistants: fromCurrent(assistants), Rules: fromCurrent(rules), Operators: fromCurrent(operators),
	}
}

// Merge adds values, such as an upstream's load, to rows in place; values has them by the row's text in the key column.
func Merge(rows []Row, key string, values map[string]Row) []Row {
	for _, row := range rows {
		if name, ok := row[key].(string); ok {
			maps.Copy(row, values[name])
		}
	}
	return rows
}

func upstreams(c *catalogue.Catalogue) []Row {
	list := make([]Row, 0, len(c.Upstreams))
	for _, u := range c.Upstreams {
		list = append(list, Row{
			"name": u.Name, "kind": string(u.Kind), "service": u.Service, "model": u.Model, "adapter": u.Adapter, "weights": u.Weights, "role": u.Role, "centre": u.DataCentre,
			"region": u.Region, "address": u.Address, "slots": u.Slots, "cache": u.Cache, "fenced": u.Fenced, "state": string(u.State),
		})
	}
	return list
}

func models(c *catalogue.Catalogue) []Row {
	type version struct{ model, adapter, weights string }
	byVersion := map[version]Row{}
	var list []Row
	for _, u := range c.Upstreams {
		if u.Kind != catalogue.Engine {
			continue
		}
		key := version{u.Model, u.Adapter, u.Weights}
		if byVersion[key] == nil {
			byVersion[key] = Row{"name": u.Model, "adapter": u.Adapter, "weights": u.Weights, "upstreams": 0, "draining": 0}
			list = append(list, byVersion[key])
		}
		column := "upstreams"
		if u.State == catalogue.Draining {
			column = "draining"
		}
		n, _ := byVersion[key][column].(int)
		byVersion[key][column] = n + 1
	}
	return list
}

func accounts(c *catalogue.Catalogue) []Row {
	var list []Row
	for _, name := range slices.Sorted(maps.Keys(c.Accounts)) {
		a := c.Accounts[name]
		list = append(list, Row{"name": name, "weight": a.Weight, "limit": a.Limit, "regions": a.Regions})
	}
	return list
}

func assistants(c *catalogue.Catalogue) []Row {
	var list []Row
	for _, name := range slices.Sorted(maps.Keys(c.Assistants)) {
		a := c.Assistants[name]
		list = append(list, Row{"name": name, "model": a.Model, "adapter": a.Adapter, "weights": a.Weights, "deadline": time.Duration(a.Deadline)})
	}
	return list
}

func rules(c *catalogue.Catalogue) []Row {
	var list []Row
	for _, r := range c.Rules {
		list = append(list, Row{"name": r.Name, "service": r.Service, "method": r.Method, "path": r.Path, "idempotent": r.Idempotent, "regions": r.Regions})
	}
	return list
}

func operators(c *catalogue.Catalogue) []Row {
	var list []Row
	for _, name := range slices.Sorted(maps.Keys(c.Operators)) {
		list = append(list, Row{"name": name, "organisation": c.Operators[name].Organisation})
	}
	return list
}
