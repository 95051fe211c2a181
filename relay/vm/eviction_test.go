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

var _ = Describe("an engine whose requests end without an answer", func() {
	// placementsAfter returns how many of ten requests are placed at the only engine right after the connections of ten others have ended.
	placementsAfter := func(loading bool) (placed int) {
		s := settings.Settings{Name: "vm", Centre: "a"}
		s.Routing.Policy = string(routing.Reuse)
		st := newState(Adapter{}, &log.Logger{Handler: discard.Default})
		d := newDispatcher(s)
		d.Run()
		defer d.Stop()
		p := newPlacer(s, st, d, pause.New(), st.log)
		service := &route.Service{Name: "llm", Engine: &route.Engine{Slots: 96, Memory: 90_000, Models: []string{"m"}}}
		st.table.Store(route.NewTable(&route.State{Services: []route.Service{*service}}))
		list := func(loading bool) {
			st.list.Store(directory.NewList([]directory.Upstream{{ID: "e", Service: "llm", Models: []directory.Model{{Name: "m", Weights: 1}}, Loading: loading}}))
			p.configure()
		}
		list(false)
		place := func(id string) (*forward.Placement, error) {
			ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
			defer cancel()
			return p.place(ctx, &forward.PlacementRequest{
				ID: id, Route: &route.Route{Kind: route.Stream, Resumable: true, Target: time.Second}, Service: service, Metadata: &forward.RequestMetadata{Model: "m", PromptTokens: 10, MaxAnswerTokens: 10},
				Arrived: time.Now(), Deadline: time.Now().Add(5 * time.Second),
			})
		}
		var failing []*forward.Placement
		for i := range 10 {
			placement, err := place(fmt.Sprint("first", i))
			Expect(err).NotTo(HaveOccurred())
			failing = append(failing, placement)
		}
		list(loading)
		for _, placement := range failing {
			placement.Fail(forward.Failure{Sent: true, Ended: true})
		}
		list(false)
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
