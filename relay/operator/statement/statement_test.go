package statement_test

import (
	"encoding/json"
	"errors"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/chicoryrelay/chicoryrelay/relay/catalogue"
	"github.com/chicoryrelay/chicoryrelay/relay/operator/statement"
)

const id = "0190aaaa-0000-7000-8000-000000000000"

func parse(text string) statement.Statement {
	GinkgoHelper()
	s, err := statement.Parse(text)
	Expect(err).NotTo(HaveOccurred())
	return s
}

func expectError(err error, line, column int, expected string) {
	GinkgoHelper()
	var statementErr *statement.Error
	Expect(errors.As(err, &statementErr)).To(BeTrue(), "error %v", err)
	Expect([]int{statementErr.Line, statementErr.Column}).To(Equal([]int{line, column}), statementErr.Error())
	Expect(statementErr.Error()).To(ContainSubstring(expected))
}

func object(kind, name, value string) catalogue.Object {
	return catalogue.Object{Kind: kind, Name: name, Value: json.RawMessage(value)}
}

var (
	engine  = object("upstream", "e1", `{"address":"10.0.0.7:8000","centre":"north","region":"east","kind":"engine","model":"m","weights":"v1","slots":8}`)
	service = object("upstream", "s1", `{"address":"10.0.0.8:8000","centre":"north","region":"east","kind":"service","service":"booking"}`)
	account = object("account", "makers", `{"key":"`+catalogue.HashKey("a")+`","weight":2,"regions":["east"]}`)
	admin   = object("operator", "ann", `{"key":"`+catalogue.HashKey("o")+`","organisation":"makers"}`)
)

func plan(text string) (statement.Plan, error) {
	GinkgoHelper()
	return parse(text).Command.Plan([]catalogue.Object{engine, service, account, admin})
}

var _ = Describe("parser", func() {
	It("reads every clause of a query", func() {
		q := parse("show upstreams name, limit where centre = \"north 1\" and name like e*\n order by slots desc, name limit 3").Query
		Expect([]string{q.Table.Text, q.Columns[0].Text, q.Columns[1].Text}).To(Equal([]string{"upstreams", "name", "limit"}))
		Expect([]string{q.Where[0].Value, q.Where[1].Operator, q.Where[1].Value}).To(Equal([]string{"north 1", "like", "e*"}))
		Expect(q.Where[1].Column.Position).To(Equal(statement.Position{Line: 1, Column: 57}))
		Expect([]bool{q.Order[0].Descending, q.Order[1].Descending}).To(Equal([]bool{true, false}))
		Expect(q.Limit).To(Equal(3))
	})

	It("accepts keywords as names, such as a column named limit, an account named order or a rule named expect", func() {
		Expect(parse("show accounts where limit > 4 limit 5").Query.Limit).To(Equal(5))
		Expect(parse("set account order limit=5 command " + id).Command.ID).To(Equal(id))
		Expect(parse("remove rule expect").Command.Changes[0].Name.Text).To(Equal("expect"))
	})

	It("reads the maximum age of show audit and the arguments of show explain", func() {
		Expect(parse("show audit since 90m").Query.Since).To(Equal(90 * time.Minute))
		q := parse("show explain checker makers upstream").Query
		Expect([]string{q.Arguments[0].Text, q.Arguments[1].Text, q.Columns[0].Text}).To(Equal([]string{"checker", "makers", "upstream"}))
	})

	It("reads several changes with an expected version and a command ID", func() {
		c := parse("drain upstream e1; set account makers weight=4 regions=east,west;\nrole upstream e1 prefill expect 7 command " + id).Command
		Expect(c.Changes).To(HaveLen(3))
		Expect(c.Changes[1].Fields[1].Values).To(Equal([]string{"east", "west"}))
		Expect([]any{c.Changes[2].Role.Text, *c.Expected, c.ID}).To(Equal([]any{"prefill", uint64(7), id}))
	})

	DescribeTable("rejects an invalid statement with line, column and the expected input",
		func(text string, line, column int, expected string) {
			_, err := statement.Parse(text)
			expectError(err, line, column, expected)
		},
		Entry(nil, "", 1, 1, "show, create, set"),
		Entry(nil, "\n frob x", 2, 2, "show, create, set"),
		Entry(nil, "show", 1, 5, "one of vms"),
		Entry(nil, "show bar", 1, 6, "one of vms"),
		Entry(nil, "show vms\nwhere x", 2, 8, "=, !=, <, > or like"),
		Entry(nil, "show vms where a = ", 1, 20, "a value"),
		Entry(nil, "show vms order name", 1, 16, "expected by"),
		Entry(nil, "show vms limit 0", 1, 16, "a number of rows"),
		Entry(nil, "show vms limit 3 where a = b", 1, 18, "in this order"),
		Entry(nil, "show vms since 1h", 1, 16, "where with a column"),
		Entry(nil, "show audit since 1", 1, 18, "a time with its unit"),
		Entry(nil, "show explain a", 1, 6, "ASSISTANT ACCOUNT"),
		Entry(nil, "show vms where a = 'x'", 1, 20, "between double quotes"),
		Entry(nil, "create", 1, 7, "one of upstream"),
		Entry(nil, "create upstream", 1, 16, "the object's name"),
		Entry(nil, "create upstream a", 1, 17, "FIELD=VALUE after the name"),
		Entry(nil, "create upstream a b", 1, 19, "FIELD=VALUE"),
		Entry(nil, "create vm a b=c", 1, 8, "one of upstream"),
		Entry(nil, "set account a weight=4 weight=5", 1, 24, "each field once"),
		Entry(nil, "remove rule a b=c", 1, 15, "set rule a"),
		Entry(nil, "drain account a", 1, 7, "expected upstream"),
		Entry(nil, "drain upstream a b", 1, 18, `";", expect or command`),
		Entry(nil, "load upstream a slots=3", 1, 17, "one of model, adapter, weights"),
		Entry(nil, "role upstream a", 1, 15, "one of prefill"),
		Entry(nil, "role upstream a cook", 1, 17, "one of prefill"),
		Entry(nil, "drain upstream a expect x", 1, 25, "a whole number"),
		Entry(nil, "drain upstream a command 12", 1, 26, "a UUID"),
		Entry(nil, "drain upstream a; ; ", 1, 19, "create, set"),
	)
})

var _ = Describe("planner", func() {
	It("merges set fields into the object and keeps the others", func() {
		p, err := plan("set account makers weight=4 regions=\"\"")
		Expect(err).NotTo(HaveOccurred())
		Expect(p.Edits).To(HaveLen(1))
		Expect(p.Edits[0].Object.Value).To(MatchJSON(`{"key":"` + catalogue.HashKey("a") + `","weight":4,"regions":[]}`))
	})

	It("applies later changes of a command to the results of earlier ones", func() {
		p, err := plan("create upstream e2 address=10.0.0.9:8000 centre=north region=east kind=engine model=m weights=v1; set upstream e2 fenced=true; remove upstream e2; create rule r service=booking idempotent=true")
		Expect(err).NotTo(HaveOccurred())
		Expect(p.Edits).To(HaveLen(4))
		Expect(string(p.Edits[1].Object.Value)).To(And(ContainSubstring(`"fenced":true`), ContainSubstring(`"weights":"v1"`)))
		Expect(p.Edits[2]).To(Equal(statement.Edit{Remove: true, Object: catalogue.Object{Kind: "upstream", Name: "e2"}}))
	})

	It("translates drain, load and role into edits of the upstream's object and keeps its other fields", func() {
		p, err := plan("drain upstream s1; load upstream e1 weights=v2; role upstream e1 decode")
		Expect(err).NotTo(HaveOccurred())
		Expect(string(p.Edits[0].Object.Value)).To(ContainSubstring(`"state":"draining"`))
		Expect(string(p.Edits[1].Object.Value)).To(ContainSubstring(`"weights":"v2"`))
		Expect(string(p.Edits[1].Object.Value)).NotTo(ContainSubstring(`"role"`))
		Expect(p.Edits).To(HaveLen(3))
		Expect(p.Edits[2].Object.Name).To(Equal("e1"))
		Expect(string(p.Edits[2].Object.Value)).To(And(ContainSubstring(`"weights":"v2"`), ContainSubstring(`"role":"decode"`), ContainSubstring(`"model":"m"`)))
	})

	DescribeTable("rejects changes that would make the configuration invalid",
		func(text string, column int, expected string) {
			_, err := plan(text)
			expectError(err, 1, column, expected)
		},
		Entry(nil, "create account makers weight=4", 16, "exists already; expected a new name"),
		Entry(nil, "set account baths weight=4", 13, "show accounts lists them"),
		Entry(nil, "set account makers wait=4", 20, "one of key, weight, regions, limit"),
		Entry(nil, "set account makers name=b", 20, "one of key"),
		Entry(nil, "set account makers weight=4 limit=x", 29, "a whole number"),
		Entry(nil, "set account makers weight=4,5", 20, "no comma"),
		Entry(nil, "set account makers weight=5000", 20, "use a number from 1 to 1000"),
		Entry(nil, "set upstream e1 address=localhost:80", 17, "an IP address and port"),
		Entry(nil, "set upstream e1 fenced=yes", 17, "true or false"),
		Entry(nil, "create assistant a model=m deadline=5", 28, "a time with its unit"),
		Entry(nil, "create account b weight=1", 1, "give the SHA-256 of the key"),
		Entry(nil, "create account Baths weight=1", 1, "use 1 to 63"),
		Entry(nil, "create account b key="+catalogue.HashKey("a"), 18, "give each its own"),
		Entry(nil, "remove operator ann", 17, "create another operator first"),
		Entry(nil, "set upstream e1 role=cook", 17, "use prefill, decode or both"),
		Entry(nil, "set upstream s1 role=prefill", 17, "only engines have a role"),
		Entry(nil, "role upstream s1 prefill", 15, "an upstream with kind=engine"),
		Entry(nil, "load upstream s1 model=m", 15, "an upstream with kind=engine"),
	)
})

// FuzzParse guards against statements that make the parser or the planner panic, and against errors without a position or a remedy.
func FuzzParse(f *testing.F) {
	for _, seed := range []string{
		"show upstreams name where centre = \"north\" and state = draining order by name desc limit 3", "show audit since 1h", "show explain a b",
		"set account makers weight=4 expect 3 command " + id, "drain upstream e1; role upstream e1 prefill; load upstream e1 model=m adapter=\"\"", "create rule r service=b idempotent=true regions=a,b",
	} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, text string) {
		s, err := statement.Parse(text)
		var statementErr *statement.Error
		if err == nil && s.Command != nil {
			_, err = s.Command.Plan([]catalogue.Object{engine, service, account, admin})
		}
		if err != nil && (!errors.As(err, &statementErr) || statementErr.Line < 1 || statementErr.Column < 1 || statementErr.Expected+statementErr.Remedy == "") {
			t.Fatalf("incomplete error %#v", err)
		}
	})
}
