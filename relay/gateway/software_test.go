package gateway_test

import (
	"bufio"
	"fmt"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/tidwall/gjson"

	"github.com/chicoryrelay/chicoryrelay/relay/gateway"
	"github.com/chicoryrelay/chicoryrelay/relay/outcome"
)

// receivedStream is what a caller has received of one stream.
type receivedStream struct {
	status int
	ids    []string
	// versions are the software versions that the events show.
	versions map[string]bool
	next     int
	// limit is the number of events after which the caller goes away; 0 for none.
	limit int
	// refusal is the error with which the last answer ended.
	refusal string
	done    bool
}

// lastID returns the ID of the last event; empty before the first.
func (s *receivedStream) lastID() string {
	if len(s.ids) == 0 {
		return ""
	}
	return s.ids[len(s.ids)-1]
}

// read sends a request to a gateway and adds the events of the answer to the stream; an event ID that isn't empty resumes it.
func (h *harness) read(gateway int, body, eventID string, s *receivedStream) {
	GinkgoHelper()
	request, err := http.NewRequest(http.MethodPost, h.servers[gateway].URL+"/v1/chat/completions", strings.NewReader(body))
	Expect(err).NotTo(HaveOccurred())
	request.Header.Set("Authorization", "Bearer secret")
	if eventID != "" {
		request.Header.Set("Last-Event-ID", eventID)
	}
	response, err := http.DefaultClient.Do(request)
	Expect(err).NotTo(HaveOccurred())
	defer func() { _ = response.Body.Close() }()
	s.status = response.StatusCode
	scanner := bufio.NewScanner(response.Body)
	for scanner.Scan() {
		line := scanner.Text()
		if id, ok := strings.CutPrefix(line, "id: "); ok {
			Expect(id[strings.LastIndexByte(id, ':')+1:]).To(Equal(strconv.Itoa(s.next)))
			s.ids, s.next = append(s.ids, id), s.next+1
		}
		if line == "" && s.limit > 0 && len(s.ids) >= s.limit {
			return
		}
		if software := gjson.Get(strings.TrimPrefix(line, "data: "), "system_fingerprint"); software.Exists() {
			s.versions[software.String()] = true
		}
		if refusal := gjson.Get(strings.TrimPrefix(line, "data: "), "error"); refusal.Exists() {
			s.refusal = refusal.Raw
		}
		s.done = s.done || line == "data: [DONE]"
	}
}

func newReceivedStream() *receivedStream { return &receivedStream{versions: map[string]bool{}} }

// expectOneVersion expects that each stream has events, all of one software version.
func expectOneVersion(streams ...*receivedStream) {
	GinkgoHelper()
	var mixed []string
	for _, s := range streams {
		Expect(s.ids).NotTo(BeEmpty())
		if versions := slices.Sorted(maps.Keys(s.versions)); len(versions) != 1 {
			mixed = append(mixed, fmt.Sprint(versions, " in the stream that ends with ", s.lastID()))
		}
	}
	Expect(mixed).To(BeEmpty(), "%d of %d streams", len(mixed), len(streams))
}

func expectDone(done bool, streams ...*receivedStream) {
	GinkgoHelper()
	for _, s := range streams {
		Expect(s.done).To(Equal(done), "the stream that ends with %s", s.lastID())
	}
}

// versions returns engines of weights 1 with the given software versions.
func versions(software ...string) []engineVersion {
	var list []engineVersion
	for _, s := range software {
		list = append(list, engineVersion{"1", s})
	}
	return list
}

// discardRecords lets more requests end than the channel of records holds.
func (h *harness) discardRecords() {
	go func(records <-chan gateway.RequestRecord) {
		for range records {
		}
	}(h.records)
	DeferCleanup(func() { close(h.records) })
}

// Guards against streams that go on at another software version than the one that began them, and hold two versions' text.
var _ = Describe("streams while engines of two software versions serve", func() {
	// four returns four streams from engines of the versions after a change of these.
	four := func(change func(engines []*fakeEngine), versions ...engineVersion) (streams []*receivedStream) {
		h := newHarnessOf(1, versions...)
		change(h.engines)
		for range 4 {
			streams = append(streams, newReceivedStream())
			h.read(0, streamed, "", streams[len(streams)-1])
		}
		return streams
	}

	It("hold events of one version if their engines break off", func() {
		breakOnce := func(engines []*fakeEngine) {
			for _, e := range engines {
				e.breakAt, e.breakFresh = 5, true
			}
		}
		streams := four(breakOnce, versions("s0", "s0", "s1", "s1")...)
		expectOneVersion(streams...)
		expectDone(true, streams...)
	})

	It("end with an error if their engine breaks off again and again and no other one of its version serves", func() {
		streams := four(func(engines []*fakeEngine) { engines[0].breakAt = 5 }, versions("s0", "s1")...)
		expectOneVersion(streams...)
		for _, s := range streams {
			expectDone(s.versions["s1"], s)
		}
	})

	It("hold events of one version if callers resume them at another gateway", func() {
		h := newHarnessOf(2, versions("s0", "s1", "s0", "s1")...)
		h.discardRecords()
		// The gateways choose engines in turn; the second one is to be at another place of its order.
		h.read(1, streamed, "", newReceivedStream())
		var streams []*receivedStream
		for range 8 {
			whole := newReceivedStream()
			h.read(0, streamed, "", whole)
			resumed := &receivedStream{versions: whole.versions, next: 5}
			h.read(1, streamed, whole.ids[4], resumed)
			streams = append(streams, resumed)
		}
		expectOneVersion(streams...)
		expectDone(true, streams...)
	})

	// Guards against a slow first attempt beside which a second one of another version goes on with the stream.
	It("hold events of one version if a second attempt begins beside each slow one", func() {
		h := newHarnessOf(1, versions("s0", "s1", "s0", "s1")...)
		h.discardRecords()
		h.hedgeDelay = time.Millisecond
		for _, e := range h.engines {
			e.breakAt, e.breakFresh, e.late = 5, true, 5*time.Millisecond
		}
		var streams []*receivedStream
		for i := range 10 {
			streams = append(streams, newReceivedStream())
			// Requests with one prompt under which engines break off would be refused.
			h.read(0, strings.Replace(streamed, "sheet", fmt.Sprint("sheet ", i), 1), "", streams[len(streams)-1])
		}
		expectOneVersion(streams...)
		expectDone(true, streams...)
		var sends int
		for _, e := range h.engines {
			sends += e.requestCount()
		}
		Expect(sends).To(BeNumerically(">", 2*len(streams)), "no second attempt has begun")
	})

	// Guards against a stream that goes on at an engine which has started with another version than the configured one.
	DescribeTable("go on only where the engine itself tells their version", func(hedgeDelay time.Duration) {
		h := newHarnessOf(1, versions("s0", "s0", "s0", "s0")...)
		h.discardRecords()
		h.hedgeDelay = hedgeDelay
		for i, e := range h.engines {
			e.late = 3 * time.Millisecond
			if i%2 == 1 {
				e.software = "s1"
			}
		}
		var streams []*receivedStream
		for range 8 {
			s := &receivedStream{versions: map[string]bool{}, next: 5}
			h.read(0, streamed, "req9:1:s0:4", s)
			streams = append(streams, s)
			Expect(s.versions).To(HaveKey("s0"))
		}
		expectOneVersion(streams...)
		expectDone(true, streams...)
		misled := 0
		for i, e := range h.engines {
			if i%2 == 1 {
				misled += e.requestCount()
			}
			for _, header := range e.requests {
				Expect(header.Get("X-Software")).To(Equal("s0"))
			}
		}
		Expect(misled).To(BeNumerically(">", 0))
	},
		Entry("without second attempts", time.Duration(0)),
		Entry("with a second attempt beside each slow one", time.Millisecond),
	)

	It("show the version that the engine tells in their event IDs, or the configured one if it tells none", func() {
		h := newHarnessOf(1, versions("s 0:", "s 0:")...)
		h.engines[0].software, h.engines[1].untold = "s1", true
		prefixes := map[string]bool{}
		for range 2 {
			s := newReceivedStream()
			h.read(0, streamed, "", s)
			prefixes[strings.SplitN(s.lastID(), ":", 2)[1]] = true
		}
		Expect(prefixes).To(Equal(map[string]bool{"1:s1:12": true, "1:s+0%3A:12": true}))
	})

	It("begin at no engine that tells a version of more than a line's length", func() {
		h := newHarnessOf(1, versions("s0", "s0")...)
		h.engines[0].software = strings.Repeat("s", 129)
		for range 2 {
			s := newReceivedStream()
			h.read(0, streamed, "", s)
			Expect(s.versions).To(Equal(map[string]bool{"s0": true}))
			expectDone(true, s)
		}
	})
})

// Guards against streams of an earlier release, whose event IDs tell no software version, that go on at another one.
var _ = Describe("an event ID without a software version", func() {
	const old = "req9:1:4"

	It("resumes the stream while no version of its model and weights is known", func() {
		h := newHarnessOf(1, engineVersion{"1", ""}, engineVersion{"1", ""}, engineVersion{"2", "s0"})
		for range 3 {
			s := &receivedStream{versions: map[string]bool{}, next: 5}
			h.read(0, streamed, old, s)
			expectDone(true, s)
			Expect(s.ids[0]).To(Equal(fmt.Sprintf("req%s:1:5", strings.TrimPrefix(strings.SplitN(s.ids[0], ":", 2)[0], "req"))))
		}
		Expect(h.engines[2].requestCount()).To(BeZero())
	})

	DescribeTable("is refused as not run, before an engine is reached, once", func(software ...string) {
		h := newHarnessOf(1, versions(software...)...)
		expectRefusal(h.post(streamed, map[string]string{"Last-Event-ID": old}), http.StatusConflict, "Last-Event-ID", outcome.NotRun)
		Expect((<-h.records).Refusal.Kind).To(Equal(outcome.VersionUnavailable))
		for _, e := range h.engines {
			Expect(e.requestCount()).To(BeZero())
		}
	},
		Entry("two versions serve", "s0", "s1"),
		Entry("one version serves beside an unknown one", "", "s0"),
		Entry("one version serves, which may have replaced that of the stream", "s0", "s0"),
	)

	It("isn't written while a version of the model and weights is known", func() {
		h := newHarnessOf(1, versions("", "s0")...)
		ends := map[string]bool{}
		whole := []*receivedStream{newReceivedStream(), newReceivedStream()}
		for _, s := range whole {
			h.read(0, streamed, "", s)
			ends[strings.SplitN(s.lastID(), ":", 2)[1]] = true
		}
		for _, s := range whole {
			resumed := &receivedStream{versions: s.versions, next: 5}
			h.read(0, streamed, s.ids[4], resumed)
			expectOneVersion(resumed)
			expectDone(true, resumed)
		}
		Expect(ends).To(Equal(map[string]bool{"1::12": true, "1:s0:12": true}))
	})
})
