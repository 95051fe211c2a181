package forward_test

import (
	"fmt"
	"os"
	"regexp"
	"strings"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestSuite(t *testing.T) {
	RegisterFailHandler(Fail)
	config, reporter := GinkgoConfiguration()
	config.RandomSeed = 1
	config.SkipStrings = append(config.SkipStrings, knownRed(t)...)
	RunSpecs(t, "forward", config, reporter)
}

// knownRed prints and returns the specs of this suite that KNOWN-RED.txt lists, as patterns; with CHICORY_STRICT it returns none.
func knownRed(t *testing.T) []string {
	list, err := os.ReadFile("../../KNOWN-RED.txt")
	if os.IsNotExist(err) || os.Getenv("CHICORY_STRICT") != "" {
		return nil
	}
	if err != nil {
		t.Fatal(err)
	}
	var patterns []string
	for line := range strings.Lines(string(list)) {
		if name, ok := strings.CutPrefix(strings.TrimSpace(line), "relay/forward: "); ok {
			fmt.Println("KNOWN RED:", name)
			patterns = append(patterns, regexp.QuoteMeta(name)+"$")
		}
	}
	return patterns
}
