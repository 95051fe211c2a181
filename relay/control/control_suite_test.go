package control_test

import (
	"os"
	"strconv"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestSuite(t *testing.T) {
	RegisterFailHandler(Fail)
	config, reporter := GinkgoConfiguration()
	config.RandomSeed = 1
	RunSpecs(t, "control", config, reporter)
}

// seeds returns the seeds 1 to 25; CHICORY_SEED selects one seed instead, and CHICORY_SEEDS sets their number.
func seeds() []uint64 { return seedsOr(25) }

// seedsOr is seeds with another number of seeds unless CHICORY_SEEDS sets it.
func seedsOr(count uint64) []uint64 {
	if one, err := strconv.ParseUint(os.Getenv("CHICORY_SEED"), 10, 64); err == nil {
		return []uint64{one}
	}
	if n, err := strconv.ParseUint(os.Getenv("CHICORY_SEEDS"), 10, 64); err == nil {
		count = n
	}
	var list []uint64
	for seed := uint64(1); seed <= count; seed++ {
		list = append(list, seed)
	}
	return list
}
