package quarantine_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/chicoryrelay/chicoryrelay/relay/quarantine"
)

// Requests by their fingerprints: upstreams end under the first one.
const (
	crashingRequest = 1001
	soundRequest    = 1002
)

// contact is the time in which a VM that was started, frozen or cut off gets in touch with the others.
const contact = 3 * time.Second

// admits reports whether a VM admits a request, after the wait for a claim if it makes one.
func (f *fleet) admits(vm string, request uint64) bool {
	for range 4 {
		admission := f.cores[vm].AdmitRequest(f.now, request)
		if admission.Admitted || !admission.Claimed {
			return admission.Admitted
		}
		f.run(tick)
	}
	return false
}

// crashRequest lets an upstream end under a request of a VM so long after it was sent; it returns false if it was not admitted.
func (f *fleet) crashRequest(vm, upstream string, request uint64, parts ...uint64) bool {
	if !f.admits(vm, request) {
		return false
	}
	f.cores[vm].Crashed(f.now, quarantine.Crash{Upstream: upstream, Parts: parts, Request: request, Running: 20 * time.Millisecond})
	return true
}

// condemnRequest has three upstreams end in turn under the crashing request and expects it to be refused everywhere.
func (f *fleet) condemnRequest(parts ...uint64) {
	GinkgoHelper()
	for i := range 3 {
		f.crashRequest(f.vms[i%len(f.vms)], fmt.Sprint("s", i), crashingRequest, parts...)
		f.run(400 * time.Millisecond)
	}
	f.run(time.Second)
	for _, name := range slices.Concat(f.vms, f.judges) {
		if !f.cut[name] {
			Expect(f.admits(name, crashingRequest)).To(BeFalse(), name)
		}
	}
}

var _ = Describe("quarantine of requests", func() {
	// Guards against one request that ends replica after replica while it comes at any VM, also at one that has just started, stood
	// still or been cut off, and while replicas end for another cause.
	for seed := uint64(1); seed <= 50; seed++ {
		It(fmt.Sprintf("lets it reach replicas three times at most once three have ended under it, seed %d", seed), func() {
			random := rand.New(rand.NewPCG(seed, 2))
			f := newFleet(2+random.IntN(40), 3)
			bound := map[string]time.Duration{}
			crashes, late, third := 0, 0, time.Duration(0)
			refused := 0
			for f.now < 110*time.Second {
				f.run(tick * time.Duration(1+random.IntN(20)))
				vm := f.vms[random.IntN(len(f.vms))]
				if f.crashRequest(vm, fmt.Sprint("s", crashes), crashingRequest, common) {
					if crashes++; crashes == 3 {
						third = f.now
					}
					if crashes > 3 && f.now > third+contact && f.now > bound[vm]+contact {
						late++
					}
				}
				sound := uint64(2000 + random.IntN(1000))
				switch other := f.vms[random.IntN(len(f.vms))]; {
				case !f.admits(other, sound):
					refused++
				case random.IntN(10) == 0:
					// A replica ends under a sound request for another cause; it is sent once more and answered.
					f.cores[other].Crashed(f.now, quarantine.Crash{Upstream: fmt.Sprint("x", f.now), Request: sound, Parts: []uint64{common}, Running: time.Second})
					fallthrough
				default:
					f.cores[other].AnsweredRequest(f.now, sound)
					f.cores[other].Answered(f.now, []uint64{common})
				}
				switch victim := f.vms[random.IntN(len(f.vms))]; random.IntN(20) {
				case 0:
					f.restart(victim)
					bound[victim] = f.now
				case 1:
					f.restart(f.judges[random.IntN(3)])
				case 2:
					f.cut[victim] = true
				case 3:
					for name := range f.cut {
						delete(f.cut, name)
						bound[name] = f.now
					}
				}
				for name := range f.cut {
					bound[name] = f.now
				}
			}
			Expect(crashes).To(BeNumerically(">=", 3))
			Expect(late).To(BeNumerically("<=", 3))
			Expect(refused).To(BeZero())
			Expect(f.admitted(f.vms[0], common)).To(BeTrue())
		})
	}

	It("finds it also if three replicas end under it at once each time", func() {
		f := newFleet(8, 3)
		sent := 0
		for round := range 30 {
			for i := range 3 {
				if f.crashRequest(f.vms[(round+i)%8], fmt.Sprint("s", round, i), crashingRequest) {
					sent++
				}
			}
			f.run(time.Second)
		}
		Expect(sent).To(BeNumerically("<=", 3+3))
	})

	// Guards against sound requests that are refused for long because they were in progress at replicas that ended for another cause.
	It("admits a sound request again at any VM once one of it was answered on trial", func() {
		f := newFleet(8, 3)
		for i := range 3 {
			f.cores[f.vms[i]].Crashed(f.now, quarantine.Crash{Upstream: fmt.Sprint("s", i), Request: soundRequest, Running: time.Second})
		}
		f.run(time.Second)
		tried := ""
		for _, vm := range []string{"vm7", "vm5", "vm6"} {
			if f.admits(vm, soundRequest) {
				tried = vm
				break
			}
		}
		Expect(tried).To(Equal("vm7"))
		Expect(f.admits("vm5", soundRequest)).To(BeFalse())
		f.cores[tried].AnsweredRequest(f.now, soundRequest)
		f.run(200 * time.Millisecond)
		for _, vm := range f.vms {
			Expect(f.admits(vm, soundRequest)).To(BeTrue(), vm)
		}
	})

	It("makes the trial later if the request could not be sent", func() {
		f := newFleet(4, 3)
		for i := range 3 {
			f.cores[f.vms[i]].Crashed(f.now, quarantine.Crash{Upstream: fmt.Sprint("s", i), Request: soundRequest, Running: time.Second})
		}
		f.run(time.Second)
		Expect(f.admits("vm3", soundRequest)).To(BeTrue())
		f.cores["vm3"].UnsentRequest(f.now, soundRequest)
		Expect(f.admits("vm3", soundRequest)).To(BeTrue())
		Expect(f.admits("vm3", soundRequest)).To(BeFalse())
	})

	It("spares a request that was in progress at some of the replicas that ended under another one", func() {
		f := newFleet(8, 3)
		for i := range 4 {
			f.cores["vm1"].Crashed(f.now, quarantine.Crash{Upstream: fmt.Sprint("s", i), Request: crashingRequest, Running: 20 * time.Millisecond})
			if i > 0 {
				f.cores["vm2"].Crashed(f.now, quarantine.Crash{Upstream: fmt.Sprint("s", i), Request: soundRequest, Running: 30 * time.Millisecond})
			}
			f.run(400 * time.Millisecond)
		}
		f.run(time.Second)
		Expect(f.admits("vm0", crashingRequest)).To(BeFalse())
		Expect(f.admits("vm0", soundRequest)).To(BeTrue())
	})

	It("spares a request that was answered since the first crash", func() {
		f := newFleet(8, 3)
		for i := range 10 {
			f.crashRequest(f.vms[i%8], fmt.Sprint("s", i), soundRequest)
			f.run(300 * time.Millisecond)
			if i%2 == 1 {
				f.cores[f.vms[(i+3)%8]].AnsweredRequest(f.now, soundRequest)
			}
			f.run(300 * time.Millisecond)
			Expect(f.admits("vm0", soundRequest)).To(BeTrue())
		}
	})

	// Guards against parts of prompts that are kept from all requests because one request with them ends engines.
	It("takes the request for the cause before the parts that only it had at the crashes", func() {
		f := newFleet(8, 3)
		f.condemnRequest(common, crashing)
		Expect(f.admitted("vm0", common, other)).To(BeTrue())
		Expect(f.admitted("vm0", crashing)).To(BeTrue())
	})

	It("takes the request for the cause also if sound requests with its parts are in progress at the same engines", func() {
		f := newFleet(8, 3)
		for i := range 5 {
			if f.crashRequest(f.vms[i], fmt.Sprint("s", i), crashingRequest, common, other) {
				for k := range uint64(4) {
					f.cores["vm7"].Crashed(f.now, quarantine.Crash{Upstream: fmt.Sprint("s", i), Parts: []uint64{common, other}, Request: 3000 + 10*uint64(i) + k, Running: time.Second})
				}
			}
			f.run(400 * time.Millisecond)
		}
		f.run(time.Second)
		Expect(f.admits("vm0", crashingRequest)).To(BeFalse())
		Expect(f.admitted("vm0", common, other)).To(BeTrue())
	})

	// Guards against a sound request that is judged after the one that ended the replicas, when that one is known no more as a suspect.
	It("spares a sound request that is judged later than the cause of its crashes", func() {
		f := newFleet(8, 3)
		for i := range 3 {
			f.cores["vm1"].Crashed(f.now, quarantine.Crash{Upstream: fmt.Sprint("s", i), Request: crashingRequest, Running: 20 * time.Millisecond})
			f.run(2 * tick)
		}
		f.run(400 * time.Millisecond)
		for i := range 3 {
			f.cores["vm2"].Crashed(f.now, quarantine.Crash{Upstream: fmt.Sprint("s", i), Request: soundRequest, Age: 700 * time.Millisecond, Running: 20 * time.Millisecond})
		}
		f.run(time.Second)
		Expect(f.admits("vm0", crashingRequest)).To(BeFalse())
		Expect(f.admits("vm0", soundRequest)).To(BeTrue())
	})

	It("finds the part if other requests with it end engines too", func() {
		f := newFleet(8, 3)
		f.cores["vm1"].Answered(f.now, []uint64{common})
		f.run(time.Second)
		f.condemnRequest(common, crashing)
		for i := range 3 {
			f.crash(f.vms[i], fmt.Sprint("t", i), common, crashing)
			f.run(400 * time.Millisecond)
		}
		f.run(time.Second)
		Expect(f.admitted("vm0", crashing)).To(BeFalse())
		Expect(f.admitted("vm0", common, other)).To(BeTrue())
	})

	It("is known within a second to a VM that was cut off or stood still", func() {
		f := newFleet(8, 3)
		f.cut["vm6"] = true
		f.condemnRequest()
		delete(f.cut, "vm6")
		f.run(1200 * time.Millisecond)
		Expect(f.cores["vm6"].AdmitRequest(f.now, crashingRequest).Admitted).To(BeFalse())
	})

	It("keeps bounded state when ever new requests end upstreams", func() {
		core := quarantine.New("judge", quarantine.WithJudge())
		for i := range uint64(20_000) {
			now := time.Duration(i) * time.Millisecond
			core.Crashed(now, quarantine.Crash{Upstream: fmt.Sprint("s", i), Request: 1 + i/3})
			core.AnsweredRequest(now, 1+i)
			if i%50 == 0 {
				core.Tick(now)
			}
		}
		Expect(core.Count(20 * time.Second)).To(BeNumerically("<=", 256))
		Expect(core.Verdicts(20 * time.Second)).To(HaveLen(core.Count(20 * time.Second)))
	})
})
