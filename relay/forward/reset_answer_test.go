package forward_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/chicoryrelay/chicoryrelay/relay/connection"
	"github.com/chicoryrelay/chicoryrelay/relay/directory"
	"github.com/chicoryrelay/chicoryrelay/relay/forward"
)

// kindPaths are paths on a route of each kind.
var kindPaths = []string{"/read/", "/book/", "/check/", "/note/"}

// longBody is the length in bytes of a body that the socket buffers of newUploadServer don't hold.
const longBody = 900 << 10

// dialSmall dials with a send buffer that holds no long body.
func dialSmall(ctx context.Context, address netip.AddrPort) (net.Conn, error) {
	conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", address.String())
	if err != nil {
		return nil, err
	}
	return conn, conn.(*net.TCPConn).SetWriteBuffer(64 << 10)
}

// newUploadServer serves a forwarder for bodies of up to 1 MB.
func newUploadServer(place forward.PlaceFunc) *httptest.Server {
	GinkgoHelper()
	pool := connection.NewPool(connection.WithDial(dialSmall))
	server, _ := newPooledServer(place, pool, 0)
	DeferCleanup(server.Close)
	DeferCleanup(pool.Close)
	return server
}

// counted is a placer's function that counts its placements.
func counted(fake *fakePlacer) (forward.PlaceFunc, *atomic.Int32) {
	var placements atomic.Int32
	return func(ctx context.Context, r *forward.PlacementRequest) (*forward.Placement, error) {
		p, err := fake.place(ctx, r)
		if err == nil {
			placements.Add(1)
		}
		return p, err
	}, &placements
}

// upload posts a body of the given length and returns the status and the text of the answer, and an error if it isn't complete.
func upload(server *httptest.Server, path string, size int) (int, string, error) {
	status, text, _, err := uploadTo(server.URL+path, size)
	return status, text, err
}

// uploadTo is upload for a URL; it returns the answer's header too.
func uploadTo(url string, size int) (int, string, http.Header, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, url, strings.NewReader(strings.Repeat("x", size)))
	if err != nil {
		return 0, "", nil, err
	}
	r.Host, r.Header = "h", http.Header{"X-Id": {"1"}, "X-Key": {"k"}}
	answer, err := http.DefaultTransport.RoundTrip(r)
	if err != nil {
		return 0, "", nil, err
	}
	defer func() { _ = answer.Body.Close() }()
	text, err := io.ReadAll(answer.Body)
	return answer.StatusCode, string(text), answer.Header, err
}

// resettingAfter answers at once, without reading the body, and resets the connection after a pause.
func resettingAfter(raw string, pause time.Duration) directory.Upstream {
	return rawUpstream(func(conn net.Conn, _ *http.Request) {
		_, _ = io.WriteString(conn, raw)
		time.Sleep(pause)
		_ = conn.(*net.TCPConn).SetLinger(0)
	})
}

// closingAfter answers at once, without reading the body, and closes the connection after a pause.
func closingAfter(raw string, pause time.Duration) directory.Upstream {
	return rawUpstream(func(conn net.Conn, _ *http.Request) {
		_, _ = io.WriteString(conn, raw)
		time.Sleep(pause)
	})
}

var _ = Describe("an answer without a length whose connection breaks while the body is sent", func() {
	part := floodHead + "\r\n" + event(1) + event(2)
	for name, start := range map[string]func(string, time.Duration) directory.Upstream{"is reset": resettingAfter, "is closed": closingAfter} {
		for _, path := range kindPaths {
			// Guards against a reset that the write of the body learns of, so that the read of the answer sees an orderly end.
			It(fmt.Sprintf("is no complete answer if it %s (%s)", name, path), func() {
				var complete, ends []string
				for i := range 40 {
					pause := []time.Duration{0, 100 * time.Microsecond, time.Millisecond, 10 * time.Millisecond}[i%4]
					fake := &fakePlacer{list: []directory.Upstream{start(part, pause), start(part, pause)}}
					place, placements := counted(fake)
					status, text, err := upload(newUploadServer(place), path, longBody)
					if err == nil && status < http.StatusBadRequest {
						complete = append(complete, fmt.Sprintf("after %s: %d %q", pause, status, text))
					}
					Expect(fake.recordedEnds()).To(HaveLen(int(placements.Load())))
					ends = append(ends, fake.recordedEnds()...)
				}
				Expect(complete).To(BeEmpty(), "%d of 40", len(complete))
				Expect(ends).To(HaveEach("failed"))
			})
		}
	}

	// Guards against a request that can't be sent again because its body was given up.
	It("is replaced by the answer of the next upstream if the request may be repeated", func() {
		for _, path := range []string{"/read/", "/note/"} {
			for range 10 {
				whole := rawUpstream(func(conn net.Conn, r *http.Request) {
					n, _ := io.Copy(io.Discard, r.Body)
					if n == longBody {
						_, _ = io.WriteString(conn, upstreamFramings[connection.ByChunks](event(1)+event(2)+event(3)))
					}
				})
				fake := &fakePlacer{list: []directory.Upstream{resettingAfter(part, time.Millisecond), whole}}
				_, text, err := upload(newUploadServer(fake.place), path, longBody)
				Expect(err).NotTo(HaveOccurred())
				Expect(text).To(Equal(event(1) + event(2) + event(3)))
				Expect(fake.recordedEnds()).To(Equal([]string{"failed", "finished"}))
			}
		}
	})

	// Guards against a sound answer that fails because its upstream ends its side of the connection before it has read the body.
	It("is complete if the upstream ends its side and reads the rest of the body", func() {
		for _, path := range kindPaths {
			lingering := rawUpstream(func(conn net.Conn, r *http.Request) {
				_, _ = io.WriteString(conn, part)
				_ = conn.(*net.TCPConn).CloseWrite()
				time.Sleep(50 * time.Millisecond)
				_, _ = io.Copy(io.Discard, r.Body)
			})
			fake := &fakePlacer{list: []directory.Upstream{lingering}}
			status, text, err := upload(newUploadServer(fake.place), path, longBody)
			Expect(err).NotTo(HaveOccurred())
			Expect(status).To(Equal(http.StatusOK))
			Expect(text).To(Equal(event(1) + event(2)))
			Expect(fake.recordedEnds()).To(Equal([]string{"finished"}))
		}
	})

	// Guards against a declaration that a request has not run that is read for as long as the upload takes.
	It("is a declared refusal at once", func() {
		refusing := rawUpstream(func(conn net.Conn, _ *http.Request) {
			_, _ = io.WriteString(conn, "HTTP/1.1 503 X\r\nX-Id: 1\r\nX-Not-Run: 1\r\n\r\nfull")
			_ = conn.(*net.TCPConn).CloseWrite()
			time.Sleep(3 * time.Second)
		})
		fake := &fakePlacer{list: []directory.Upstream{refusing, answering(http.StatusOK, "", "ok")}}
		began := time.Now()
		status, text, err := upload(newUploadServer(fake.place), "/book/", longBody)
		Expect(err).NotTo(HaveOccurred())
		Expect(status).To(Equal(http.StatusOK))
		Expect(text).To(Equal("ok"))
		Expect(time.Since(began)).To(BeNumerically("<", time.Second))
		Expect(fake.recordedEnds()).To(Equal([]string{"not run", "finished"}))
	})
})
