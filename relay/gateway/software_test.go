package gateway_test

import (
	"bufio"
	"fmt"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/tidwall/gjson"

	"github.com/chicoryrelay/chicoryrelay/relay/gateway"
)

// receivedStream is what a caller has received of one stream.
type receivedStream struct {
	status int
	ids    []string
	// versions are the software versions that the events show.
	versions map[string]bool
	next     int
	done     bool
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
		if software := gjson.Get(strings.TrimPrefix(line, "data: "), "system_fingerprint"); software.Exists() {
			s.versions[software.String()] = true
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
})
