package route_test

import (
	"bytes"
	"encoding/json"
	"errors"
	"math/rand/v2"
	"os"
	"regexp"
	"slices"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/chicoryrelay/chicoryrelay/relay/route"
	"github.com/chicoryrelay/chicoryrelay/relay/syntax/syntaxtest"
)

const document = `{
	"version": 7,
	"routes": [
		{"name": "all", "host": "Jepu9.example", "prefix": "/a/", "kind": "idempotent", "timeout": "1s", "target": "200ms", "split": {"plain": 1}, "attempts": 2},
		{"name": "deep", "host": "jepu9.example", "prefix": "/a/b/", "kind": "stream", "timeout": "5s", "split": {"engines": 9, "plain": 1}, "resumable": true}
	],
	"services": [{"name": "plain"}, {"name": "engines", "engine": {"slots": 96, "memory": 81468}}],
	"limits": {"headers": 16384, "body": 1048576, "header": "3s", "idle": "15s"},
	"accounts": [{"name": "baths", "keys": ["k1", "k2"], "isolated": true}]
}`

func decode(text string) (*route.State, error) { return route.Own.Accept([]byte(text)) }

func table() *route.Table {
	GinkgoHelper()
	state, err := decode(document)
	Expect(err).NotTo(HaveOccurred())
	return route.NewTable(state)
}

// tableOf returns a table under which the named accounts are isolated.
func tableOf(isolated string) *route.Table {
	state := &route.State{}
	for _, name := range strings.Fields(isolated) {
		state.Accounts = append(state.Accounts, route.Account{Name: name, Isolated: true})
	}
	return route.NewTable(state)
}

var _ = Describe("the route table", func() {
	DescribeTable("returns the route with the longest prefix of the path, or none, for",
		func(host, path, name string) {
			r := table().Route(host, path)
			if name == "" {
				Expect(r).To(BeNil())
				return
			}
			Expect(r.Name).To(Equal(name))
		},
		Entry("a path below one prefix", "jepu9.example", "/a/x", "all"),
		Entry("a path below two prefixes", "jepu9.example", "/a/b/x", "deep"),
		Entry("a host in another case and with a port", "JEPU9.example:80", "/a/", "all"),
		Entry("a path that shares only the beginning of a prefix", "jepu9.example", "/ab", ""),
		Entry("a host without routes", "other.example", "/a/x", ""),
	)

	It("finds accounts by each of their keys and by no other", func() {
		t := table()
		Expect(t.Account("k1").Name).To(Equal("baths"))
		Expect(t.Account("k2").Isolated).To(BeTrue())
		Expect(t.Account("k")).To(BeNil())
		Expect(t.Account("")).To(BeNil())
	})

	DescribeTable("gives accounts one scope of cached prompts",
		func(before, after string, accountBefore, accountAfter string, same bool) {
			scope := func(isolated, account string) string {
				scope, _ := tableOf(isolated).Scope(&route.Account{Name: account})
				return scope
			}
			if same {
				Expect(scope(after, accountAfter)).To(Equal(scope(before, accountBefore)))
			} else {
				Expect(scope(after, accountAfter)).NotTo(Equal(scope(before, accountBefore)))
			}
		},
		Entry("if neither is isolated", "c", "c", "a", "b", true),
		Entry("if neither is isolated, whatever the order of the isolated ones", "c d", "d c", "a", "b", true),
		Entry("again when the same ones are isolated again", "c", "c", "a", "a", true),
		Entry("not if one is isolated", "a", "a", "a", "b", false),
		Entry("not if both are isolated", "a b", "a b", "a", "b", false),
		Entry("not when one of the others has become isolated", "", "c", "a", "b", false),
		Entry("not when an isolated one takes the place of another", "c", "d", "a", "b", false),
		Entry("not if the names of the isolated ones only look alike when joined", "a bc", "ab c", "x", "x", false),
		Entry("not if an isolated account has a scope's name", "c", "shared/", "a", "shared/", false),
	)

	It("isolates an account without a name, and one of which only one of two entries is isolated", func() {
		state := &route.State{Accounts: []route.Account{{Name: "", Isolated: true}, {Name: "a"}, {Name: "a", Isolated: true}}}
		for i := range state.Accounts {
			_, isolated := route.NewTable(state).Scope(&state.Accounts[i])
			Expect(isolated).To(BeTrue(), "account %d", i)
		}
	})

	// Guards against a process that shares what others keep apart, or keeps what an account shared before it became isolated: VMs with any
	// desired states, in any order, never share the cached prompts of accounts one of which is isolated under the state in use.
	It("never finds prompts of another account under a table that isolates one of the two, after any series of desired states", func() {
		names := []string{"a", "b", "c", "d"}
		for seed := range uint64(200) {
			random := rand.New(rand.NewPCG(seed, 1))
			makers := map[string]map[string]bool{}
			for range 200 {
				var isolated []string
				for _, name := range names {
					if random.IntN(3) == 0 {
						isolated = append(isolated, name)
					}
				}
				table, name := tableOf(strings.Join(isolated, " ")), names[random.IntN(len(names))]
				scope, own := table.Scope(&route.Account{Name: name})
				for maker := range makers[scope] {
					if maker != name {
						Expect(own || slices.Contains(isolated, maker)).To(BeFalse(), "seed %d: %s uses a prompt of %s while %v are isolated", seed, name, maker, isolated)
					}
				}
				if makers[scope] == nil {
					makers[scope] = map[string]bool{}
				}
				makers[scope][name] = true
			}
		}
	})

	It("splits requests by weight and sends none to a service of weight 0", func() {
		r := table().Route("jepu9.example", "/a/b/")
		Expect(r.PickService(0)).To(Equal("engines"))
		Expect(r.PickService(0.89)).To(Equal("engines"))
		Expect(r.PickService(0.95)).To(Equal("plain"))
		zero := route.Route{Split: []route.Share{{Service: "none", Weight: 0}, {Service: "all", Weight: 3}}}
		Expect(zero.PickService(0)).To(Equal("all"))
	})

	It("allows only idempotent requests and resumable streams to be repeated", func() {
		Expect((&route.Route{Kind: route.Idempotent}).Repeatable()).To(BeTrue())
		Expect((&route.Route{Kind: route.Stream, Resumable: true}).Repeatable()).To(BeTrue())
		Expect((&route.Route{Kind: route.Stream}).Repeatable()).To(BeFalse())
		Expect((&route.Route{Kind: route.Unsafe, Resumable: true}).Repeatable()).To(BeFalse())
	})
})

var _ = Describe("what a request counts against its account's rate", func() {
	DescribeTable("is",
		func(unit route.Unit, plain float64, prompt, answer int, cost uint64) {
			account := route.Account{Unit: unit, Plain: plain}
			Expect(account.Cost(prompt, answer)).To(Equal(cost))
		},
		Entry("one, if requests are the unit", route.Requests, 500.0, 100, 20, uint64(1)),
		Entry("one, if no unit is given", route.Unit(""), 500.0, 100, 20, uint64(1)),
		Entry("the tokens of prompt and answer", route.Tokens, 500.0, 100, 20, uint64(120)),
		Entry("the plain figure without these, whole", route.Tokens, 0.5, 0, 0, uint64(1)),
		Entry("nothing without a plain figure", route.Tokens, 0.0, 0, 0, uint64(0)),
		Entry("a large number for declared lengths without sense", route.Tokens, 0.0, 1<<62, 1<<62, uint64(2*route.MaxUnits)),
	)
})

// compact returns a document without white space.
func compact(text string) string {
	var out bytes.Buffer
	if err := json.Compact(&out, []byte(text)); err != nil {
		panic(err)
	}
	return out.String()
}

var _ = Describe("a document of the desired state", func() {
	// Guards against documents of which a part is used, or something else than they say. Unknown fields are refused.
	for _, odd := range syntaxtest.Cases(compact(document), "version", "7") {
		outcome := "is refused"
		if odd.Name == syntaxtest.Sound {
			outcome = "is accepted"
		}
		It(outcome+" if it has "+odd.Name, func() {
			_, err := decode(odd.Text)
			Expect(err == nil).To(Equal(odd.Name == syntaxtest.Sound), "%v", err)
		})
	}

	It("is accepted if it is the example of the manual", func() {
		page, err := os.ReadFile("../../docs/routes.md")
		Expect(err).NotTo(HaveOccurred())
		example := regexp.MustCompile("(?s)```json\n(.*?)```").FindSubmatch(page)
		Expect(example).NotTo(BeNil())
		state, err := route.Own.Accept(example[1])
		Expect(err).NotTo(HaveOccurred())
		Expect(state.Routes).NotTo(BeEmpty())
	})

	DescribeTable("is refused with the name of the element at fault if it has",
		func(old, changed, field string) {
			_, err := decode(strings.Replace(document, old, changed, 1))
			var invalid *route.Invalid
			Expect(errors.As(err, &invalid)).To(BeTrue(), "%v", err)
			Expect(invalid.Error()).To(ContainSubstring(field))
		},
		Entry("been truncated", `"isolated": true}]`, `"isolated": tr`, "document"),
		Entry("the end of another document after it", "\"isolated\": true}]\n}", "\"isolated\": true}]\n}]}", "document"),
		Entry("another document after it", "\"isolated\": true}]\n}", "\"isolated\": true}]\n}{}", "document"),
		Entry("an unknown field", `"version"`, `"size"`, "document"),
		// Guards against a state in force that isn't the one that the operator wrote.
		Entry("a field given twice", `"name": "all"`, `"name": "all", "name": "any"`, "routes[0].name"),
		Entry("a service given twice in a split", `"split": {"plain": 1}`, `"split": {"plain": 1, "plain": 2}`, "routes[0].split.plain"),
		Entry("a field in another case", `"isolated"`, `"Isolated"`, "accounts[0].Isolated"),
		Entry("a key that is no text", `"k2"`, "\"\xff\"", "accounts[0].keys[1]"),
		Entry("half a character", `"k2"`, `"\ud83d"`, "accounts[0].keys[1]"),
		Entry("an unknown service", `"split": {"plain": 1}`, `"split": {"other": 1}`, "other"),
		Entry("two routes with the same prefix and with hosts that differ only in case", `"/a/b/"`, `"/a/"`, "all and deep"),
		Entry("no weight above 0", `{"plain": 1}`, `{"plain": 0}`, "all"),
		Entry("a negative weight", `{"plain": 1}`, `{"plain": -1}`, "all"),
		Entry("a timeout of 0", `"timeout": "1s"`, `"timeout": "0s"`, "all"),
		Entry("an unknown kind", `"idempotent"`, `"often"`, "all"),
		Entry("a prefix without a trailing slash", `"/a/"`, `"/a"`, "all"),
		Entry("a service named twice", `{"name": "plain"}`, `{"name": "engines"}`, "engines"),
		Entry("a negative rate", `"isolated": true`, `"rate": -0.5`, "baths"),
		Entry("a negative burst", `"isolated": true`, `"burst": -1`, "baths"),
		Entry("a unit of another name", `"isolated": true`, `"unit": "bytes"`, "baths"),
		Entry("a key shared by two accounts", `"accounts": [`, `"accounts": [{"name": "co-op", "keys": ["k2"]}, `, "share a key"),
	)
})
