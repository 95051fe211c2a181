package vm

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/chicoryrelay/chicoryrelay/relay/directory"
	"github.com/chicoryrelay/chicoryrelay/relay/forward"
	"github.com/chicoryrelay/chicoryrelay/relay/outcome"
	"github.com/chicoryrelay/chicoryrelay/relay/pause"
	"github.com/chicoryrelay/chicoryrelay/relay/route"
	"github.com/chicoryrelay/chicoryrelay/relay/settings"
)

// callSetup is the placer of a control VM with three replicas of a plain service.
type callSetup struct {
	*placer
	service *route.Service
}

func newCallSetup() *callSetup {
	s := settings.Settings{Name: "vm", Centre: "a", Data: GinkgoT().TempDir()}
	st := newState(Adapter{}, &log.Logger{Handler: discard.Default})
	d := newDispatcher(s, st.log)
	d.Run()
	DeferCleanup(d.Stop)
	c := &callSetup{placer: newPlacer(s, st, d, pause.New(), st.log), service: &route.Service{Name: "desk"}}
	st.table.Store(route.NewTable(&route.State{Services: []route.Service{*c.service}}))
	var replicas []directory.Upstream
	for i := range 3 {
		replicas = append(replicas, directory.Upstream{ID: fmt.Sprint("s", i), Service: "desk", Centre: "a", Slots: 10})
	}
	st.list.Store(directory.NewList(replicas))
	return c
}

// place places the call with a fingerprint.
func (c *callSetup) placeCall(fingerprint uint64) (*forward.Placement, error) {
	return c.place(context.Background(), &forward.PlacementRequest{
		Route: &route.Route{Kind: route.Idempotent, Attempts: 2}, Service: c.service, Metadata: &forward.RequestMetadata{}, Fingerprint: fingerprint,
		Arrived: time.Now(), Deadline: time.Now().Add(time.Second),
	})
}

// placed places a call that must be admitted.
func (c *callSetup) placed(fingerprint uint64) *forward.Placement {
	GinkgoHelper()
	placement, err := c.placeCall(fingerprint)
	Expect(err).NotTo(HaveOccurred())
	return placement
}

// crash lets a replica end under a call.
func (c *callSetup) crash(fingerprint uint64) {
	GinkgoHelper()
	c.placed(fingerprint).Fail(forward.Failure{Sent: true, Ended: true, Running: time.Millisecond})
	time.Sleep(5 * time.Millisecond)
}

var _ = Describe("errors of replicas that end under a call", func() {
	const fingerprint = 7
	for name, answer := range map[string]func(*forward.Placement){
		"passed on": func(p *forward.Placement) {
			p.Finish(forward.AnswerMetadata{Status: http.StatusInternalServerError})
		},
		"retried": func(p *forward.Placement) {
			p.Fail(forward.Failure{Sent: true, Received: true, Status: http.StatusInternalServerError})
		},
	} {
		// Guards against a call that ends replica after replica because a replica's error between two of these ends counts as an answer.
		It("do not clear it, if they are "+name, func() {
			c := newCallSetup()
			c.crash(fingerprint)
			c.crash(fingerprint)
			answer(c.placed(fingerprint))
			c.crash(fingerprint)
			Eventually(c.dispatch.Quarantined).WithTimeout(5 * time.Second).Should(Equal(1))
		})

		// Guards against a call that is sent on after an error on trial, and against a sound one that waits for the next trial after one.
		It("leave its trial to be made, if they are "+name, func() {
			c := newCallSetup()
			for i := range 3 {
				c.dispatch.RequestCrashed(fingerprint, fmt.Sprint("s", i), time.Second)
			}
			Eventually(c.dispatch.Quarantined).WithTimeout(5 * time.Second).Should(Equal(1))
			answer(c.placed(fingerprint))
			trial := c.placed(fingerprint)
			Expect(c.dispatch.Quarantined()).To(Equal(1))
			_, err := c.placeCall(fingerprint)
			var refusal *outcome.Refusal
			Expect(errors.As(err, &refusal)).To(BeTrue())
			Expect(refusal.Kind).To(Equal(outcome.Quarantined))
			trial.Finish(forward.AnswerMetadata{Status: http.StatusOK})
			Eventually(c.dispatch.Quarantined).WithTimeout(5 * time.Second).Should(BeZero())
		})
	}
})
