package directory_test

import (
	"net/netip"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/chicoryrelay/chicoryrelay/relay/directory"
	"github.com/chicoryrelay/chicoryrelay/relay/peer"
)

var born = time.UnixMilli(1_700_000_000_000)

func engine(id string, weights uint64) directory.Upstream {
	return directory.Upstream{
		ID: id, Service: "llm", Address: netip.MustParseAddrPort("10.0.0.1:8080"), Centre: "a", Slots: 96,
		Models: []directory.Model{{Name: "m", Weights: weights}}, Born: born,
	}
}

func only(d *directory.Directory, now time.Duration) directory.Upstream {
	GinkgoHelper()
	list := d.Upstreams(now)
	Expect(list).To(HaveLen(1))
	return list[0]
}

var _ = Describe("directory", func() {
	It("puts an upstream's own report before the list, which lags, for as long as it is recent", func() {
		d := directory.New()
		d.Listed([]directory.Upstream{engine("e", 1)})
		d.Hear(0, directory.Report{ID: "e", Models: []directory.Model{{Name: "m", Weights: 2}}, Loading: true})
		recent := only(d, time.Second)
		Expect(recent.Weights("m")).To(Equal(uint64(2)))
		Expect(recent.Serves()).To(BeFalse())
		old := only(d, 10*time.Second)
		Expect(old.Weights("m")).To(Equal(uint64(1)))
		Expect(old.Serves()).To(BeTrue())
	})

	It("does not believe a report of an earlier life", func() {
		d := directory.New()
		d.Listed([]directory.Upstream{engine("e", 1)})
		d.Hear(0, directory.Report{ID: "e", Gone: true, Born: born.Add(-time.Minute)})
		upstream := only(d, 0)
		Expect(upstream.Serves()).To(BeTrue())
	})

	It("gives no work to an upstream that has left its address", func() {
		d := directory.New()
		d.Listed([]directory.Upstream{engine("e", 1)})
		d.Hear(0, directory.Report{ID: "e", Gone: true, Born: born})
		upstream := only(d, 0)
		Expect(upstream.Serves()).To(BeFalse())
	})

	It("names no upstream that is not listed", func() {
		d := directory.New()
		d.Hear(0, directory.Report{ID: "e"})
		Expect(d.Upstreams(0)).To(BeEmpty())
	})
})

var _ = Describe("board", func() {
	It("tells other VMs all that they need, and the same set has the same checksum", func() {
		list := []directory.Upstream{engine("e1", 3), engine("e2", 4)}
		list[1].Leaving, list[1].Loading = true, true
		board := directory.Board(list)
		Expect(directory.FromBoard(board)).To(Equal(list))
		Expect(directory.Board(list).GetChecksum()).To(Equal(board.GetChecksum()))
		list[0].Loading = true
		Expect(directory.Board(list).GetChecksum()).NotTo(Equal(board.GetChecksum()))
	})

	It("leaves out entries that can't be read", func() {
		board := &peer.Board{Upstreams: []*peer.BoardUpstream{{Id: "e", Address: "nowhere"}, {Address: "10.0.0.1:1"}}}
		Expect(directory.FromBoard(board)).To(BeEmpty())
	})
})
