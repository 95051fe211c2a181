package membership_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/chicoryrelay/chicoryrelay/coord/membership"
)

const second = time.Second

var _ = Describe("membership view", func() {
	var view *membership.View

	BeforeEach(func() { view = membership.New() })

	expectState := func(now time.Duration, state membership.State, leaving bool) {
		GinkgoHelper()
		member := view.Member(now, "a")
		Expect(member.State).To(Equal(state))
		Expect(member.Leaving).To(Equal(leaving))
	}

	It("suspects a VM after 3 s without a heartbeat", func() {
		view.RecordHeartbeat(second, membership.Heartbeat{VM: "a", Boot: 1})
		expectState(4*second-1, membership.Alive, false)
		expectState(4*second, membership.Suspected, false)
	})

	It("neither clears nor raises a suspicion by the platform's list, which lags behind", func() {
		view.RecordHeartbeat(second, membership.Heartbeat{VM: "a", Boot: 1})
		view.SetList(nil)
		expectState(second, membership.Alive, false)
		view.SetList([]membership.ListEntry{{VM: "a"}})
		expectState(9*second, membership.Suspected, false)
	})

	It("shows a VM as listed before its first heartbeat", func() {
		expectState(0, membership.Unknown, false)
		view.SetList([]membership.ListEntry{{VM: "a"}})
		expectState(0, membership.Listed, false)
	})

	It("shows a VM as leaving by its heartbeat or by the list, and by the list only for the incarnation that was marked", func() {
		view.RecordHeartbeat(second, membership.Heartbeat{VM: "a", Boot: 1})
		view.SetList([]membership.ListEntry{{VM: "a", Leaving: true}})
		expectState(second, membership.Alive, true)
		view.RecordHeartbeat(2*second, membership.Heartbeat{VM: "a", Boot: 2})
		view.SetList([]membership.ListEntry{{VM: "a", Leaving: true}})
		expectState(2*second, membership.Alive, false)
		view.RecordHeartbeat(2*second, membership.Heartbeat{VM: "a", Boot: 2, Leaving: true})
		view.RecordHeartbeat(2*second, membership.Heartbeat{VM: "a", Boot: 2})
		expectState(2*second, membership.Alive, true)
	})

	It("ignores a late heartbeat of an earlier incarnation, which would show a dead VM as alive", func() {
		view.RecordHeartbeat(second, membership.Heartbeat{VM: "a", Boot: 2})
		Expect(view.RecordHeartbeat(9*second, membership.Heartbeat{VM: "a", Boot: 1})).To(BeFalse())
		expectState(9*second, membership.Suspected, false)
	})

	It("removes a VM that is not listed and has sent no heartbeat for 10 min", func() {
		view.RecordHeartbeat(0, membership.Heartbeat{VM: "a", Boot: 1})
		view.SetList([]membership.ListEntry{{VM: "b"}})
		view.Prune(10 * time.Minute)
		Expect(view.Members(10 * time.Minute)).To(HaveLen(1))
	})
})

func Example() {
	view := membership.New()
	view.RecordHeartbeat(0, membership.Heartbeat{VM: "vm1", Boot: 1})
	view.SetList([]membership.ListEntry{{VM: "vm1"}, {VM: "vm2", Leaving: true}})
	for _, member := range view.Members(5 * time.Second) {
		fmt.Println(member.VM, member.State, member.Leaving)
	}
	// Output:
	// vm1 suspected false
	// vm2 listed true
}
