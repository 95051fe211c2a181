package upstream_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/chicoryrelay/chicoryrelay/relay/knownred"
)

func TestSuite(t *testing.T) {
	RegisterFailHandler(Fail)
	config, reporter := GinkgoConfiguration()
	config.RandomSeed = 1
	config.SkipStrings = append(config.SkipStrings, knownred.Patterns(t, "relay/upstream")...)
	RunSpecs(t, "upstream", config, reporter)
}
