package main

import (
	"bytes"
	"net/http/httptest"
	"os"
	"path/filepath"
	"regexp"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// splitArgs splits a command line from the manual, which uses only single quotes.
func splitArgs(line string) []string {
	var args []string
	for _, match := range regexp.MustCompile(`'([^']*)'|(\S+)`).FindAllStringSubmatch(line, -1) {
		args = append(args, match[1]+match[2])
	}
	return args
}

var _ = Describe("manual", func() {
	It("shows only commands and flags of chicoryctl that work", func() {
		stub := &stubRelay{status: 200, response: "{}"}
		server := httptest.NewServer(stub)
		DeferCleanup(server.Close)
		pages, err := filepath.Glob("../docs/operate/*.md")
		Expect(err).NotTo(HaveOccurred())
		commands := 0
		for _, page := range pages {
			text, err := os.ReadFile(page)
			Expect(err).NotTo(HaveOccurred())
			for _, block := range regexp.MustCompile("(?s)```sh\n(.*?)```").FindAllStringSubmatch(string(text), -1) {
				for line := range strings.Lines(block[1]) {
					args := splitArgs(line)
					if args[0] == "chicoryrelay" {
						continue // The tests of chicoryrelay cover these.
					}
					Expect(args[0]).To(Equal("chicoryctl"), page)
					var out, errOut bytes.Buffer
					// cobra takes the last value of a repeated flag.
					args = append(args[1:], "--address", strings.TrimPrefix(server.URL, "http://"))
					Expect(run(args, "k", strings.NewReader(""), &out, &errOut)).To(Equal(exitAccepted), line+errOut.String())
					commands++
				}
			}
		}
		Expect(commands).To(BeNumerically(">", 30))
	})
})
