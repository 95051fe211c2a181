package directory_test

import (
	"net/netip"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/chicoryrelay/chicoryrelay/relay/directory"
	"github.com/chicoryrelay/chicoryrelay/relay/peer"
)

var incarnationStart = time.UnixMilli(1_700_000_000_000)

func engine(id string, weights uint64) directory.Upstream {
	return directory.Upstream{
		ID: id, Service: "llm", Address: netip.MustParseAddrPort("10.0.0.1:8080"), Centre: "a", Slots: 96,
		Models: []directory.Model{{Name: "m", Weights: weights}}, StartedAt: incarnationStart,
	}
}

func singleUpstream(d *directory.Directory, now time.Duration) directory.Upstream {
	GinkgoHelper()
	list := d.Upstreams(now)
	Expect(list).To(HaveLen(1))
	return list[0]
}

var _ = Describe("directory", func() {
	It("prefers an upstream's own report to the list, which lags behind, while the report is recent", func() {
		d := directory.New()
		d.SetList([]directory.Upstream{engine("e", 1)})
		d.AddReport(0, directory.Report{ID: "e", Models: []directory.Model{{Name: "m", Weights: 2}}, Loading: true})
		recent := singleUpstream(d, time.Second)
		Expect(recent.Weights("m")).To(Equal(uint64(2)))
		Expect(recent.Serves()).To(BeFalse())
		old := singleUpstream(d, 10*time.Second)
		Expect(old.Weights("m")).To(Equal(uint64(1)))
		Expect(old.Serves()).To(BeTrue())
	})

	It("changes the weights of one of an upstream's models and keeps the others", func() {
		u := directory.Upstream{ID: "a", Models: []directory.Model{{Name: "m", Weights: 1}, {Name: "n", Weights: 4}}}
		Expect(u.WithWeights("m", 2)).To(Equal([]directory.Model{{Name: "m", Weights: 2}, {Name: "n", Weights: 4}}))
		Expect(u.Models[0].Weights).To(BeEquivalentTo(1))
	})

	It("ignores a report of an earlier incarnation", func() {
		d := directory.New()
		d.SetList([]directory.Upstream{engine("e", 1)})
		d.AddReport(0, directory.Report{ID: "e", Gone: true, StartedAt: incarnationStart.Add(-time.Minute)})
		upstream := singleUpstream(d, 0)
		Expect(upstream.Serves()).To(BeTrue())
	})

	// Guards against the late report of an earlier incarnation that takes the place of a newer one's.
	It("keeps the report of a newer incarnation", func() {
		d := directory.New()
		d.SetList([]directory.Upstream{engine("e", 1)})
		d.AddReport(0, directory.Report{ID: "e", Models: []directory.Model{{Name: "m", Weights: 3}}, StartedAt: incarnationStart.Add(time.Minute)})
		d.AddReport(0, directory.Report{ID: "e", Models: []directory.Model{{Name: "m", Weights: 2}}, Loading: true, StartedAt: incarnationStart})
		upstream := singleUpstream(d, 0)
		Expect(upstream.Weights("m")).To(BeEquivalentTo(3))
		Expect(upstream.Serves()).To(BeTrue())
	})

	It("marks an upstream that has left its address as not serving", func() {
		d := directory.New()
		d.SetList([]directory.Upstream{engine("e", 1)})
		d.AddReport(0, directory.Report{ID: "e", Gone: true, StartedAt: incarnationStart})
		upstream := singleUpstream(d, 0)
		Expect(upstream.Serves()).To(BeFalse())
	})

	It("omits an upstream that is reported but not listed", func() {
		d := directory.New()
		d.AddReport(0, directory.Report{ID: "e"})
		Expect(d.Upstreams(0)).To(BeEmpty())
	})
})

var _ = Describe("upstreams message", func() {
	It("carries all fields that other VMs need, and has equal checksums for equal sets only", func() {
		list := []directory.Upstream{engine("e1", 3), engine("e2", 4)}
		list[1].Leaving, list[1].Loading = true, true
		list[0].Software, list[1].Software = "v1", "v1.1"
		board := directory.Encode(list)
		Expect(directory.Decode(board)).To(Equal(list))
		Expect(directory.Encode(list).GetChecksum()).To(Equal(board.GetChecksum()))
		list[0].Loading = true
		Expect(directory.Encode(list).GetChecksum()).NotTo(Equal(board.GetChecksum()))
		list[0].Loading, list[0].Software = false, "v1.1"
		Expect(directory.Encode(list).GetChecksum()).NotTo(Equal(board.GetChecksum()))
	})

	It("is decoded without invalid entries", func() {
		board := &peer.Board{Upstreams: []*peer.BoardUpstream{{Id: "e", Address: "nowhere"}, {Address: "10.0.0.1:1"}}}
		Expect(directory.Decode(board)).To(BeEmpty())
	})
})

var _ = Describe("an upstream that has announced that it leaves", func() {
	leaves := func(d *directory.Directory, now time.Duration) bool {
		GinkgoHelper()
		return singleUpstream(d, now).Leaving
	}

	It("is leaving until another incarnation is listed, however long the list shows it as ready", func() {
		d := directory.New()
		d.SetList([]directory.Upstream{engine("e", 1)})
		Expect(d.AddDeparture(0, "e")).To(BeTrue())
		Expect(d.AddDeparture(time.Second, "e")).To(BeFalse())
		Expect(leaves(d, time.Hour)).To(BeTrue())
		d.SetList(nil)
		Expect(d.Upstreams(time.Hour + time.Second)).To(BeEmpty())
		d.SetList([]directory.Upstream{engine("e", 1)})
		Expect(leaves(d, time.Hour+time.Minute)).To(BeTrue())
		again := engine("e", 1)
		again.StartedAt = incarnationStart.Add(time.Minute)
		d.SetList([]directory.Upstream{again})
		Expect(leaves(d, time.Hour+2*time.Minute)).To(BeFalse())
		Expect(leaves(d, time.Hour+3*time.Minute)).To(BeFalse())
	})

	It("counts as another incarnation once the list has shown it as ready for a while after it had left, if its start is unknown", func() {
		ready := engine("e", 1)
		ready.StartedAt = time.Time{}
		leaving := ready
		leaving.Leaving = true
		for _, gone := range [][]directory.Upstream{nil, {leaving}} {
			d := directory.New()
			d.SetList([]directory.Upstream{ready})
			d.AddDeparture(0, "e")
			Expect(leaves(d, time.Hour)).To(BeTrue())
			d.SetList(gone)
			d.Upstreams(time.Hour + time.Second)
			d.SetList([]directory.Upstream{ready})
			Expect(leaves(d, time.Hour+6*time.Second)).To(BeTrue())
			Expect(leaves(d, time.Hour+12*time.Second)).To(BeFalse())
		}
	})

	It("counts as another incarnation after an answer without the announcement, but not of one that was under way", func() {
		d := directory.New()
		d.SetList([]directory.Upstream{engine("e", 1)})
		d.AddDeparture(0, "e")
		Expect(d.EndDeparture(500*time.Millisecond, "e")).To(BeFalse())
		d.AddDeparture(time.Minute, "e")
		Expect(d.EndDeparture(time.Minute+500*time.Millisecond, "e")).To(BeFalse())
		Expect(leaves(d, 2*time.Minute)).To(BeTrue())
		Expect(d.EndDeparture(2*time.Minute, "e")).To(BeTrue())
		Expect(leaves(d, 2*time.Minute)).To(BeFalse())
	})

	It("is forgotten some time after it has left the list", func() {
		d := directory.New()
		for i := range 100 {
			d.AddDeparture(0, string(rune('a'+i)))
		}
		d.Upstreams(11 * time.Minute)
		Expect(d.Departures()).To(BeZero())
	})
})
