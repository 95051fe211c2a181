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

// Parts of prompts: engines end under the first one.
const (
	crashing = 1
	common   = 2
	other    = 3
)

// tick is the interval of the cores' ticks, transit the time that a report takes.
const (
	tick    = 50 * time.Millisecond
	transit = 20 * time.Millisecond
)

// fleet simulates VMs and control VMs, named vm0, vm1, ... and judge0, judge1, ..., on one virtual clock.
type fleet struct {
	now     time.Duration
	cores   map[string]*quarantine.Core
	judges  []string
	vms     []string
	cut     map[string]bool
	mail    []letter
	notices map[string][]quarantine.Notice
	started map[string]time.Duration
}

// letter is a report on its way.
type letter struct {
	at       time.Duration
	from, to string
	report   quarantine.Report
}

func newFleet(vms, judges int) *fleet {
	f := &fleet{cores: map[string]*quarantine.Core{}, cut: map[string]bool{}, notices: map[string][]quarantine.Notice{}, started: map[string]time.Duration{}}
	for i := range vms {
		f.vms = append(f.vms, fmt.Sprint("vm", i))
		f.restart(f.vms[i])
	}
	for i := range judges {
		f.judges = append(f.judges, fmt.Sprint("judge", i))
		f.restart(f.judges[i])
	}
	return f
}

// restart replaces a VM's core by an empty one.
func (f *fleet) restart(name string) {
	var options []quarantine.Option
	if name[0] == 'j' {
		options = append(options, quarantine.WithJudge())
	}
	f.cores[name], f.started[name] = quarantine.New(name, options...), f.now
}

// run lets time pass.
func (f *fleet) run(d time.Duration) {
	for end := f.now + d; f.now < end; {
		f.now += tick
		due := slices.DeleteFunc(slices.Clone(f.mail), func(l letter) bool { return l.at > f.now })
		f.mail = slices.DeleteFunc(f.mail, func(l letter) bool { return l.at <= f.now })
		for _, l := range due {
			if !f.cut[l.from] && !f.cut[l.to] {
				f.cores[l.to].Receive(f.now, l.from, l.report)
			}
		}
		for _, name := range slices.Concat(f.vms, f.judges) {
			f.post(name, f.cores[name].Tick(f.now))
		}
	}
}

func (f *fleet) post(from string, effects quarantine.Effects) {
	f.notices[from] = append(f.notices[from], effects.Notices...)
	for _, out := range effects.Outgoing {
		to := f.judges
		switch out.To {
		case quarantine.Everyone:
			to = slices.Concat(f.vms, f.judges)
		case quarantine.Sender:
			to = []string{out.Name}
		}
		for _, name := range to {
			if name != from {
				f.mail = append(f.mail, letter{f.now + transit, from, name, out.Report})
			}
		}
	}
}

// crash lets an engine end under a request of a VM; it returns false if the request was not admitted.
func (f *fleet) crash(vm, engine string, parts ...uint64) bool {
	if _, admitted := f.cores[vm].Admit(f.now, parts); !admitted {
		return false
	}
	f.cores[vm].Crashed(f.now, quarantine.Crash{Upstream: engine, Parts: parts, Running: time.Second})
	return true
}

func (f *fleet) admitted(vm string, parts ...uint64) bool {
	_, admitted := f.cores[vm].Admit(f.now, parts)
	return admitted
}

var _ = Describe("quarantine", func() {
	// Guards against requests with one part in their prompts that end engine after engine, while they come at any VM and VMs and
	// control VMs restart.
	for seed := uint64(1); seed <= 50; seed++ {
		It(fmt.Sprintf("keeps a part from the engines of a whole fleet, seed %d", seed), func() {
			random := rand.New(rand.NewPCG(seed, 0))
			f := newFleet(2+random.IntN(60), 3)
			crashes, late, fifth := 0, 0, time.Duration(0)
			const contact = 3 * time.Second
			for f.now < 100*time.Second {
				f.run(tick * time.Duration(1+random.IntN(10)))
				vm := f.vms[random.IntN(len(f.vms))]
				if f.crash(vm, fmt.Sprint("e", crashes), common, crashing) {
					if crashes++; crashes == 5 {
						fifth = f.now
					}
					// A VM is bound once it has been up for the time in which it gets in touch with the others.
					if crashes > 5 && f.now > fifth+contact && f.now > f.started[vm]+contact {
						late++
					}
				}
				for range 3 {
					sound := f.vms[random.IntN(len(f.vms))]
					if f.admitted(sound, common, other) {
						f.cores[sound].Answered(f.now, []uint64{common, other})
					}
				}
				if random.IntN(20) == 0 {
					f.restart(slices.Concat(f.vms, f.judges)[random.IntN(len(f.vms)+len(f.judges))])
				}
			}
			Expect(crashes).To(BeNumerically(">=", 3))
			Expect(late).To(BeNumerically("<=", 3))
			Expect(f.admitted(f.vms[0], common, other)).To(BeTrue())
		})
	}

	// Guards against a sound part that is kept from the engines because requests with it were in progress when engines ended.
	for seed := uint64(1); seed <= 50; seed++ {
		It(fmt.Sprintf("keeps no part that is answered now and then at any VM, seed %d", seed), func() {
			random := rand.New(rand.NewPCG(seed, 1))
			f := newFleet(20, 3)
			for i := range 200 {
				f.run(300 * time.Millisecond)
				f.crash(f.vms[random.IntN(len(f.vms))], fmt.Sprint("e", i), common, other)
				if i%2 == 1 {
					f.cores[f.vms[random.IntN(len(f.vms))]].Answered(f.now, []uint64{common, other})
				}
			}
			for _, name := range slices.Concat(f.vms, f.judges) {
				Expect(f.notices[name]).To(BeEmpty())
			}
		})
	}

	It("counts each engine that one request ended in turn, however fast", func() {
		f := newFleet(1, 3)
		for i := range 3 {
			f.cores["vm0"].Crashed(f.now, quarantine.Crash{Upstream: fmt.Sprint("e", i), Parts: []uint64{crashing}, Running: 40 * time.Millisecond})
			f.run(tick)
		}
		f.run(time.Second)
		Expect(f.admitted("vm0", crashing)).To(BeFalse())
	})

	condemn := func(f *fleet) {
		for i := range 5 {
			f.crash(f.vms[i%len(f.vms)], fmt.Sprint("e", i), crashing)
			f.run(400 * time.Millisecond)
		}
		f.run(time.Second)
		for _, name := range slices.Concat(f.vms, f.judges) {
			ExpectWithOffset(1, f.admitted(name, crashing)).To(BeFalse(), name)
		}
	}

	crashInTurn := func(f *fleet) {
		for i := range 3 {
			f.cores["vm0"].Crashed(f.now, quarantine.Crash{Upstream: fmt.Sprint("e", i), Parts: []uint64{common, crashing}, Running: 40 * time.Millisecond})
			f.run(tick)
		}
		f.run(time.Second)
	}

	// Guards against sound requests that are refused because they share a part with one that ended several engines at once.
	It("spares the parts that have been answered later than another one of the same requests", func() {
		f := newFleet(4, 3)
		f.cores["vm2"].Answered(f.now, []uint64{crashing})
		f.run(10 * time.Second)
		f.cores["vm3"].Answered(f.now, []uint64{common})
		f.run(10 * time.Second)
		crashInTurn(f)
		for _, vm := range f.vms {
			Expect(f.admitted(vm, crashing)).To(BeFalse())
			Expect(f.admitted(vm, common, other)).To(BeTrue())
		}
	})

	// Guards against verdicts on parts that were merely in progress when engines ended under another part.
	It("spares a part that was in progress at some of the engines that ended under another one, and at one that ended before", func() {
		f := newFleet(8, 3)
		f.cores["vm1"].Answered(f.now, []uint64{common})
		f.run(5 * time.Second)
		f.cores["vm2"].Crashed(f.now, quarantine.Crash{Upstream: "e0", Parts: []uint64{common, other}, Running: time.Second})
		f.run(2 * tick)
		for i := 1; i < 5; i++ {
			f.cores["vm3"].Crashed(f.now, quarantine.Crash{Upstream: fmt.Sprint("e", i), Parts: []uint64{common, crashing}, Running: 60 * time.Millisecond})
			f.cores["vm4"].Crashed(f.now, quarantine.Crash{Upstream: fmt.Sprint("e", i), Parts: []uint64{common, 99}, Running: 3 * time.Second})
			f.run(200 * time.Millisecond)
		}
		f.run(time.Second)
		Expect(f.admitted("vm0", crashing)).To(BeFalse())
		Expect(f.admitted("vm0", common, other)).To(BeTrue())
	})

	// Guards against a suspicion of the other parts of requests that were in progress when their part came into quarantine.
	It("explains later crashes by a part that is in quarantine", func() {
		f := newFleet(8, 3)
		condemn(f)
		for i := range 6 {
			f.cores["vm1"].Crashed(f.now, quarantine.Crash{Upstream: fmt.Sprint("late", i), Parts: []uint64{crashing, other}, Running: 100 * time.Millisecond})
			f.run(300 * time.Millisecond)
		}
		f.run(time.Second)
		Expect(f.admitted("vm0", other)).To(BeTrue())
	})

	It("spares them also where a VM decides alone", func() {
		f := newFleet(1, 0)
		f.cores["vm0"].Answered(f.now, []uint64{common})
		f.run(10 * time.Second)
		for i := range 5 {
			f.crash("vm0", fmt.Sprint("e", i), common, crashing)
			f.run(400 * time.Millisecond)
		}
		Expect(f.admitted("vm0", crashing)).To(BeFalse())
		Expect(f.admitted("vm0", common, other)).To(BeTrue())
	})

	It("tries the parts soon, each by itself, if nothing tells which of them it is", func() {
		f := newFleet(4, 3)
		crashInTurn(f)
		Expect(f.admitted("vm0", common, other)).To(BeFalse())
		f.run(2 * time.Second)
		Expect(f.admitted("vm0", common, crashing)).To(BeFalse())
		Expect(f.admitted("vm0", common, other)).To(BeTrue())
		f.cores["vm0"].Answered(f.now, []uint64{common, other})
		f.run(time.Second)
		for _, vm := range f.vms {
			Expect(f.admitted(vm, common, other)).To(BeTrue())
		}
		Expect(f.admitted("vm1", crashing)).To(BeFalse())
	})

	It("takes engines that end at one moment, as with their rack, for one crash", func() {
		f := newFleet(8, 3)
		for i := range 30 {
			f.crash(f.vms[i%8], fmt.Sprint("e", i), common)
			if i%10 == 9 {
				f.run(tick)
			}
		}
		f.run(2 * time.Second)
		Expect(f.admitted("vm0", common)).To(BeTrue())
	})

	// trials returns the VMs that admit a request with the part now.
	trials := func(f *fleet) (names []string) {
		for _, name := range f.vms {
			if f.admitted(name, crashing) {
				names = append(names, name)
			}
		}
		return names
	}

	It("lets one VM try the part again, and lifts the verdict everywhere after an answer", func() {
		f := newFleet(8, 3)
		condemn(f)
		f.run(35 * time.Second)
		names := trials(f)
		Expect(names).To(HaveLen(1))
		Expect(trials(f)).To(BeEmpty())
		f.cores[names[0]].Answered(f.now, []uint64{crashing})
		f.run(time.Second)
		Expect(trials(f)).To(HaveLen(8))
		f.run(20 * time.Second)
		Expect(trials(f)).To(HaveLen(8))
	})

	It("waits longer for the next trial after one that ended an engine", func() {
		f := newFleet(8, 3)
		condemn(f)
		f.run(35 * time.Second)
		names := trials(f)
		Expect(names).To(HaveLen(1))
		f.cores[names[0]].Crashed(f.now, quarantine.Crash{Upstream: "e9", Parts: []uint64{crashing}})
		f.run(100 * time.Second)
		Expect(trials(f)).To(BeEmpty())
		f.run(25 * time.Second)
		Expect(trials(f)).To(HaveLen(1))
	})

	It("is known to a VM, and to control VMs that all restarted, at once", func() {
		f := newFleet(8, 3)
		condemn(f)
		f.restart("vm3")
		f.run(200 * time.Millisecond)
		Expect(f.admitted("vm3", crashing)).To(BeFalse())
		for _, judge := range f.judges {
			f.restart(judge)
		}
		f.run(200 * time.Millisecond)
		f.restart("vm5")
		f.run(200 * time.Millisecond)
		Expect(f.admitted("vm5", crashing)).To(BeFalse())
	})

	It("is decided by a VM alone while no control VM can be reached", func() {
		f := newFleet(2, 3)
		f.cut["vm0"] = true
		sent := 0
		for i := range 20 {
			if f.crash("vm0", fmt.Sprint("e", i), crashing) {
				sent++
			}
			f.run(400 * time.Millisecond)
		}
		Expect(sent).To(BeNumerically("<=", 5+3))
		f.cut["vm0"] = false
		f.run(11 * time.Second)
		Expect(f.admitted("vm1", crashing)).To(BeFalse())
	})

	It("ends after its lifetime, so that no verdict lasts for ever", func() {
		f := newFleet(2, 1)
		condemn(f)
		f.run(11 * time.Minute)
		Expect(trials(f)).To(HaveLen(2))
	})

	It("keeps bounded state when requests with ever new parts end engines", func() {
		core := quarantine.New("judge", quarantine.WithJudge())
		for i := range uint64(200_000) {
			core.Crashed(time.Duration(i)*time.Millisecond, quarantine.Crash{Upstream: fmt.Sprint("e", i), Parts: []uint64{10 + i, 11 + i}})
			core.Answered(time.Duration(i)*time.Millisecond, []uint64{10 + i})
			if i%50 == 0 {
				core.Tick(time.Duration(i) * time.Millisecond)
			}
		}
		Expect(core.Count(200 * time.Second)).To(BeNumerically("<=", 256))
	})
})
