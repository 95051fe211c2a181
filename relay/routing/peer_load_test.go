package routing_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/chicoryrelay/chicoryrelay/relay/catalogue"
	"github.com/chicoryrelay/chicoryrelay/relay/routing"
)

var _ = Describe("the loads that peers report", func() {
	const full = 4
	newPeerCore := func() *routing.Core { return newCore(newUpstreams(3), routing.WithPolicy(routing.Reuse)) }
	digest := func(vm string, outstanding map[string]int) routing.Digest {
		return routing.Digest{VM: vm, Outstanding: outstanding, PrefillTokens: map[string]int{}, MemoryTokens: map[string]int{}}
	}
	expectReady := func(core *routing.Core, now time.Duration, upstream string, ready bool) {
		GinkgoHelper()
		Expect(core.Explain(now, newRequest(1))).To(ContainElement(And(HaveField("Upstream", upstream), HaveField("Ready", ready))))
	}

	It("count at an upstream until the next digest leaves it out", func() {
		core := newPeerCore()
		core.Step(0, digest("a", map[string]int{"u0": full}))
		expectReady(core, 0, "u0", false)
		expectReady(core, 0, "u1", true)
		core.Step(time.Second, digest("a", map[string]int{"u1": full}))
		expectReady(core, time.Second, "u0", true)
		expectReady(core, time.Second, "u1", false)
	})

	It("add up over the peers and end with a peer's silence", func() {
		core := newPeerCore()
		core.Step(0, digest("a", map[string]int{"u0": full / 2}))
		expectReady(core, 0, "u0", true)
		core.Step(0, digest("b", map[string]int{"u0": full / 2}))
		expectReady(core, 0, "u0", false)
		core.Step(time.Minute, routing.Tick{})
		expectReady(core, time.Minute, "u0", true)
		Expect(core.Sizes().Peers).To(Equal(2))
		core.Step(2*time.Minute, digest("b", nil))
		Expect(core.Sizes().Peers).To(Equal(1))
	})

	It("count at an upstream that is listed after the digest, and again at one that returns", func() {
		core := newPeerCore()
		core.Step(0, digest("a", map[string]int{"u3": full}))
		core.Step(0, routing.Upstreams{List: newUpstreams(4)})
		core.Step(0, routing.Tick{})
		expectReady(core, 0, "u3", false)
		core.Step(0, routing.Upstreams{List: newUpstreams(3)})
		core.Step(0, routing.Upstreams{List: newUpstreams(4)})
		core.Step(0, routing.Tick{})
		expectReady(core, 0, "u3", false)
	})

	// A placement notice changes what its receiver knows. Traces share a digest among several cores.
	It("are the receiver's own, so that a notice to one VM changes nothing at another", func() {
		first, second := newPeerCore(), newPeerCore()
		shared := digest("a", map[string]int{"u0": 1})
		first.Step(0, shared)
		second.Step(0, shared)
		for range full {
			first.Step(0, routing.PlacementNotice{VM: "a", Upstream: "u0", UncachedTokens: 1000, MemoryTokens: 1000})
		}
		second.Step(0, routing.Tick{})
		expectReady(first, 0, "u0", false)
		expectReady(second, 0, "u0", true)
	})

	It("leave the other upstreams' estimates as they are", func() {
		core := newCore(newUpstreams(2, func(_ int, u *catalogue.Upstream) { u.Slots = 1 }), routing.WithPolicy(routing.Reuse))
		core.Step(0, digest("a", map[string]int{"u0": 1}))
		core.Step(0, digest("b", map[string]int{"u1": 1}))
		core.Step(time.Second, digest("b", nil))
		expectReady(core, time.Second, "u0", false)
		expectReady(core, time.Second, "u1", true)
	})
})
