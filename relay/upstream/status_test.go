package upstream_test

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/chicoryrelay/chicoryrelay/relay/connection"
	"github.com/chicoryrelay/chicoryrelay/relay/upstream"
)

// Guards against bytes that are no HTTP response but that http.ReadResponse accepts as one: callers got them as an answer, a status below
// 100 was skipped as an interim response, and a text request waited for the text of a 101.
var _ = Describe("a response with a status that is none", func() {
	bodies := map[string]string{
		"a body with a length": "Content-Length: 2\r\n\r\n{}", "a body without a length": "\r\n{}", "no body": "Content-Length: 0\r\n\r\n",
		"another response": "\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}", "nothing more": "\r\n",
		"an upgrade": "Connection: Upgrade\r\nUpgrade: x\r\n\r\n",
	}
	for path, call := range floodPaths {
		for _, status := range []string{"000", "001", "020", "099", "+20", "-00", "600", "999", "101"} {
			It("fails "+path+" at once ("+status+")", func() {
				var wrong []string
				for name, body := range bodies {
					// The connection stays open, and nothing more comes for a while.
					address := pouring("HTTP/1.1 "+status+" X\r\n"+body, "\n", 5*time.Second)
					client := upstream.New(upstream.WithHeaderTimeout(2*time.Second), upstream.WithReadTimeout(2*time.Second))
					DeferCleanup(client.Close)
					ctx, cancel := context.WithTimeout(context.Background(), 4*time.Second)
					result := make(chan error, 1)
					go func() { result <- call(ctx, client, address) }()
					select {
					case err := <-result:
						if err == nil || !strings.Contains(err.Error(), connection.ErrNoStatus.Error()) {
							wrong = append(wrong, fmt.Sprintf("%s: %v", name, err))
						}
					case <-time.After(time.Second):
						wrong = append(wrong, name+": no result after 1 s")
					}
					cancel()
				}
				Expect(wrong).To(BeEmpty(), "%d of %d", len(wrong), len(bodies))
			})
		}
	}

	It("is not one with a status of 200 to 599", func() {
		for _, status := range []int{200, 404, 599} {
			address, _ := startUpstream(status, http.Header{})
			client := upstream.New()
			DeferCleanup(client.Close)
			response, err := client.CallIdempotent(context.Background(), address, upstream.ServiceCall{Method: http.MethodGet, Path: "/", Header: http.Header{}}, 1<<20)
			Expect(err).NotTo(HaveOccurred())
			Expect(response.Status).To(Equal(status))
			response.Release()
		}
	})
})
