package settings_test

import (
	"slices"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/chicoryrelay/chicoryrelay/relay/settings"
	"github.com/chicoryrelay/chicoryrelay/relay/syntax/syntaxtest"
)

// Guards against settings of which a part is used, or something else than the file says. Unknown fields are refused, and those that are
// missing have their defaults.
var _ = Describe("a settings file", func() {
	for _, odd := range syntaxtest.Cases(`{"name":"a","limits":{"queue":7}}`, "name", `"a"`) {
		used := slices.Contains([]string{syntaxtest.Sound, syntaxtest.Missing}, odd.Name)
		outcome := "is refused"
		if used {
			outcome = "is read"
		}
		It(outcome+" if it has "+odd.Name, func() {
			_, err := settings.Parse("vm.json", []byte(odd.Text))
			Expect(err == nil).To(Equal(used), "%v", err)
		})
	}

	// Guards against a file that ends the process, which may be running, by the depth of the parser's calls.
	DescribeTable("is refused with the place if it is nested very deeply", func(levels int, open, closed string) {
		_, err := settings.Parse("vm.json", []byte(`{"name":`+strings.Repeat(open, levels)+"1"+strings.Repeat(closed, levels)+`}`))
		Expect(err).To(MatchError(And(HavePrefix("vm.json:1:"), ContainSubstring("levels"))))
	}, Entry("in lists", 160_000, "[", "]"), Entry("in objects", 160_000, `{"":`, "}"), Entry("in lists without an end", 1_000_000, "[", ""), Entry("in lists between comments", 100_000, "[/*]*/", "]"))

	It("may have brackets in texts and comments", func() {
		brackets := strings.Repeat("[", 1_000)
		_, err := settings.Parse("vm.json", []byte(`{"name":"a", /* `+brackets+`*/ "limits":{"queue":7} // `+brackets+"\n}"))
		Expect(err).NotTo(HaveOccurred())
		_, err = settings.Parse("vm.json", []byte(`{"name":"a\"`+brackets+`"}`))
		Expect(err).NotTo(MatchError(ContainSubstring("levels")))
	})

	DescribeTable("may name a data folder with", func(text string, expected bool) {
		_, err := settings.Parse("vm.json", []byte(`{"name":"a","control":[{"name":"a","address":"127.0.0.1:7300"}],"listeners":{"peers":"127.0.0.1:7300"},"data":"`+text+`"}`))
		Expect(err == nil).To(Equal(expected), "%v", err)
	},
		Entry("characters beyond ASCII", `Kúpele \u00e9 \ud83d\ude00`, true), Entry("no bytes that aren't UTF-8", "a\xff", false), Entry("no cut character", "a\xc3", false),
		Entry("no half of a character", `a\ud83d`, false), Entry("no second half of one", `\ude00`, false),
	)
})
