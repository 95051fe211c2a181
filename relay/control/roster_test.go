package control

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/chicoryrelay/chicoryrelay/coord/lease"
	"github.com/chicoryrelay/chicoryrelay/relay/peer"
)

var _ = Describe("roster", func() {
	It("gains a leader that is not a seed, which VMs that restart with it could not reach otherwise", func() {
		node := New("vm", 1, WithControls([]string{"a", "b", "c"}))
		effects, err := node.Tick(ClockReading{Now: time.Second})
		Expect(err).NotTo(HaveOccurred())
		Expect(effects.Send).To(HaveLen(1))
		sent := effects.Send[0]
		request := sent.Body.GetLeaseRequest()

		effects, err = node.Receive(ClockReading{Now: time.Second + time.Millisecond}, sent.To, &peer.Envelope{Body: &peer.Envelope_LeaseGrant{LeaseGrant: &peer.LeaseGrant{
			Vm: request.GetVm(), Boot: request.GetBoot(), Sent: request.GetSent(), Reason: uint32(lease.NotLeader), Leader: "d",
		}}})
		Expect(err).NotTo(HaveOccurred())
		Expect(effects.Roster.GetControls()).To(ContainElement("d"))
		Expect(effects.Send).To(HaveLen(1))
		Expect(effects.Send[0].To).To(Equal("d"))
		Expect(node.Controls()).To(ConsistOf("a", "b", "c", "d"))
	})
})
