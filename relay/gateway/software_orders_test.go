package gateway_test

import (
	"fmt"
	"math/rand/v2"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/chicoryrelay/chicoryrelay/relay/catalogue"
	"github.com/chicoryrelay/chicoryrelay/relay/order"
)

// drawnStream is a stream that its caller resumes until it is complete.
type drawnStream struct {
	receivedStream
	body string
	// broken is the number of times that an engine was set to break it off; requests under which several do so are refused.
	broken int
}

// softwareOrders draws what happens to streams, engines and gateways.
type softwareOrders struct {
	h       *harness
	random  *rand.Rand
	streams []*drawnStream
	// resumed counts requests that resumed a stream, continued those among them that completed it, and changed the engines that started
	// with another version.
	resumed, continued, changed int
}

func newSoftwareOrders(seed uint64) *softwareOrders {
	o := &softwareOrders{random: rand.New(rand.NewPCG(seed, 48))}
	var engines []engineVersion
	for range 3 + o.random.IntN(10) {
		software := fmt.Sprint("s", o.random.IntN(3))
		if o.random.IntN(6) == 0 {
			software = ""
		}
		engines = append(engines, engineVersion{"1", software})
	}
	o.h = newHarnessOf(2, engines...)
	o.h.discardRecords()
	o.h.reports = map[string]order.Report{}
	for _, e := range o.h.engines {
		e.untold = o.random.IntN(4) == 0
	}
	return o
}

// runs returns the version that an engine runs and whether it tells it.
func (o *softwareOrders) runs(i int) (software string, told bool) {
	e := o.h.engines[i]
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.software, !e.untold
}

// breaks reports whether an engine is set to break off.
func (o *softwareOrders) breaks(i int) bool {
	e := o.h.engines[i]
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.breakAt >= 0
}

// breakOff makes an engine break off once, after which it may go on as another version. One whose version only the configuration tells
// keeps it, as nothing would show the change.
func (o *softwareOrders) breakOff(i int) {
	e := o.h.engines[i]
	e.mu.Lock()
	defer e.mu.Unlock()
	software := e.software
	if !e.untold && o.random.IntN(2) == 0 {
		software = fmt.Sprint("s", o.random.IntN(3))
	}
	if software != e.software {
		o.changed++
	}
	e.breakAt, e.restartAs = 1+o.random.IntN(answerTokens), &software
}

// report publishes the versions that the engines tell.
func (o *softwareOrders) report() {
	for i, u := range o.h.catalogue.Load().Upstreams {
		if software, told := o.runs(i); told {
			o.h.reports[u.Name] = order.Report{Upstream: u.Name, Address: u.Address, Software: software}
		}
	}
	o.h.publish()
}

// mustGoOn reports whether a stream has to be completed: an engine of its version takes requests and breaks nothing off, fewer than three
// others break off, after which a request is given up, and the gateways believe of no engine of another version that it runs this one.
func (o *softwareOrders) mustGoOn(s *drawnStream) bool {
	if len(s.versions) == 0 || strings.Count(s.lastID(), ":") == 2 {
		return false
	}
	sound, breaking := false, 0
	for i, u := range order.Effective(o.h.catalogue.Load().Upstreams, o.h.reports) {
		software, _ := o.runs(i)
		if s.versions[u.Software] && !s.versions[software] {
			return false
		}
		switch {
		case !s.versions[u.Software] || u.State != catalogue.Active:
		case o.breaks(i):
			breaking++
		default:
			sound = true
		}
	}
	return sound && breaking < 3
}

// send sends the request of a stream, or resumes it, at a drawn gateway, while one engine may break off.
func (o *softwareOrders) send(s *drawnStream) {
	GinkgoHelper()
	if s.broken < 2 && o.random.IntN(2) == 0 {
		s.broken++
		o.breakOff(o.random.IntN(len(o.h.engines)))
	}
	must, from := o.mustGoOn(s), s.lastID()
	s.limit = 0
	if !must && o.random.IntN(2) == 0 {
		s.limit = len(s.ids) + 1 + o.random.IntN(answerTokens)
	}
	o.h.read(o.random.IntN(2), s.body, from, &s.receivedStream)
	Expect(len(s.versions)).To(BeNumerically("<=", 1), "the stream that ends with %s holds events of %v", s.lastID(), s.versions)
	if from == "" {
		return
	}
	o.resumed++
	if must {
		Expect(s.done).To(BeTrue(), "the stream of version %v was not resumed after %s: status %d, %s", s.versions, from, s.status, s.refusal)
		o.continued++
	}
}

func (o *softwareOrders) act(i int) {
	GinkgoHelper()
	engine := o.random.IntN(len(o.h.engines))
	switch o.random.IntN(9) {
	case 0, 1, 2:
		s := &drawnStream{receivedStream: *newReceivedStream(), body: strings.Replace(streamed, "sheet", fmt.Sprint("sheet ", i), 1)}
		o.streams = append(o.streams, s)
		o.send(s)
	case 3, 4, 5:
		for _, s := range o.streams {
			// A caller that has the event with the finish reason needs no more.
			if s.lastID() != "" && s.next <= answerTokens {
				o.send(s)
				break
			}
		}
	case 6:
		o.report()
	case 7:
		o.h.configure(func(upstreams []catalogue.Upstream) {
			u := &upstreams[engine]
			u.State = []catalogue.UpstreamState{catalogue.Active, catalogue.Active, catalogue.Draining}[o.random.IntN(3)]
			if o.random.IntN(2) == 0 {
				u.Software, _ = o.runs(engine)
			}
		})
	default:
		// An engine starts again, or a gateway that has lost all it knew of streams.
		o.h.engines[engine].server.CloseClientConnections()
		o.h.restartGateway(o.random.IntN(2))
	}
}

// Guards against streams of two software versions, and against streams that end although engines of their version serve, whatever changes
// between their attempts.
var _ = Describe("streams that are begun and resumed in drawn orders while engines start with other software versions", func() {
	It("hold events of one version, and go on where their version serves", func() {
		streams, resumed, continued, changed := 0, 0, 0, 0
		for seed := range 4 * seeds() {
			By(fmt.Sprintf("seed %d", seed))
			o := newSoftwareOrders(seed)
			for i := range 60 {
				o.act(i)
			}
			streams, resumed, continued, changed = streams+len(o.streams), resumed+o.resumed, continued+o.continued, changed+o.changed
		}
		AddReportEntry("streams", fmt.Sprintf("%d streams, resumed %d times, %d of which had to succeed; %d changes of a version", streams, resumed, continued, changed))
		Expect(continued).To(BeNumerically(">", 0))
		Expect(changed).To(BeNumerically(">", 0))
	})
})
