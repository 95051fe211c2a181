package upstream_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/chicoryrelay/chicoryrelay/relay/catalogue"
	"github.com/chicoryrelay/chicoryrelay/relay/upstream"
)

var _ = Describe("the software version of an engine", func() {
	// open opens a stream that began at a version, at an engine that tells another one, and returns what the engine was told.
	open := func(began, told string) (s *upstream.Stream, sent []string, err error) {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			sent = r.Header.Values("X-Software")
			if told != "" {
				w.Header().Set("X-Software", told)
			}
		}))
		DeferCleanup(server.Close)
		s, err = upstream.New().Open(context.Background(), upstream.Call{
			Upstream: catalogue.Upstream{Address: netip.MustParseAddrPort(server.Listener.Addr().String())}, Path: "/", Request: "r", Software: began,
		})
		if err == nil {
			DeferCleanup(s.Close)
		}
		return s, sent, err
	}

	It("comes with the answer, and that of the stream goes with the call", func() {
		s, sent, err := open("2:0", "2.1")
		Expect(err).NotTo(HaveOccurred())
		Expect(s.Software).To(Equal("2.1"))
		Expect(sent).To(Equal([]string{"2:0"}))
	})

	It("is empty if none is told, and no call names one that isn't known", func() {
		s, sent, err := open("", "")
		Expect(err).NotTo(HaveOccurred())
		Expect(s.Software).To(BeEmpty())
		Expect(sent).To(BeEmpty())
	})

	It("ends the attempt if it is none", func() {
		for _, told := range []string{"é", strings.Repeat("1", 129)} {
			_, _, err := open("", told)
			Expect(err).To(MatchError(ContainSubstring("X-Software")), told)
		}
	})

	It("is in the load report", func() {
		load, err := upstream.New().Load(context.Background(), answering(`{"incarnation":1,"software":"2.1"}`))
		Expect(err).NotTo(HaveOccurred())
		Expect(load.Software).To(Equal("2.1"))
	})
})
