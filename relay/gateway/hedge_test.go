package gateway_test

import (
	"fmt"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// Guards against a stream that ends with an error, though other engines serve, if its engine breaks off before the cancelled attempt beside
// it has ended.
var _ = Describe("a request with a second attempt beside a slow one", func() {
	It("is answered if the engine that began first breaks off at once", func() {
		h := newHarness("1", "1", "1", "1")
		h.discardRecords()
		h.hedgeDelay = time.Millisecond
		for _, e := range h.engines {
			e.breakAt, e.breakFresh, e.late = 1, true, 5*time.Millisecond
		}
		done := 0
		for i := range 10 {
			s := newReceivedStream()
			h.read(0, strings.Replace(streamed, "sheet", fmt.Sprint("sheet ", i), 1), "", s)
			if s.done {
				done++
			}
		}
		Expect(done).To(Equal(10))
	})
})
