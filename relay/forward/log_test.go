package forward_test

import (
	"bytes"
	"net/http"
	"net/http/httptest"

	"github.com/apex/log"
	"github.com/apex/log/handlers/memory"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/chicoryrelay/chicoryrelay/relay/forward"
)

var _ = Describe("the lines of attempts and answers", func() {
	post := func(server *httptest.Server, body []byte) {
		GinkgoHelper()
		r, err := http.NewRequest(http.MethodPost, server.URL+"/read/", bytes.NewReader(body))
		Expect(err).NotTo(HaveOccurred())
		r.Host, r.Header = "h", http.Header{"X-Id": {"1"}, "X-Key": {"k"}}
		answer, err := http.DefaultClient.Do(r)
		Expect(err).NotTo(HaveOccurred())
		_ = answer.Body.Close()
	}

	// Guards against a log in which a send of another body than the caller's can't be seen.
	It("name the bytes of the caller's body and of the one that was sent", func() {
		handler := memory.New()
		server := newFloodServer(placerOf(newScriptedUpstream(floodHead), newScriptedUpstream(floodHead+"Content-Length: 2\r\n\r\nok")),
			forward.WithLog(&log.Logger{Handler: handler, Level: log.InfoLevel}))
		post(server, make([]byte, 700))
		server.Close()
		named := map[string]int{}
		for _, entry := range handler.Entries {
			if entry.Fields["body"] == 700 && entry.Fields["sent"] == 700 {
				named[entry.Message]++
			}
		}
		Expect(named).To(Equal(map[string]int{"attempt broke": 1, "served": 1}))
	})

	// Guards against a log in which a request that comes again and ends upstream after upstream can't be told from others.
	It("name a request that comes again alike, and others not", func() {
		handler, fake := memory.New(), &fakePlacer{}
		for range 6 {
			fake.list = append(fake.list, newScriptedUpstream(floodHead).Upstream)
		}
		server := newFloodServer(fake, forward.WithLog(&log.Logger{Handler: handler, Level: log.InfoLevel}))
		for _, body := range []string{"again", "again", "other"} {
			post(server, []byte(body))
		}
		server.Close()
		var prints []any
		for _, entry := range handler.Entries {
			if entry.Message == "attempt broke" {
				Expect(entry.Fields).To(HaveKey("attempt"))
				prints = append(prints, entry.Fields["print"])
			}
		}
		Expect(prints).To(HaveLen(6))
		Expect(prints[:4]).To(HaveEach(prints[0]))
		Expect(prints[4:]).To(HaveEach(Not(Equal(prints[0]))))
	})
})
