package dispatch_test

import (
	"context"
	"fmt"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/chicoryrelay/chicoryrelay/relay/dispatch"
	"github.com/chicoryrelay/chicoryrelay/relay/outcome"
	"github.com/chicoryrelay/chicoryrelay/relay/routing"
)

// newJudge runs the dispatcher of a control VM with a data folder.
func newJudge(folder string) *dispatch.Dispatcher {
	d := dispatch.New(routing.New(), dispatch.WithQuarantineOf("judge", folder, &log.Logger{Handler: discard.Default}))
	d.Run()
	return d
}

// crashInTurn records three replicas that ended in turn under a request.
func crashInTurn(d *dispatch.Dispatcher, fingerprint uint64) {
	for i := range 3 {
		d.RequestCrashed(fingerprint, fmt.Sprint("s", i), 0)
		time.Sleep(2 * time.Millisecond)
	}
}

var _ = Describe("requests under which replicas end", func() {
	const crashing, sound = 7, 8

	expectRefused := func(d *dispatch.Dispatcher) {
		GinkgoHelper()
		Eventually(d.Quarantined).WithTimeout(5 * time.Second).Should(Equal(1))
		refusal := d.AdmitRequest(context.Background(), crashing)
		Expect(refusal.Kind).To(Equal(outcome.Quarantined))
		Expect(refusal.Outcome).To(Equal(outcome.NotRun))
		Expect(refusal.RetryAfter).To(BeNumerically(">", time.Second))
		Expect(d.AdmitRequest(context.Background(), sound)).To(BeNil())
		Expect(d.AdmitRequest(context.Background(), 0)).To(BeNil())
	}

	// Guards against a request that ends three replicas more after each restart of all VMs at once.
	It("stay refused after a restart of all VMs", func() {
		folder := GinkgoT().TempDir()
		first := newJudge(folder)
		crashInTurn(first, crashing)
		expectRefused(first)
		// The file is written beside the routing goroutine.
		Eventually(func() int {
			second := newJudge(folder)
			defer second.Stop()
			return second.Quarantined()
		}).WithTimeout(5 * time.Second).Should(Equal(1))
		first.Stop()
		second := newJudge(folder)
		defer second.Stop()
		expectRefused(second)
	})

	It("may be sent by no more than one VM on trial, until the outcome is known", func() {
		d := newJudge(GinkgoT().TempDir())
		defer d.Stop()
		for i := range 3 {
			// Replicas that end at one moment may have a common cause, so that the request is tried at once.
			d.RequestCrashed(sound, fmt.Sprint("s", i), time.Second)
		}
		Eventually(d.Quarantined).WithTimeout(5 * time.Second).Should(Equal(1))
		Expect(d.AdmitRequest(context.Background(), sound)).To(BeNil())
		Expect(d.AdmitRequest(context.Background(), sound)).NotTo(BeNil())
		d.RequestUnsent(sound)
		Expect(d.AdmitRequest(context.Background(), sound)).To(BeNil())
		d.RequestAnswered(sound)
		Eventually(d.Quarantined).WithTimeout(5 * time.Second).Should(BeZero())
		Expect(d.AdmitRequest(context.Background(), sound)).To(BeNil())
	})
})
