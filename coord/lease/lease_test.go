package lease_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/chicoryrelay/chicoryrelay/coord/lease"
)

const second = time.Second

// leaseWithMargin is the default lease duration of 6 s plus the margin of 1%.
const leaseWithMargin = 6*second + 60*time.Millisecond

var _ = Describe("lease granter", func() {
	var granter *lease.Granter

	BeforeEach(func() {
		granter = lease.NewGranter()
		granter.StartGranting(0)
	})

	requestLease := func(now time.Duration, boot, installed, newest uint64) lease.Reply {
		granter.Confirm(now)
		return granter.Grant(now, lease.Request{VM: "a", Boot: boot, Installed: installed, Sent: now}, newest)
	}

	It("allows no version to be declared in force before the leases of earlier leaders have expired", func() {
		Expect(granter.CanDeclareInForce(leaseWithMargin-1, 1)).To(BeFalse())
		Expect(granter.CanDeclareInForce(leaseWithMargin, 1)).To(BeTrue())
	})

	It("waits for a holder that has not installed the version until its lease has expired", func() {
		requestLease(10*second, 1, 4, 4)
		Expect(granter.CanDeclareInForce(10*second+leaseWithMargin-1, 5)).To(BeFalse())
		Expect(granter.NotInstalled(10*second, 5)).To(Equal([]lease.Incarnation{{VM: "a", Boot: 1}}))
		Expect(granter.CanDeclareInForce(10*second+leaseWithMargin, 5)).To(BeTrue())
	})

	It("allows a version to be declared in force as soon as every holder has acknowledged it", func() {
		requestLease(10*second, 1, 4, 4)
		granter.Acknowledge(lease.Incarnation{VM: "a", Boot: 1}, 5)
		Expect(granter.CanDeclareInForce(10*second, 5)).To(BeTrue())
	})

	It("does not renew the lease of a VM without the newest version, which would go on using an older one", func() {
		Expect(requestLease(10*second, 1, 4, 5).Reason).To(Equal(lease.Outdated))
		Expect(requestLease(10*second, 1, 5, 5).Reason).To(Equal(lease.Granted))
	})

	It("waits for the earlier incarnation of a restarted VM, whose process may be suspended", func() {
		requestLease(10*second, 1, 4, 4)
		requestLease(11*second, 2, 5, 5)
		Expect(granter.NotInstalled(11*second, 5)).To(Equal([]lease.Incarnation{{VM: "a", Boot: 1}}))
	})

	It("refuses an old boot number and returns the newest one", func() {
		requestLease(10*second, 7, 4, 4)
		reply := requestLease(10*second, 3, 4, 4)
		Expect(reply.Reason).To(Equal(lease.StaleBoot))
		Expect(reply.Boot).To(Equal(uint64(7)))
	})

	It("shortens a lease by the time since a quorum confirmed the leader, which may have been deposed", func() {
		Expect(requestLease(10*second, 1, 4, 4).Duration).To(Equal(6 * second))
		request := lease.Request{VM: "a", Boot: 1, Installed: 4}
		Expect(granter.Grant(12*second, request, 4).Duration).To(BeNumerically("<", 4*second))
		Expect(granter.Grant(16*second, request, 4).Reason).To(Equal(lease.NotLeader))
	})

	It("grants no lease when it is not the leader", func() {
		granter.StopGranting()
		Expect(requestLease(10*second, 1, 4, 4).Reason).To(Equal(lease.NotLeader))
		Expect(granter.CanDeclareInForce(100*second, 4)).To(BeFalse())
	})

	It("reports an incarnation as lost when its lease has expired or a newer incarnation sends a request", func() {
		incarnations := []lease.Incarnation{{VM: "a", Boot: 1}}
		requestLease(10*second, 1, 4, 4)
		Expect(granter.Expired(10*second+leaseWithMargin-1, incarnations)).To(BeEmpty())
		Expect(granter.Expired(10*second+leaseWithMargin, incarnations)).To(Equal(incarnations))
		Expect(granter.Prune(10 * second)).To(BeEmpty())
		Expect(granter.Prune(10*second + leaseWithMargin)).To(Equal(incarnations))
		requestLease(30*second, 1, 4, 4)
		requestLease(30*second, 2, 3, 4)
		Expect(granter.Expired(30*second, incarnations)).To(Equal(incarnations))
	})

	It("reports an incarnation without a grant only after the leases of earlier leaders have expired", func() {
		incarnations := []lease.Incarnation{{VM: "b", Boot: 1}}
		Expect(granter.Expired(leaseWithMargin-1, incarnations)).To(BeEmpty())
		Expect(granter.Expired(leaseWithMargin, incarnations)).To(Equal(incarnations))
	})
})

var _ = Describe("lease holder", func() {
	var holder *lease.Holder

	BeforeEach(func() { holder = lease.NewHolder("a", 3) })

	reply := func(request lease.Request, reason lease.Reason) lease.Reply {
		return lease.Reply{VM: request.VM, Boot: request.Boot, Sent: request.Sent, Reason: reason, Duration: 6 * second}
	}

	It("counts the lease, less the margin, from the time at which the request was sent", func() {
		Expect(holder.Receive(reply(holder.Request(second, 0), lease.Granted))).To(BeTrue())
		Expect(holder.Valid(second + 5940*time.Millisecond - 1)).To(BeTrue())
		Expect(holder.Valid(second + 5940*time.Millisecond)).To(BeFalse())
	})

	It("keeps its expiry when a late reply to an earlier request arrives", func() {
		earlier, later := holder.Request(second, 0), holder.Request(3*second, 0)
		holder.Receive(reply(later, lease.Granted))
		expiry := holder.Expiry()
		holder.Receive(reply(earlier, lease.Granted))
		Expect(holder.Expiry()).To(Equal(expiry))
	})

	It("ignores a reply to another VM or incarnation, whose clock differs from its own", func() {
		for _, other := range []lease.Request{{VM: "b", Boot: 3}, {VM: "a", Boot: 2}, {VM: "a", Boot: 4}} {
			Expect(holder.Receive(reply(other, lease.Granted))).To(BeFalse())
		}
		Expect(holder.Valid(0)).To(BeFalse())
	})

	It("raises its boot number when a newer one is known, as after the wall clock was set back", func() {
		refused := reply(holder.Request(second, 0), lease.StaleBoot)
		refused.Boot = 8
		Expect(holder.Receive(refused)).To(BeTrue())
		Expect(holder.Incarnation()).To(Equal(lease.Incarnation{VM: "a", Boot: 9}))
		Expect(holder.RenewalDue(second)).To(BeTrue())
		refused.Boot = 9
		Expect(holder.Receive(refused)).To(BeFalse())
		Expect(holder.Incarnation().Boot).To(Equal(uint64(9)))
	})

	It("keeps the registry's time and sequence of the newest request's reply, from which deadlines of claims are computed", func() {
		Expect(holder.Time(second).IsZero()).To(BeTrue())
		earlier, later := reply(holder.Request(second, 0), lease.Granted), reply(holder.Request(3*second, 0), lease.Granted)
		earlier.Time, later.Time, later.Sequence = time.UnixMilli(5000), time.UnixMilli(9000), 7
		holder.Receive(later)
		holder.Receive(earlier)
		Expect(holder.Time(4 * second)).To(Equal(time.UnixMilli(10000)))
		Expect(holder.Sequence()).To(Equal(uint64(7)))
	})

	// Guards against the clock of a control VM that does not lead, and may be ahead or behind.
	It("keeps the leader's time when another control VM replies that it does not lead", func() {
		granted, refused := reply(holder.Request(second, 0), lease.Granted), reply(holder.Request(2*second, 0), lease.NotLeader)
		granted.Time, refused.Time = time.UnixMilli(10_000), time.UnixMilli(14_000)
		holder.Receive(granted)
		holder.Receive(refused)
		Expect(holder.Time(second)).To(Equal(time.UnixMilli(10_000)))
	})

	It("requests renewal at every renewal interval and has no valid lease after Release", func() {
		request := holder.Request(second, 0)
		holder.Receive(reply(request, lease.Granted))
		Expect(holder.RenewalDue(3*second - 1)).To(BeFalse())
		Expect(holder.RenewalDue(3 * second)).To(BeTrue())
		holder.Release()
		Expect(holder.Valid(second)).To(BeFalse())
	})
})

var _ = Describe("order lease", func() {
	It("raises the fencing number only when the holder changes", func() {
		var fence lease.Fence
		Expect(fence.Acquire(lease.Incarnation{VM: "a", Boot: 1}).Number).To(Equal(uint64(1)))
		Expect(fence.Acquire(lease.Incarnation{VM: "a", Boot: 1}).Number).To(Equal(uint64(1)))
		Expect(fence.Acquire(lease.Incarnation{VM: "a", Boot: 2}).Number).To(Equal(uint64(2)))
	})

	It("delays orders to engines that ignore the fencing number until the previous holder's orders have arrived", func() {
		orders := lease.NewOrderLease()
		expectAllowed := func(now time.Duration, fenced, want bool) {
			GinkgoHelper()
			_, ok := orders.FencingNumber(now, fenced)
			Expect(ok).To(Equal(want))
		}
		expectAllowed(0, true, false)
		orders.Acquired(0, 4)
		expectAllowed(second, true, true)
		expectAllowed(second, false, false)
		expectAllowed(7*second, true, false)
		orders.Confirm(12 * second)
		expectAllowed(11110*time.Millisecond-1, false, false)
		expectAllowed(11110*time.Millisecond, false, true)
		orders.Release()
		expectAllowed(12*second, true, false)
	})
})

// The leader confirms, grants and declares versions in force; the VM requests, installs and checks its lease before it acts.
func Example() {
	granter, holder := lease.NewGranter(), lease.NewHolder("vm1", 1)
	now, installed, newest := 10*time.Second, uint64(4), uint64(5)
	granter.StartGranting(0)
	granter.Confirm(now)

	reply := granter.Grant(now, holder.Request(now, installed), newest)
	fmt.Println(reply.Reason == lease.Outdated)
	installed = reply.Newest
	holder.Receive(granter.Grant(now, holder.Request(now, installed), newest))
	fmt.Println(holder.Valid(now), granter.CanDeclareInForce(now, newest))
	// Output:
	// true
	// true true
}
