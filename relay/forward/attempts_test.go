package forward_test

import (
	"io"
	"net"
	"net/netip"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/chicoryrelay/chicoryrelay/relay/directory"
	"github.com/chicoryrelay/chicoryrelay/relay/forward"
)

// scriptedUpstream answers its requests with one text after the other, the last one again and again, and counts them. After a text its
// connection ends.
type scriptedUpstream struct {
	directory.Upstream
	listener net.Listener
	mu       sync.Mutex
	requests int
}

func newScriptedUpstream(texts ...string) *scriptedUpstream {
	GinkgoHelper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	u := &scriptedUpstream{listener: listener}
	u.ID, u.Address = listener.Addr().String(), netip.MustParseAddrPort(listener.Addr().String())
	DeferCleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go u.serve(conn, texts)
		}
	}()
	return u
}

func (u *scriptedUpstream) serve(conn net.Conn, texts []string) {
	defer func() { _ = conn.Close() }()
	buffer := make([]byte, 4096)
	if _, err := conn.Read(buffer); err != nil {
		return
	}
	u.mu.Lock()
	text := texts[min(u.requests, len(texts)-1)]
	u.requests++
	u.mu.Unlock()
	_, _ = io.WriteString(conn, text)
}

func (u *scriptedUpstream) count() int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.requests
}

// placerOf returns a placer of the scripted upstreams.
func placerOf(upstreams ...*scriptedUpstream) *fakePlacer {
	fake := &fakePlacer{}
	for _, u := range upstreams {
		fake.list = append(fake.list, u.Upstream)
	}
	return fake
}

// Guards against streams that run at more upstreams than their route allows because they are broken off again and again, and against
// streams that are given up although the upstreams at which they have run could go on with them.
var _ = Describe("a stream that is broken off again and again", func() {
	broken := func(n int) string { return chunked + chunk(event(n)) }
	whole := func(n int) string { return chunked + chunk(event(n)) + "0\r\n\r\n" }
	expectWhole := func(fake *fakePlacer, path string, events int) {
		GinkgoHelper()
		n, err := readAnswer(newFloodServer(fake), path)
		Expect(err).NotTo(HaveOccurred())
		Expect(n).To(Equal(int64(events * len(event(1)))))
	}

	It("goes on at the upstreams at which it has run once these are as many as its route allows", func() {
		first, second, third := newScriptedUpstream(broken(1), broken(3), whole(5)), newScriptedUpstream(broken(2), broken(4)), newScriptedUpstream(whole(3))
		expectWhole(placerOf(first, second, third), "/note/", 5)
		Expect([]int{first.count(), second.count(), third.count()}).To(Equal([]int{3, 2, 0}))
	})

	It("goes on at its only upstream if its route allows one", func() {
		only, other := newScriptedUpstream(broken(1), whole(2)), newScriptedUpstream(whole(2))
		expectWhole(placerOf(only, other), "/once/", 2)
		Expect(other.count()).To(BeZero())
	})

	It("goes on at these also after an error, which is a run as well", func() {
		failing := newScriptedUpstream("HTTP/1.1 500 X\r\nX-Id: 1\r\nX-Whole: 1\r\nContent-Length: 6\r\n\r\nfailed")
		first, third := newScriptedUpstream(broken(1), whole(2)), newScriptedUpstream(whole(2))
		expectWhole(placerOf(first, failing, third), "/note/", 2)
		Expect(third.count()).To(BeZero())
	})

	It("goes on elsewhere instead of an upstream whose process has ended, which doesn't count as one of the attempts", func() {
		ended, other := newScriptedUpstream(broken(1)), newScriptedUpstream(whole(2))
		fake := placerOf(ended, other)
		server := newFloodServer(fake)
		ended.mu.Lock()
		go func() {
			defer ended.mu.Unlock()
			time.Sleep(20 * time.Millisecond)
			_ = ended.listener.Close()
		}()
		n, err := readAnswer(server, "/once/")
		Expect(err).NotTo(HaveOccurred())
		Expect(n).To(Equal(int64(2 * len(event(1)))))
	})

	It("goes on elsewhere instead of an upstream that is no longer listed, or has started again", func() {
		for _, now := range []*directory.Upstream{nil, {StartedAt: time.Now()}} {
			ended, other := newScriptedUpstream(broken(1)), newScriptedUpstream(whole(2))
			listed := forward.WithUpstreams(func(id string) *directory.Upstream {
				if id == ended.ID {
					return now
				}
				return &other.Upstream
			})
			n, err := readAnswer(newFloodServer(placerOf(ended, other), listed), "/once/")
			Expect(err).NotTo(HaveOccurred())
			Expect(n).To(Equal(int64(2 * len(event(1)))))
			Expect(ended.count()).To(Equal(1))
		}
	})

	It("is given up after a number of sends, whatever the budget allows", func() {
		endless := newScriptedUpstream(broken(1))
		_, err := readAnswer(newFloodServer(placerOf(endless)), "/once/")
		Expect(err).To(HaveOccurred())
		Expect(endless.count()).To(BeNumerically("<=", 8))
	})
})

var _ = Describe("a request that may run twice", func() {
	// Guards against calls that run at more upstreams than their route allows.
	It("runs at no more upstreams than its route allows if their connections break, nor again at one of them", func() {
		breaking := []*scriptedUpstream{newScriptedUpstream(floodHead), newScriptedUpstream(floodHead), newScriptedUpstream(floodHead)}
		_, err := readAnswer(newFloodServer(placerOf(breaking...)), "/read/")
		Expect(err).To(MatchError(ContainSubstring("502")))
		Expect([]int{breaking[0].count(), breaking[1].count(), breaking[2].count()}).To(Equal([]int{1, 1, 0}))
	})
})
