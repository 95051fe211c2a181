package view_test

import (
	"encoding/json"
	"errors"
	"math"
	"net/netip"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/chicoryrelay/chicoryrelay/relay/catalogue"
	"github.com/chicoryrelay/chicoryrelay/relay/operator/statement"
	"github.com/chicoryrelay/chicoryrelay/relay/operator/view"
)

var rows = []view.Row{
	{"name": "e1", "centre": "north", "slots": 8, "ttft": 90 * time.Millisecond, "address": netip.MustParseAddrPort("10.0.0.1:80"), "state": "active"},
	{"name": "e2", "centre": "south", "slots": 16, "ttft": 1200 * time.Millisecond, "address": netip.MustParseAddrPort("10.0.0.2:80"), "state": "draining"},
	{"name": "f1", "centre": "north", "slots": 9, "state": "active"},
}

func run(tables view.Tables, text string) (view.Result, error) {
	GinkgoHelper()
	s, err := statement.Parse(text)
	Expect(err).NotTo(HaveOccurred())
	return tables.Run(s.Query, "makers")
}

var _ = Describe("query", func() {
	tables := view.Tables{
		Upstreams: func() []view.Row { return rows },
		Audit: func(organisation string, since time.Duration) []view.Row {
			return []view.Row{{"organisation": organisation, "time": time.Unix(0, 0), "actor": since.String()}}
		},
		Rules: func() []view.Row {
			return []view.Row{{"name": "r", "path": "/a/b", "regions": []string{"east", "west"}}}
		},
		Explain: func(string, string) ([]view.Row, error) { return nil, errors.New("there is no assistant x") },
	}

	DescribeTable("filters and orders rows by the type of the column", func(text string, names ...any) {
		result, err := run(tables, text)
		Expect(err).NotTo(HaveOccurred())
		found := []any{}
		for _, row := range result.Rows {
			found = append(found, row[0])
		}
		Expect(found).To(HaveExactElements(names...))
	},
		Entry(nil, "show upstreams name", "e1", "e2", "f1"),
		Entry(nil, "show upstreams name where slots > 8", "e2", "f1"),
		Entry(nil, "show upstreams name where slots < 10 order by slots desc", "f1", "e1"),
		Entry(nil, "show upstreams name where ttft > 100ms", "e2"),
		Entry(nil, "show upstreams name where centre = north and state != draining", "e1", "f1"),
		Entry(nil, "show upstreams name where name like e*", "e1", "e2"),
		Entry(nil, "show upstreams name where name like ?1 limit 1", "e1"),
		Entry(nil, "show upstreams name where address = 10.0.0.2:80", "e2"),
		Entry(nil, "show upstreams name where adapter = \"\" order by centre desc, name", "e2", "e1", "f1"),
		Entry(nil, "show upstreams name order by ttft", "f1", "e1", "e2"),
		Entry(nil, "show rules name where path like /a* and regions = west", "r"),
		Entry(nil, "show rules name where regions != west"),
		Entry(nil, "show vms"),
		Entry(nil, "show audit actor since 1h", "1h0m0s"),
		Entry(nil, "show audit organisation", "makers"),
	)

	It("returns every column in display order, with durations and addresses as text", func() {
		result, err := run(tables, "show upstreams where name = e1")
		Expect(err).NotTo(HaveOccurred())
		Expect(result.Columns).To(Equal(view.Columns("upstreams")))
		text, err := json.Marshal(result.Rows)
		Expect(err).NotTo(HaveOccurred())
		Expect(text).To(MatchJSON(`[["e1",null,null,null,null,null,null,"north",null,"10.0.0.1:80",8,null,null,"active",null,null,"90ms",null,null,null,null,null]]`))
	})

	It("returns null for numbers that JSON cannot represent, so that the response stays valid", func() {
		tables := view.Tables{Leases: func() []view.Row { return []view.Row{{"vm": math.NaN(), "boot": math.Inf(1), "version": 0.5}} }}
		result, err := run(tables, "show leases vm, boot, version")
		Expect(err).NotTo(HaveOccurred())
		Expect(result.Rows).To(Equal([][]any{{nil, nil, 0.5}}))
	})

	DescribeTable("rejects unknown columns, and unknown arguments of show explain", func(text, expected string) {
		_, err := run(tables, text)
		Expect(err).To(MatchError(ContainSubstring(expected)))
	},
		Entry(nil, "show upstreams colour", "line 1, column 16: upstreams has no column colour; expected one of name"),
		Entry(nil, "show operators where key = x", "operators has no column key"),
		Entry(nil, "show vms order by colour", "column 19: vms has no column colour"),
		Entry(nil, "show explain x y", "there is no assistant x"),
	)

	It("has columns for each table that the parser accepts", func() {
		for _, table := range statement.Tables {
			Expect(view.Columns(table)).NotTo(BeEmpty(), table)
		}
	})

	It("shows every table of the configuration without keys, and counts active and draining upstreams by model", func() {
		key := catalogue.HashKey("a")
		object := func(kind, name, value string) catalogue.Object {
			return catalogue.Object{Kind: kind, Name: name, Value: json.RawMessage(value)}
		}
		c, err := catalogue.New(1, []catalogue.Object{
			object("upstream", "e1", `{"address":"10.0.0.7:8000","centre":"north","region":"east","kind":"engine","model":"m","weights":"v1"}`),
			object("upstream", "e2", `{"address":"10.0.0.8:8000","centre":"north","region":"east","kind":"engine","model":"m","weights":"v1","state":"draining"}`),
			object("account", "a", `{"key":"`+key+`"}`), object("operator", "o", `{"key":"`+key+`","organisation":"makers"}`),
			object("assistant", "s", `{"model":"m","deadline":"800ms"}`), object("rule", "r", `{"service":"b","idempotent":true}`),
		})
		Expect(err).NotTo(HaveOccurred())
		tables := view.FromCatalogue(func() *catalogue.Catalogue { return c })
		for _, table := range []string{"upstreams", "models", "accounts", "assistants", "rules", "operators"} {
			result, err := run(tables, "show "+table)
			Expect(err).NotTo(HaveOccurred())
			Expect(result.Rows).NotTo(BeEmpty())
			text, err := json.Marshal(result)
			Expect(err).NotTo(HaveOccurred())
			Expect(string(text)).NotTo(ContainSubstring(key))
		}
		result, _ := run(tables, "show models upstreams, draining")
		Expect(result.Rows).To(Equal([][]any{{1, 1}}))
	})
})
