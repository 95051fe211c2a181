package forward_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/chicoryrelay/chicoryrelay/relay/connection"
	"github.com/chicoryrelay/chicoryrelay/relay/directory"
	"github.com/chicoryrelay/chicoryrelay/relay/forward"
	"github.com/chicoryrelay/chicoryrelay/relay/route"
)

// noStatuses are status lines that parsers accept and that are no answers: 101 answers a request that asked for no other protocol.
var noStatuses = []string{"000", "001", "099", "+20", "-00", "600", "999", "101"}

// stated starts an upstream that answers with a text whose status 200 is replaced.
func stated(status, raw string) directory.Upstream {
	return rawUpstream(func(conn net.Conn, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		_, _ = io.WriteString(conn, strings.Replace(raw, "HTTP/1.1 200", "HTTP/1.1 "+status, 1))
	})
}

// traces count what an attempt opens and ends beside its placement.
type traces struct {
	rates
	watched, ended, records atomic.Int32
	status                  atomic.Int32
}

// newTracedServer serves a forwarder, with an account that has a rate, for the upstreams.
func newTracedServer(t *traces, fake *fakePlacer) string {
	GinkgoHelper()
	t.rates.ended = make(chan string, 10)
	desired, err := route.Own.Decode([]byte(strings.Replace(state, `"keys": ["k"]`, `"keys": ["k"], "rate": 100, "burst": 100`, 1)))
	Expect(err).NotTo(HaveOccurred())
	table := route.NewTable(desired)
	return newFloodServer(
		fake, forward.WithTable(func() *route.Table { return table }), forward.WithReserveFunc(t.reserve),
		forward.WithWatch(func(*route.Route, *forward.Placement, func() bool) func(bool) {
			t.watched.Add(1)
			var once atomic.Bool
			return func(bool) {
				if once.CompareAndSwap(false, true) {
					t.ended.Add(1)
				}
			}
		}),
		forward.WithRecorder(func(r forward.RequestRecord) {
			t.status.Store(int32(r.Status))
			t.records.Add(1)
		}),
	).URL
}

// ask sends a request and returns the status and the text of its answer, or an error if there is no complete one.
func ask(url string) (int, string, error) {
	r, err := http.NewRequest(http.MethodPost, url, strings.NewReader("x"))
	if err != nil {
		return 0, "", err
	}
	r.Host, r.Header = "h", http.Header{"X-Id": {"1"}, "X-Key": {"k"}}
	answer, err := http.DefaultTransport.RoundTrip(r)
	if err != nil {
		return 0, "", err
	}
	defer func() { _ = answer.Body.Close() }()
	text, err := io.ReadAll(answer.Body)
	return answer.StatusCode, string(text), err
}

var _ = Describe("an answer with a status that is none", func() {
	short, long := event(1)+event(2), strings.Repeat(event(1), 300<<10/len(event(1)))
	framed := func(framing connection.Framing, body string) string {
		if framing == connection.ByChunks && body == long {
			// upstreamFramings makes a chunk of each 8 bytes.
			return floodHead + "Transfer-Encoding: chunked\r\n\r\n" + chunk(body) + "0\r\n\r\n"
		}
		return upstreamFramings[framing](body)
	}
	for _, path := range kindPaths {
		// Guards against such a status that reaches the caller, and against a panic of net/http for it: the caller's connection was closed
		// without an answer, and the placements of long answers never ended.
		It("is replaced by 502, and ends all that its attempts began ("+path+")", func() {
			var wrong []string
			cases, wrongCases := 0, 0
			for _, status := range noStatuses {
				for framing := range upstreamFramings {
					for _, body := range []string{"", short, long} {
						t := &traces{}
						raw := framed(framing, body)
						fake := &fakePlacer{list: []directory.Upstream{stated(status, raw), stated(status, raw)}}
						cases++
						before := len(wrong)
						name := fmt.Sprintf("%s %s %d:", status, framing, len(body))
						if got, text, err := ask(newTracedServer(t, fake) + path); err != nil || got != http.StatusBadGateway || strings.Contains(text, "data") {
							wrong = append(wrong, fmt.Sprintf("%s %d %v", name, got, err))
						}
						select {
						case end := <-t.rates.ended:
							if end != "ended" {
								wrong = append(wrong, name+" reservation "+end)
							}
						case <-time.After(time.Second):
							wrong = append(wrong, name+" reservation open")
						}
						ends := fake.recordedEnds()
						if watched := int(t.watched.Load()); len(ends) != watched || watched < fake.taken || strings.Count(strings.Join(ends, " "), "failed") != watched {
							wrong = append(wrong, fmt.Sprintf("%s %d attempts, ends %q", name, watched, ends))
						}
						if t.watched.Load() != t.ended.Load() {
							wrong = append(wrong, fmt.Sprintf("%s %d of %d watches ended", name, t.ended.Load(), t.watched.Load()))
						}
						if t.records.Load() != 1 || t.status.Load() != http.StatusBadGateway {
							wrong = append(wrong, fmt.Sprintf("%s %d records, status %d", name, t.records.Load(), t.status.Load()))
						}
						if len(wrong) > before {
							wrongCases++
						}
					}
				}
			}
			Expect(wrong).To(BeEmpty(), "%d of %d cases", wrongCases, cases)
		})
	}

	// Guards against a repeatable request that ends with the first upstream's bytes, or is repeated where it must not be.
	It("is replaced by the next upstream's answer if the request may be repeated, and is none that states that the request hasn't run", func() {
		for _, status := range noStatuses {
			for framing, write := range upstreamFramings {
				for path, repeated := range map[string]bool{"/read/": true, "/note/": true, "/book/": false, "/check/": false} {
					raw := write(event(1))
					if !repeated {
						raw = strings.Replace(raw, "X-Whole: 1", "X-Not-Run: 1", 1)
					}
					fake := &fakePlacer{list: []directory.Upstream{stated(status, raw), sendingRaw(upstreamFramings[connection.ByChunks](event(2)))}}
					got, text, err := ask(newFloodServer(fake).URL + path)
					Expect(err).NotTo(HaveOccurred(), status)
					if repeated {
						Expect(got).To(Equal(http.StatusOK), "%s %s", status, framing)
						Expect(text).To(Equal(event(2)), "%s %s", status, framing)
					} else {
						Expect(got).To(Equal(http.StatusBadGateway), "%s %s", status, framing)
						Expect(fake.taken).To(Equal(1))
					}
				}
			}
		}
	})

	It("never stands in a stream that has begun", func() {
		for _, status := range noStatuses {
			fake := &fakePlacer{list: []directory.Upstream{breakingOff(1, 2), stated(status, upstreamFramings[connection.ByLength](event(3)))}}
			_, text, err := ask(newFloodServer(fake).URL + "/note/")
			Expect(err).To(HaveOccurred(), status)
			Expect(text).To(Equal(event(1)+event(2)), status)
			Expect(fake.recordedEnds()).NotTo(ContainElement("finished"), status)
		}
	})

	It("is not one with a status of 200 to 599, or behind other interim answers", func() {
		for _, status := range []string{"200", "299", "404", "418", "500", "599", "100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200"} {
			got, text, err := ask(newServerOf(stated(status, upstreamFramings[connection.ByLength]("text"))).URL + "/book/")
			Expect(err).NotTo(HaveOccurred(), status)
			Expect(fmt.Sprint(got)).To(Equal(status[max(0, len(status)-3):]))
			Expect(text).To(Equal("text"), status)
		}
	})
})
