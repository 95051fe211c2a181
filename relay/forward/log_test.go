package forward_test

import (
	"bytes"
	"net/http"

	"github.com/apex/log"
	"github.com/apex/log/handlers/memory"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/chicoryrelay/chicoryrelay/relay/forward"
)

var _ = Describe("the lines of attempts and answers", func() {
	// Guards against a log in which a send of another body than the caller's can't be seen.
	It("name the bytes of the caller's body and of the one that was sent", func() {
		handler := memory.New()
		server := newFloodServer(placerOf(newScriptedUpstream(floodHead), newScriptedUpstream(floodHead+"Content-Length: 2\r\n\r\nok")),
			forward.WithLog(&log.Logger{Handler: handler, Level: log.InfoLevel}))
		r, err := http.NewRequest(http.MethodPost, server.URL+"/read/", bytes.NewReader(make([]byte, 700)))
		Expect(err).NotTo(HaveOccurred())
		r.Host, r.Header = "h", http.Header{"X-Id": {"1"}, "X-Key": {"k"}}
		answer, err := http.DefaultClient.Do(r)
		Expect(err).NotTo(HaveOccurred())
		_ = answer.Body.Close()
		server.Close()
		named := map[string]int{}
		for _, entry := range handler.Entries {
			if entry.Fields["body"] == 700 && entry.Fields["sent"] == 700 {
				named[entry.Message]++
			}
		}
		Expect(named).To(Equal(map[string]int{"attempt broke": 1, "served": 1}))
	})
})
