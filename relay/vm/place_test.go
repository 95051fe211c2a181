package vm

import (
	"net/netip"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/chicoryrelay/chicoryrelay/relay/directory"
	"github.com/chicoryrelay/chicoryrelay/relay/forward"
	"github.com/chicoryrelay/chicoryrelay/relay/pause"
	"github.com/chicoryrelay/chicoryrelay/relay/settings"
)

var _ = Describe("an answer that shows other weights than the engine had on record", func() {
	born := time.UnixMilli(1_700_000_000_000)
	engine := func(weights uint64, startedAt time.Time) []directory.Upstream {
		return []directory.Upstream{{
			ID: "e", Service: "llm", Address: netip.MustParseAddrPort("127.0.0.1:1"), Models: []directory.Model{{Name: "m", Weights: weights}}, StartedAt: startedAt,
		}}
	}
	// weightsAfter returns the weights on record after an answer that shows version 2, by an engine that had version 1 when the request was
	// placed and is listed with others at its end.
	weightsAfter := func(weights uint64, startedAt time.Time) uint64 {
		st := newState(Adapter{}, &log.Logger{Handler: discard.Default})
		d := newDispatcher(settings.Settings{Name: "vm"}, st.log)
		d.Run()
		DeferCleanup(d.Stop)
		p := newPlacer(settings.Settings{Name: "vm"}, st, d, pause.New(), st.log)
		st.setList(engine(1, born), 0, "list")
		placed := st.list.Load().Find("e")
		st.setList(engine(weights, startedAt), 0, "list")
		p.correctWeights(placed, &forward.PlacementRequest{Metadata: &forward.RequestMetadata{Model: "m"}}, forward.AnswerMetadata{Weights: 2})
		return st.list.Load().Find("e").Weights("m")
	}

	It("corrects the record", func() {
		Expect(weightsAfter(1, born)).To(BeEquivalentTo(2))
	})

	// Guards against a long stream at whose end its first weights replace what has been learned since it began.
	It("changes nothing if something newer has been learned since the request was placed", func() {
		Expect(weightsAfter(3, born)).To(BeEquivalentTo(3))
		Expect(weightsAfter(1, born.Add(time.Minute))).To(BeEquivalentTo(1))
	})
})
