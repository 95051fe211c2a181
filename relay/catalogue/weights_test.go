package catalogue_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/chicoryrelay/chicoryrelay/coord/configuration"
	"github.com/chicoryrelay/chicoryrelay/relay/catalogue"
)

var _ = Describe("the weights of a model", func() {
	at := time.Date(2026, 12, 5, 10, 0, 0, 250_000_000, time.UTC)

	It("keep the time of each naming, and the number that decides which version is newest", func() {
		w := catalogue.Weights{}.WithNaming(2, at).WithNaming(5, at.Add(time.Second))
		Expect(catalogue.DecodeWeights(w.Encode())).To(Equal(catalogue.Weights{Version: 5, Namings: []catalogue.Naming{{Version: 2, At: at}, {Version: 5, At: at.Add(time.Second)}}}))
		number, _ := configuration.DecodeNumbered(w.Encode())
		Expect(number).To(BeEquivalentTo(5))
	})

	It("are decoded without namings from releases that keep none, or another form", func() {
		for _, content := range []string{"", "null", "{}", "[1]", `[{"version":"x"}]`, `[{"version":5,"at":"noon"}]`} {
			Expect(catalogue.DecodeWeights(configuration.EncodeNumbered(5, []byte(content)))).To(Equal(catalogue.Weights{Version: 5}), content)
		}
		Expect(catalogue.DecodeWeights(nil)).To(Equal(catalogue.Weights{}))
	})

	It("keep a bounded number of namings, the newest ones", func() {
		w := catalogue.Weights{}
		for version := range uint64(100) {
			w = w.WithNaming(version+1, at)
		}
		Expect(len(w.Namings)).To(BeNumerically("<=", 16))
		Expect(w.Namings[len(w.Namings)-1].Version).To(BeEquivalentTo(100))
		Expect(len(w.Encode())).To(BeNumerically("<", 1<<10))
	})
})
