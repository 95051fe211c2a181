package vm

import (
	"context"
	"fmt"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/chicoryrelay/chicoryrelay/relay/directory"
	"github.com/chicoryrelay/chicoryrelay/relay/forward"
	"github.com/chicoryrelay/chicoryrelay/relay/pause"
	"github.com/chicoryrelay/chicoryrelay/relay/route"
	"github.com/chicoryrelay/chicoryrelay/relay/routing"
	"github.com/chicoryrelay/chicoryrelay/relay/settings"
)

// engineSetup is a placer with one engine.
type engineSetup struct {
	*placer
	service *route.Service
}

func newEngineSetup() *engineSetup {
	s := settings.Settings{Name: "vm", Centre: "a"}
	s.Routing.Policy = string(routing.Reuse)
	st := newState(Adapter{}, &log.Logger{Handler: discard.Default})
	d := newDispatcher(s, log.Log)
	d.Run()
	DeferCleanup(d.Stop)
	service := &route.Service{Name: "llm", Engine: &route.Engine{Slots: 96, Memory: 90_000, Models: []string{"m"}}}
	e := &engineSetup{placer: newPlacer(s, st, d, pause.New(), st.log), service: service}
	st.table.Store(route.NewTable(&route.State{Services: []route.Service{*service}}))
	e.list(false)
	return e
}

// list lists the engine.
func (e *engineSetup) list(loading bool) {
	e.state.list.Store(directory.NewList([]directory.Upstream{{ID: "e", Service: "llm", Models: []directory.Model{{Name: "m", Weights: 1}}, Loading: loading}}))
	e.configure()
}

// request returns a request for the engine's model.
func (e *engineSetup) request(id string) *forward.PlacementRequest {
	return &forward.PlacementRequest{
		ID: id, Route: &route.Route{Kind: route.Stream, Resumable: true, Target: 500 * time.Millisecond}, Service: e.service, Metadata: &forward.RequestMetadata{Model: "m", PromptTokens: 10, MaxAnswerTokens: 10},
		Arrived: time.Now(), Deadline: time.Now().Add(15 * time.Second),
	}
}

var _ = Describe("an engine whose requests end without an answer", func() {
	// placementsAfter returns how many of ten requests are placed at the only engine right after the connections of ten others have ended.
	placementsAfter := func(loading bool) (placed int) {
		e := newEngineSetup()
		place := func(id string) (*forward.Placement, error) {
			ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
			defer cancel()
			return e.place(ctx, e.request(id))
		}
		var failing []*forward.Placement
		for i := range 10 {
			placement, err := place(fmt.Sprint("first", i))
			Expect(err).NotTo(HaveOccurred())
			failing = append(failing, placement)
		}
		e.list(loading)
		for _, placement := range failing {
			placement.Fail(forward.Failure{Sent: true, Ended: true})
		}
		e.list(false)
		for i := range 10 {
			if placement, err := place(fmt.Sprint("second", i)); err == nil {
				placed++
				placement.Cancel()
			}
		}
		return placed
	}

	// Guards against engines that get no requests for seconds after each change of weights.
	It("gets requests again at once if it had broken them off to load weights", func() { Expect(placementsAfter(true)).To(Equal(10)) })

	It("is avoided for a while if it had crashed", func() { Expect(placementsAfter(false)).To(BeZero()) })
})

var _ = Describe("a stream that is limited to the engine at which it has run", func() {
	limited := func(e *engineSetup, id string, since time.Duration) *forward.PlacementRequest {
		r := e.request(id)
		r.Arrived, r.LastEventAt = time.Now().Add(-10*time.Second), time.Now().Add(-since)
		r.Begun, r.Only, r.FailedUpstreams = true, []string{"e"}, []string{"e"}
		return r
	}

	// Guards against streams that are broken off although the engine is back before their callers leave.
	It("waits for it while it loads new weights", func() {
		e := newEngineSetup()
		e.list(true)
		time.AfterFunc(400*time.Millisecond, func() { e.list(false) })
		placement, err := e.place(context.Background(), limited(e, "a", 0))
		Expect(err).NotTo(HaveOccurred())
		placement.Cancel()
	})

	It("is given up before its caller leaves, and when its context ends", func() {
		e := newEngineSetup()
		e.list(true)
		started := time.Now()
		_, err := e.place(context.Background(), limited(e, "a", 1500*time.Millisecond))
		Expect(err).To(HaveOccurred())
		Expect(time.Since(started)).To(BeNumerically("<", 500*time.Millisecond))
		ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
		defer cancel()
		started = time.Now()
		_, err = e.place(ctx, limited(e, "b", 0))
		Expect(err).To(HaveOccurred())
		Expect(time.Since(started)).To(BeNumerically("<", 500*time.Millisecond))
	})
})
