package report_test

import (
	"bytes"
	"path/filepath"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/chicoryrelay/chicoryrelay/bench/report"
	"github.com/chicoryrelay/chicoryrelay/bench/trace"
)

// served returns the outcome of a served Word entry at a load peak with a deadline of one second.
func served(first time.Duration) report.Outcome {
	return report.Outcome{
		Entry: trace.Entry{Kind: trace.Word, Prompt: 100, Answer: 1, Deadline: time.Second, Peak: true},
		First: first, End: 2 * first, Cached: 30, Unlimited: 80, Served: true,
	}
}

func collect(outcomes ...report.Outcome) report.Report {
	c := report.NewCollector("run")
	for _, o := range outcomes {
		c.Add(o)
	}
	return c.Report(time.Minute)
}

var _ = Describe("report", func() {
	It("computes its rates from the served requests", func() {
		r := collect(served(500*time.Millisecond), served(2*time.Second), report.Outcome{Entry: served(0).Entry, Refused: true})
		Expect(r.HitRate).To(BeNumerically("~", 0.3))
		Expect(r.HitShare).To(BeNumerically("~", 0.375))
		Expect(r.WastedTokens).To(Equal(100))
		Expect([]int{r.PeakRequests, r.PeakWithin, r.Within, r.Refused}).To(Equal([]int{3, 1, 1, 1}))
		Expect(r.First.Max).To(BeNumerically("~", 2*time.Second, 2*time.Millisecond))
		Expect(r.PerSecond).To(Equal([]int{1, 0, 1}))
	})

	It("counts the prompt tokens of cancelled copies as wasted", func() {
		o := served(time.Second)
		o.Extra = 40
		Expect(collect(o).WastedTokens).To(Equal(90))
	})

	It("excludes long requests from the times of short ones", func() {
		long := served(10 * time.Second)
		long.Entry.Kind = trace.Long
		r := collect(served(time.Millisecond), long)
		Expect(r.ShortFirst.Count).To(Equal(int64(1)))
		Expect(r.LongFirst.Count).To(Equal(int64(1)))
		Expect(r.First.Count).To(Equal(int64(2)))
	})

	It("counts truncated answers and errors separately", func() {
		r := collect(report.Outcome{Truncated: true}, report.Outcome{})
		Expect([]int{r.Truncated, r.Errors, r.Served}).To(Equal([]int{1, 1, 0}))
	})

	It("is unchanged after being saved and loaded, and prints next to another report", func() {
		file := filepath.Join(GinkgoT().TempDir(), "r.json")
		r := collect(served(time.Millisecond))
		Expect(r.Save(file)).To(Succeed())
		loaded, err := report.Load(file)
		Expect(err).NotTo(HaveOccurred())
		Expect(loaded).To(Equal(r))
		var text bytes.Buffer
		Expect(report.Print(&text, r, loaded)).To(Succeed())
		Expect(text.String()).To(ContainSubstring("1.00"))
	})
})
