package route_test

import (
	"errors"
	"os"
	"regexp"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/chicoryrelay/chicoryrelay/relay/route"
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

func decode(text string) (*route.State, error) { return route.Own.Decode([]byte(text)) }

func table() *route.Table {
	GinkgoHelper()
	state, err := decode(document)
	Expect(err).NotTo(HaveOccurred())
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

var _ = Describe("a document of the desired state", func() {
	It("is accepted if it is the example of the manual", func() {
		page, err := os.ReadFile("../../docs/routes.md")
		Expect(err).NotTo(HaveOccurred())
		example := regexp.MustCompile("(?s)```json\n(.*?)```").FindSubmatch(page)
		Expect(example).NotTo(BeNil())
		state, err := route.Own.Decode(example[1])
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
		Entry("an unknown field", `"version"`, `"size"`, "document"),
		Entry("an unknown service", `"split": {"plain": 1}`, `"split": {"other": 1}`, "other"),
		Entry("two routes with the same prefix and with hosts that differ only in case", `"/a/b/"`, `"/a/"`, "all and deep"),
		Entry("no weight above 0", `{"plain": 1}`, `{"plain": 0}`, "all"),
		Entry("a negative weight", `{"plain": 1}`, `{"plain": -1}`, "all"),
		Entry("a timeout of 0", `"timeout": "1s"`, `"timeout": "0s"`, "all"),
		Entry("an unknown kind", `"idempotent"`, `"often"`, "all"),
		Entry("a prefix without a trailing slash", `"/a/"`, `"/a"`, "all"),
		Entry("a service named twice", `{"name": "plain"}`, `{"name": "engines"}`, "engines"),
		Entry("a key shared by two accounts", `"accounts": [`, `"accounts": [{"name": "co-op", "keys": ["k2"]}, `, "share a key"),
	)
})
