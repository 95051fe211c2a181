package replica_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/chicoryrelay/chicoryrelay/standin/engine"
)

var _ = Describe("engine that tells its software version", func() {
	// post sends a request to an engine of a software version and returns the answer with its text.
	post := func(ctx context.Context, software, body string, headers ...string) (*http.Response, string) {
		GinkgoHelper()
		s := startWith(engine.WithSoftware(software))
		response := s.post(ctx, "/v1/chat/completions", body, headers...)
		text, err := io.ReadAll(response.Body)
		Expect(err).NotTo(HaveOccurred())
		return response, string(text)
	}

	It("tells it in the header and in each event with text", func(ctx SpecContext) {
		response, text := post(ctx, "2.1", fmt.Sprintf(chat, true, 4))
		Expect(response.Header.Get("X-Software")).To(Equal("2.1"))
		Expect(strings.Count(text, `"system_fingerprint":"2.1"`)).To(Equal(5))
		_, text = post(ctx, "2.1", fmt.Sprintf(chat, false, 4))
		Expect(text).To(ContainSubstring(`"system_fingerprint":"2.1"`))
	})

	It("tells it in the load report", func(ctx SpecContext) {
		r, err := http.NewRequestWithContext(ctx, http.MethodGet, startWith(engine.WithSoftware("2.1")).url+"/load", nil)
		Expect(err).NotTo(HaveOccurred())
		response, err := http.DefaultClient.Do(r)
		Expect(err).NotTo(HaveOccurred())
		defer func() { _ = response.Body.Close() }()
		Expect(io.ReadAll(response.Body)).To(ContainSubstring(`"software":"2.1"`))
	})

	It("tells none if none is set", func(ctx SpecContext) {
		response, text := post(ctx, "", fmt.Sprintf(chat, true, 4))
		Expect(response.Header).NotTo(HaveKey("X-Software"))
		Expect(text).NotTo(ContainSubstring("system_fingerprint"))
	})

	DescribeTable("resumes a stream that began", func(ctx SpecContext, began string, status int) {
		response, text := post(ctx, "2.1", fmt.Sprintf(chat, true, 4), "X-Resume-From", "2", "X-Software", began)
		Expect(response.StatusCode).To(Equal(status))
		Expect(strings.Contains(text, `"code":"version"`)).To(Equal(status != http.StatusOK))
	},
		Entry("at its own version", "2.1", http.StatusOK),
		Entry("at a version that is not told", "", http.StatusOK),
		Entry("at another version, not at all", "2.0", http.StatusConflict),
	)
})
