package trace_test

import (
	"bytes"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/chicoryrelay/chicoryrelay/bench/trace"
	"github.com/chicoryrelay/chicoryrelay/standin/engine"
)

func generate(s trace.Settings) []trace.Entry {
	GinkgoHelper()
	entries, err := trace.Generate(s)
	Expect(err).NotTo(HaveOccurred())
	Expect(entries).NotTo(BeEmpty())
	return entries
}

func none(int) int { return 0 }

var _ = Describe("traces", func() {
	for _, settings := range []trace.Settings{trace.DefaultCoop(), trace.DefaultBaths()} {
		Describe(settings.Generator, func() {
			It("is the same for the same seed and differs for another, since runs are compared on equal traces", func() {
				other := settings
				other.Seed++
				Expect(generate(settings)).To(Equal(generate(settings)))
				Expect(generate(settings)).NotTo(Equal(generate(other)))
			})

			It("is unchanged after being written as JSON lines and read", func() {
				var buffer bytes.Buffer
				entries := generate(settings)
				Expect(trace.Write(&buffer, entries)).To(Succeed())
				Expect(trace.Read(&buffer)).To(Equal(entries))
			})

			It("has nested levels within the prompt", func() {
				for _, e := range generate(settings) {
					at := 0
					for _, level := range e.Levels {
						Expect(level.Tokens).To(BeNumerically(">", at))
						at = level.Tokens
					}
					Expect(e.Prompt >= at).To(BeTrue())
					Expect(e.Kind.Text()).To(Equal(e.Answer > 0))
				}
			})

			It("has equal block hashes wherever its text has equal blocks", func() {
				entries := generate(settings)[:40]
				numbers := map[uint64]uint64{}
				for _, e := range entries {
					if !e.Kind.Text() {
						continue
					}
					chain := e.Chain(16)
					blocks := engine.Blocks(strings.Join(e.Texts(none), ""), 16)
					Expect(blocks).To(HaveLen(len(chain)))
					for i, hash := range blocks {
						if known, ok := numbers[hash]; ok {
							Expect(chain[i]).To(Equal(known))
						}
						numbers[hash] = chain[i]
					}
				}
			})
		})
	}

	It("has ten times the base rate at the peaks of the baths trace", func() {
		settings := trace.DefaultBaths()
		settings.Duration = 10 * time.Minute
		peak, calm := 0.0, 0.0
		for _, e := range generate(settings) {
			switch at := e.Arrival % (40 * time.Second); {
			case e.Peak:
				peak++
			case at < 15*time.Second:
				calm++
			}
		}
		Expect((peak / 5) / (calm / 15)).To(BeNumerically("~", 10, 1))
	})

	It("counts the cached tokens of one unlimited cache separately by account", func() {
		level := []trace.Level{{Hash: 5, Tokens: 64}}
		entries := []trace.Entry{
			{Number: 0, Account: "a", Levels: level, Prompt: 80},
			{Number: 1, Account: "a", Levels: level, Prompt: 80},
			{Number: 2, Account: "b", Levels: level, Prompt: 80},
			{Number: 3, Account: "a", Levels: level, Prompt: 64},
		}
		Expect(trace.Unlimited(entries, 16, func(e trace.Entry) []uint64 { return e.Chain(16) })).To(Equal([]int{0, 64, 0, 63}))
	})
})

var _ = Describe("sheet", func() {
	It("generates the same trace for the same seed and another one for another seed", func() {
		s := trace.CoopSheet()
		Expect(s.Generate(1, time.Minute)).To(Equal(s.Generate(1, time.Minute)))
		Expect(s.Generate(1, time.Minute)).NotTo(Equal(s.Generate(2, time.Minute)))
	})

	DescribeTable("generates checks and notes at their mean rates for the", func(s trace.Sheet) {
		checks, notes := 0, 0
		for _, e := range s.Generate(1, 50*s.Period) {
			if e.Kind == trace.Batch {
				checks++
			} else {
				notes++
			}
		}
		seconds := (50 * s.Period).Seconds()
		Expect(float64(checks) / seconds).To(BeNumerically("~", s.Checks, s.Checks/10))
		Expect(float64(notes) / seconds).To(BeNumerically("~", s.Notes, s.Notes/10))
	}, Entry("co-operative", trace.CoopSheet()), Entry("baths", trace.BathsSheet()))

	It("shares recipe books among checks, in prompts of the mean length on the data sheet", func() {
		tokens, count := 0.0, 0.0
		texts := map[uint64]int{}
		for _, e := range trace.CoopSheet().Generate(1, time.Minute) {
			if e.Kind == trace.Batch {
				tokens += float64(e.Prompt)
				count++
				texts[e.Levels[1].Hash]++
			}
		}
		Expect(tokens / count).To(BeNumerically("~", 9190, 1000))
		Expect(len(texts)).To(BeNumerically("<=", 80))
	})
})
