package control

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"google.golang.org/protobuf/proto"

	"github.com/chicoryrelay/chicoryrelay/relay/peer"
)

func boardOf(checksum uint64, entries ...*peer.BoardUpstream) *peer.Board {
	return &peer.Board{Checksum: checksum, Upstreams: entries}
}

func entry(id string, loading bool) *peer.BoardUpstream {
	return &peer.BoardUpstream{Id: id, Loading: loading}
}

var _ = Describe("board delta", func() {
	first := boardOf(1, entry("a", false), entry("b", false), entry("c", false))
	second := boardOf(2, entry("a", false), entry("b", true), entry("d", false))

	It("contains changed and removed upstreams only, because full boards to every VM at each change would saturate their links", func() {
		delta := boardDelta(first, second)
		Expect(delta.GetUpstreams()).To(HaveLen(2))
		Expect(delta.GetRemoved()).To(Equal([]string{"c"}))
	})

	It("yields the second board when it is applied to the first", func() {
		Expect(proto.Equal(applyBoardDelta(first, boardDelta(first, second)), second)).To(BeTrue())
	})

	It("is not applied to a board other than its base, so that the next lease brings the full board", func() {
		Expect(applyBoardDelta(second, boardDelta(first, second))).To(BeNil())
		Expect(applyBoardDelta(nil, boardDelta(first, second))).To(BeNil())
	})

	It("is the full board if there was no first one", func() {
		Expect(boardDelta(nil, second)).To(Equal(second))
		Expect(applyBoardDelta(nil, second)).To(Equal(second))
	})
})
