package forward_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/chicoryrelay/chicoryrelay/relay/directory"
	"github.com/chicoryrelay/chicoryrelay/relay/forward"
	"github.com/chicoryrelay/chicoryrelay/relay/origin"
)

// wholeStream starts an upstream of a software version that calls a function and then sends the events 1 and 2 with a text.
func wholeStream(software, text string, before func()) directory.Upstream {
	u := rawUpstream(func(conn net.Conn, _ *http.Request) {
		before()
		_, _ = io.WriteString(conn, chunked)
		for _, id := range []string{"1", "2"} {
			_, _ = io.WriteString(conn, chunk("id: "+id+"\ndata: "+text+"\n\n"))
		}
		_, _ = io.WriteString(conn, "0\r\n\r\n")
	})
	u.Software = software
	return u
}

// streamFrom returns the text of a stream's answer, or an error if it is not complete.
func streamFrom(url, lastEventID string) (string, error) {
	r, err := http.NewRequest(http.MethodPost, url+"/long/", strings.NewReader("x"))
	if err != nil {
		return "", err
	}
	r.Host, r.Header = "h", http.Header{"X-Id": {"1"}, "X-Key": {"k"}}
	if lastEventID != "" {
		r.Header.Set("Last-Event-Id", lastEventID)
	}
	answer, err := http.DefaultTransport.RoundTrip(r)
	if err != nil {
		return "", err
	}
	defer func() { _ = answer.Body.Close() }()
	text, err := io.ReadAll(answer.Body)
	return string(text), err
}

var _ = Describe("a stream that is bound to a software version", func() {
	// Guards against events of two versions in a stream: an upstream that starts again under its ID between the placement and its first event.
	DescribeTable("gets no event of an upstream that is listed with another version before its first event", func(lastEventID string) {
		var changed atomic.Bool
		other := wholeStream("v1", "of v2", func() { changed.Store(true) })
		right := wholeStream("v1", "of v1", func() {})
		fake := &fakePlacer{list: []directory.Upstream{other, right}}
		if lastEventID == "" {
			began := breakingOff(1)
			began.Software = "v1"
			fake.list = append([]directory.Upstream{began}, fake.list...)
		}
		server := newFloodServer(
			fake,
			forward.WithUpstreams(func(id string) *directory.Upstream {
				now := directory.Upstream{ID: id, Software: "v1"}
				if id == other.ID && changed.Load() {
					now.Software = "v2"
				}
				return &now
			}),
			forward.WithOrigins(func(string, string, origin.Origin, time.Time) {}, func(context.Context, *forward.PlacementRequest) (origin.Origin, error) {
				return origin.Origin{Service: "plain", Software: "v1"}, nil
			}),
		)
		text, err := streamFrom(server.URL, lastEventID)
		Expect(err).NotTo(HaveOccurred())
		Expect(text).NotTo(ContainSubstring("of v2"))
		Expect(text).To(HaveSuffix("id: 2\ndata: of v1\n\n"))
	},
		Entry("within its answer", ""),
		Entry("when its caller takes it up", "1"),
	)
})
