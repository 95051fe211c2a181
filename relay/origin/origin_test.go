package origin_test

import (
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/chicoryrelay/chicoryrelay/relay/origin"
)

// seeds returns the seeds 1 to count; CHICORY_SEEDS sets another count, CHICORY_SEED a single seed.
func seeds(count int) (list []uint64) {
	if one, err := strconv.ParseUint(os.Getenv("CHICORY_SEED"), 10, 64); err == nil {
		return []uint64{one}
	}
	if n, err := strconv.Atoi(os.Getenv("CHICORY_SEEDS")); err == nil {
		count = n
	}
	for seed := range count {
		list = append(list, uint64(seed+1))
	}
	return list
}

func at(software string) origin.Origin { return origin.Origin{Service: "llm", Software: software} }

func key(i int) origin.Key { return origin.NewKey("baths", fmt.Sprint(i)) }

func expectOrigin(r *origin.Registry, now time.Duration, k origin.Key, software string, expected origin.Knowledge) {
	GinkgoHelper()
	found, knowledge := r.Find(now, k)
	Expect(knowledge).To(Equal(expected))
	if expected == origin.Known {
		Expect(found).To(Equal(at(software)))
	}
}

var _ = Describe("registry of origins", func() {
	It("knows a stream by its account and attempt until its time is over", func() {
		r := origin.NewRegistry(10)
		r.Add(0, origin.Record{Key: key(1), Origin: at("v1"), Until: 20 * time.Second})
		expectOrigin(r, 19*time.Second, key(1), "v1", origin.Known)
		expectOrigin(r, 0, origin.NewKey("ships", "1"), "", origin.Unknown)
		expectOrigin(r, 0, origin.NewKey("", "5:baths1"), "", origin.Unknown)
		expectOrigin(r, 22*time.Second, key(1), "", origin.Unknown)
		Expect(r.Len()).To(BeZero())
	})

	It("keeps a stream that goes on for longer, and no stream for more than ten minutes", func() {
		r := origin.NewRegistry(10)
		r.Add(0, origin.Record{Key: key(1), Origin: at("v1"), Until: 20 * time.Second})
		r.Add(15*time.Second, origin.Record{Key: key(1), Origin: at("v1"), Until: 30 * time.Second})
		r.Add(0, origin.Record{Key: key(2), Origin: at("v1"), Until: 1000 * time.Hour})
		expectOrigin(r, 29*time.Second, key(1), "v1", origin.Known)
		expectOrigin(r, 11*time.Minute, key(2), "", origin.Unknown)
	})

	// Guards against a guess between two streams that a caller has given the same ID.
	It("knows no origin of streams of one key that began at different versions", func() {
		r := origin.NewRegistry(10)
		r.Add(0, origin.Record{Key: key(1), Origin: at("v1"), Until: time.Minute})
		r.Add(0, origin.Record{Key: key(1), Origin: at("v2"), Until: time.Minute})
		r.Add(0, origin.Record{Key: key(1), Origin: at("v2"), Until: time.Minute})
		expectOrigin(r, 0, key(1), "", origin.Several)
		copied := origin.NewRegistry(10)
		for _, record := range r.Records(0) {
			copied.Add(0, record)
		}
		expectOrigin(copied, 0, key(1), "", origin.Several)
	})

	// Guards against a registry that grows with its callers, and against a wrong origin once it is full.
	It("stays within its limit and never names another origin than the recorded one, with drawn records", func() {
		for _, seed := range seeds(50) {
			random := rand.New(rand.NewPCG(seed, 48))
			const limit = 40
			r := origin.NewRegistry(limit)
			began, until, several := map[int]string{}, map[int]time.Duration{}, map[int]bool{}
			now := time.Duration(0)
			for i := range 600 {
				now += time.Duration(random.IntN(400)) * time.Millisecond
				id := i/3 - random.IntN(20)
				if random.IntN(3) > 0 {
					software := fmt.Sprint("v", random.IntN(2+id&1))
					if id&3 > 0 {
						software = fmt.Sprint("v", id&3)
					}
					if old, ok := began[id]; ok && old != software && until[id]+time.Second >= now {
						several[id] = true
					}
					began[id], until[id] = software, max(until[id], now+time.Duration(random.IntN(20_000))*time.Millisecond)
					r.Add(now, origin.Record{Key: key(id), Origin: at(software), Until: until[id]})
				}
				found, knowledge := r.Find(now, key(id))
				if knowledge == origin.Known && !several[id] {
					Expect(found).To(Equal(at(began[id])), "seed %d", seed)
				}
				Expect(knowledge == origin.Several).To(Or(BeFalse(), Equal(several[id])), "seed %d", seed)
				Expect(r.Len()).To(BeNumerically("<=", limit), "seed %d", seed)
			}
		}
	})
})

var _ = Describe("history of versions", func() {
	const window = 30 * time.Second

	// observe reads the list every second until a time.
	observe := func(h *origin.History, from, until time.Duration, versions ...string) {
		for now := from; now <= until; now += time.Second {
			var list []origin.Origin
			for _, v := range versions {
				list = append(list, at(v))
			}
			h.Observe(now, list)
		}
	}
	expectListed := func(h *origin.History, now time.Duration, coverage origin.Coverage, versions ...string) {
		GinkgoHelper()
		expected := origin.Listed{Coverage: coverage, Count: len(versions)}
		if len(versions) == 1 {
			expected.Software = versions[0]
		}
		Expect(h.Listed(now, "llm", window)).To(Equal(expected))
	}
	expectSole := func(h *origin.History, now time.Duration, expected string) {
		GinkgoHelper()
		l := h.Listed(now, "llm", window)
		Expect(l.Coverage == origin.Full && l.Count == 1).To(Equal(expected != ""))
		if expected != "" {
			Expect(l.Software).To(Equal(expected))
		}
	}

	It("names the only version once it has been listed for the time of a stream", func() {
		h := origin.NewHistory()
		expectSole(h, 0, "")
		observe(h, 0, 29*time.Second, "v1")
		expectSole(h, 29*time.Second, "")
		observe(h, 30*time.Second, 31*time.Second, "v1")
		expectSole(h, 31*time.Second, "v1")
		Expect(h.Listed(31*time.Second, "other", window)).To(Equal(origin.Listed{Coverage: origin.Full}))
	})

	// Guards against a stream of a version that has left being taken for one of the version that is left.
	It("names none from the first reading with a second version until its last one is older than a stream", func() {
		h := origin.NewHistory()
		observe(h, 0, 40*time.Second, "v1")
		observe(h, 41*time.Second, 50*time.Second, "v1", "v2")
		expectSole(h, 41*time.Second, "")
		observe(h, 51*time.Second, 79*time.Second, "v2")
		expectSole(h, 79*time.Second, "")
		observe(h, 80*time.Second, 81*time.Second, "v2")
		expectSole(h, 81*time.Second, "v2")
	})

	// Guards against a version that is forgotten before the time of a stream is over, on routes with long timeouts.
	It("names none until the last reading with another version is older than the longest stream", func() {
		h := origin.NewHistory()
		observe(h, 0, 10*time.Minute, "v1")
		observe(h, 10*time.Minute+time.Second, 69*time.Minute, "v2")
		Expect(h.Listed(35*time.Minute, "llm", 30*time.Minute).Count).To(Equal(2))
		Expect(h.Listed(69*time.Minute, "llm", time.Hour).Count).To(Equal(2))
	})

	// Guards against versions that come and go while nobody reads the list.
	It("names none after a gap between two readings, or while the last one is old", func() {
		h := origin.NewHistory()
		observe(h, 0, 40*time.Second, "v1")
		expectSole(h, 46*time.Second, "")
		observe(h, 50*time.Second, 51*time.Second, "v1")
		expectSole(h, 51*time.Second, "")
		observe(h, 52*time.Second, 80*time.Second, "v1")
		expectSole(h, 80*time.Second, "v1")
	})

	// Guards against streams that are refused for the time of a stream after all VMs have started again.
	It("goes on from what was saved, with the versions of that time", func() {
		h := origin.NewHistory()
		observe(h, 0, 40*time.Second, "v1")
		saved, ok := h.Save(40 * time.Second)
		Expect(ok).To(BeTrue())
		again := origin.NewHistory(origin.WithSaved(saved))
		observe(again, time.Second, 2*time.Second, "v1")
		expectListed(again, 2*time.Second, origin.Full, "v1")
		observe(again, 3*time.Second, 4*time.Second, "v2")
		expectListed(again, 4*time.Second, origin.Full, "v1", "v2")
		late := origin.NewHistory(origin.WithSaved(saved))
		observe(late, 6*time.Second, 7*time.Second, "v1")
		expectListed(late, 7*time.Second, origin.Partial, "v1")
		_, ok = h.Save(46 * time.Second)
		Expect(ok).To(BeFalse())
	})

	It("covers the time before the first reading in a system that starts for the first time, until a gap", func() {
		h := origin.NewHistory(origin.WithNewSystem())
		expectListed(h, time.Second, origin.Blind)
		observe(h, time.Second, 2*time.Second, "v1")
		expectListed(h, 2*time.Second, origin.Full, "v1")
		observe(h, 9*time.Second, 10*time.Second, "v1", "v2")
		expectListed(h, 10*time.Second, origin.Partial, "v1", "v2")
	})
})

var _ = Describe("lookup of an origin", func() {
	listed := func(coverage origin.Coverage, versions ...string) origin.Answer {
		l := origin.Listed{Coverage: coverage, Count: len(versions)}
		if len(versions) == 1 {
			l.Software = versions[0]
		}
		return origin.Answer{Listed: l}
	}
	sole := func(software string) origin.Answer { return listed(origin.Full, software) }
	partial := func(software string) origin.Answer { return listed(origin.Partial, software) }
	known := func(software string) origin.Answer {
		return origin.Answer{Knowledge: origin.Known, Origin: at(software)}
	}
	lookup := func(own origin.Answer, listed ...string) *origin.Lookup {
		l := origin.NewLookup("llm", own, listed)
		l.Ask([]string{"c1", "c2"})
		return l
	}
	expectResult := func(l *origin.Lookup, software string, expected origin.Knowledge, isRecord bool) {
		GinkgoHelper()
		found, knowledge, record := l.Result()
		Expect(knowledge).To(Equal(expected))
		Expect(record).To(Equal(isRecord))
		if expected == origin.Known {
			Expect(found).To(Equal(at(software)))
		}
	}

	It("ends with the first record that a VM has", func() {
		l := lookup(origin.Answer{}, "v1", "v2")
		l.Add("c1", true, origin.Answer{})
		Expect(l.Done()).To(BeFalse())
		l.Add("c2", true, known("v2"))
		Expect(l.Done()).To(BeTrue())
		expectResult(l, "v2", origin.Known, true)
		Expect(lookup(known("v1"), "v1").Done()).To(BeTrue())
	})

	It("knows nothing if two VMs disagree, or one knows of several", func() {
		l := lookup(origin.Answer{}, "v1")
		l.Add("c1", true, known("v1"))
		l.Add("c2", true, known("v2"))
		expectResult(l, "", origin.Several, true)
		l = lookup(origin.Answer{}, "v1")
		l.Add("c1", true, origin.Answer{Knowledge: origin.Several})
		expectResult(l, "", origin.Several, true)
	})

	It("ignores answers of VMs that were not asked, and further ones of the same", func() {
		l := lookup(origin.Answer{}, "v1", "v2")
		l.Add("c3", true, known("v1"))
		expectResult(l, "", origin.Unknown, false)
		l.Add("c1", true, origin.Answer{})
		l.Add("c1", true, known("v1"))
		expectResult(l, "", origin.Unknown, false)
	})

	// Guards against a guess: one VM must know that there was only one version, and none may know of another.
	DescribeTable("takes the only version of the service for the origin of a stream without a record", func(own origin.Answer, answers []origin.Answer, listed []string, software string) {
		l := lookup(own, listed...)
		for i, a := range answers {
			l.Add([]string{"c1", "c2"}[i], true, a)
		}
		Expect(l.Unconfirmed()).To(Equal(software != ""))
		expectResult(l, "", origin.Unknown, false)
		l.Confirm(own.Listed, listed)
		expected := origin.Known
		if software == "" {
			expected = origin.Unknown
		}
		expectResult(l, software, expected, false)
	},
		Entry("if all control VMs know it", sole("v1"), []origin.Answer{sole("v1"), sole("v1")}, []string{"v1", "v1"}, "v1"),
		Entry("if one knows it", origin.Answer{}, []origin.Answer{sole("v1")}, []string{"v1"}, "v1"),
		Entry("if this VM knows it and a control VM has just started", sole("v1"), []origin.Answer{partial("v1")}, []string{"v1"}, "v1"),
		Entry("not if only this VM knows it and none answers", sole("v1"), nil, []string{"v1"}, ""),
		Entry("if one knows it and another one has just started", partial("v1"), []origin.Answer{{}, sole("v1")}, []string{"v1"}, "v1"),
		Entry("not if all have just started", partial("v1"), []origin.Answer{partial("v1"), {}}, []string{"v1"}, ""),
		Entry("not if one knows of another one", sole("v1"), []origin.Answer{sole("v1"), partial("v2")}, []string{"v1"}, ""),
		Entry("not if one knows of several", sole("v1"), []origin.Answer{sole("v1"), listed(origin.Partial, "v1", "v2")}, []string{"v1"}, ""),
		Entry("not if they know different ones", sole("v1"), []origin.Answer{sole("v1"), sole("v2")}, []string{"v1"}, ""),
		Entry("not if this VM knows of another one", partial("v2"), []origin.Answer{sole("v1")}, []string{"v1"}, ""),
		Entry("not if another one is listed now", sole("v1"), []origin.Answer{sole("v1"), sole("v1")}, []string{"v1", "v2"}, ""),
		Entry("not if none is listed now", sole("v1"), []origin.Answer{sole("v1")}, nil, ""),
		Entry("not if nobody knows any", origin.Answer{}, nil, []string{"v1"}, ""),
	)

	// Guards against a version that other VMs have used since the lists of all that answer were read, as those of a data centre that is cut off.
	It("takes no version for the only one if the list shows another once it has been read again", func() {
		l := lookup(sole("v1"), "v1")
		l.Add("c1", true, sole("v1"))
		Expect(l.Unconfirmed()).To(BeTrue())
		l.Confirm(listed(origin.Full, "v1", "v2").Listed, []string{"v1"})
		expectResult(l, "", origin.Unknown, false)
		l = lookup(sole("v1"), "v1")
		l.Add("c1", true, sole("v1"))
		l.Confirm(sole("v1").Listed, []string{"v1", "v2"})
		expectResult(l, "", origin.Unknown, false)
		Expect(l.Unconfirmed()).To(BeFalse())
	})

	It("counts the answers of control VMs only, so that others can't stand for them", func() {
		l := lookup(origin.Answer{}, "v1")
		l.Add("c1", false, origin.Answer{})
		Expect(l.Answered()).To(BeFalse())
		l.Add("c2", true, origin.Answer{})
		Expect(l.Answered()).To(BeTrue())
	})
})

// BenchmarkAdd adds records to a full registry, as at a control VM.
func BenchmarkAdd(b *testing.B) {
	r := origin.NewRegistry(1 << 18)
	var key origin.Key
	b.ReportAllocs()
	now := time.Duration(0)
	for i := 0; b.Loop(); i++ {
		for j := range 8 {
			key[j] = byte(i >> (8 * j))
		}
		now += 100 * time.Microsecond
		r.Add(now, origin.Record{Key: key, Origin: origin.Origin{Service: "llm", Software: "v1"}, Until: now + 20*time.Second})
	}
}
