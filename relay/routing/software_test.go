package routing_test

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/chicoryrelay/chicoryrelay/relay/catalogue"
	"github.com/chicoryrelay/chicoryrelay/relay/outcome"
	"github.com/chicoryrelay/chicoryrelay/relay/routing"
)

// boundTo binds a request to a software version.
func boundTo(version string) func(*routing.Request) {
	return func(r *routing.Request) { r.Software = &version }
}

// softwareRun sends requests, some of them bound to a software version, while upstreams change theirs, leave and return.
type softwareRun struct {
	random    *rand.Rand
	core      *routing.Core
	upstreams []catalogue.Upstream
	now       time.Duration
	bound     map[string]string
	// sent are the requests in progress, by their upstream.
	sent map[string]string
}

// expectSent expects that a request is sent to an upstream of the version that it is bound to.
func (s *softwareRun) expectSent(id string, d routing.Decision) {
	GinkgoHelper()
	if d.Upstream == "" {
		return
	}
	s.sent[id] = d.Upstream
	u := slices.IndexFunc(s.upstreams, func(u catalogue.Upstream) bool { return u.Name == d.Upstream })
	if version, bound := s.bound[id]; bound {
		Expect(s.upstreams[u].Software).To(Equal(version), "%s at %s", id, d.Upstream)
	}
}

func (s *softwareRun) step(m routing.Message) {
	GinkgoHelper()
	for _, release := range s.core.Step(s.now, m).Released {
		s.expectSent(release.ID, release.Decision)
	}
}

func (s *softwareRun) act(i int) {
	GinkgoHelper()
	s.now += time.Duration(s.random.IntN(40)) * time.Millisecond
	switch s.random.IntN(6) {
	case 0:
		u := &s.upstreams[s.random.IntN(len(s.upstreams))]
		u.Software = fmt.Sprint("s", s.random.IntN(3))
		u.State = []catalogue.UpstreamState{catalogue.Active, catalogue.Draining}[s.random.IntN(2)]
		s.step(routing.Upstreams{List: slices.Clone(s.upstreams)})
	case 1:
		if ids := slices.Sorted(maps.Keys(s.sent)); len(ids) > 0 {
			upstream := s.sent[ids[0]]
			delete(s.sent, ids[0])
			s.step(routing.Finished{ID: ids[0], Upstream: upstream, Incarnation: 1, CountsMissing: true})
		}
	case 2:
		s.step(routing.Tick{})
	default:
		r := newRequest(i, uint64(s.random.IntN(4)))
		if s.random.IntN(2) == 0 {
			s.bound[r.ID] = fmt.Sprint("s", s.random.IntN(3))
			boundTo(s.bound[r.ID])(&r)
		}
		if s.random.IntN(4) == 0 {
			r.Only = []string{"u0", "u1", "u2"}
		}
		s.expectSent(r.ID, s.core.Decide(s.now, r))
	}
}

var _ = Describe("requests that are bound to a software version", func() {
	policies := []routing.Policy{routing.Cost, routing.Reuse, routing.RoundRobin, routing.LeastOutstanding, routing.PrefixHash}
	upstreams := func() []catalogue.Upstream {
		return newUpstreams(6, func(i int, u *catalogue.Upstream) { u.Software, u.Slots = fmt.Sprint("s", i%3), 2 })
	}

	for _, policy := range policies {
		// Guards against a stream that goes on at another software version, whatever its request has to wait for.
		It("go to upstreams of that version only while upstreams change, with policy "+string(policy), func() {
			for _, seed := range seeds(20) {
				s := &softwareRun{random: rand.New(rand.NewPCG(seed, 48)), upstreams: upstreams(), bound: map[string]string{}, sent: map[string]string{}}
				s.core = newCore(s.upstreams, routing.WithPolicy(policy))
				for i := range 400 {
					s.act(i)
				}
				Expect(s.bound).NotTo(BeEmpty())
			}
		})
	}

	// Guards against a request that waits until its deadline for a version that nothing serves.
	It("are refused at once if no upstream of the version takes requests, also from the queue", func() {
		for _, policy := range []routing.Policy{routing.Cost, routing.Reuse} {
			list := upstreams()
			core := newCore(list, routing.WithPolicy(policy))
			gone := newRequest(0)
			boundTo("s9")(&gone)
			expectRefused(core.Decide(0, gone), outcome.NoUpstream)
			queued := 0
			for i := range 40 {
				r := newRequest(1 + i)
				boundTo("s1")(&r)
				if core.Decide(0, r).Queued {
					queued++
				}
			}
			Expect(queued).To(BeNumerically(">", 0), string(policy))
			for i := range list {
				if list[i].Software == "s1" {
					list[i].State = catalogue.Draining
				}
			}
			core.Step(time.Millisecond, routing.Upstreams{List: list})
			effects := core.Step(2*time.Millisecond, routing.Tick{})
			_, waiting := core.InProgress()
			Expect(waiting).To(BeZero(), "%s: %v", policy, effects)
		}
	})
})
