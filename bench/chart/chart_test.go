package chart_test

import (
	"os"
	"path/filepath"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/chicoryrelay/chicoryrelay/bench/chart"
	"github.com/chicoryrelay/chicoryrelay/bench/report"
	"github.com/chicoryrelay/chicoryrelay/bench/trace"
)

func example() report.Report {
	c := report.NewCollector("run")
	for i := range 200 {
		c.Add(report.Outcome{Entry: trace.Entry{Kind: trace.Word, Prompt: 1, Answer: 1}, Served: true, First: time.Duration(i) * 20 * time.Millisecond})
	}
	return c.Report(time.Minute)
}

var _ = Describe("chart", func() {
	DescribeTable("writes a file in the format of its extension", func(kind chart.Kind, name, begin string) {
		file := filepath.Join(GinkgoT().TempDir(), name)
		Expect(chart.Draw(kind, file, example(), example())).To(Succeed())
		raw, err := os.ReadFile(file)
		Expect(err).NotTo(HaveOccurred())
		Expect(string(raw[:len(begin)])).To(Equal(begin))
	},
		Entry("distribution", chart.First, "a.png", "\x89PNG"),
		Entry("per second", chart.Second, "a.svg", "<?xml"),
	)

	DescribeTable("returns an error for", func(kind chart.Kind, name string, r report.Report) {
		Expect(chart.Draw(kind, filepath.Join(GinkgoT().TempDir(), name), r)).NotTo(Succeed())
	},
		Entry("an unknown kind", chart.Kind("pie"), "a.png", example()),
		Entry("an unknown format", chart.First, "a.doc", example()),
		Entry("a run without answers", chart.First, "a.png", report.Report{}),
	)
})
