package main

import (
	"fmt"
	"math"
	"time"

	"github.com/chicoryrelay/chicoryrelay/coord/configuration"
	"github.com/chicoryrelay/chicoryrelay/coord/quorum"
	"github.com/chicoryrelay/chicoryrelay/relay/capacity"
	"github.com/chicoryrelay/chicoryrelay/relay/catalogue"
	"github.com/chicoryrelay/chicoryrelay/relay/control"
	"github.com/chicoryrelay/chicoryrelay/relay/dispatch"
	"github.com/chicoryrelay/chicoryrelay/relay/gateway"
	"github.com/chicoryrelay/chicoryrelay/relay/operator/view"
	"github.com/chicoryrelay/chicoryrelay/relay/routing"
	"github.com/chicoryrelay/chicoryrelay/relay/settings"
)

// newTables returns the tables of operators' queries. Only control VMs have rows of leases and voters.
func newTables(s settings.Settings, host *control.Host, d *dispatch.Dispatcher, g *gateway.Gateway) view.Tables {
	current := func() *catalogue.Catalogue { return host.View().Catalogue }
	tables := view.FromCatalogue(current)
	upstreams := tables.Upstreams
	tables.Upstreams = func() []view.Row { return view.Merge(upstreams(), "name", speedRows(d)) }
	tables.VMs = func() []view.Row { return vmRows(s, host) }
	tables.Leases = func() []view.Row { return leaseRows(host) }
	tables.Versions = func() []view.Row { return versionRows(host) }
	tables.Voters = func() []view.Row { return voterRows(host) }
	tables.Streams = func() []view.Row { return streamRows(g) }
	tables.Explain = func(assistant, account string) ([]view.Row, error) {
		return explainRows(current(), d, assistant, account)
	}
	return tables
}

// vmRows returns a full row for this VM, and for each other VM its settings and whether it is connected.
func vmRows(s settings.Settings, host *control.Host) []view.Row {
	rows := []view.Row{}
	host.Inspect(func(at control.ClockReading, node *control.Node) {
		rows = append(rows, view.Row{
			"name": s.Name, "centre": s.Centre, "region": s.Region, "address": s.Listeners.Peers, "control": node.Voter() != nil, "state": "alive",
			"boot": node.Incarnation().Boot, "version": node.Version(), "lease": max(0, node.LeasedUntil()-at.Now),
		})
	})
	seen := map[string]bool{s.Name: true}
	for i, list := range [][]settings.Peer{s.Control, s.Neighbours} {
		for _, p := range list {
			if !seen[p.Name] {
				seen[p.Name] = true
				rows = append(rows, view.Row{"name": p.Name, "address": p.Address, "control": i == 0, "state": connectionState(host.Connected(p.Name))})
			}
		}
	}
	return rows
}

func connectionState(connected bool) string {
	if connected {
		return "alive"
	}
	return "suspected"
}

func leaseRows(host *control.Host) []view.Row {
	rows := []view.Row{}
	host.Inspect(func(at control.ClockReading, node *control.Node) {
		if node.Voter() == nil {
			return
		}
		for _, held := range node.Voter().Leases(at.Now) {
			rows = append(rows, view.Row{"vm": held.VM, "boot": held.Boot, "version": held.Installed, "remaining": held.Remaining})
		}
	})
	return rows
}

// versionRows returns the installed version, or on control VMs all retained versions.
func versionRows(host *control.Host) []view.Row {
	rows := []view.Row{}
	host.Inspect(func(_ control.ClockReading, node *control.Node) {
		if node.Voter() == nil {
			rows = append(rows, view.Row{"version": node.Version(), "state": "installed"})
			return
		}
		machine := node.Voter().Machine().Configuration()
		for _, version := range machine.History() {
			rows = append(rows, view.Row{"version": version.Number, "state": versionState(machine, version), "command": version.Command, "actor": version.Actor})
		}
	})
	return rows
}

func versionState(machine *configuration.Machine, version configuration.Version) string {
	switch {
	case version.Number > machine.InForce():
		return "pending"
	case version.Number == machine.InForce():
		return "in force"
	default:
		return "replaced"
	}
}

func voterRows(host *control.Host) []view.Row {
	rows := []view.Row{}
	host.Inspect(func(_ control.ClockReading, node *control.Node) {
		if node.Voter() == nil {
			return
		}
		core := node.Voter().Core()
		for _, member := range core.Members() {
			role := "voter"
			if member.Learner {
				role = "learner"
			}
			rows = append(rows, view.Row{
				"name": member.Name, "incarnation": fmt.Sprintf("%x", member.Incarnation), "role": role, "leader": core.Leader() == member.Identity,
				"matched": ownCommitIndex(core, member.Identity),
			})
		}
	})
	return rows
}

// ownCommitIndex returns the commit index of this VM, and nil for other members, whose index is not known here.
func ownCommitIndex(core *quorum.Core, member quorum.Identity) any {
	if core.Identity() != member {
		return nil
	}
	return core.CommitIndex()
}

func streamRows(g *gateway.Gateway) []view.Row {
	rows := []view.Row{}
	for _, p := range g.InProgress() {
		rows = append(rows, view.Row{
			"request": p.Request, "account": p.Account, "assistant": p.Assistant, "upstream": p.Upstream, "tokens": p.Tokens, "age": p.Age, "resumes": p.Resumes,
		})
	}
	return rows
}

// speedRows returns what this VM has learned of the speeds of upstreams, by name; none unless speeds are learned.
func speedRows(d *dispatch.Dispatcher) map[string]view.Row {
	rows := map[string]view.Row{}
	d.Inspect(func(now time.Duration, core *routing.Core) {
		if core.Speeds() == nil {
			return
		}
		for _, state := range core.Speeds().States(now) {
			rows[state.Server] = speedRow(state)
		}
	})
	return rows
}

func speedRow(state capacity.State) view.Row {
	return view.Row{
		"speed": math.Round(state.Factor*100) / 100, "knee": state.Knee, "observed": state.Age.Round(time.Millisecond), "observations": state.Observations,
	}
}

func explainRows(c *catalogue.Catalogue, d *dispatch.Dispatcher, assistant, account string) ([]view.Row, error) {
	if c == nil {
		return nil, fmt.Errorf("this VM has no configuration yet; try again or ask another VM")
	}
	a, ok := c.Assistants[assistant]
	if !ok {
		return nil, fmt.Errorf("no assistant is named %s; list the names with show assistants", assistant)
	}
	if _, ok := c.Accounts[account]; !ok {
		return nil, fmt.Errorf("no account is named %s; list the names with show accounts", account)
	}
	var rows []view.Row
	d.Inspect(func(now time.Duration, core *routing.Core) {
		request := routing.Request{ID: "explain", Account: account, Assistant: assistant, Model: a.Model, Adapter: a.Adapter, Weights: a.Weights, PromptTokens: explainPromptTokens}
		for _, candidate := range core.Explain(now, request) {
			rows = append(rows, view.Row{
				"upstream": candidate.Upstream, "cost": candidate.Total, "wait": candidate.Wait, "prefill": candidate.Prefill,
				"transfer": candidate.Transfer, "cached": candidate.Cached, "chosen": candidate.Home, "reason": candidate.ExclusionReason,
			})
		}
	})
	return rows, nil
}

// explainPromptTokens is the prompt length for which the costs of routing candidates are computed.
const explainPromptTokens = 1000
