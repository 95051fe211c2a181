package syntax_test

import (
	"encoding/json"
	"errors"
	"fmt"
	"runtime"
	"strings"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/chicoryrelay/chicoryrelay/relay/syntax"
)

// label decodes itself from text.
type label string

func (l *label) UnmarshalText(text []byte) error {
	*l = label(text)
	return nil
}

// part is embedded in target.
type part struct {
	Inner int `json:"inner"`
}

// target has a field of each kind that a check tells apart.
type target struct {
	Name   string  `json:"name"`
	Kind   label   `json:"kind"`
	Rate   float64 `json:"rate,omitempty"`
	Plain  bool
	Hidden string                     `json:"-"`
	Nested *target                    `json:"-"`
	List   []struct{ Weight int }     `json:"list"`
	Shares map[string]int             `json:"shares"`
	Groups map[string]struct{ N int } `json:"groups"`
	Raw    []json.RawMessage          `json:"raw"`
	Any    any                        `json:"any"`
	part
}

func expectFault(text, path, remedy string) {
	GinkgoHelper()
	var into target
	err := syntax.Unmarshal([]byte(text), &into)
	var fault *syntax.Error
	Expect(errors.As(err, &fault)).To(BeTrue(), "error %v", err)
	Expect(fault.Path).To(Equal(path))
	Expect(fault.Remedy).To(ContainSubstring(remedy))
	Expect(fault.Error()).To(And(HavePrefix(path), HaveSuffix(fault.Remedy)))
}

// allocatedBy returns the bytes that a call allocates.
func allocatedBy(call func()) int {
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	call()
	runtime.ReadMemStats(&after)
	return int(after.TotalAlloc - before.TotalAlloc)
}

// processorTime returns what this process has used so far. Unlike wall time it doesn't grow with the load of the machine.
func processorTime() time.Duration {
	GinkgoHelper()
	var usage syscall.Rusage
	Expect(syscall.Getrusage(syscall.RUSAGE_SELF, &usage)).To(Succeed())
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// numbered returns count texts of a format with a number.
func numbered(format string, count int) string {
	var text strings.Builder
	for i := range count {
		fmt.Fprintf(&text, format, i)
	}
	return text.String()
}

var _ = Describe("a check", func() {
	// Guards against keys of which encoding/json keeps the last, or sets a field of another name, and text that it replaces.
	DescribeTable("names the place of", expectFault,
		Entry("a field given twice", `{"name":"a","rate":1,"name":"a"}`, "name", "only once"),
		Entry("a field given twice, once with an escape", `{"name":"a","n\u0061me":"b"}`, "name", "only once"),
		Entry("an unknown key given twice", `{"x":1,"y":2,"x":1}`, "x", "only once"),
		Entry("an empty key given twice", `{"":1,"":2}`, `""`, "only once"),
		Entry("a key of a map given twice", `{"shares":{"a":1,"b":1,"a":2}}`, "shares.a", "only once"),
		Entry("a field in a list", `{"list":[{"Weight":1},{"Weight":1,"Weight":2}]}`, "list[1].Weight", "only once"),
		Entry("a field in a map", `{"groups":{"a":{"N":1,"N":1}}}`, "groups.a.N", "only once"),
		Entry("a key within an unknown value", `{"x":[[{"a":1},{"b":{"a":1,"a":1}}]]}`, "x[0][1].b.a", "only once"),
		Entry("a key within a value of any type", `{"any":{"a":1,"a":1}}`, "any.a", "only once"),
		Entry("one of many keys given twice", `{"any":{`+numbered(`"k%d":1,`, 100)+`"k3":1}}`, "any.k3", "only once"),
		Entry("a field of an embedded struct given twice", `{"inner":1,"inner":1}`, "inner", "only once"),
		Entry("a field in another case", `{"Name":"a"}`, "Name", `"name"`),
		Entry("a field in another case beside it", `{"name":"a","NAME":"b"}`, "NAME", `"name"`),
		Entry("a field without a name of its own in another case", `{"plain":true}`, "plain", `"Plain"`),
		Entry("a letter that folds to another", `{"\u212aind":"b"}`, `"\u212aind"`, `"kind"`),
		Entry("a field in a list in another case", `{"list":[{"weight":1}]}`, "list[0].weight", `"Weight"`),
		Entry("a byte that is no text", "{\"name\":\"a\xff\"}", "name", "UTF-8"),
		Entry("a byte that is no text in an unknown value", "{\"x\":[1,\"\xc3\"]}", "x[1]", "UTF-8"),
		Entry("a byte that is no text in a key", "{\"any\":{\"\xed\xa0\x80\":1}}", `any."\ufffd\ufffd\ufffd"`, "UTF-8"),
		Entry("the first half of a character", `{"name":"\ud83d"}`, "name", "UTF-8"),
		Entry("the first half of a character before another escape", `{"name":"\ud83d\u0061"}`, "name", "UTF-8"),
		Entry("the second half of a character", `{"name":"a\ude00"}`, "name", "UTF-8"),
		Entry("the halves of a character in the wrong order", `{"name":"\ude00\ud83d"}`, "name", "UTF-8"),
		Entry("half a character in a key", `{"\ud83d":1}`, `"\ufffd"`, "UTF-8"),
		Entry("more keys than may be open", `{"any":{`+numbered(`"k%d":1,`, 70_000)+`"k":1}}`, "any.k65535", "fewer"),
		Entry("a place with odd names", `{"a.b":{"c\n":{"x":1,"x":1}}}`, `"a.b"."c\n".x`, "only once"),
	)

	DescribeTable("accepts",
		func(text string) {
			var into, plain target
			Expect(syntax.Unmarshal([]byte(text), &into)).To(Succeed())
			Expect(json.Unmarshal([]byte(text), &plain)).To(Succeed())
			Expect(into).To(Equal(plain))
		},
		Entry("all fields", `{"name":"a","kind":"b","rate":1.5,"Plain":true,"list":[{"Weight":1},{"Weight":2}],"shares":{"a":1},"groups":{"a":{"N":1},"A":{"N":2}},"any":[{},{}],"inner":1}`),
		Entry("unknown fields", `{"x":{"name":1,"Name":2},"y":[{"x":1},{"x":1}],"z":null}`),
		Entry("keys that differ in case where they name no fields", `{"shares":{"a":1,"A":2},"any":{"name":1,"Name":2}}`),
		Entry("names of fields that JSON doesn't have", `{"Hidden":"a","hidden":"b","private":1,"Private":2}`),
		Entry("the same key in several objects", `{"x":{"a":{"a":1},"b":{"a":1}},"a":1}`),
		Entry("characters beyond ASCII", `{"name":"Kúpele \u00e9 \ud83d\ude00 😀 \\ud83d \ufffd �"}`),
		Entry("no fields", ` { } `),
		Entry("null", `null`),
	)

	It("leaves raw values to the call that decodes them", func() {
		var into target
		Expect(syntax.Unmarshal([]byte("{\"raw\":[\"\xff\",{\"a\":1,\"a\":\"\\ud800\"},[\"\\ud800\"]],\"name\":\"b\"}"), &into)).To(Succeed())
		Expect(into.Raw).To(HaveLen(3))
		var text string
		Expect(syntax.Unmarshal(into.Raw[0], &text)).To(MatchError(ContainSubstring("UTF-8")))
		Expect(syntax.Unmarshal(into.Raw[1], &into.Any)).To(MatchError("a: give each key only once in an object"))
	})

	It("returns the error of encoding/json for what is no JSON, or of another type", func() {
		for _, text := range []string{``, `{`, `{"name":"a"}}`, `{"name":"a"}]}`, `{"name":7}`, `{"rate":1e999}`, strings.Repeat(`[`, 20_000)} {
			var into target
			Expect(syntax.Unmarshal([]byte(text), &into)).To(MatchError(json.Unmarshal([]byte(text), &target{}).Error()), text)
		}
	})

	// Guards against answers and log lines as large as what an operator sent.
	It("keeps the error of a large text short", func() {
		long := strings.Repeat("k", 1_000_000)
		for _, text := range []string{`{"` + long + `":1,"` + long + `":1}`, strings.Repeat(`{"x":`, 5_000) + `{"y":1,"y":1}` + strings.Repeat(`}`, 5_000)} {
			err := syntax.Check([]byte(text), new(any))
			Expect(err).To(HaveOccurred())
			Expect(len(err.Error())).To(BeNumerically("<", 600))
		}
	})

	// Guards against a text that takes much more memory or time to check than its size.
	DescribeTable("costs what the text's size does, for",
		func(text string) {
			start := processorTime()
			allocated := allocatedBy(func() { _ = syntax.Check([]byte(text), new(target)) })
			Expect(allocated).To(BeNumerically("<=", 8*len(text)+8<<20))
			Expect(processorTime() - start).To(BeNumerically("<", 10*time.Second))
		},
		Entry("a text of 10 MB", `{"name":"`+strings.Repeat("a", 10<<20)+`"}`),
		Entry("a text of escapes", `{"name":"`+strings.Repeat(`\u00e9`, 1<<19)+`"}`),
		Entry("a key of 10 MB", `{"`+strings.Repeat("a", 10<<20)+`":1}`),
		Entry("a key of escapes", `{"`+strings.Repeat(`\u00e9`, 1<<19)+`":1}`),
		Entry("many keys", `{`+numbered(`"k%d":1,`, 500_000)+`"k":1}`),
		Entry("many objects with keys", `{"x":[`+strings.Repeat(`{"a":1,"b":2},`, 500_000)+`{}]}`),
		Entry("long keys that differ at their end", `{`+numbered(`"`+strings.Repeat("a", 10_000)+`%d":1,`, 1_000)+`"k":1}`),
		Entry("objects within objects", strings.Repeat(`{"x":`, 9_999)+`1`+strings.Repeat(`}`, 9_999)),
		Entry("opening brackets", strings.Repeat(`[`, 10<<20)),
		Entry("many lists", `{"x":[`+strings.Repeat(`[],`, 1<<20)+`1]}`),
		Entry("quotes", strings.Repeat(`"`, 10<<20)),
	)
})
