package vm

import (
	"context"
	"net/netip"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/chicoryrelay/chicoryrelay/relay/directory"
	"github.com/chicoryrelay/chicoryrelay/relay/forward"
	"github.com/chicoryrelay/chicoryrelay/relay/pause"
	"github.com/chicoryrelay/chicoryrelay/relay/route"
	"github.com/chicoryrelay/chicoryrelay/relay/settings"
)

var _ = Describe("a call to a service whose replicas can't be reached", func() {
	placeAfter := func(failed, unreachable []string) (*forward.Placement, error) {
		s := settings.Settings{Name: "vm", Centre: "a"}
		s.Routing.Policy = "reuse"
		st := newState(Adapter{}, &log.Logger{Handler: discard.Default})
		d := newDispatcher(s, st.log)
		d.Run()
		DeferCleanup(d.Stop)
		p := newPlacer(s, st, d, pause.New(), st.log)
		service := route.Service{Name: "plain"}
		st.table.Store(route.NewTable(&route.State{Services: []route.Service{service}}))
		var listed []directory.Upstream
		for i, id := range []string{"a", "b", "c"} {
			listed = append(listed, directory.Upstream{ID: id, Service: "plain", Slots: 6, Address: netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), uint16(1+i))})
		}
		st.list.Store(directory.NewList(listed))
		return p.place(context.Background(), &forward.PlacementRequest{
			ID: "1", Route: &route.Route{Kind: route.Idempotent}, Service: &service, Metadata: &forward.RequestMetadata{},
			Arrived: time.Now(), Deadline: time.Now().Add(time.Second), FailedUpstreams: failed, UnreachableUpstreams: unreachable,
		})
	}

	// Guards against a VM that dials replicas which are down thousands of times for one request, and whose log then holds nothing else.
	It("is refused once none of them could be reached", func() {
		_, err := placeAfter([]string{"a", "b", "c"}, []string{"a", "b", "c"})
		Expect(err).To(MatchError(ContainSubstring("no replica")))
	})

	It("is sent once more to one that failed after it was reached", func() {
		placement, err := placeAfter([]string{"a", "b", "c"}, []string{"a", "c"})
		Expect(err).NotTo(HaveOccurred())
		Expect(placement.Upstream.ID).To(Equal("b"))
	})
})
