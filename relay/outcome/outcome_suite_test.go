package outcome_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestSuite(t *testing.T) {
	RegisterFailHandler(Fail)
	config, reporter := GinkgoConfiguration()
	config.RandomSeed = 1
	RunSpecs(t, "outcome", config, reporter)
}
