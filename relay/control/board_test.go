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

var _ = Describe("board difference", func() {
	first := boardOf(1, entry("a", false), entry("b", false), entry("c", false))
	second := boardOf(2, entry("a", false), entry("b", true), entry("d", false))

	It("holds what changed only, since the whole board to every VM at each change would fill their links", func() {
		difference := boardDifference(first, second)
		Expect(difference.GetUpstreams()).To(HaveLen(2))
		Expect(difference.GetRemoved()).To(Equal([]string{"c"}))
	})

	It("leads to the same board", func() {
		Expect(proto.Equal(applyDifference(first, boardDifference(first, second)), second)).To(BeTrue())
	})

	It("is not applied to another board than it starts from; the next lease brings the whole one", func() {
		Expect(applyDifference(second, boardDifference(first, second))).To(BeNil())
		Expect(applyDifference(nil, boardDifference(first, second))).To(BeNil())
	})

	It("is the whole board where there was none", func() {
		Expect(boardDifference(nil, second)).To(Equal(second))
		Expect(applyDifference(nil, second)).To(Equal(second))
	})
})
