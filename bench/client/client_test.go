package client_test

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/chicoryrelay/chicoryrelay/bench/client"
)

// event returns one event of a stream; the text "!" makes it the event with the finish reason.
func event(id, text string) string {
	if text == "!" {
		return fmt.Sprintf("id: %s\ndata: {\"choices\":[{\"delta\":{},\"finish_reason\":\"stop\"}]}\n\n", id)
	}
	return fmt.Sprintf("id: %s\ndata: {\"choices\":[{\"delta\":{\"content\":%q},\"finish_reason\":null}]}\n\n", id, text)
}

const done = "data: [DONE]\n\n"

func send(ctx SpecContext, resume string, events ...string) client.Answer {
	GinkgoHelper()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/event-stream")
		_, _ = w.Write([]byte(strings.Join(events, "")))
	}))
	DeferCleanup(server.Close)
	answer, err := client.New(1).Send(ctx, client.Request{
		Address: netip.MustParseAddrPort(strings.TrimPrefix(server.URL, "http://")), Method: http.MethodPost, Path: "/", Resume: resume,
	})
	Expect(err).NotTo(HaveOccurred())
	return answer
}

var _ = Describe("stream reader", func() {
	It("reads a complete answer", func(ctx SpecContext) {
		answer := send(ctx, "", event("r:1:0", "a"), event("r:1:1", "b"), event("r:1:2", "!"), done)
		Expect(answer.Whole).To(BeTrue())
		Expect(answer.Text).To(Equal("ab"))
		Expect(answer.Last).To(Equal("r:1:2"))
	})

	DescribeTable("reports an answer as truncated", func(ctx SpecContext, last ...string) {
		Expect(send(ctx, "", append([]string{event("r:1:0", "a")}, last...)...).Whole).To(BeFalse())
	},
		Entry("without [DONE]"),
		Entry("with [DONE] but no finish reason", done),
		Entry("with a finish reason but no [DONE]", event("r:1:1", "!")),
		Entry("with a typed error", "event: error\ndata: {\"error\":{\"type\":\"upstream_broke\",\"outcome\":\"ran\"}}\n\n"),
	)

	It("counts repeated events, events of another request and gaps", func(ctx SpecContext) {
		answer := send(ctx, "", event("r:1:0", "a"), event("r:1:0", "a"), event("q:1:1", "x"), event("r:1:2", "c"))
		Expect([]int{answer.Duplicates, answer.Crossed, answer.Gaps}).To(Equal([]int{1, 1, 1}))
		Expect(answer.Text).To(Equal("ac"))
	})

	It("counts the faults of a resumed answer that begins at the wrong token or belongs to another request", func(ctx SpecContext) {
		Expect(send(ctx, "r:1:4", event("r:1:5", "a")).Gaps).To(BeZero())
		Expect(send(ctx, "r:1:4", event("r:1:6", "a")).Gaps).To(Equal(1))
		Expect(send(ctx, "r:1:4", event("r:1:4", "a")).Duplicates).To(Equal(1))
		Expect(send(ctx, "r:1:4", event("q:1:5", "a")).Crossed).To(Equal(1))
	})
})
