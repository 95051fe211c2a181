package vm

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"google.golang.org/protobuf/proto"

	"github.com/chicoryrelay/chicoryrelay/relay/control"
	"github.com/chicoryrelay/chicoryrelay/relay/directory"
	"github.com/chicoryrelay/chicoryrelay/relay/origin"
	"github.com/chicoryrelay/chicoryrelay/relay/peer"
	"github.com/chicoryrelay/chicoryrelay/relay/settings"
)

// recordsOf returns the records of a number of streams that began at two versions.
func recordsOf(count int) (records []origin.Record) {
	for i := range count {
		records = append(records, origin.Record{
			Key: origin.NewKey("baths", fmt.Sprint(i)), Origin: origin.Origin{Service: "kiosk", Software: fmt.Sprint("v", 1+i%2)}, Until: 20 * time.Second,
		})
	}
	return records
}

func newTestOrigins(limit int) *origins {
	return &origins{state: &state{started: time.Now()}, registry: origin.NewRegistry(limit), history: origin.NewHistory(), lookups: map[uint64]*originLookup{}}
}

var _ = Describe("records of streams", func() {
	It("reach a control VM with their origins and the time for which they are kept", func() {
		o := newTestOrigins(100)
		records := recordsOf(5)
		records[4].Several = true
		o.receive(encodeOrigins(0, records))
		for i, r := range records {
			found, knowledge := o.registry.Find(o.state.now(), r.Key)
			if i == 4 {
				Expect(knowledge).To(Equal(origin.Several))
				continue
			}
			Expect(knowledge).To(Equal(origin.Known))
			Expect(found).To(Equal(r.Origin))
		}
		_, knowledge := o.registry.Find(o.state.now()+22*time.Second, records[0].Key)
		Expect(knowledge).To(Equal(origin.Unknown))
	})

	It("are taken from no message with keys or times that are missing", func() {
		o := newTestOrigins(100)
		o.receive(&peer.Origins{Groups: []*peer.OriginGroup{
			{Service: "kiosk", Software: "v1", Streams: [][]byte{{1, 2, 3}, make([]byte, 16)}, Remaining: []uint32{1000}}, nil,
		}})
		Expect(o.registry.Len()).To(BeZero())
	})

	// Guards against records that grow with the number of control VMs, and against VMs that disagree on who holds one.
	It("are held by three control VMs, which all VMs choose alike, and evenly", func() {
		controls := []string{"c1", "c2", "c3", "c4", "c5", "c6", "c7"}
		reversed := []string{"c7", "c6", "c5", "c4", "c3", "c2", "c1"}
		held := map[string]int{}
		for _, r := range recordsOf(700) {
			holders := holdersOf(r.Key, controls)
			Expect(holders).To(HaveLen(originHolders))
			Expect(holdersOf(r.Key, reversed)).To(Equal(holders))
			for _, name := range holders {
				held[name]++
			}
		}
		for _, name := range controls {
			Expect(held[name]).To(BeNumerically("~", 300, 75))
		}
		Expect(holdersOf(origin.Key{}, controls[:2])).To(ConsistOf("c1", "c2"))
	})
})

var _ = Describe("lookup of where a stream began", func() {
	// Guards against a reply that a control VM, suspended meanwhile, sends to the VM's next process, where it would tell of another stream.
	It("takes no reply to a question of the process that this VM ran before", func() {
		start := func() (*origins, *peer.OriginRequest, *originLookup) {
			node := control.New("vm", 1)
			o := newOrigins(settings.Default(), newState(Adapter{}, log.Log), control.NewHost(node), &peerMesh{mesh: peer.New(), host: control.NewHost(node)}, log.Log)
			request := &peer.OriginRequest{Service: "kiosk"}
			lookup, end := o.begin(request)
			DeferCleanup(end)
			lookup.Ask([]string{"c1"})
			return o, request, lookup
		}
		_, before, _ := start()
		o, own, lookup := start()
		o.receiveReply("c1", &peer.OriginReply{Id: before.Id, Knowledge: uint32(origin.Known), Service: "kiosk", Software: "v1"})
		Expect(lookup.Found()).To(BeFalse())
		o.receiveReply("c1", &peer.OriginReply{Id: own.Id, Knowledge: uint32(origin.Known), Service: "kiosk", Software: "v2"})
		found, knowledge, _ := o.result(lookup)
		Expect(knowledge).To(Equal(origin.Known))
		Expect(found.Software).To(Equal("v2"))
	})
})

var _ = Describe("lookup of a stream without a record", func() {
	listOf := func(versions ...string) []directory.Upstream {
		var upstreams []directory.Upstream
		for _, v := range versions {
			upstreams = append(upstreams, directory.Upstream{ID: v, Service: "kiosk", Software: v})
		}
		return upstreams
	}
	// lookUp returns the result of a lookup that a control VM answers with v1 as the only version, while this VM reads the list as given.
	lookUp := func(read func(*origins)) (origin.Origin, origin.Knowledge) {
		node := control.New("vm", 1)
		st := newState(Adapter{}, &log.Logger{Handler: discard.New()})
		st.setList(listOf("v1"), 0, "list")
		o := newOrigins(settings.Default(), st, control.NewHost(node), &peerMesh{mesh: peer.New(), host: control.NewHost(node)}, st.log)
		request := &peer.OriginRequest{Service: "kiosk", Window: 1000}
		began := o.host.Now()
		lookup, end := o.begin(request)
		defer end()
		lookup.Ask([]string{"c1"})
		lookup.Add("c1", true, origin.Answer{Listed: origin.Listed{Coverage: origin.Full, Count: 1, Software: "v1"}})
		Expect(o.isUnconfirmed(lookup)).To(BeTrue())
		go read(o)
		ctx, cancel := context.WithTimeout(context.Background(), 200*time.Millisecond)
		defer cancel()
		o.confirm(ctx, lookup, request, began)
		found, knowledge, _ := o.result(lookup)
		return found, knowledge
	}
	readAgain := func(versions ...string) func(o *origins) {
		return func(o *origins) {
			at := o.host.Now()
			o.state.setList(listOf(versions...), at, "list")
			o.state.reading.Store(newReading(listOf(versions...), at))
		}
	}

	// Guards against a stream that goes on at another version, since this VM and the control VM that answers are cut off together.
	It("waits until the list has been read after its caller took it up", func() {
		found, knowledge := lookUp(readAgain("v1"))
		Expect(knowledge).To(Equal(origin.Known))
		Expect(found.Software).To(Equal("v1"))
		_, knowledge = lookUp(readAgain("v1", "v2"))
		Expect(knowledge).To(Equal(origin.Unknown))
	})

	It("is unknown, and wants the list read, while it is not read again", func() {
		_, knowledge := lookUp(func(o *origins) {
			o.state.reading.Store(newReading(listOf("v1"), 0))
			Eventually(o.state.listWantedAt.Load).Should(BeNumerically(">", 0))
		})
		Expect(knowledge).To(Equal(origin.Unknown))
	})
})

// BenchmarkOrigins receives messages with the records of one VM's new streams at a control VM.
func BenchmarkOrigins(b *testing.B) {
	for _, count := range []int{1, 28} {
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			o := newTestOrigins(maxControlRecords)
			message := &peer.Envelope{Body: &peer.Envelope_Origins{Origins: encodeOrigins(0, recordsOf(count))}}
			b.ReportMetric(float64(proto.Size(message)), "B/message")
			for b.Loop() {
				data, err := proto.Marshal(message)
				if err != nil {
					b.Fatal(err)
				}
				var received peer.Envelope
				if err := proto.Unmarshal(data, &received); err != nil {
					b.Fatal(err)
				}
				o.receive(received.GetOrigins())
			}
			b.ReportMetric(float64(proto.Size(message)), "B/message")
		})
	}
}
