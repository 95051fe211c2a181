package view

import (
	"time"

	"github.com/chicoryrelay/chicoryrelay/relay/operator/statement"
)

// Row is one row of a table, with values by column name. Values are strings, integers, floats, booleans, durations, times, addresses,
// lists of strings, or nil.
type Row map[string]any

// Tables has a function for the rows of each table; a table whose function is nil is empty.
type Tables struct {
	VMs        func() []Row
	Upstreams  func() []Row
	Models     func() []Row
	Accounts   func() []Row
	Assistants func() []Row
	Rules      func() []Row
	Operators  func() []Row
	Streams    func() []Row
	Leases     func() []Row
	Versions   func() []Row
	Voters     func() []Row
	// Audit returns the audit entries that the organisation may see and that are at most since old; 0 means any age.
	Audit func(organisation string, since time.Duration) []Row
	// Explain returns the routing candidates for a request of the client account to the assistant; it fails if either is unknown.
	Explain func(assistant, account string) ([]Row, error)
}

// columns lists the columns of each table in display order.
var columns = map[string][]string{
	"vms":        {"name", "centre", "region", "address", "control", "state", "boot", "version", "lease"},
	"upstreams":  {"name", "kind", "service", "model", "adapter", "weights", "role", "centre", "region", "address", "slots", "cache", "fenced", "state", "incarnation", "outstanding", "ttft", "health", "speed", "knee", "observed", "observations"},
	"models":     {"name", "adapter", "weights", "upstreams", "draining"},
	"accounts":   {"name", "weight", "limit", "regions", "outstanding"},
	"assistants": {"name", "model", "adapter", "weights", "deadline"},
	"rules":      {"name", "service", "method", "path", "idempotent", "regions"},
	"operators":  {"name", "organisation"},
	"streams":    {"request", "account", "assistant", "upstream", "tokens", "age", "resumes"},
	"leases":     {"vm", "boot", "version", "remaining"},
	"versions":   {"version", "state", "command", "actor", "time"},
	"voters":     {"name", "incarnation", "role", "leader", "matched"},
	"audit":      {"time", "actor", "organisation", "source", "statement", "command", "expected", "outcome", "version"},
	"explain":    {"upstream", "cost", "wait", "prefill", "transfer", "cached", "chosen", "reason"},
}

// Columns returns the columns of a table in display order; nil for an unknown table.
func Columns(table string) []string { return columns[table] }

func (t Tables) rows(q *statement.Query, organisation string) ([]Row, error) {
	switch q.Table.Text {
	case "audit":
		if t.Audit == nil {
			return nil, nil
		}
		return t.Audit(organisation, q.Since), nil
	case "explain":
		if t.Explain == nil {
			return nil, nil
		}
		return t.Explain(q.Arguments[0].Text, q.Arguments[1].Text)
	}
	table := map[string]func() []Row{
		"vms": t.VMs, "upstreams": t.Upstreams, "models": t.Models, "accounts": t.Accounts, "assistants": t.Assistants, "rules": t.Rules,
		"operators": t.Operators, "streams": t.Streams, "leases": t.Leases, "versions": t.Versions, "voters": t.Voters,
	}[q.Table.Text]
	if table == nil {
		return nil, nil
	}
	return table(), nil
}
