package operator_test

import (
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/chicoryrelay/chicoryrelay/relay/operator/statement"
	"github.com/chicoryrelay/chicoryrelay/relay/operator/view"
)

// These tests guard against a manual with statements that the parser refuses or with outdated lists of columns and fields.

var (
	codeBlock         = regexp.MustCompile("(?s)```(statement|sh)\n(.*?)```")
	chicoryctlCommand = regexp.MustCompile(`^chicoryctl (show|do) (.*)$`)
	chicoryctlFlags   = regexp.MustCompile(`\s--(json|(address|command|key) \S+)`)
)

// statements returns the statements of a page, from statement blocks and from chicoryctl commands in shell blocks.
func statements(page string) []string {
	GinkgoHelper()
	text, err := os.ReadFile(page)
	Expect(err).NotTo(HaveOccurred())
	Expect(strings.Count(string(text), "```")).To(Equal(2*len(codeBlock.FindAll(text, -1))+2*strings.Count(string(text), "```json")), "a code block that is not statement, sh or json in "+page)
	var list []string
	for _, block := range codeBlock.FindAllStringSubmatch(string(text), -1) {
		for line := range strings.Lines(block[2]) {
			line = strings.TrimSpace(line)
			if block[1] == "statement" {
				list = append(list, line)
			} else if match := chicoryctlCommand.FindStringSubmatch(chicoryctlFlags.ReplaceAllString(line, "")); match != nil {
				list = append(list, strings.TrimPrefix(match[1]+" ", "do ")+strings.Trim(match[2], "'"))
			}
		}
	}
	return list
}

func expectValid(text string) {
	GinkgoHelper()
	s, err := statement.Parse(text)
	Expect(err).NotTo(HaveOccurred(), text)
	if s.Query != nil {
		_, err := view.Tables{}.Run(s.Query, "makers")
		Expect(err).NotTo(HaveOccurred(), text)
		return
	}
	for _, c := range s.Command.Changes {
		for _, f := range c.Fields {
			Expect(statement.Fields(c.Kind.Text)).To(ContainElement(f.Field.Text), text)
		}
		if c.Verb == statement.Create {
			_, err := (&statement.Command{Changes: []statement.Change{c}}).Plan(nil)
			Expect(err).NotTo(HaveOccurred(), text)
		}
	}
}

var _ = Describe("operator's manual", func() {
	It("has only statements that are valid, on each of its fifteen pages, and examples of every verb", func() {
		pages, err := filepath.Glob("../../docs/operate/*.md")
		Expect(err).NotTo(HaveOccurred())
		var all []string
		for _, page := range pages {
			found := statements(page)
			if filepath.Base(page) != "settings.md" {
				Expect(found).NotTo(BeEmpty(), page)
			}
			all = append(all, found...)
		}
		Expect(pages).To(HaveLen(15))
		for _, text := range all {
			expectValid(text)
		}
		for _, verb := range []string{"create", "set", "remove", "drain", "load", "role"} {
			Expect(slices.ContainsFunc(all, func(text string) bool { return strings.HasPrefix(text, verb+" ") })).To(BeTrue(), verb)
		}
	})

	It("lists every table with its columns and every kind of object with its fields", func() {
		page, err := os.ReadFile("../../docs/operate/language.md")
		Expect(err).NotTo(HaveOccurred())
		for _, table := range statement.Tables {
			Expect(string(page)).To(ContainSubstring("\n| `" + table + "` | " + strings.Join(view.Columns(table), ", ") + " |\n"))
			Expect(string(page)).To(ContainSubstring("\nshow " + table))
		}
		for _, kind := range statement.Kinds {
			Expect(string(page)).To(ContainSubstring("\n| `" + kind + "` | " + strings.Join(statement.Fields(kind), ", ") + " |\n"))
			Expect(string(page)).To(ContainSubstring("\ncreate " + kind))
		}
	})
})
