package outcome_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/chicoryrelay/chicoryrelay/relay/outcome"
)

// Guards against a refusal whose status promises that the request has not run while its body says that it may have.
var _ = It("the status of a refusal promises that a request has not run only if it has not", func() {
	for _, kind := range outcome.Kinds() {
		refusal := outcome.Refuse(kind, "try again")
		status := refusal.Status()
		for _, o := range []outcome.Outcome{outcome.MayHaveRun, outcome.Ran} {
			refusal.Outcome = o
			Expect(outcome.PromisesNotRun(refusal.Status())).To(BeFalse(), "%s, %s", kind, o)
			if !outcome.PromisesNotRun(status) {
				Expect(refusal.Status()).To(Equal(status), "%s, %s", kind, o)
			}
		}
	}
})
