package vm

import (
	"net/netip"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/chicoryrelay/chicoryrelay/relay/control"
	"github.com/chicoryrelay/chicoryrelay/relay/directory"
	"github.com/chicoryrelay/chicoryrelay/relay/peer"
	"github.com/chicoryrelay/chicoryrelay/relay/settings"
)

var _ = Describe("a board from the leader", func() {
	// Guards against a leader that publishes old knowledge as new: it receives its own board, and publishes the list with that time.
	It("has the time at which the list was read, not that of its receipt", func() {
		logger := &log.Logger{Handler: discard.Default}
		st := newState(Adapter{}, logger)
		host := newHost(st, settings.Settings{Name: "vm"}, control.New("vm", 1), &peerMesh{}, logger)
		mesh := peer.New(peer.WithLog(logger))
		host.Run(mesh)
		DeferCleanup(mesh.Close)
		DeferCleanup(host.Stop)
		board := directory.Encode([]directory.Upstream{{ID: "e", Service: "llm", Address: netip.MustParseAddrPort("127.0.0.1:1")}})
		host.Deliver(peer.Message{From: "c", Body: &peer.Envelope{Body: &peer.Envelope_LeaseGrant{LeaseGrant: &peer.LeaseGrant{
			Vm: "vm", Pushed: true, Board: board, Aged: uint32(time.Hour.Milliseconds()),
		}}}})
		Eventually(func() any { return st.list.Load() }, "5s", "5ms").ShouldNot(BeNil())
		st.mu.Lock()
		defer st.mu.Unlock()
		Expect(st.listedAt).To(BeZero())
	})
})
