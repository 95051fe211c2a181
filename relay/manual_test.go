package main

import (
	"os"
	"path/filepath"
	"regexp"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/spf13/cobra"
)

// expectKnown fails the test for a command or flag that chicoryrelay does not have.
func expectKnown(commands map[string]*cobra.Command, name, flags string) {
	GinkgoHelper()
	Expect(commands).To(HaveKey(name))
	Expect(commands[name].ParseFlags(strings.Fields(flags))).To(Succeed())
	Expect(commands[name].Flags().Args()).To(BeEmpty())
}

var _ = Describe("the operators' manual", func() {
	It("shows only commands and flags that chicoryrelay has", func() {
		commands := map[string]*cobra.Command{
			"check": checkCommand(), "defaults": defaultsCommand(), "serve": serveCommand(), "found": foundCommand(),
		}
		pages, err := filepath.Glob("../docs/operate/*.md")
		Expect(err).NotTo(HaveOccurred())
		count := 0
		for _, page := range pages {
			text, err := os.ReadFile(page)
			Expect(err).NotTo(HaveOccurred())
			for _, block := range regexp.MustCompile("(?s)```sh\n(.*?)```").FindAllStringSubmatch(string(text), -1) {
				for _, match := range regexp.MustCompile(`(?m)^chicoryrelay (\S+)(.*)$`).FindAllStringSubmatch(block[1], -1) {
					expectKnown(commands, match[1], match[2])
					count++
				}
			}
		}
		Expect(count).To(BeNumerically(">", 3))
	})
})
