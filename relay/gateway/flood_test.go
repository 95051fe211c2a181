package gateway_test

import (
	"context"
	"io"
	"net/http"
	"runtime"
	"runtime/metrics"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// floodRequests is the number of requests whose engine sends tokens without end at once; maxFloodMemory is the growth of the live heap in
// bytes that they may cause together: a quarter of the memory of a small VM, since the collector lets the heap grow to twice what is live.
const (
	floodRequests  = 50
	maxFloodMemory = 28 << 20
)

// liveHeap returns the bytes of the live heap once nothing is allocated any more. What is allocated while the collector marks counts as
// live, garbage or not: of a flood that goes on, up to 37 MB of tokens that were read and dropped were seen in one collection.
func liveHeap() int64 {
	settle()
	runtime.GC()
	sample := []metrics.Sample{{Name: "/gc/heap/live:bytes"}}
	metrics.Read(sample)
	return int64(sample[0].Value.Uint64())
}

// settle waits until three readings in a row find nothing allocated.
func settle() {
	sample := []metrics.Sample{{Name: "/gc/heap/allocs:bytes"}}
	for last, same := uint64(0), 0; same < 3; time.Sleep(2 * time.Millisecond) {
		metrics.Read(sample)
		if now := sample[0].Value.Uint64(); now != last {
			last, same = now, 0
			continue
		}
		same++
	}
}

// Guards against an engine in trouble whose tokens without end are kept for callers who don't stream, until the memory is used up.
var _ = Describe("an answer without end that isn't streamed", func() {
	It("ends as an error and keeps the memory bounded, while others are answered", func() {
		// Engines wait while the heap is measured.
		h, together := newTimedHarness(5*time.Second, "1", "1", "1", "1", "1", "1", "1"), newRounds()
		for _, engine := range h.engines {
			engine.rounds = together
		}
		go func() {
			for range h.records {
			}
		}()
		DeferCleanup(func() { close(h.records) })
		whole := strings.Replace(streamed, `"stream":true,`, "", 1)
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
		defer cancel()
		var ended []int
		before, growth, statuses := liveHeap(), int64(0), make(chan int, floodRequests)
		for range floodRequests {
			go func() {
				defer GinkgoRecover()
				request, err := http.NewRequestWithContext(ctx, http.MethodPost, h.server.URL+"/v1/chat/completions", strings.NewReader(strings.Replace(whole, "check the sheet", endlessPrompt, 1)))
				Expect(err).NotTo(HaveOccurred())
				request.Header.Set("Authorization", "Bearer secret")
				response, err := http.DefaultClient.Do(request)
				if err != nil {
					statuses <- 0
					return
				}
				statuses <- response.StatusCode
				_ = response.Body.Close()
			}()
		}
		for len(ended) < floodRequests {
			select {
			case status := <-statuses:
				ended = append(ended, status)
			default:
				if growth = max(growth, liveHeap()-before); growth > 4*maxFloodMemory {
					cancel()
				}
				together.advance()
			}
		}
		Expect(growth).To(BeNumerically("<", maxFloodMemory))
		Expect(ended).To(HaveEach(BeNumerically(">=", http.StatusInternalServerError)))
		response := h.post(whole, nil)
		text, err := io.ReadAll(response.Body)
		Expect(err).NotTo(HaveOccurred())
		Expect(string(text)).To(ContainSubstring(completeText()))
	})
})
